package proxy

import (
	"context"
	"net/http"
	"slices"
	"time"

	"mangopier.example/mangopier/internal/coordination/crash"
	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
)

// plainCalls are the calls of one request to a plain service. If the target of a
// safe request is slow, another target is called too; the slow call goes on, since
// it may be the only one that succeeds. The first successful response goes to the
// caller.
type plainCalls struct {
	exchange *exchange
	inFlight []*plainCall
	results  chan callResult // one per call
	tried    []string        // targets and instances that were called
	unsent   int             // calls that reached no target
	fallback *fallbackResponse
}

// plainCall is one call to a target. Its goroutine sends the call and reads the
// response; the request's own goroutine does all else.
type plainCall struct {
	assignment place.Assignment // empty if another instance is called
	peer       string           // instance that is called, empty for a target
	started    time.Time
	cancel     context.CancelFunc
	done       chan struct{} // closed when the goroutine has ended
	slow       bool          // counted as a failure of the target already
	record     *crash.Run    // nil if another instance is called
}

// callResult is the end of a call.
type callResult struct {
	call     *plainCall
	response *back.Response // nil if err is set
	info     site.ResponseInfo
	body     []byte
	bodyErr  error // the body is truncated or too large
	err      error
}

// start calls the least loaded target that was not called yet, or another instance.
// Errors are those that the caller gets if it is the first call.
func (calls *plainCalls) start(ctx context.Context) error {
	call, err := calls.choose()
	if err == nil {
		calls.send(ctx, call)
	}
	return err
}

// choose chooses what to call next. The call is counted at its target until it is
// released.
func (calls *plainCalls) choose() (*plainCall, error) {
	exchange := calls.exchange
	if err := exchange.quarantineError(); err != nil {
		return nil, err
	}
	assignment, callsPerSlot, ok := exchange.proxy.scheduler.AssignCall(exchange.service.Name, exchange.withoutOtherVersions(calls.tried))
	if ok && !exchange.fits(&assignment) {
		calls.release(&plainCall{assignment: assignment})
		ok = false
	}
	if peer, found := exchange.choosePeer(site.NoStage, calls.unsent, ok, calls.tried); found {
		if ok {
			exchange.proxy.scheduler.Release(&assignment)
		}
		return &plainCall{peer: peer}, nil
	}
	if !ok {
		return nil, exchange.noTargetError(time.Second)
	}
	call := &plainCall{assignment: assignment}
	switch {
	case exchange.outOfReach():
		calls.release(call)
		return nil, exchange.capacityError(code.NoTarget, time.Second)
	case callsPerSlot >= maxCallsPerSlot:
		calls.release(call)
		return nil, exchange.capacityError(code.TeamOverloaded, minRetryAfter)
	}
	return call, nil
}

// release ends the count of a call at its target.
func (calls *plainCalls) release(call *plainCall) {
	if call.peer == "" {
		calls.exchange.proxy.scheduler.Release(&call.assignment)
	}
}

// destination returns the target or the instance that is called.
func (call *plainCall) destination() site.Target {
	if call.peer != "" {
		return site.Target{ID: call.peer}
	}
	return call.assignment.Target
}

// stage returns the name of the call in logs and metrics.
func (call *plainCall) stage() string {
	if call.peer != "" {
		return "detour"
	}
	return "call"
}

// send sends the request to a target or to another instance.
func (calls *plainCalls) send(ctx context.Context, call *plainCall) {
	exchange := calls.exchange
	call.started, call.done = time.Now(), make(chan struct{})
	ctx, call.cancel = context.WithCancel(ctx)
	calls.inFlight = append(calls.inFlight, call)
	calls.tried = append(calls.tried, call.destination().ID)
	sent := &site.Call{
		Target: call.assignment.Target, TimeRemaining: exchange.remaining(), Team: exchange.team.Name, Priority: exchange.priority(),
	}
	var forwarded *site.ForwardedRequest
	if call.peer == "" {
		call.record = exchange.proxy.crashes.Begin(exchange.features.request, call.assignment.Target)
	} else {
		forwarded = exchange.newForwarded(exchange.request.LastEventID)
	}
	go func() {
		defer close(call.done)
		result := callResult{call: call}
		if call.peer != "" {
			result.response, result.info, result.err = exchange.forward(ctx, call.peer, forwarded)
		} else {
			result.response, result.info, result.err = exchange.send(ctx, sent)
		}
		if result.err == nil {
			result.body, result.bodyErr = exchange.readBody(result.response, maxBodyBytes)
		}
		calls.results <- result
	}()
}

// wait waits for the calls in flight, and calls further targets, until the caller
// has a response. It returns false if there is none.
func (calls *plainCalls) wait(ctx context.Context) bool {
	exchange := calls.exchange
	slow := time.NewTimer(exchange.callTimeout())
	defer slow.Stop()
	lost := exchange.lostSignal()
	for {
		select {
		case <-lost:
			lost = nil
			calls.repeatSlow(ctx)
		case result := <-calls.results:
			outcome := calls.finish(ctx, result)
			switch {
			case outcome == outcomeSucceeded:
				return true
			case len(calls.inFlight) > 0:
			case !exchange.canRetry(ctx, outcome, len(calls.tried)) || !exchange.spendRetry(outcome) || calls.start(ctx) != nil:
				return false
			}
		case <-slow.C:
			calls.repeatSlow(ctx)
		}
		slow.Reset(exchange.callTimeout())
	}
}

// repeatSlow calls another target if the route, the retry budget and the load of
// the targets allow it. The calls in flight count as failures of their targets,
// which thus get fewer.
func (calls *plainCalls) repeatSlow(ctx context.Context) {
	exchange := calls.exchange
	if exchange.route.Kind != site.Safe || exchange.runs+len(calls.inFlight) >= exchange.route.MaxAttempts || len(calls.tried) >= maxCalls {
		return
	}
	for _, call := range calls.inFlight {
		if !call.slow && call.peer == "" {
			call.slow = true
			exchange.proxy.reportHealth(health.Observation{Target: call.assignment.Target.ID, Outcome: health.Failure})
		}
	}
	call, err := calls.choose()
	if err != nil {
		return
	}
	if call.peer == "" && !exchange.spendRetry(outcomeMayHaveRun) { // choosePeer has paid for a peer
		calls.release(call)
		return
	}
	calls.send(ctx, call)
}

// finish handles the end of a call. A successful response goes to the caller; a
// target's own error is kept as the fallback.
func (calls *plainCalls) finish(ctx context.Context, result callResult) callOutcome {
	exchange, call := calls.exchange, result.call
	calls.inFlight = slices.DeleteFunc(calls.inFlight, func(other *plainCall) bool { return other == call })
	call.end()
	calls.release(call)
	target := call.destination()
	if call.record != nil {
		exchange.endRecord(call.record, exchange.plainResult(result))
	}
	if result.err != nil {
		outcome := exchange.classifyNoResponse(ctx, target, result.err, call)
		if outcome == outcomeUnsent {
			calls.unsent++
		}
		return outcome
	}
	if result.info.NotRun {
		exchange.recordCall(target, call.stage(), "not-run", call.started)
		if result.info.Misdirected && call.peer == "" {
			exchange.proxy.scheduler.PauseTarget(target.ID, misdirectedPause)
		}
		return outcomeNotRun
	}
	exchange.runs++
	if call.peer == "" { // the other instance counts its own
		exchange.countUsage()
	}
	observation := health.Observation{Target: target.ID, TTFB: time.Since(call.started), ExpectedTTFB: exchange.route.LatencyObjective / 4}
	outcome, name := outcomeSucceeded, "answered"
	switch {
	case result.bodyErr != nil || (result.response.Status < http.StatusMultipleChoices && !exchange.isAuthentic(result.response, result.info)):
		outcome, name = outcomeFailed, "broken"
	case result.response.Status >= http.StatusInternalServerError || code.PromisesNotRun(result.response.Status):
		outcome, name = outcomeFailed, "failed"
		calls.fallback = &fallbackResponse{response: result.response, body: result.body}
	}
	if outcome != outcomeSucceeded {
		observation.Outcome = health.Failure
	}
	if !call.slow && call.peer == "" {
		exchange.proxy.reportHealth(observation)
	}
	exchange.recordFailedCall(target, call.stage(), name, result.bodyErr, call.started)
	if outcome == outcomeSucceeded {
		if exchange.route.Kind == site.Stream {
			exchange.beginAt(software(&call.assignment.Target, call.peer, result.response))
		}
		exchange.deliver(result.response, result.body)
	}
	return outcome
}

// stop ends the calls in flight.
func (calls *plainCalls) stop() {
	for _, call := range calls.inFlight {
		calls.exchange.recordCall(call.destination(), call.stage(), "dropped", call.started)
		call.end()
		calls.release(call)
		if call.record != nil {
			calls.exchange.endRecord(call.record, crash.Abandoned)
		}
	}
	calls.inFlight = nil
}

// end cancels a call and waits until its goroutine has ended.
func (call *plainCall) end() {
	call.cancel()
	<-call.done
}

// callTimeout returns how long a call may take before another target is called,
// more than the time left if none may be.
func (exchange *exchange) callTimeout() time.Duration {
	if exchange.route.Kind != site.Safe {
		return max(0, exchange.remaining()) + minCallTimeout
	}
	return max(minCallTimeout, time.Duration(callTimeoutShare*float64(exchange.route.LatencyObjective)))
}
