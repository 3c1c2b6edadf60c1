package crash

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Suspect holds the crashes that count against a feature of requests, as instances
// exchange them.
type Suspect struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Clearings   uint32      `cbor:"2,keyasint,omitempty"` // how often a completed run has cleared the feature
	Crashed     []uint64    `cbor:"3,keyasint,omitempty"` // hashes of distinct targets since the last clearing, sorted
	Answered    bool        `cbor:"4,keyasint,omitempty"` // runs with the feature have completed before
	AgeMS       int64       `cbor:"5,keyasint,omitempty"` // since the last crash or clearing, in milliseconds
	Part        int         `cbor:"7,keyasint,omitempty"` // that of the feature
	Concurrent  []uint64    `cbor:"6,keyasint,omitempty"` // more such hashes, sorted, if Answered: of targets that crashed together with one in Crashed
}

// crashCount returns the number of targets that ended under the request.
func (suspect *Suspect) crashCount() int { return len(suspect.Crashed) + len(suspect.Concurrent) }

// addCrash adds a crash, in the same wave as another one if concurrent is set, and
// reports whether that changed the suspect. At most limit of either kind are kept.
func (suspect *Suspect) addCrash(target uint64, concurrent bool, limit int) bool {
	waves, count := len(suspect.Crashed), suspect.crashCount()
	index, known := slices.BinarySearch(suspect.Concurrent, target)
	switch {
	case concurrent && !slices.Contains(suspect.Crashed, target):
		suspect.Concurrent = insertSorted(suspect.Concurrent, target, limit)
	case !concurrent:
		suspect.Crashed = insertSorted(suspect.Crashed, target, limit)
		if known {
			suspect.Concurrent = slices.Delete(slices.Clone(suspect.Concurrent), index, index+1)
		}
	}
	return len(suspect.Crashed) != waves || suspect.crashCount() != count
}

const (
	// reportedFor is how long a change is in each report. All instances get a
	// report within that time, and several in most cases.
	reportedFor = 15 * time.Second
	// maxReported and maxRepeated bound one report: the suspects in quarantine and the
	// changes of the last reportedFor, and a random choice of the older suspects, from
	// which an instance that has just started learns of them.
	maxReported = 48
	maxRepeated = 8
	// ageTolerance is by how much a change of another instance has to be newer to
	// count as a later one. It covers the time that reports take.
	ageTolerance = 5 * time.Second
)

// setAnswered notes that runs with the feature have completed before. Which of the crashes
// belong to one wave is not known then, so that all are taken for one.
func (suspect *Suspect) setAnswered(limit int) {
	if suspect.Answered {
		return
	}
	crashed := suspect.Crashed
	suspect.Answered = true
	if len(crashed) > 1 {
		suspect.Crashed = crashed[:1:1]
		for _, target := range crashed[1:] {
			suspect.addCrash(target, true, limit)
		}
	}
}

// Report returns the suspects to send to other instances.
func (tracker *Tracker) Report() []Suspect {
	beliefs := tracker.beliefs.Load()
	if len(beliefs.suspects) == 0 {
		return nil
	}
	now := time.Now()
	var convicted, recent, older []knownSuspect
	for fingerprint, suspect := range beliefs.suspects {
		_, isConvicted := beliefs.convicted[fingerprint]
		switch {
		case isConvicted:
			convicted = append(convicted, suspect)
		case now.Sub(suspect.changedAt) < reportedFor:
			recent = append(recent, suspect)
		case !tracker.hasEnoughCrashes(suspect.Suspect): // others are explained by those that were convicted
			older = append(older, suspect)
		}
	}
	slices.SortFunc(convicted, compareUrgency)
	slices.SortFunc(recent, compareUrgency)
	rand.Shuffle(len(older), func(i, j int) { older[i], older[j] = older[j], older[i] })
	urgent := slices.Concat(convicted, recent)
	reported := slices.Concat(urgent[:min(len(urgent), maxReported)], older[:min(len(older), maxRepeated)])
	report := make([]Suspect, 0, len(reported))
	for _, suspect := range reported {
		suspect.AgeMS = max(0, now.Sub(suspect.changedAt).Milliseconds())
		report = append(report, suspect.Suspect)
	}
	return report
}

// compareUrgency orders suspects by how much depends on telling them: those with more
// crashes first, then those that no target is known to have answered, then parts, then
// newer ones.
func compareUrgency(a, b knownSuspect) int {
	return cmp.Or(cmp.Compare(b.crashCount(), a.crashCount()), compareBool(a.Answered, b.Answered),
		compareBool(a.Part == 0, b.Part == 0), b.changedAt.Compare(a.changedAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// TakeNews reports whether the next report should go to all instances at once, since
// this instance has found a request that has crashed more than one target.
func (tracker *Tracker) TakeNews() bool {
	if tracker.news.Load() <= 0 {
		return false
	}
	tracker.news.Add(-1)
	return true
}

// Merge adds the suspects of another instance. A report that arrives again changes
// nothing.
func (tracker *Tracker) Merge(instance string, report []Suspect) {
	if len(report) == 0 || !tracker.hasChange(report) {
		return
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	tracker.update(instance, func(suspects map[Fingerprint]knownSuspect) {
		for _, reported := range report {
			local, known := suspects[reported.Fingerprint]
			suspects[reported.Fingerprint] = tracker.merge(local, known, reported, now)
		}
		tracker.deleteExpired(suspects, now)
	})
}

// hasChange reports whether a report differs from what is known.
func (tracker *Tracker) hasChange(report []Suspect) bool {
	suspects, now := tracker.beliefs.Load().suspects, time.Now()
	return slices.ContainsFunc(report, func(reported Suspect) bool {
		local, known := suspects[reported.Fingerprint]
		merged := tracker.merge(local, known, reported, now)
		return !known || local.Clearings != merged.Clearings || local.Answered != merged.Answered || local.Part != merged.Part ||
			!slices.Equal(local.Crashed, merged.Crashed) || !slices.Equal(local.Concurrent, merged.Concurrent) || !local.changedAt.Equal(merged.changedAt)
	})
}

// merge returns what follows from a local and a reported suspect. More clearings go
// first. Crashes add up, except those of requests that have completed before, see
// blameOne.
func (tracker *Tracker) merge(local knownSuspect, known bool, reported Suspect, now time.Time) knownSuspect {
	age := time.Duration(min(max(0, reported.AgeMS), 4*tracker.quarantine.Milliseconds())) * time.Millisecond
	remote := knownSuspect{Suspect: reported, changedAt: now.Add(-age)}
	remote.Crashed, remote.Concurrent, remote.AgeMS = validCrashes(reported.Crashed), validCrashes(reported.Concurrent), 0
	if local.Answered || remote.Answered || tracker.completed(reported.Part).has(reported.Fingerprint) {
		local.setAnswered(maxCrashes)
		remote.setAnswered(maxCrashes)
	}
	switch {
	case !known || reported.Clearings > local.Clearings:
		return remote
	case reported.Clearings < local.Clearings:
		return local
	}
	merged, other := local, remote
	merged.Part = max(local.Part, remote.Part) // reports of older builds lack it
	if merged.Answered && (len(remote.Crashed) > len(local.Crashed) || (len(remote.Crashed) == len(local.Crashed) && slices.Compare(remote.Crashed, local.Crashed) > 0)) {
		merged.Crashed, merged.Concurrent, other = remote.Crashed, remote.Concurrent, local
	}
	for _, target := range slices.Concat(other.Crashed, other.Concurrent) {
		merged.addCrash(target, merged.Answered, maxCrashes)
	}
	if remote.changedAt.Sub(local.changedAt) > ageTolerance {
		merged.changedAt = remote.changedAt
	}
	return merged
}

// validCrashes returns the crashes of a report sorted, without duplicates, and at most
// maxCrashes.
func validCrashes(crashed []uint64) []uint64 {
	valid := slices.Compact(slices.Sorted(slices.Values(crashed)))
	return valid[:min(len(valid), maxCrashes)]
}
