package route

import (
	"sync/atomic"
	"time"
)

// phase is how far a request at a target is.
type phase = int32

const (
	phaseIdle phase = iota
	phasePrefill
	phaseDecode
	phaseDone
)

// flight is the state of one choice.
type flight struct {
	node   *node
	phase  atomic.Int32
	hint   hint // of the team, empty unless the target owns the prefix
	prompt int  // tokens
}

// FirstToken takes the request's prefill work out of the counters, as its
// first token has come. Later calls have no effect.
func (choice Choice) FirstToken() {
	choice.FirstTokenAt(time.Now())
}

// FirstTokenAt is FirstToken at a given time.
func (choice Choice) FirstTokenAt(now time.Time) {
	if choice.flight.phase.CompareAndSwap(phasePrefill, phaseDecode) {
		prefill := Work{PrefillTokens: -choice.Work.PrefillTokens}
		choice.flight.node.own.add(now, choice.Priority, prefill)
	}
}

// Done takes the rest of a started choice's work out of the counters. It may
// be called more than once, and for a choice that was not started.
func (choice Choice) Done() {
	choice.DoneAt(time.Now())
}

// DoneAt is Done at a given time.
func (choice Choice) DoneAt(now time.Time) {
	work := choice.Work
	switch choice.flight.phase.Swap(phaseDone) {
	case phasePrefill:
	case phaseDecode:
		work.PrefillTokens = 0
	default:
		return
	}
	choice.flight.node.own.add(now, choice.Priority, work.negate())
}

// Learn tells the table how many prompt tokens the target found in its cache,
// where Cached were expected.
func (choice Choice) Learn(found int) {
	choice.flight.node.prefixes.learn(choice.Cached, found)
	if choice.flight.hint.share != nil {
		choice.flight.hint.learn(found, choice.flight.prompt)
	}
}
