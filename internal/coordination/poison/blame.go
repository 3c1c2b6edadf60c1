package poison

import (
	"slices"
	"time"
)

const (
	crashWindow = 2 * time.Second // within which losses count as one event
	crashLimit  = 64              // crashes remembered
	massLosses  = 3               // targets lost in one event that has another cause
)

// record remembers a crash, or adds to its record when it was told of before.
func (tracker *Tracker) record(target string, ran []Fingerprint, now time.Time) {
	for i := range tracker.crashes {
		known := &tracker.crashes[i]
		if known.target == target && now.Sub(known.at) < crashWindow {
			known.ran = slices.Compact(slices.Sorted(slices.Values(slices.Concat(known.ran, ran))))
			return
		}
	}
	tracker.crashes = append(tracker.crashes, crash{target, now, ran})
}

// pardonMassLoss clears those that ran at only one of several targets which
// were lost almost at once: a data centre's loss, not theirs.
func (tracker *Tracker) pardonMassLoss(now time.Time) {
	recent := slices.DeleteFunc(slices.Clone(tracker.crashes), func(crash crash) bool {
		return now.Sub(crash.at) >= crashWindow
	})
	if len(recent) < massLosses {
		return
	}
	for _, crash := range recent {
		for _, fingerprint := range crash.ran {
			if suspect, ok := tracker.suspects[fingerprint]; ok && len(suspect.Lost) == 1 {
				tracker.clear(suspect, now)
			}
		}
	}
}

// blame counts a crash against a request, and with it what was lost under it
// just before, which may have been pardoned as a loss of several targets.
func (tracker *Tracker) blame(fingerprint Fingerprint, now time.Time) {
	suspect, ok := tracker.suspects[fingerprint]
	if !ok || now.Sub(suspect.Last) >= tracker.config.expiry {
		tracker.makeRoom()
		suspect = &Suspect{Fingerprint: fingerprint}
		tracker.suspects[fingerprint] = suspect
	}
	suspect.Cleared, suspect.Last = false, now
	for _, crash := range tracker.crashes {
		if now.Sub(crash.at) < crashWindow && slices.Contains(crash.ran, fingerprint) {
			suspect.Lost = insert(suspect.Lost, crash.target, tracker.config.losses)
		}
	}
}

// clearNeighbours clears the suspects all of whose crashes are explained by
// other requests. Their losses count again if they crash another target.
func (tracker *Tracker) clearNeighbours(now time.Time) {
	for _, suspect := range tracker.suspects {
		if tracker.check(suspect.Fingerprint, now) != Clear && tracker.explained(suspect, now) {
			suspect.Cleared, suspect.Last = true, now
		}
	}
}

// explained reports whether another request is to blame for each crash that
// the suspect ran in.
func (tracker *Tracker) explained(suspect *Suspect, now time.Time) bool {
	explained := 0
	for _, crash := range tracker.crashes {
		if !slices.Contains(crash.ran, suspect.Fingerprint) {
			continue
		}
		if !tracker.hasGuilty(crash, suspect, now) {
			return false
		}
		explained++
	}
	return explained > 0 && explained >= len(suspect.Lost)
}

// hasGuilty reports whether a quarantined request ran in the crash that has
// also lost a target without the suspect.
func (tracker *Tracker) hasGuilty(crash crash, suspect *Suspect, now time.Time) bool {
	for _, fingerprint := range crash.ran {
		if fingerprint == suspect.Fingerprint || tracker.check(fingerprint, now) != Quarantined {
			continue
		}
		for _, target := range tracker.suspects[fingerprint].Lost {
			if !slices.Contains(suspect.Lost, target) {
				return true
			}
		}
	}
	return false
}

// acquit clears a request that completed a run. No crash before that counts
// against it any more.
func (tracker *Tracker) acquit(suspect *Suspect, now time.Time) {
	tracker.clear(suspect, now)
	for i := range tracker.crashes {
		crash := &tracker.crashes[i]
		crash.ran = slices.DeleteFunc(slices.Clone(crash.ran), func(fingerprint Fingerprint) bool {
			return fingerprint == suspect.Fingerprint
		})
	}
}

// clear forgets what was lost under a request.
func (tracker *Tracker) clear(suspect *Suspect, now time.Time) {
	suspect.Cleared, suspect.Lost, suspect.Last = true, nil, now
}

// expire forgets old suspects and crashes, and bounds the crashes kept.
func (tracker *Tracker) expire(now time.Time) {
	for fingerprint, suspect := range tracker.suspects {
		if now.Sub(suspect.Last) >= tracker.config.expiry {
			delete(tracker.suspects, fingerprint)
		}
	}
	kept := tracker.crashes[max(0, len(tracker.crashes)-crashLimit):]
	for len(kept) > 0 && now.Sub(kept[0].at) >= tracker.config.expiry {
		kept = kept[1:]
	}
	tracker.crashes = slices.Clone(kept)
}

// makeRoom forgets the suspect of least weight when the limit is reached:
// cleared ones first, then those with fewer losses, then older ones.
func (tracker *Tracker) makeRoom() {
	if len(tracker.suspects) < tracker.config.limit {
		return
	}
	var least *Suspect
	for _, suspect := range tracker.suspects {
		if least == nil || lighter(suspect, least) {
			least = suspect
		}
	}
	delete(tracker.suspects, least.Fingerprint)
}

func lighter(a, b *Suspect) bool {
	if a.Cleared != b.Cleared {
		return a.Cleared
	}
	if len(a.Lost) != len(b.Lost) {
		return len(a.Lost) < len(b.Lost)
	}
	return a.Last.Before(b.Last)
}

// insert adds a target to a sorted list, unless the list has it or is full.
func insert(targets []string, target string, limit int) []string {
	place, found := slices.BinarySearch(targets, target)
	if found || len(targets) >= limit {
		return targets
	}
	return slices.Insert(slices.Clone(targets), place, target)
}
