package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
)

const (
	// prefillTimeoutFactor is how many times the expected delay an engine gets
	// to prefill a prompt, plus prefillTimeoutMargin, before another is asked.
	prefillTimeoutFactor = 3.0
	prefillTimeoutMargin = 300 * time.Millisecond
	// maxPrefills bounds the engines to which one prompt is sent for prefill.
	maxPrefills = 2
)

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
		call := &prefillCall{exchange: exchange, prefill: &prefill}
		handle, outcome := call.do(ctx)
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
		if !call.retryPaid.Load() && !exchange.spendRetry(outcome) {
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

// prefillCall is a call that has one engine prefill a prompt.
type prefillCall struct {
	exchange  *exchange
	prefill   *place.Prefill
	retryPaid atomic.Bool // the call was cancelled, and its retry taken from the budget
}

// cancelSlow cancels the call once it takes much longer than expected, if the retry
// budget allows to ask another engine. The returned function stops that.
func (call *prefillCall) cancelSlow(cancel context.CancelFunc) (stop func()) {
	timeout := time.Duration(prefillTimeoutFactor*call.prefill.ExpectedMS()*float64(time.Millisecond)) + prefillTimeoutMargin
	var timer *time.Timer
	assigned := make(chan struct{}) // closed when timer may be read
	timer = time.AfterFunc(timeout, func() {
		<-assigned
		if call.exchange.spendRetry(outcomeNotRun) {
			call.retryPaid.Store(true)
			cancel()
			return
		}
		timer.Reset(prefillTimeoutMargin)
	})
	close(assigned)
	return func() { timer.Stop() }
}

// do sends the call. A prefill without a response is outcomeNotRun, since repeating
// it is safe.
func (call *prefillCall) do(ctx context.Context) (*site.KVHandle, callOutcome) {
	exchange, prefill := call.exchange, call.prefill
	proxy := exchange.proxy
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer call.cancelSlow(cancel)()
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
