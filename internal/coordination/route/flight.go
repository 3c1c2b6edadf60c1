package route

import (
	"sync/atomic"
	"time"
)

// phase is the progress of a request at its target.
type phase = int32

const (
	phaseIdle phase = iota
	phasePrefill
	phaseDecode
	phaseDone
)

// choiceState is the mutable state that all copies of a choice share.
type choiceState struct {
	target       *targetState
	phase        atomic.Int32
	hitRatio     hitRatio // of the team, zero unless the target is the first owner of the prefix
	promptTokens int
}

// RecordFirstToken subtracts the request's prefill work from the in-flight counters
// when its first token arrives. Later calls have no effect.
func (choice Choice) RecordFirstToken() {
	choice.RecordFirstTokenAt(time.Now())
}

// RecordFirstTokenAt is like RecordFirstToken with an explicit time.
func (choice Choice) RecordFirstTokenAt(now time.Time) {
	if choice.state.phase.CompareAndSwap(phasePrefill, phaseDecode) {
		prefill := Work{PrefillTokens: -choice.Work.PrefillTokens}
		choice.state.target.inFlight.add(now, choice.Priority, prefill)
	}
}

// Release subtracts the remaining work of the choice from the in-flight counters.
// It has no effect on a choice that was not started or is already released.
func (choice Choice) Release() {
	choice.ReleaseAt(time.Now())
}

// ReleaseAt is like Release with an explicit time.
func (choice Choice) ReleaseAt(now time.Time) {
	work := choice.Work
	switch choice.state.phase.Swap(phaseDone) {
	case phasePrefill:
	case phaseDecode:
		work.PrefillTokens = 0
	default:
		return
	}
	choice.state.target.inFlight.add(now, choice.Priority, work.negate())
}

// RecordCachedTokens records how many prompt tokens the target found in its cache, to
// correct later estimates for this target and, if it is the first owner of the
// prefix, for the team.
func (choice Choice) RecordCachedTokens(cachedTokens int) {
	choice.state.target.prefixIndex.recordHit(choice.CachedTokens, cachedTokens)
	if choice.state.hitRatio.learned != nil {
		choice.state.hitRatio.record(cachedTokens, choice.state.promptTokens)
	}
}
