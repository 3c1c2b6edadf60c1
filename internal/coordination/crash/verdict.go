package crash

import (
	"cmp"
	"slices"
)

// beliefs are the suspects and the verdict on them. They are not changed.
type beliefs struct {
	suspects  map[Fingerprint]knownSuspect
	convicted map[Fingerprint]*conviction
}

// conviction tells why a feature is in quarantine.
type conviction struct {
	unexplained int // crashes that no feature convicted before it explains
	explains    int // other suspects with enough crashes whose crashes it explains
}

// convict returns the features that are in quarantine: of those under which enough
// targets ended, as few as explain the crashes. Features occur together, such as a part
// and the one before it in all prompts. Those that no target is known to have answered
// go first, then those with more crashes, then those that fewer requests share: if that
// is wrong, the next crash shows it. A further one is convicted if enough targets ended
// under it alone.
func (tracker *Tracker) convict(suspects map[Fingerprint]knownSuspect) map[Fingerprint]*conviction {
	var candidates []*Suspect
	for _, suspect := range suspects {
		if tracker.hasEnoughCrashes(suspect.Suspect) {
			candidates = append(candidates, &suspect.Suspect)
		}
	}
	slices.SortFunc(candidates, comparePlausibility)
	causes := map[uint64]*conviction{} // of crashes
	convicted := make(map[Fingerprint]*conviction, len(candidates))
	for _, candidate := range candidates {
		unexplained, cause := candidate.unexplained(causes)
		if !tracker.hasEnoughCrashes(unexplained) {
			cause.explains++
			continue
		}
		verdict := &conviction{unexplained: unexplained.crashCount()}
		convicted[candidate.Fingerprint] = verdict
		for _, target := range slices.Concat(unexplained.Crashed, unexplained.Concurrent) {
			causes[target] = verdict
		}
	}
	return convicted
}

// unexplained returns the suspect with the crashes that have no cause yet, and the cause
// of one of the others, nil if there are none.
func (suspect *Suspect) unexplained(causes map[uint64]*conviction) (rest Suspect, cause *conviction) {
	isExplained := func(target uint64) bool {
		known, ok := causes[target]
		if ok {
			cause = known
		}
		return ok
	}
	rest = *suspect
	rest.Crashed = slices.DeleteFunc(slices.Clone(suspect.Crashed), isExplained)
	rest.Concurrent = slices.DeleteFunc(slices.Clone(suspect.Concurrent), isExplained)
	return rest, cause
}

// comparePlausibility orders suspects by how likely they explain crashes that several
// of them share.
func comparePlausibility(a, b *Suspect) int {
	return cmp.Or(compareBool(a.Answered, b.Answered), cmp.Compare(b.crashCount(), a.crashCount()),
		cmp.Compare(b.specificity(), a.specificity()), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

// specificity orders features by how few requests share them: a request has parts of
// its own, and a later part of a prompt comes in fewer prompts.
func (suspect *Suspect) specificity() int {
	if suspect.Part == 0 {
		return maxSpecificity
	}
	return min(suspect.Part, maxSpecificity-1)
}

// maxSpecificity is more than prompts have parts.
const maxSpecificity = 1 << 20

func (tracker *Tracker) logConviction(suspect knownSuspect, conviction *conviction, source string) {
	tracker.logger.Error().Uint64("fingerprint", uint64(suspect.Fingerprint)).Int("prompt-part", suspect.Part).
		Int("targets", suspect.crashCount()).Int("unexplained", conviction.unexplained).Int("explains", conviction.explains).
		Bool("answered-before", suspect.Answered).Str("from", source).
		Dur("quarantine-ms", tracker.quarantine).Msg("requests quarantined: targets ended under them")
}
