package proxy

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mangopier.example/mangopier/internal/coordination/crash"
	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
)

// decodeRun is one run of a generation at an engine. Its goroutines send the call
// and read the response; the request's own goroutine does all else.
type decodeRun struct {
	assignment place.Assignment // empty if another instance runs the generation
	peer       string           // that instance, empty if an engine runs it
	handle     *site.KVHandle   // that the call carries, nil for none
	started    time.Time
	ctx        context.Context //nolint:containedctx // ends with the run
	cancel     context.CancelFunc
	results    chan runResult // closed when the goroutine that sends on it has ended

	record     *crash.Run     // nil if another instance runs the generation
	result     crash.Result   // for the record, crash.Abandoned while the run goes on
	refused    bool           // the engine did not run the request
	response   *back.Response // nil until the run was accepted
	memory     *responseMemory
	reserved   int          // bytes of memory that pending takes
	pending    []byte       // events, or the beginning of one, that the caller does not have
	eventsEnd  int          // length of the complete events in pending
	hasSent    bool         // the run has sent a complete event
	ended      error        // why the body ended, io.EOF if it is complete
	receivedAt time.Time    // when bytes were received, or the call was sent
	begun      atomic.Int64 // place among the runs of the generation by their first bytes, 0 if none were received
}

// runResult is the header of a run's response, or the next part of its body.
type runResult struct {
	response *back.Response
	info     site.ResponseInfo
	data     []byte // of the body; all of it if the response is an engine's error
	err      error  // io.EOF at the end of the body
}

// destination returns the engine or the instance that runs the generation.
func (run *decodeRun) destination() site.Target {
	if run.peer != "" {
		return site.Target{ID: run.peer}
	}
	return run.assignment.Target
}

// stage returns the name of the run in logs and metrics.
func (run *decodeRun) stage() string {
	if run.peer != "" {
		return "detour"
	}
	return "decode"
}

// startRun sends a generation to an engine or to another instance. The first result
// of the run is the header of the response.
func (exchange *exchange) startRun(ctx context.Context, run *decodeRun, source promptSource, lastEventID string) {
	run.started = time.Now()
	run.receivedAt, run.results = run.started, make(chan runResult, 1)
	run.memory = &exchange.proxy.memory
	run.ctx, run.cancel = context.WithCancel(ctx)
	if run.peer == "" {
		run.handle = source.handle
		run.record, run.result = exchange.proxy.crashes.Begin(exchange.features.all, run.assignment.Target), crash.Abandoned
	}
	call := &site.Call{
		Target: run.assignment.Target, TimeRemaining: exchange.remaining(), Team: exchange.team.Name,
		Priority: exchange.priority(), KVSource: source.handle, LastEventID: lastEventID,
	}
	if source.handle == nil {
		call.KVFetchAddress = source.prefiller
	}
	var forwarded *site.ForwardedRequest
	if run.peer != "" {
		forwarded = exchange.newForwarded(lastEventID)
	}
	goesOn := exchange.origin.begun
	go func() {
		defer close(run.results)
		result := runResult{}
		if run.peer == "" && goesOn && !exchange.proxy.boots.Check(run.ctx, run.assignment.Target) {
			run.results <- runResult{err: errRestarted}
			return
		}
		if run.peer != "" {
			result.response, result.info, result.err = exchange.forward(run.ctx, run.peer, forwarded)
		} else {
			result.response, result.info, result.err = exchange.send(run.ctx, call)
		}
		if result.err == nil && !result.info.NotRun && result.response.Status != http.StatusOK {
			result.data, result.err = exchange.readBody(result.response, maxBodyBytes)
		}
		run.results <- result
		if result.err == nil && result.info.NotRun {
			discard(result.response)
		}
	}()
}

// errRestarted is the error of a run that was not sent, since its engine may have another
// software version than its entry tells.
var errRestarted = errors.New("engine was started again, or does not tell when it was started")

// begins numbers the runs of a generation by their first bytes. A number is given and
// stored at once: a run with a later one then sees all earlier ones.
type begins struct {
	mutex sync.Mutex
	count int64
}

func (begins *begins) number(run *decodeRun) {
	begins.mutex.Lock()
	defer begins.mutex.Unlock()
	begins.count++
	run.begun.Store(begins.count)
}

// startReading reads the body of an accepted response. Its parts are the next
// results of the run. After the run was ended there may be none. Begins counts the
// runs whose first bytes were received.
func (run *decodeRun) startReading(response *back.Response, begins *begins, received func()) {
	<-run.results // closed by the goroutine that sent the call
	run.response, run.results = response, make(chan runResult)
	go func() {
		defer close(run.results)
		defer func() { _ = response.Body.Close() }()
		buffer := make([]byte, streamBufferBytes)
		for {
			count, err := response.Body.Read(buffer)
			if count > 0 && run.begun.Load() == 0 {
				begins.number(run)
			}
			received()
			if count > 0 && !run.report(runResult{data: bytes.Clone(buffer[:count])}) {
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

// receive keeps a part of the body. Results that end the body set run.ended.
func (run *decodeRun) receive(result runResult, ok bool) {
	switch {
	case run.ended != nil:
	case !ok:
		run.ended = cmp.Or(run.ctx.Err(), io.ErrUnexpectedEOF)
	case result.err != nil:
		run.ended = result.err
	default:
		run.receivedAt = time.Now()
		run.append(result.data)
		if len(run.pending) > maxPendingBytes || !run.reservePending() {
			run.ended = errResponseMemory
		}
	}
}

// append adds data to the pending bytes. Only the new ones are searched for the end of
// an event, which may begin in the byte before them.
func (run *decodeRun) append(data []byte) {
	from := max(run.eventsEnd, len(run.pending)-len(eventSeparator)+1)
	run.pending = append(run.pending, data...)
	if end := bytes.LastIndex(run.pending[from:], eventSeparator); end >= 0 {
		run.eventsEnd = from + end + len(eventSeparator)
	}
}

// removeEvents removes the complete events in pending.
func (run *decodeRun) removeEvents() {
	run.pending = append(run.pending[:0], run.pending[run.eventsEnd:]...)
	run.eventsEnd = 0
}

// hasEvent reports whether a complete event is pending, or the body ended as
// complete.
func (run *decodeRun) hasEvent() bool {
	return run.eventsEnd > 0 || run.isComplete()
}

// isComplete reports whether the body ended as complete after the pending events. A body
// that ends with its connection is only known to be whole after an event.
func (run *decodeRun) isComplete() bool {
	if run.response != nil && run.response.EndsWithConnection && !run.hasSent {
		return false
	}
	return errors.Is(run.ended, io.EOF) && len(bytes.TrimSpace(run.pending)) == 0
}

// discardTimeout is how long the body of a refusal may take, so that its connection
// can be reused.
const discardTimeout = 20 * time.Millisecond

// endRun ends a run and waits until its goroutine has ended.
func (exchange *exchange) endRun(run *decodeRun) {
	if run.refused {
		timer := time.AfterFunc(discardTimeout, run.cancel)
		defer timer.Stop()
	} else {
		run.cancel()
	}
	for result := range run.results {
		if result.response != nil {
			_ = result.response.Body.Close()
		}
	}
	run.cancel()
	run.pending, run.eventsEnd = nil, 0
	run.reservePending()
	exchange.releaseRun(run)
	if run.record != nil {
		exchange.endRecord(run.record, run.result)
	}
}

// releaseRun ends the count of a run at its engine.
func (exchange *exchange) releaseRun(run *decodeRun) {
	if run.peer == "" {
		exchange.proxy.scheduler.Release(&run.assignment)
	}
}

// classifyNoStream returns the outcome of a decode call that ended without a
// response.
func (generation *generation) classifyNoStream(run *decodeRun, err error) callOutcome {
	exchange, target := generation.exchange, run.destination()
	if !exchange.mayHaveReached(target, err) {
		exchange.recordFailedCall(target, run.stage(), "unreachable", err, run.started)
		generation.unsent++
		run.result = crash.Inconclusive
		return outcomeUnsent
	}
	run.result = exchange.unansweredResult(err)
	exchange.runs++
	exchange.recordFailedCall(target, run.stage(), "no-answer", err, run.started)
	generation.reportFailure(run)
	return outcomeMayHaveRun
}

// reportFailure counts a failure of a run's engine, unless the caller left before
// the run was silent for long.
func (generation *generation) reportFailure(run *decodeRun) {
	if run.peer != "" || generation.exchange.callerLeft() && time.Since(run.receivedAt) < generation.stream.silenceTimeout() {
		return
	}
	generation.exchange.proxy.reportHealth(health.Observation{Target: run.assignment.Target.ID, Outcome: health.Failure})
}

// accept handles the header of a run's response. The outcome is outcomeOpened if
// its events can be forwarded, and outcomeSucceeded if an engine's own error went to
// the caller.
func (generation *generation) accept(run *decodeRun, result runResult) callOutcome {
	exchange, target := generation.exchange, run.destination()
	if errors.Is(result.err, errRestarted) {
		run.refused, run.result = true, crash.Inconclusive
		exchange.releaseHandle(run.handle)
		exchange.recordFailedCall(target, run.stage(), "restarted", result.err, run.started)
		return outcomeNotRun
	}
	if result.response == nil {
		outcome := generation.classifyNoStream(run, result.err)
		if outcome != outcomeUnsent {
			exchange.releaseHandle(run.handle)
		}
		return outcome
	}
	if result.info.NotRun {
		run.refused, run.result = true, crash.Inconclusive
		exchange.releaseHandle(run.handle)
		exchange.recordCall(target, run.stage(), "not-run", run.started)
		exchange.proxy.pauseRefusing(target, result.info)
		return outcomeNotRun
	}
	exchange.proxy.scheduler.MarkAccepted(target.ID)
	exchange.runs++
	if run.peer == "" { // the other instance counts its own
		exchange.countUsage()
	}
	switch {
	case result.response.Status != http.StatusOK:
		return generation.handleError(run, result)
	case !exchange.isAuthentic(result.response, result.info):
		_ = result.response.Body.Close()
		run.result = crash.Inconclusive
		exchange.recordCall(target, run.stage(), "broken", run.started)
		exchange.proxy.reportHealth(health.Observation{Target: target.ID, Outcome: health.Failure})
		return outcomeFailed
	}
	run.startReading(result.response, &generation.begins, func() {
		if run.peer == "" {
			exchange.proxy.reach.RecordReceived(exchange.service.Name)
		}
	})
	return outcomeOpened
}

// handleError handles an engine's own error. It goes to the caller at once if no
// other run can answer, and otherwise if none does.
func (generation *generation) handleError(run *decodeRun, result runResult) callOutcome {
	exchange, target := generation.exchange, run.destination()
	exchange.recordFailedCall(target, run.stage(), "failed", result.err, run.started)
	if result.response.Status >= http.StatusInternalServerError {
		exchange.proxy.reportHealth(health.Observation{Target: target.ID, Outcome: health.Failure})
	}
	run.result = crash.Inconclusive
	if result.err != nil {
		run.result = exchange.unansweredResult(result.err)
		return outcomeFailed
	}
	generation.fallback = &fallbackResponse{response: result.response, body: result.data}
	others := generation.standby != nil || (exchange.route.Resumable && exchange.runs < exchange.route.MaxAttempts)
	if others || !generation.deliverFallback() {
		return outcomeFailed
	}
	return outcomeSucceeded
}

// deliverFallback sends the caller the error of an engine. It returns false if there
// is none, or if the caller has the header of a response already.
func (generation *generation) deliverFallback() bool {
	if generation.fallback == nil || generation.exchange.headerSent {
		return false
	}
	generation.exchange.deliver(generation.fallback.response, generation.fallback.body)
	return true
}
