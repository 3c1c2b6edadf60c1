package proxy

import (
	"context"
	"net/http"
	"time"

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
	// minRemaining is the time before the deadline from which a generation is
	// not sent to another engine.
	minRemaining = 50 * time.Millisecond
)

// serveGeneration forwards a request to model engines: one prefills the prompt,
// and another fetches its KV cache and decodes.
func (exchange *exchange) serveGeneration(ctx context.Context) {
	exchange.proxy.retryBudget(exchange.service.Name).CountRequest()
	stream := &stream{exchange: exchange, lastEventID: exchange.request.LastEventID}
	handle, prefiller, err := exchange.prefill(ctx)
	if err != nil {
		exchange.refuse(err)
		return
	}
	source := promptSource{handle: handle, prefiller: prefiller.Address}
	var tried []string
	for calls := 1; ; calls++ {
		from := prefiller.DataCenter
		assignment, ok := exchange.proxy.scheduler.AssignDecode(exchange.service.Name, exchange.request.Prompt, from, tried)
		if !ok && len(tried) > 0 {
			tried = nil
			assignment, ok = exchange.proxy.scheduler.AssignDecode(exchange.service.Name, exchange.request.Prompt, from, nil)
		}
		if !ok {
			exchange.releaseHandle(source.handle)
			exchange.refuse(exchange.finalError(ctx, time.Second))
			return
		}
		outcome := exchange.decode(ctx, assignment, source, stream)
		exchange.proxy.scheduler.Release(&assignment)
		if outcome == outcomeSucceeded {
			return
		}
		// A call that was sent uses up the handle. The next engine fetches what
		// the prefill engine still has in its prefix cache, and prefills the
		// rest itself.
		if outcome != outcomeUnsent {
			source.handle = nil
		}
		tried = append(tried, assignment.Target.ID)
		if !exchange.canContinue(ctx, outcome, calls) {
			exchange.releaseHandle(source.handle)
			exchange.refuse(exchange.finalError(ctx, time.Second))
			return
		}
	}
}

// canContinue reports whether a generation may be sent to one more engine, and
// takes that retry from the service's budget.
func (exchange *exchange) canContinue(ctx context.Context, outcome callOutcome, calls int) bool {
	if ctx.Err() != nil || calls >= maxCalls || exchange.remaining() < minRemaining {
		return false
	}
	repeatable := outcome == outcomeUnsent || outcome == outcomeNotRun || (exchange.route.Resumable && exchange.runs < exchange.route.MaxAttempts)
	return repeatable && exchange.spendRetry(outcome)
}

// finalError returns the error of a request that is not retried. RetryAfter is
// the retry delay, before jitter, that the caller gets if no target ran the
// request.
func (exchange *exchange) finalError(ctx context.Context, retryAfter time.Duration) error {
	run := code.NotRun
	if exchange.runs > 0 {
		run = code.RunUnknown
	}
	if err := exchange.contextError(ctx, run); err != nil {
		return err
	}
	if exchange.runs > 0 {
		return code.Errorf(code.TargetFailed, "no target gave a complete answer")
	}
	return exchange.capacityError(code.NoTarget, retryAfter)
}

// promptSource is where a decode engine fetches the KV cache of a prompt.
type promptSource struct {
	handle    *site.KVHandle // nil if none is valid
	prefiller string         // address of the engine that prefilled the prompt, empty if none did
}

// prefill has an engine prefill the prompt, and returns the handle and that
// engine. If no engine does, the handle is nil and the decode engine prefills
// the prompt itself. Errors are those that the caller gets.
func (exchange *exchange) prefill(ctx context.Context) (*site.KVHandle, site.Target, error) {
	proxy := exchange.proxy
	var tried []string
	for sent := 0; sent < maxPrefills && len(tried) < maxCalls; {
		prefill, ok := proxy.scheduler.ChoosePrefill(exchange.service.Name, exchange.request.Prompt, exchange.priority(), tried)
		if !ok {
			return nil, site.Target{}, nil
		}
		exchange.expectedWaitMS, exchange.workMS, exchange.lowerPriorityMS = prefill.WaitMS, prefill.WorkMS, prefill.LowerPriorityMS
		exchange.cachedTokens, exchange.fetchedTokens = prefill.CachedTokens, prefill.FetchTokens
		if err := exchange.checkPrefillDelay(&prefill); err != nil && len(tried) == 0 {
			return nil, site.Target{}, err
		}
		proxy.scheduler.BeginPrefill(&prefill)
		handle, outcome := exchange.prefillAt(ctx, &prefill)
		proxy.scheduler.EndPrefill(&prefill, outcome == outcomeSucceeded)
		if outcome == outcomeSucceeded {
			return handle, prefill.Target, nil
		}
		tried = append(tried, prefill.Target.ID)
		if err := exchange.contextError(ctx, code.NotRun); err != nil {
			return nil, site.Target{}, err
		}
		if outcome != outcomeUnsent {
			sent++
		}
		if !exchange.spendRetry(outcome) {
			return nil, site.Target{}, exchange.capacityError(code.NoTarget, time.Second)
		}
	}
	return nil, site.Target{}, nil
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

// prefillAt has one engine prefill the prompt. A prefill without a response is
// outcomeNotRun, since repeating it is safe.
func (exchange *exchange) prefillAt(ctx context.Context, prefill *place.Prefill) (*site.KVHandle, callOutcome) {
	proxy := exchange.proxy
	timeout := time.Duration(prefillTimeoutFactor*prefill.ExpectedMS()*float64(time.Millisecond)) + prefillTimeoutMargin
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	target := prefill.Target
	response, info, err := exchange.send(ctx, &site.Call{
		Target: target, TimeRemaining: exchange.remaining(), Team: exchange.team.Name,
		Priority: exchange.priority(), PrefillOnly: true, KVFetchAddress: prefill.SourceAddress,
	})
	if err != nil {
		proxy.reportHealth(health.Observation{Target: target.ID, Outcome: health.Failure})
		if !exchange.mayHaveReached(target, err) {
			exchange.recordFailedCall(target, "prefill", "unreachable", err, started)
			return nil, outcomeUnsent
		}
		exchange.recordFailedCall(target, "prefill", "no-answer", err, started)
		return nil, outcomeNotRun
	}
	body, err := readBody(response)
	if err != nil || response.Status != http.StatusOK {
		exchange.recordCall(target, "prefill", "refused", started)
		if info.NotRun {
			proxy.pauseRefusing(target, info)
		} else {
			proxy.reportHealth(health.Observation{Target: target.ID, Outcome: health.Failure})
		}
		return nil, outcomeNotRun
	}
	proxy.scheduler.MarkAccepted(target.ID)
	handle, err := proxy.codec.ParseKVHandle(target.Address, body)
	if err != nil {
		exchange.recordCall(target, "prefill", "broken", started)
		proxy.reportHealth(health.Observation{Target: target.ID, Outcome: health.Failure})
		return nil, outcomeNotRun
	}
	proxy.reportHealth(health.Observation{
		Target: target.ID, TTFB: time.Since(started),
		ExpectedTTFB: time.Duration(prefill.ExpectedMS() * float64(time.Millisecond)),
	})
	exchange.recordCall(target, "prefill", "read", started)
	return handle, outcomeSucceeded
}

// pauseRefusing keeps requests from an engine that refused to run one.
func (proxy *Proxy) pauseRefusing(target site.Target, info site.ResponseInfo) {
	if info.Misdirected {
		proxy.scheduler.PauseTarget(target.ID, misdirectedPause)
		return
	}
	proxy.scheduler.MarkRefused(target.ID)
}

// decode has one engine decode, and forwards the events to the caller.
func (exchange *exchange) decode(ctx context.Context, assignment place.Assignment, source promptSource, stream *stream) callOutcome {
	proxy := exchange.proxy
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := time.Now()
	watchdog := stream.startWatchdog(cancel)
	defer watchdog.Stop()
	call := &site.Call{
		Target: assignment.Target, TimeRemaining: exchange.remaining(), Team: exchange.team.Name,
		Priority: exchange.priority(), KVSource: source.handle, LastEventID: stream.lastEventID,
	}
	if source.handle == nil {
		call.KVFetchAddress = source.prefiller
	}
	response, info, err := exchange.send(ctx, call)
	if err != nil {
		outcome := exchange.classifyNoStream(assignment.Target, err, started)
		if outcome != outcomeUnsent {
			exchange.releaseHandle(source.handle)
		}
		return outcome
	}
	if info.NotRun {
		discard(response)
		exchange.releaseHandle(source.handle)
		exchange.recordCall(assignment.Target, "decode", "not-run", started)
		proxy.pauseRefusing(assignment.Target, info)
		return outcomeNotRun
	}
	proxy.scheduler.MarkAccepted(assignment.Target.ID)
	exchange.runs++
	exchange.countUsage()
	if response.Status != http.StatusOK {
		return exchange.handleErrorResponse(response, assignment.Target, started)
	}
	if !exchange.isAuthentic(response, info) {
		_ = response.Body.Close()
		exchange.recordCall(assignment.Target, "decode", "broken", started)
		proxy.reportHealth(health.Observation{Target: assignment.Target.ID, Outcome: health.Failure})
		return outcomeFailed
	}
	observation := health.Observation{Target: assignment.Target.ID}
	outcome := stream.forward(response, watchdog)
	if outcome != outcomeSucceeded {
		observation.Outcome = health.Failure
	}
	exchange.recordFailedCall(assignment.Target, "decode", stream.endReason, stream.endErr, started)
	if stream.callerGone {
		exchange.refuse(code.Errorf(code.CallerGone, "the caller closed the connection"))
	}
	proxy.reportHealth(observation)
	return outcome
}

// handleErrorResponse sends an engine's error to the caller, unless the caller
// has the header of a response already or the route allows one more run.
func (exchange *exchange) handleErrorResponse(response *back.Response, target site.Target, started time.Time) callOutcome {
	body, err := readBody(response)
	exchange.recordCall(target, "decode", "failed", started)
	if response.Status >= http.StatusInternalServerError {
		exchange.proxy.reportHealth(health.Observation{Target: target.ID, Outcome: health.Failure})
	}
	if err != nil || exchange.headerSent || (exchange.route.Resumable && exchange.runs < exchange.route.MaxAttempts) {
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

// maxCleanups bounds the calls under way that release prompts. Beyond it, a
// prompt stays with its engine until the engine releases it by itself.
const maxCleanups = 8

// cleanupTimeout bounds one call that releases a prompt.
const cleanupTimeout = time.Second

// releaseHandle has an engine release a prefilled prompt that no engine will
// fetch. The call runs in the background.
func (exchange *exchange) releaseHandle(handle *site.KVHandle) {
	if handle == nil {
		return
	}
	proxy := exchange.proxy
	select {
	case proxy.cleanupSlots <- struct{}{}:
	default:
		return
	}
	proxy.cleanups.Add(1)
	go func() {
		defer proxy.cleanups.Done()
		defer func() { <-proxy.cleanupSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
		defer cancel()
		response, err := proxy.client.Do(ctx, &back.Call{
			Address: handle.Address, Method: http.MethodDelete, Path: proxy.codec.KVHandlePath(handle.ID), ReuseConnection: true,
		})
		if err == nil {
			discard(response)
		}
	}()
}
