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
	// maxCallsPerSlot is the number of calls in flight per slot of the least
	// loaded target from which a call is refused: it would wait for three
	// others.
	maxCallsPerSlot = 4.0
	// callTimeoutShare is the part of the route's latency objective after which
	// a call that may be repeated is retried on another target.
	callTimeoutShare = 0.6
	minCallTimeout   = 40 * time.Millisecond
)

// callOutcome is the result of one call to a target.
type callOutcome int

const (
	outcomeSucceeded  callOutcome = iota // the caller has the response, or the prompt is prefilled
	outcomeUnsent                        // never reached the target; the next call does not count as a retry
	outcomeNotRun                        // may be sent to another target
	outcomeMayHaveRun                    // no response, and the target may have run the request
	outcomeFailed                        // the target ran the request and failed
	outcomeOpened                        // the response has begun
)

// servePlain forwards a request to a plain service.
func (exchange *exchange) servePlain(ctx context.Context) {
	exchange.proxy.retryBudget(exchange.service.Name).CountRequest()
	var tried []string
	var fallback *fallbackResponse
	for {
		assignment, callsPerSlot, ok := exchange.proxy.scheduler.AssignCall(exchange.service.Name, tried)
		if !ok && len(tried) == 0 {
			exchange.refuse(exchange.capacityError(code.NoTarget, time.Second))
			return
		}
		if !ok || (callsPerSlot >= maxCallsPerSlot && len(tried) > 0) {
			if ok {
				exchange.proxy.scheduler.Release(&assignment)
			}
			exchange.endWithoutRetry(ctx, fallback)
			return
		}
		if callsPerSlot >= maxCallsPerSlot {
			exchange.proxy.scheduler.Release(&assignment)
			exchange.refuse(exchange.capacityError(code.TeamOverloaded, minRetryAfter))
			return
		}
		outcome, response := exchange.callTarget(ctx, assignment)
		exchange.proxy.scheduler.Release(&assignment)
		if outcome == outcomeSucceeded {
			return
		}
		if response != nil {
			fallback = response
		}
		tried = append(tried, assignment.Target.ID)
		if !exchange.canRetry(ctx, outcome, len(tried)) || !exchange.spendRetry(outcome) {
			exchange.endWithoutRetry(ctx, fallback)
			return
		}
	}
}

// fallbackResponse is a target's own error response, which goes to the caller if no
// other target gives a better response.
type fallbackResponse struct {
	response *back.Response
	body     []byte
}

// maxCalls bounds the calls of one request, or of one of its stages, including
// those that were not run.
const maxCalls = 4

// canRetry reports whether the route and the deadline allow one more call.
func (exchange *exchange) canRetry(ctx context.Context, outcome callOutcome, calls int) bool {
	if ctx.Err() != nil || calls >= maxCalls {
		return false
	}
	if outcome == outcomeNotRun || outcome == outcomeUnsent {
		return true
	}
	return exchange.route.Kind == site.Safe && exchange.runs < exchange.route.MaxAttempts
}

// spendRetry takes one retry from the service's budget and reports whether it
// was available. After a call that was not sent, none is needed.
func (exchange *exchange) spendRetry(outcome callOutcome) bool {
	return outcome == outcomeUnsent || exchange.proxy.retryBudget(exchange.service.Name).Spend(exchange.proxy.extraRetries())
}

// endWithoutRetry sends the fallback response, or an error if there is none.
func (exchange *exchange) endWithoutRetry(ctx context.Context, fallback *fallbackResponse) {
	if fallback != nil {
		exchange.deliver(fallback.response, fallback.body)
		return
	}
	exchange.refuse(exchange.finalError(ctx, minRetryAfter))
}

// callTarget sends the request to one target. If the target responded with an
// error of its own, it returns that too.
func (exchange *exchange) callTarget(ctx context.Context, assignment place.Assignment) (callOutcome, *fallbackResponse) {
	callCtx, cancel := exchange.withCallTimeout(ctx)
	defer cancel()
	started := time.Now()
	response, info, err := exchange.send(callCtx, &site.Call{
		Target: assignment.Target, TimeRemaining: exchange.remaining(), Team: exchange.team.Name, Priority: exchange.priority(),
	})
	if err != nil {
		return exchange.classifyNoResponse(ctx, assignment.Target, err, started), nil
	}
	if info.NotRun {
		discard(response)
		exchange.recordCall(assignment.Target, "call", "not-run", started)
		if info.Misdirected {
			exchange.proxy.scheduler.PauseTarget(assignment.Target.ID, misdirectedPause)
		}
		return outcomeNotRun, nil
	}
	exchange.runs++
	exchange.countUsage()
	body, err := readBody(response)
	observation := health.Observation{Target: assignment.Target.ID, TTFB: time.Since(started), ExpectedTTFB: exchange.route.LatencyObjective / 4}
	switch {
	case err != nil || (response.Status < http.StatusMultipleChoices && !exchange.isAuthentic(response, info)):
		observation.Outcome = health.Failure
		exchange.proxy.reportHealth(observation)
		exchange.recordFailedCall(assignment.Target, "call", "broken", err, started)
		return outcomeFailed, nil
	case response.Status >= http.StatusInternalServerError:
		observation.Outcome = health.Failure
		exchange.proxy.reportHealth(observation)
		exchange.recordCall(assignment.Target, "call", "failed", started)
		return outcomeFailed, &fallbackResponse{response: response, body: body}
	}
	exchange.proxy.reportHealth(observation)
	exchange.recordCall(assignment.Target, "call", "answered", started)
	exchange.deliver(response, body)
	return outcomeSucceeded, nil
}

// misdirectedPause keeps requests from a target whose address now belongs to
// another target, until the target list shows the change.
const misdirectedPause = 3 * time.Second

// classifyNoResponse returns the outcome of a call that ended without a
// response. A call that this instance cut short, because its caller has gone,
// is not counted as a failure of the target.
func (exchange *exchange) classifyNoResponse(ctx context.Context, target site.Target, err error, started time.Time) callOutcome {
	if !exchange.mayHaveReached(target, err) {
		exchange.recordFailedCall(target, "call", "unreachable", err, started)
		return outcomeUnsent
	}
	exchange.runs++
	exchange.countUsage()
	exchange.recordFailedCall(target, "call", "no-answer", err, started)
	if ctx.Err() == nil || exchange.remaining() <= 0 {
		exchange.proxy.reportHealth(health.Observation{Target: target.ID, Outcome: health.Failure})
	}
	return outcomeMayHaveRun
}

// withCallTimeout returns the context of one call. It ends early only if the
// request may be run again on another target.
func (exchange *exchange) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if exchange.route.Kind != site.Safe || exchange.runs+1 >= exchange.route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	timeout := time.Duration(callTimeoutShare * float64(exchange.route.LatencyObjective))
	return context.WithTimeout(ctx, max(minCallTimeout, timeout))
}
