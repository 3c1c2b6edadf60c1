package proxy

import (
	"context"
	"slices"
)

// startStandby starts a run that is to resume the stream of the silent active run,
// if the route, the retry budget and the engines allow it.
func (generation *generation) startStandby(ctx context.Context) {
	exchange, active := generation.exchange, generation.active
	attempts := exchange.runs
	if active.response == nil {
		attempts++
	}
	if generation.standby != nil || !exchange.route.Resumable || attempts >= exchange.route.MaxAttempts ||
		generation.calls >= maxCalls || exchange.remaining() < minRemaining {
		return
	}
	run := generation.choose(append(slices.Clone(generation.tried), active.destination().ID))
	if run == nil {
		return
	}
	if run.peer == "" && !exchange.spendRetry(outcomeMayHaveRun) { // choosePeer has paid for a peer
		exchange.releaseRun(run)
		return
	}
	// The active run uses the handle.
	generation.start(ctx, run, promptSource{prefiller: generation.source.prefiller})
	generation.standby = run
}

// handleStandby handles a result of the standby run, and drops the run if it cannot
// resume the stream.
func (generation *generation) handleStandby(result runResult, ok bool) {
	exchange, run := generation.exchange, generation.standby
	if run.response == nil {
		if generation.accept(run, result) != outcomeOpened {
			generation.failStandby()
		}
		return
	}
	run.receive(result, ok)
	if run.ended != nil && !run.hasEvent() {
		exchange.recordFailedCall(run.destination(), run.stage(), "broken", run.ended, run.started)
		generation.reportFailure(run)
		generation.failStandby()
	}
}

// failStandby ends a standby run that failed.
func (generation *generation) failStandby() {
	run := generation.standby
	generation.standby = nil
	generation.tried = append(generation.tried, run.destination().ID)
	generation.exchange.endRun(run)
}

// takeOver makes the standby run the active one and forwards its events.
func (generation *generation) takeOver() (callOutcome, bool) {
	exchange := generation.exchange
	generation.active.cancel()
	if generation.active.response == nil { // it may run
		exchange.runs++
		exchange.releaseHandle(generation.active.handle)
	}
	generation.stream.endReason, generation.stream.endErr = "silent", nil
	generation.recordEnd(outcomeFailed)
	generation.dropActive(outcomeMayHaveRun)
	generation.active, generation.standby = generation.standby, nil
	return generation.forwardActive()
}

// dropStandby ends the standby run, if there is one.
func (generation *generation) dropStandby() {
	run := generation.standby
	if run == nil {
		return
	}
	generation.standby = nil
	if run.response == nil {
		generation.exchange.runs++ // it may run
	}
	generation.exchange.recordCall(run.destination(), run.stage(), "dropped", run.started)
	generation.exchange.endRun(run)
}

// standbyResults returns the results of the standby run, nil if there is none.
func (generation *generation) standbyResults() <-chan runResult {
	if generation.standby == nil {
		return nil
	}
	return generation.standby.results
}
