package proxy

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/crash"
	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
)

// minRemaining is the time before the deadline from which a generation is not
// sent to another engine.
const minRemaining = 50 * time.Millisecond

// serveGeneration forwards a request to model engines: one prefills the prompt,
// and another fetches its KV cache and decodes.
func (exchange *exchange) serveGeneration(ctx context.Context) {
	generation := &generation{
		exchange: exchange,
		stream:   &stream{exchange: exchange, lastEventID: exchange.request.LastEventID},
	}
	generation.stream.beforeWrite = generation.dropStandby
	// An instance to which the request is forwarded has the prompt prefilled too.
	if exchange.canDecode() && !exchange.isQuiet() {
		handle, prefiller, unsent, err := exchange.prefill(ctx)
		if err != nil {
			exchange.refuse(err)
			return
		}
		generation.source = promptSource{handle: handle, prefiller: prefiller.Address}
		generation.dataCenter, generation.unsent = prefiller.DataCenter, unsent
	}
	defer generation.stop()
	if !generation.serve(ctx) {
		exchange.releaseHandle(generation.source.handle)
		if !generation.deliverFallback() {
			exchange.refuse(exchange.finalError(ctx, time.Second))
		}
	}
}

// generation is the decode stage of a request. One run is active, and its events
// go to the caller. If it is silent, a standby run is started that resumes the
// stream. The first of the two to send an event goes on: a silent engine may be
// sound, and the other one may refuse or fail. Once the first bytes of both were
// received, the one that began last goes on, whatever else was received since.
type generation struct {
	exchange   *exchange
	stream     *stream
	source     promptSource
	dataCenter string   // of the engine that prefilled the prompt
	tried      []string // engines and instances that failed
	calls      int
	unsent     int               // calls that reached no engine
	fallback   *fallbackResponse // error of an engine

	active  *decodeRun
	standby *decodeRun // nil for none
	begins  begins     // of the runs whose first bytes were received
}

// promptSource is where a decode engine fetches the KV cache of a prompt.
type promptSource struct {
	handle    *site.KVHandle // nil if none is valid
	prefiller string         // address of the engine that prefilled the prompt, empty if none did
}

// serve runs the generation until the caller has the answer or an engine's error.
// It returns false if no engine gave either.
func (generation *generation) serve(ctx context.Context) bool {
	for generation.activate(ctx) {
		outcome := generation.runActive(ctx)
		if outcome == outcomeSucceeded {
			return true
		}
		generation.dropActive(outcome)
		if generation.standby == nil && !generation.mayStart(ctx, outcome) {
			return false
		}
	}
	return false
}

// activate makes the standby run the active one, or starts a run at an engine that
// has not failed, or at any if all have. It returns false if there is none.
func (generation *generation) activate(ctx context.Context) bool {
	if generation.standby != nil {
		generation.active, generation.standby = generation.standby, nil
		return true
	}
	run := generation.choose(generation.tried)
	if run == nil && len(generation.tried) > 0 {
		generation.tried = nil
		run = generation.choose(nil)
	}
	if run == nil {
		return false
	}
	generation.start(ctx, run, generation.source)
	generation.active = run
	return true
}

// choose chooses an engine or another instance that is not in except. The run is
// counted at its engine until it is released. It returns nil if there is none.
func (generation *generation) choose(except []string) *decodeRun {
	exchange := generation.exchange
	if exchange.isQuarantined() || (exchange.origin.begun && !exchange.origin.known) {
		return nil
	}
	assignment, ok := exchange.proxy.scheduler.AssignDecode(exchange.service.Name, exchange.request.Prompt, generation.dataCenter, exchange.withoutOtherVersions(except))
	if ok && !exchange.fits(&assignment) {
		exchange.proxy.scheduler.Release(&assignment)
		ok = false
	}
	peer, found := exchange.choosePeer(site.Decode, generation.unsent, ok, except)
	run := &decodeRun{assignment: assignment}
	switch {
	case found:
		if ok {
			exchange.proxy.scheduler.Release(&assignment)
		}
		return &decodeRun{peer: peer}
	case !ok:
		return nil
	case exchange.outOfReach():
		exchange.releaseRun(run)
		return nil
	default:
		return run
	}
}

// start starts a run after the last event that the caller has.
func (generation *generation) start(ctx context.Context, run *decodeRun, source promptSource) {
	generation.calls++
	generation.exchange.startRun(ctx, run, source, generation.stream.lastEventID)
}

// mayStart reports whether a run may follow one that ended with outcome, and takes
// that retry from the service's budget.
func (generation *generation) mayStart(ctx context.Context, outcome callOutcome) bool {
	exchange := generation.exchange
	if ctx.Err() != nil || generation.calls >= maxCalls || exchange.remaining() < minRemaining {
		return false
	}
	repeatable := outcome == outcomeUnsent || outcome == outcomeNotRun || (exchange.route.Resumable && exchange.runs < exchange.route.MaxAttempts)
	return repeatable && exchange.spendRetry(outcome)
}

// runActive forwards the events of the active run until it ends, and lets a
// standby run take over if it is silent.
func (generation *generation) runActive(ctx context.Context) callOutcome {
	stream := generation.stream
	if generation.active.response != nil { // it was the standby run, whose events are pending
		if outcome, ended := generation.forwardActive(); ended {
			return outcome
		}
	}
	silence := time.NewTimer(stream.silenceTimeout())
	defer silence.Stop()
	lost := generation.exchange.lostSignal()
	if generation.active.peer != "" {
		lost = nil
	}
	for {
		silent, before := false, generation.progress()
		select {
		case <-lost:
			lost = nil
			generation.startStandby(ctx)
		case result, ok := <-generation.active.results:
			if outcome, ended := generation.handleActive(result, ok); ended {
				return outcome
			}
		case result, ok := <-generation.standbyResults():
			generation.handleStandby(result, ok)
		case <-silence.C:
			silent = true
			generation.startStandby(ctx)
		}
		if generation.mustTakeOver() {
			if outcome, ended := generation.takeOver(); ended {
				return outcome
			}
		}
		if silent || generation.progress() != before {
			silence.Reset(stream.silenceTimeout())
		}
	}
}

// progress tells whether a generation has got on: it changes with each event, accepted
// run or change of runs, but not with bytes that complete no event.
type progress struct {
	active, standby *decodeRun
	accepted        bool // the active run was accepted
	writes          int  // of events
}

func (generation *generation) progress() progress {
	return progress{
		active: generation.active, standby: generation.standby,
		accepted: generation.active.response != nil, writes: generation.stream.writes,
	}
}

// handleActive handles a result of the active run, and reports whether the run has
// ended. A part of its body is dropped if the standby run takes over. The standby run is
// dropped before the active one sends an event, for which the caller may have no room.
func (generation *generation) handleActive(result runResult, ok bool) (callOutcome, bool) {
	run := generation.active
	if run.response == nil {
		outcome := generation.accept(run, result)
		return outcome, outcome != outcomeOpened
	}
	if ok && result.err == nil && generation.lastBegun() == generation.standby && generation.standby != nil {
		return outcomeOpened, false
	}
	run.receive(result, ok)
	if generation.lastBegun() == run && run.ended == nil {
		generation.dropStandby()
	}
	return generation.forwardActive()
}

// lastBegun returns the run that began last, nil unless the engines of both runs write
// their streams. The other one is ended at once: a request must not go on at one engine
// while another works on it.
func (generation *generation) lastBegun() *decodeRun {
	active, standby := generation.active, generation.standby
	if standby == nil || active.begun.Load() == 0 || standby.begun.Load() == 0 {
		return nil
	}
	if standby.begun.Load() > active.begun.Load() {
		return standby
	}
	return active
}

// mustTakeOver reports whether the standby run goes on in place of the active one.
func (generation *generation) mustTakeOver() bool {
	standby := generation.standby
	if standby == nil {
		return false
	}
	if last := generation.lastBegun(); last != nil {
		return last == standby
	}
	return standby.hasEvent()
}

// forwardActive forwards the pending events of the active run, and reports whether
// the run has ended.
func (generation *generation) forwardActive() (callOutcome, bool) {
	run, stream := generation.active, generation.stream
	switch {
	case !stream.forward(run):
		generation.recordEnd(outcomeFailed)
		if stream.callerGone {
			generation.exchange.refuse(code.Errorf(code.CallerGone, "the caller closed the connection"))
		}
		return outcomeFailed, true
	case run.ended != nil:
		outcome := stream.end(run)
		generation.recordEnd(outcome)
		return outcome, true
	default:
		return outcomeOpened, false
	}
}

// recordEnd records how the active run ended for the log, the metrics and the
// health of its engine.
func (generation *generation) recordEnd(outcome callOutcome) {
	exchange, run, stream := generation.exchange, generation.active, generation.stream
	exchange.recordFailedCall(run.destination(), run.stage(), stream.endReason, stream.endErr, run.started)
	switch {
	case outcome == outcomeSucceeded:
		run.result = crash.Completed
	case run.ended != nil && !stream.callerGone:
		run.result = exchange.unansweredResult(run.ended)
	}
	switch {
	case stream.callerGone || run.peer != "":
	case outcome == outcomeSucceeded:
		exchange.proxy.reportHealth(health.Observation{Target: run.assignment.Target.ID})
	default:
		generation.reportFailure(run)
	}
}

// dropActive ends the active run.
func (generation *generation) dropActive(outcome callOutcome) {
	exchange, run := generation.exchange, generation.active
	generation.active = nil
	generation.tried = append(generation.tried, run.destination().ID)
	exchange.endRun(run)
	// A call that was sent uses up the handle. The next engine fetches what the
	// prefill engine still has in its prefix cache, and prefills the rest itself.
	if outcome != outcomeUnsent {
		generation.source.handle = nil
	}
}

// stop ends all runs.
func (generation *generation) stop() {
	generation.dropStandby()
	if generation.active != nil {
		generation.exchange.endRun(generation.active)
		generation.active = nil
	}
}
