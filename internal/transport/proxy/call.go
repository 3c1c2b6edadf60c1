package proxy

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
)

const (
	// maxCallsPerSlot is the number of calls in flight per slot of the least
	// loaded target from which a call is refused: it would wait for three
	// others.
	maxCallsPerSlot = 4.0
	// callTimeoutShare is the part of the route's latency objective after which
	// another target is called too, if the request may run more than once.
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
	calls := &plainCalls{exchange: exchange, results: make(chan callResult, maxCalls)}
	defer calls.stop()
	if err := calls.start(ctx); err != nil {
		exchange.refuse(err)
		return
	}
	if !calls.wait(ctx) {
		exchange.endWithoutRetry(ctx, calls.fallback)
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
	if outcome == outcomeUnsent {
		return true
	}
	if !exchange.proxy.retryBudget(exchange.service.Name).Spend(exchange.proxy.extraRetries()) {
		return false
	}
	exchange.spentRetries++
	return true
}

// endWithoutRetry sends the fallback response, or an error if there is none.
func (exchange *exchange) endWithoutRetry(ctx context.Context, fallback *fallbackResponse) {
	if fallback != nil {
		exchange.deliver(fallback.response, fallback.body)
		return
	}
	exchange.refuse(exchange.finalError(ctx, minRetryAfter))
}

// misdirectedPause keeps requests from a target whose address now belongs to
// another target, until the target list shows the change.
const misdirectedPause = 3 * time.Second

// classifyNoResponse returns the outcome of a call that ended without a
// response. A call that this instance cut short, because its caller has gone,
// is not counted as a failure of the target.
func (exchange *exchange) classifyNoResponse(ctx context.Context, target site.Target, err error, call *plainCall) callOutcome {
	if !exchange.mayHaveReached(target, err) {
		exchange.recordFailedCall(target, call.stage(), "unreachable", err, call.started)
		return outcomeUnsent
	}
	exchange.runs++
	exchange.recordFailedCall(target, call.stage(), "no-answer", err, call.started)
	if call.peer != "" {
		return outcomeMayHaveRun
	}
	exchange.countUsage()
	if !call.slow && (ctx.Err() == nil || exchange.remaining() <= 0) {
		exchange.proxy.reportHealth(health.Observation{Target: target.ID, Outcome: health.Failure})
	}
	return outcomeMayHaveRun
}
