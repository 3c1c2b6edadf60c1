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
	// callTimeoutShare is the part of the route's objective after which a call
	// that may be repeated is retried on another target.
	callTimeoutShare = 0.6
	minCallTimeout   = 40 * time.Millisecond
)

// callOutcome is the result of one call to a target.
type callOutcome int

const (
	outcomeAnswered   callOutcome = iota // the caller has the answer, or the prompt is prefilled
	outcomeUnsent                        // never reached the target; the next call does not count as a retry
	outcomeNotRun                        // may be sent to another target
	outcomeMayHaveRun                    // no answer, and the target may have run the request
	outcomeFailed                        // the target ran the request and failed
)

// servePlain forwards a request to a plain service.
func (exchange *exchange) servePlain(ctx context.Context) {
	exchange.proxy.retryBudget(exchange.service.Name).Fresh()
	var tried []string
	var fallback *fallbackAnswer
	for {
		run, callsPerSlot, ok := exchange.proxy.placement.AssignCall(exchange.service.Name, tried)
		if !ok && len(tried) == 0 {
			exchange.refuse(exchange.capacityError(code.NoTarget, time.Second))
			return
		}
		if !ok || (callsPerSlot >= maxCallsPerSlot && len(tried) > 0) {
			if ok {
				exchange.proxy.placement.Release(&run)
			}
			exchange.endWithoutRetry(ctx, fallback)
			return
		}
		if callsPerSlot >= maxCallsPerSlot {
			exchange.proxy.placement.Release(&run)
			exchange.refuse(exchange.capacityError(code.TeamOverloaded, minRetryAfter))
			return
		}
		outcome, answer := exchange.callTarget(ctx, run)
		exchange.proxy.placement.Release(&run)
		if outcome == outcomeAnswered {
			return
		}
		if answer != nil {
			fallback = answer
		}
		tried = append(tried, run.Target.ID)
		if !exchange.canRetry(ctx, outcome, len(tried)) || !exchange.spendRetry(outcome) {
			exchange.endWithoutRetry(ctx, fallback)
			return
		}
	}
}

// fallbackAnswer is a target's own failure, which goes to the caller if no
// other target gives a better answer.
type fallbackAnswer struct {
	answer *back.Answer
	body   []byte
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
	return outcome == outcomeUnsent || exchange.proxy.retryBudget(exchange.service.Name).Spend(exchange.proxy.retrySlack())
}

// endWithoutRetry sends the fallback answer, or an error if there is none.
func (exchange *exchange) endWithoutRetry(ctx context.Context, fallback *fallbackAnswer) {
	if fallback != nil {
		exchange.deliver(fallback.answer, fallback.body)
		return
	}
	exchange.refuse(exchange.finalError(ctx, minRetryAfter))
}

// callTarget sends the request to one target. If the target answered with a
// failure of its own, it returns that too.
func (exchange *exchange) callTarget(ctx context.Context, run place.Assignment) (callOutcome, *fallbackAnswer) {
	callCtx, cancel := exchange.withCallTimeout(ctx)
	defer cancel()
	started := time.Now()
	answer, reply, err := exchange.send(callCtx, &site.Call{
		Target: run.Target, TimeRemaining: exchange.remaining(), Team: exchange.team.Name, Priority: exchange.urgency(),
	})
	if err != nil {
		return exchange.classifyNoAnswer(ctx, run.Target, err, started), nil
	}
	if reply.NotRun {
		discard(answer)
		exchange.recordCall(run.Target, "call", "not-run", started)
		if reply.Misdirected {
			exchange.proxy.placement.PauseTarget(run.Target.ID, movedPause)
		}
		return outcomeNotRun, nil
	}
	exchange.runs++
	exchange.countUsage()
	body, err := readBody(answer)
	event := health.Event{Target: run.Target.ID, FirstByte: time.Since(started), Expected: exchange.route.LatencyObjective / 4}
	switch {
	case err != nil || (answer.Status < http.StatusMultipleChoices && !exchange.isAuthentic(answer, reply)):
		event.Outcome = health.Failure
		exchange.proxy.reportHealth(event)
		exchange.recordCall(run.Target, "call", "broken", started)
		return outcomeFailed, nil
	case answer.Status >= http.StatusInternalServerError:
		event.Outcome = health.Failure
		exchange.proxy.reportHealth(event)
		exchange.recordCall(run.Target, "call", "failed", started)
		return outcomeFailed, &fallbackAnswer{answer: answer, body: body}
	}
	exchange.proxy.reportHealth(event)
	exchange.recordCall(run.Target, "call", "answered", started)
	exchange.deliver(answer, body)
	return outcomeAnswered, nil
}

// movedPause keeps requests from a target whose address now belongs to another
// target, until the target list shows the change.
const movedPause = 3 * time.Second

// classifyNoAnswer returns the outcome of a call that ended without an answer.
// A call that this instance cut short, because its caller has gone, is not
// held against the target's health.
func (exchange *exchange) classifyNoAnswer(ctx context.Context, target site.Target, err error, started time.Time) callOutcome {
	if !exchange.mayHaveReached(target, err) {
		exchange.recordCall(target, "call", "unreachable", started)
		return outcomeUnsent
	}
	exchange.runs++
	exchange.countUsage()
	exchange.recordCall(target, "call", "no-answer", started)
	if ctx.Err() == nil || exchange.remaining() <= 0 {
		exchange.proxy.reportHealth(health.Event{Target: target.ID, Outcome: health.Failure})
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
