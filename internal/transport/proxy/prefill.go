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

const (
	// prefillTimeoutFactor is how many times the expected delay an engine gets
	// to prefill a prompt, plus prefillTimeoutMargin, before another is asked.
	prefillTimeoutFactor = 3.0
	prefillTimeoutMargin = 300 * time.Millisecond
	// maxPrefills bounds the engines to which one prompt is sent for prefill.
	maxPrefills = 2
)

// prefillStage is the prefill of one request. If an engine takes much longer than
// expected, another one is asked too; the first goes on, since it may be the only
// one that succeeds. The first handle is used.
type prefillStage struct {
	exchange *exchange
	inFlight []*prefillCall
	results  chan prefillResult // one per call
	tried    []string
	sent     int // calls that engines may have received
	unsent   int // calls that reached no engine
}

// prefillCall is a call that has one engine prefill the prompt. Its goroutine sends
// the call and reads the response; the request's own goroutine does all else.
type prefillCall struct {
	prefill *place.Prefill
	started time.Time
	cancel  context.CancelFunc
	done    chan struct{} // closed when the goroutine has ended
	slow    bool          // counted as a failure of the engine already
	record  *crash.Run
}

// prefillResult is the end of a prefill call.
type prefillResult struct {
	call     *prefillCall
	response *back.Response // nil if the call failed
	info     site.ResponseInfo
	body     []byte
	err      error
}

// prefill has an engine prefill the prompt, and returns the handle, that engine and
// the number of calls that reached no engine. If no engine does, the handle is nil and
// the decode engine prefills the prompt itself. Errors are those that the caller gets.
func (exchange *exchange) prefill(ctx context.Context) (handle *site.KVHandle, engine site.Target, unsent int, err error) {
	stage := &prefillStage{exchange: exchange, results: make(chan prefillResult, maxCalls)}
	defer stage.stop()
	prefill, ok := stage.chooseFirst()
	if !ok {
		return nil, site.Target{}, 0, nil
	}
	if err := exchange.checkPrefillDelay(&prefill); err != nil {
		return nil, site.Target{}, 0, err
	}
	stage.send(ctx, &prefill)
	handle, engine, err = stage.wait(ctx)
	return handle, engine, stage.unsent, err
}

// chooseFirst chooses the first engine. A request that cannot meet its route's latency
// objective there waits behind those that can.
func (stage *prefillStage) chooseFirst() (place.Prefill, bool) {
	return stage.chooseWithin(stage.exchange.route.LatencyObjective)
}

// choose chooses an engine that was not asked yet.
func (stage *prefillStage) choose() (place.Prefill, bool) {
	return stage.chooseWithin(0)
}

func (stage *prefillStage) chooseWithin(objective time.Duration) (place.Prefill, bool) {
	exchange := stage.exchange
	if exchange.isQuarantined() {
		return place.Prefill{}, false
	}
	return exchange.proxy.scheduler.ChoosePrefillWithin(exchange.service.Name, exchange.request.Prompt, exchange.priority(), objective, stage.tried)
}

// send sends the prompt to an engine.
func (stage *prefillStage) send(ctx context.Context, prefill *place.Prefill) {
	exchange := stage.exchange
	exchange.expectedWaitMS, exchange.workMS, exchange.lowerPriorityMS = prefill.WaitMS, prefill.WorkMS, prefill.LowerPriorityMS
	exchange.cachedTokens, exchange.fetchedTokens = prefill.CachedTokens, prefill.FetchTokens
	exchange.prefillPriority = prefill.Priority
	exchange.proxy.scheduler.BeginPrefill(prefill)
	call := &prefillCall{
		prefill: prefill, started: time.Now(), done: make(chan struct{}),
		record: exchange.proxy.crashes.Begin(exchange.features.request, prefill.Target),
	}
	ctx, call.cancel = context.WithCancel(ctx)
	stage.inFlight = append(stage.inFlight, call)
	stage.tried = append(stage.tried, prefill.Target.ID)
	sent := &site.Call{
		Target: prefill.Target, TimeRemaining: exchange.remaining(), Team: exchange.team.Name,
		Priority: prefill.Priority, PrefillOnly: true, KVFetchAddress: prefill.SourceAddress,
	}
	go func() {
		defer close(call.done)
		result := prefillResult{call: call}
		result.response, result.info, result.err = exchange.send(ctx, sent)
		if result.err == nil {
			result.body, result.err = exchange.readBody(result.response, maxHandleBytes)
		}
		stage.results <- result
	}()
}

// wait waits for the calls in flight, and asks another engine when one has failed or
// is slow. It returns the handle, the engine and the error of prefill.
func (stage *prefillStage) wait(ctx context.Context) (*site.KVHandle, site.Target, error) {
	exchange := stage.exchange
	slow := time.NewTimer(stage.slowTimeout())
	defer slow.Stop()
	lost := exchange.lostSignal()
	for {
		select {
		case <-lost:
			return nil, site.Target{}, nil
		case result := <-stage.results:
			handle, outcome := stage.finish(result)
			if outcome == outcomeSucceeded {
				return handle, result.call.prefill.Target, nil
			}
			if err := exchange.contextError(ctx, code.NotRun); err != nil {
				return nil, site.Target{}, err
			}
			if len(stage.inFlight) > 0 {
				continue
			}
			if !exchange.spendRetry(outcome) {
				return nil, site.Target{}, exchange.capacityError(code.NoTarget, time.Second)
			}
			prefill, ok := stage.choose()
			if !ok || stage.canForward() || stage.sent >= maxPrefills || len(stage.tried) >= maxCalls {
				return nil, site.Target{}, nil
			}
			stage.send(ctx, &prefill)
			slow.Reset(stage.slowTimeout())
		case <-slow.C:
			if stage.handleSlow(ctx) {
				return nil, site.Target{}, nil
			}
			slow.Reset(stage.slowTimeout())
		}
	}
}

// canForward reports whether the request should be forwarded and can be.
func (stage *prefillStage) canForward() bool {
	exchange := stage.exchange
	if !exchange.shouldForward(site.Prefill, stage.unsent, true) {
		return false
	}
	_, ok := exchange.proxy.peers.Choose(exchange.service.Name, exchange.origin.begun, nil)
	return ok
}

// slowTimeout returns the time until the newest call counts as slow, or until the
// retry budget is asked again.
func (stage *prefillStage) slowTimeout() time.Duration {
	newest := stage.inFlight[len(stage.inFlight)-1]
	return max(prefillTimeoutMargin, newest.slowAfter()-time.Since(newest.started))
}

func (call *prefillCall) slowAfter() time.Duration {
	return time.Duration(prefillTimeoutFactor*call.prefill.ExpectedMS()*float64(time.Millisecond)) + prefillTimeoutMargin
}

// handleSlow asks another engine if there is one and the retry budget allows it. It
// returns true if all that may be asked are slow and the decode engine is to prefill
// the prompt instead.
func (stage *prefillStage) handleSlow(ctx context.Context) bool {
	exchange := stage.exchange
	for _, call := range stage.inFlight {
		if !call.slow {
			call.slow = true
			exchange.proxy.reportHealth(health.Observation{Target: call.prefill.Target.ID, Outcome: health.Failure})
		}
	}
	if len(stage.inFlight) >= maxPrefills {
		return exchange.spendRetry(outcomeNotRun)
	}
	prefill, ok := stage.choose()
	if ok && stage.sent+len(stage.inFlight) < maxPrefills && len(stage.tried) < maxCalls && exchange.spendRetry(outcomeNotRun) {
		stage.send(ctx, &prefill)
	}
	return false
}

// finish handles the end of a call. A prefill without a response is outcomeNotRun,
// since repeating it is safe.
func (stage *prefillStage) finish(result prefillResult) (*site.KVHandle, callOutcome) {
	call := result.call
	stage.inFlight = slices.DeleteFunc(stage.inFlight, func(other *prefillCall) bool { return other == call })
	call.end()
	stage.exchange.endRecord(call.record, stage.exchange.prefillResult(result))
	handle, outcome := stage.classify(result)
	if outcome == outcomeUnsent {
		stage.unsent++
	} else {
		stage.sent++
	}
	stage.exchange.proxy.scheduler.EndPrefill(call.prefill, outcome == outcomeSucceeded)
	return handle, outcome
}

// classify returns the handle or the outcome of a call, and records it for the log,
// the metrics and the health of its engine.
func (stage *prefillStage) classify(result prefillResult) (*site.KVHandle, callOutcome) {
	exchange, call, target := stage.exchange, result.call, result.call.prefill.Target
	if result.response == nil {
		stage.reportFailure(call)
		if !exchange.mayHaveReached(target, result.err) {
			exchange.recordFailedCall(target, "prefill", "unreachable", result.err, call.started)
			return nil, outcomeUnsent
		}
		exchange.recordFailedCall(target, "prefill", "no-answer", result.err, call.started)
		return nil, outcomeNotRun
	}
	if result.err != nil || result.response.Status != http.StatusOK {
		exchange.recordFailedCall(target, "prefill", "refused", result.err, call.started)
		if result.info.NotRun {
			exchange.proxy.pauseRefusing(target, result.info)
		} else {
			stage.reportFailure(call)
		}
		return nil, outcomeNotRun
	}
	exchange.proxy.scheduler.MarkAccepted(target.ID)
	handle, err := exchange.parseHandle(target, result.body)
	if err != nil {
		exchange.recordFailedCall(target, "prefill", "broken", err, call.started)
		stage.reportFailure(call)
		return nil, outcomeNotRun
	}
	if !call.slow {
		exchange.proxy.reportHealth(health.Observation{
			Target: target.ID, TTFB: time.Since(call.started),
			ExpectedTTFB: time.Duration(call.prefill.ExpectedMS() * float64(time.Millisecond)),
		})
	}
	exchange.recordCall(target, "prefill", "read", call.started)
	return handle, outcomeSucceeded
}

// parseHandle parses the response of an engine to a prefill.
func (exchange *exchange) parseHandle(engine site.Target, body []byte) (*site.KVHandle, error) {
	handle, err := exchange.proxy.codec.ParseKVHandle(engine.Address, body)
	if err != nil {
		return nil, err
	}
	handle.Engine = engine
	return handle, nil
}

// reportFailure counts a failure of a call's engine once, unless the caller left
// before the call was slow.
func (stage *prefillStage) reportFailure(call *prefillCall) {
	if call.slow || (stage.exchange.callerLeft() && time.Since(call.started) < call.slowAfter()) {
		return
	}
	stage.exchange.proxy.reportHealth(health.Observation{Target: call.prefill.Target.ID, Outcome: health.Failure})
}

// stop ends the calls in flight, and releases the prompts that were prefilled
// nevertheless.
func (stage *prefillStage) stop() {
	exchange := stage.exchange
	for _, call := range stage.inFlight {
		call.end()
		exchange.recordCall(call.prefill.Target, "prefill", "dropped", call.started)
		exchange.proxy.scheduler.EndPrefill(call.prefill, false)
		exchange.endRecord(call.record, crash.Abandoned)
	}
	for range stage.inFlight {
		result := <-stage.results
		if result.err != nil || result.response.Status != http.StatusOK {
			continue
		}
		if handle, err := exchange.parseHandle(result.call.prefill.Target, result.body); err == nil {
			exchange.releaseHandle(handle)
		}
	}
	stage.inFlight = nil
}

// end cancels a call and waits until its goroutine has ended.
func (call *prefillCall) end() {
	call.cancel()
	<-call.done
}

// Callers abandon a stream whose first event does not come within the longest
// of these: a fixed time, a multiple of the route's latency objective, and a
// multiple of its maximum gap between events.
const (
	minAbandonDelay          = 2 * time.Second
	abandonDelayPerObjective = 4
	abandonDelayPerGap       = 8
)

// checkPrefillDelay returns an error if the prompt is not expected to be
// prefilled within three quarters of the time that the caller waits.
func (exchange *exchange) checkPrefillDelay(prefill *place.Prefill) error {
	route := exchange.route
	limit := max(minAbandonDelay, abandonDelayPerObjective*route.LatencyObjective, abandonDelayPerGap*route.MaxEventGap)
	limit = min(limit, exchange.remaining()) * 3 / 4
	expected := time.Duration(prefill.ExpectedMS() * float64(time.Millisecond))
	if expected <= limit {
		return nil
	}
	return exchange.capacityError(code.TeamOverloaded, expected-limit/2)
}

// pauseRefusing keeps requests from an engine that refused to run one.
func (proxy *Proxy) pauseRefusing(target site.Target, info site.ResponseInfo) {
	if info.Misdirected {
		proxy.scheduler.PauseTarget(target.ID, misdirectedPause)
		return
	}
	if info.RetryAfter > 0 { // the engine has named its own pause
		return
	}
	proxy.scheduler.MarkRefused(target.ID)
}
