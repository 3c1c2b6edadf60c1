package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	maxSuspects = 1024
	// maxCrashes bounds the crashes of either kind that are kept against a feature. More
	// than the threshold tell features apart that occur together.
	maxCrashes = 8
	// minWaves is under how many crashes, each known when the next run began, a request
	// that was answered before is quarantined if the threshold counts all crashes.
	minWaves = 2
)

// hasEnoughCrashes reports whether enough targets ended under a feature. Crashes at the
// same time are one wave.
func (tracker *Tracker) hasEnoughCrashes(suspect Suspect) bool {
	waves := len(suspect.Crashed)
	return waves >= tracker.threshold || (waves >= minWaves && waves+len(suspect.Concurrent) >= tracker.threshold)
}

// blame counts the crash of a target against the features of runs that ended there.
func (tracker *Tracker) blame(ended []endedRun, now time.Time) {
	tracker.update("own run", func(suspects map[Fingerprint]knownSuspect) {
		for _, run := range ended {
			for _, feature := range run.features {
				tracker.blameOne(suspects, feature, run.target, now)
			}
		}
	})
}

// blameOne counts a crash of a target against a feature of a run. Requests with a feature
// that targets have answered before run at many targets at once and are hit by crashes
// of several targets: of those, a crash whose run began before all others were known
// belongs to the same wave as these.
func (tracker *Tracker) blameOne(suspects map[Fingerprint]knownSuspect, feature runFeature, target targetRun, now time.Time) {
	before := suspects[feature.Fingerprint]
	suspect := before
	suspect.Fingerprint, suspect.Part = feature.Fingerprint, max(feature.Part, before.Part)
	if tracker.completed(feature.Part).has(feature.Fingerprint) {
		suspect.setAnswered(maxCrashes)
	}
	changed := suspect.addCrash(target.hash(), suspect.Answered && feature.known != len(suspect.Crashed), maxCrashes)
	if !changed && !tracker.hasEnoughCrashes(before.Suspect) {
		return // another run with the feature ended in the same crash
	}
	suspect.changedAt = now
	suspects[feature.Fingerprint] = suspect
	if suspect.crashCount() > 1 {
		tracker.news.Store(urgentReports)
	}
}

// clear removes the crashes that count against a feature.
func (tracker *Tracker) clear(fingerprint Fingerprint) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.update("own run", func(suspects map[Fingerprint]knownSuspect) {
		suspect, ok := suspects[fingerprint]
		if !ok || len(suspect.Crashed) == 0 {
			return
		}
		suspect.Clearings++
		suspect.Crashed, suspect.Concurrent, suspect.Answered, suspect.changedAt = nil, nil, true, time.Now()
		suspects[fingerprint] = suspect
	})
}

// update replaces the suspects by a changed copy. Source names who told the change. The
// caller holds the mutex.
func (tracker *Tracker) update(source string, change func(suspects map[Fingerprint]knownSuspect)) {
	before := tracker.beliefs.Load()
	suspects := maps.Clone(before.suspects)
	change(suspects)
	evict(suspects, len(suspects)-maxSuspects)
	beliefs := &beliefs{suspects: suspects, convicted: tracker.convict(suspects)}
	tracker.beliefs.Store(beliefs)
	for fingerprint, conviction := range beliefs.convicted {
		if _, known := before.convicted[fingerprint]; !known {
			tracker.logConviction(suspects[fingerprint], conviction, source)
		}
	}
}

// evict removes a number of suspects: those with the fewest crashes, of these the
// oldest.
func evict(suspects map[Fingerprint]knownSuspect, count int) {
	if count <= 0 {
		return
	}
	victims := slices.SortedFunc(maps.Values(suspects), func(a, b knownSuspect) int {
		return cmp.Or(cmp.Compare(len(a.Crashed), len(b.Crashed)), a.changedAt.Compare(b.changedAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	for _, victim := range victims[:count] {
		delete(suspects, victim.Fingerprint)
	}
}

// expire removes what is too old to matter. A request stays known for as long after
// its quarantine as that took.
func (tracker *Tracker) expire(now time.Time) {
	for run, at := range tracker.crashed {
		if now.Sub(at) > rowEvidenceWindow {
			delete(tracker.crashed, run)
		}
	}
	for run, at := range tracker.checkedAt {
		if now.Sub(at) > checkInterval {
			delete(tracker.checkedAt, run)
		}
	}
	for _, suspect := range tracker.beliefs.Load().suspects {
		if now.Sub(suspect.changedAt) > 2*tracker.quarantine {
			tracker.update("expiry", func(suspects map[Fingerprint]knownSuspect) { tracker.deleteExpired(suspects, now) })
			return
		}
	}
}

func (tracker *Tracker) deleteExpired(suspects map[Fingerprint]knownSuspect, now time.Time) {
	maps.DeleteFunc(suspects, func(_ Fingerprint, known knownSuspect) bool { return now.Sub(known.changedAt) > 2*tracker.quarantine })
}

// insertSorted returns a sorted list with a value added, unless the list has it or
// has reached the limit. The given list is not changed.
func insertSorted(list []uint64, value uint64, limit int) []uint64 {
	index, found := slices.BinarySearch(list, value)
	if found || len(list) >= limit {
		return list
	}
	return slices.Insert(slices.Clone(list), index, value)
}
