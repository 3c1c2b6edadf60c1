package poison

import (
	"slices"
	"time"
)

// blame counts a crash against a request.
func (tracker *Tracker) blame(fingerprint Fingerprint, target string, now time.Time) {
	suspect, ok := tracker.suspects[fingerprint]
	if !ok || now.Sub(suspect.Last) >= tracker.config.expiry {
		tracker.makeRoom()
		suspect = &Suspect{Fingerprint: fingerprint}
		tracker.suspects[fingerprint] = suspect
	}
	if suspect.Cleared {
		suspect.Cleared, suspect.Lost = false, nil
	}
	suspect.Lost = insert(suspect.Lost, target, tracker.config.losses)
	suspect.Last = now
}

// clearNeighbours clears the suspects all of whose crashes are explained by a
// quarantined request that ran in each of them and was lost more often.
func (tracker *Tracker) clearNeighbours(now time.Time) {
	for _, suspect := range tracker.suspects {
		if tracker.check(suspect.Fingerprint, now) == Alone && tracker.explained(suspect, now) {
			tracker.clear(suspect, now)
		}
	}
}

func (tracker *Tracker) explained(suspect *Suspect, now time.Time) bool {
	explained := 0
	for _, crash := range tracker.crashes {
		if !slices.Contains(crash.ran, suspect.Fingerprint) {
			continue
		}
		if !tracker.hasGuilty(crash, now) {
			return false
		}
		explained++
	}
	return explained > 0
}

func (tracker *Tracker) hasGuilty(crash crash, now time.Time) bool {
	for _, fingerprint := range crash.ran {
		if tracker.check(fingerprint, now) == Quarantined {
			return true
		}
	}
	return false
}

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
	kept := tracker.crashes[max(0, len(tracker.crashes)-tracker.config.limit):]
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
