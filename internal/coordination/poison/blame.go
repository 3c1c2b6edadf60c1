package poison

import (
	"slices"
	"time"
)

const (
	crashWindow      = 2 * time.Second // crashes within it count as one event
	maxCrashes       = 64              // kept by a tracker
	massCrashTargets = 3               // crashed targets of one event from which no request is considered the cause
)

// addCrash stores a crash, or adds the requests to the stored one if the crash
// was reported before.
func (tracker *Tracker) addCrash(target string, requests []Fingerprint, now time.Time) {
	for i := range tracker.crashes {
		known := &tracker.crashes[i]
		if known.target == target && now.Sub(known.reportedAt) < crashWindow {
			known.requests = slices.Compact(slices.Sorted(slices.Values(slices.Concat(known.requests, requests))))
			return
		}
	}
	tracker.crashes = append(tracker.crashes, crash{target, now, requests})
}

// clearMassCrash clears the suspects of a mass crash that have only one crash
// against them. Several targets that crash at almost the same time are more
// likely lost with their data centre than by a request.
func (tracker *Tracker) clearMassCrash(now time.Time) {
	recent := slices.DeleteFunc(slices.Clone(tracker.crashes), func(crash crash) bool {
		return now.Sub(crash.reportedAt) >= crashWindow
	})
	if len(recent) < massCrashTargets {
		return
	}
	for _, crash := range recent {
		for _, fingerprint := range crash.requests {
			if suspect, ok := tracker.suspects[fingerprint]; ok && len(suspect.CrashedTargets) == 1 {
				tracker.clear(suspect, now)
			}
		}
	}
}

// countCrashes counts a crash against a request, together with all crashes within
// crashWindow in which it was running: those may have been cleared as a mass
// crash before.
func (tracker *Tracker) countCrashes(fingerprint Fingerprint, now time.Time) {
	suspect, ok := tracker.suspects[fingerprint]
	if !ok || now.Sub(suspect.UpdatedAt) >= tracker.config.expiry {
		tracker.evictIfFull()
		suspect = &Suspect{Fingerprint: fingerprint}
		tracker.suspects[fingerprint] = suspect
	}
	suspect.Cleared, suspect.UpdatedAt = false, now
	for _, crash := range tracker.crashes {
		if now.Sub(crash.reportedAt) < crashWindow && slices.Contains(crash.requests, fingerprint) {
			suspect.CrashedTargets = insertTarget(suspect.CrashedTargets, crash.target, tracker.config.crashThreshold)
		}
	}
}

// clearExplained clears the suspects whose crashes are all explained by other
// requests. The crashes are kept, and count again if another target crashes while
// running the suspect.
func (tracker *Tracker) clearExplained(now time.Time) {
	for _, suspect := range tracker.suspects {
		if tracker.statusAt(suspect.Fingerprint, now) != Clear && tracker.isExplained(suspect, now) {
			suspect.Cleared, suspect.UpdatedAt = true, now
		}
	}
}

// isExplained reports whether another request is the likely cause of each crash
// in which the suspect was running.
func (tracker *Tracker) isExplained(suspect *Suspect, now time.Time) bool {
	explained := 0
	for _, crash := range tracker.crashes {
		if !slices.Contains(crash.requests, suspect.Fingerprint) {
			continue
		}
		if !tracker.hasOtherCause(crash, suspect, now) {
			return false
		}
		explained++
	}
	return explained > 0 && explained >= len(suspect.CrashedTargets)
}

// hasOtherCause reports whether the crash involved another request that is
// quarantined and has also crashed a target without the suspect.
func (tracker *Tracker) hasOtherCause(crash crash, suspect *Suspect, now time.Time) bool {
	for _, fingerprint := range crash.requests {
		if fingerprint == suspect.Fingerprint || tracker.statusAt(fingerprint, now) != Quarantined {
			continue
		}
		for _, target := range tracker.suspects[fingerprint].CrashedTargets {
			if !slices.Contains(suspect.CrashedTargets, target) {
				return true
			}
		}
	}
	return false
}

// clearCompleted clears a request that completed a run, and removes it from the
// stored crashes so that none of them counts against it any more.
func (tracker *Tracker) clearCompleted(suspect *Suspect, now time.Time) {
	tracker.clear(suspect, now)
	for i := range tracker.crashes {
		crash := &tracker.crashes[i]
		crash.requests = slices.DeleteFunc(slices.Clone(crash.requests), func(fingerprint Fingerprint) bool {
			return fingerprint == suspect.Fingerprint
		})
	}
}

// clear removes the crashes counted against a request.
func (tracker *Tracker) clear(suspect *Suspect, now time.Time) {
	suspect.Cleared, suspect.CrashedTargets, suspect.UpdatedAt = true, nil, now
}

// expire removes expired suspects and crashes, and the oldest crashes beyond
// maxCrashes.
func (tracker *Tracker) expire(now time.Time) {
	for fingerprint, suspect := range tracker.suspects {
		if now.Sub(suspect.UpdatedAt) >= tracker.config.expiry {
			delete(tracker.suspects, fingerprint)
		}
	}
	remaining := tracker.crashes[max(0, len(tracker.crashes)-maxCrashes):]
	for len(remaining) > 0 && now.Sub(remaining[0].reportedAt) >= tracker.config.expiry {
		remaining = remaining[1:]
	}
	tracker.crashes = slices.Clone(remaining)
}

// evictIfFull evicts one suspect if maxSuspects is reached: cleared ones first,
// then those with fewer crashed targets, then older ones.
func (tracker *Tracker) evictIfFull() {
	if len(tracker.suspects) < tracker.config.maxSuspects {
		return
	}
	var victim *Suspect
	for _, suspect := range tracker.suspects {
		if victim == nil || evictsBefore(suspect, victim) {
			victim = suspect
		}
	}
	delete(tracker.suspects, victim.Fingerprint)
}

func evictsBefore(a, b *Suspect) bool {
	if a.Cleared != b.Cleared {
		return a.Cleared
	}
	if len(a.CrashedTargets) != len(b.CrashedTargets) {
		return len(a.CrashedTargets) < len(b.CrashedTargets)
	}
	return a.UpdatedAt.Before(b.UpdatedAt)
}

// insertTarget returns a sorted list with the target added, unless the list
// contains it or has reached the limit.
func insertTarget(targets []string, target string, limit int) []string {
	index, found := slices.BinarySearch(targets, target)
	if found || len(targets) >= limit {
		return targets
	}
	return slices.Insert(slices.Clone(targets), index, target)
}
