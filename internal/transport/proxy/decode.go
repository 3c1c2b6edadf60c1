package proxy

import (
	"context"
	"net/http"
	"time"

	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
)

// decodeRun is one run of a generation at an engine. Its goroutines send the call
// and read the response; the request's own goroutine does all else.
type decodeRun struct {
	assignment place.Assignment
	handle     *site.KVHandle // that the call carries, nil for none
	started    time.Time
	ctx        context.Context //nolint:containedctx // ends with the run
	cancel     context.CancelFunc
	results    chan runResult // closed when the goroutine that sends on it has ended
	response   *back.Response // nil until the run was accepted
	pending    []byte         // beginning of an event
}

// runResult is the header of a run's response, or the next part of its body.
type runResult struct {
	response *back.Response
	info     site.ResponseInfo
	data     []byte
	err      error // io.EOF at the end of the body
}

// startRun sends a generation to an engine. The first result of the run is the
// header of the response.
func (exchange *exchange) startRun(ctx context.Context, assignment place.Assignment, source promptSource, lastEventID string) *decodeRun {
	run := &decodeRun{assignment: assignment, handle: source.handle, started: time.Now(), results: make(chan runResult, 1)}
	run.ctx, run.cancel = context.WithCancel(ctx)
	call := &site.Call{
		Target: assignment.Target, TimeRemaining: exchange.remaining(), Team: exchange.team.Name,
		Priority: exchange.priority(), KVSource: source.handle, LastEventID: lastEventID,
	}
	if source.handle == nil {
		call.KVFetchAddress = source.prefiller
	}
	go func() {
		defer close(run.results)
		response, info, err := exchange.send(run.ctx, call)
		run.results <- runResult{response: response, info: info, err: err}
	}()
	return run
}

// startReading reads the body of an accepted response. Its parts are the next
// results of the run. After the run was ended there may be none.
func (run *decodeRun) startReading(response *back.Response) {
	<-run.results // closed by the goroutine that sent the call
	run.response, run.results = response, make(chan runResult)
	go func() {
		defer close(run.results)
		defer func() { _ = run.response.Body.Close() }()
		for {
			buffer := make([]byte, streamBufferBytes)
			count, err := run.response.Body.Read(buffer)
			if count > 0 && !run.report(runResult{data: buffer[:count]}) {
				return
			}
			if err != nil {
				run.report(runResult{err: err})
				return
			}
		}
	}()
}

// report passes a part of the body on, and returns false if the run was ended
// before.
func (run *decodeRun) report(result runResult) bool {
	select {
	case run.results <- result:
		return true
	case <-run.ctx.Done():
		return false
	}
}

// endRun cancels a run and waits until its goroutine has ended.
func (exchange *exchange) endRun(run *decodeRun) {
	run.cancel()
	for result := range run.results {
		if result.response != nil {
			_ = result.response.Body.Close()
		}
	}
	exchange.proxy.scheduler.Release(&run.assignment)
}

// acceptRun handles the header of a run's response. The outcome is outcomeOpened
// if its events can be forwarded. An engine's own error goes to the caller if the
// run is the only one and no other may follow.
func (exchange *exchange) acceptRun(run *decodeRun, result runResult, only bool) callOutcome {
	proxy, target := exchange.proxy, run.assignment.Target
	if result.err != nil {
		outcome := exchange.classifyNoStream(target, result.err, run.started)
		if outcome != outcomeUnsent {
			exchange.releaseHandle(run.handle)
		}
		return outcome
	}
	if result.info.NotRun {
		discard(result.response)
		exchange.releaseHandle(run.handle)
		exchange.recordCall(target, "decode", "not-run", run.started)
		proxy.pauseRefusing(target, result.info)
		return outcomeNotRun
	}
	proxy.scheduler.MarkAccepted(target.ID)
	exchange.runs++
	exchange.countUsage()
	if result.response.Status != http.StatusOK {
		return exchange.handleErrorResponse(result.response, target, run.started, only)
	}
	if !exchange.isAuthentic(result.response, result.info) {
		_ = result.response.Body.Close()
		exchange.recordCall(target, "decode", "broken", run.started)
		proxy.reportHealth(health.Observation{Target: target.ID, Outcome: health.Failure})
		return outcomeFailed
	}
	return outcomeOpened
}

// handleErrorResponse sends an engine's error to the caller, unless another run is
// under way, the caller has the header of a response already, or the route allows
// one more run.
func (exchange *exchange) handleErrorResponse(response *back.Response, target site.Target, started time.Time, only bool) callOutcome {
	body, err := readBody(response)
	exchange.recordCall(target, "decode", "failed", started)
	if response.Status >= http.StatusInternalServerError {
		exchange.proxy.reportHealth(health.Observation{Target: target.ID, Outcome: health.Failure})
	}
	if err != nil || !only || exchange.headerSent || (exchange.route.Resumable && exchange.runs < exchange.route.MaxAttempts) {
		return outcomeFailed
	}
	exchange.deliver(response, body)
	return outcomeSucceeded
}

// classifyNoStream returns the outcome of a decode call that ended without a
// response.
func (exchange *exchange) classifyNoStream(target site.Target, err error, started time.Time) callOutcome {
	if !exchange.mayHaveReached(target, err) {
		exchange.recordFailedCall(target, "decode", "unreachable", err, started)
		return outcomeUnsent
	}
	exchange.runs++
	exchange.recordFailedCall(target, "decode", "no-answer", err, started)
	exchange.proxy.reportHealth(health.Observation{Target: target.ID, Outcome: health.Failure})
	return outcomeMayHaveRun
}
