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
	// crowdMost is the number of calls per slot of the emptiest target beyond
	// which a call is refused: it would wait for three others.
	crowdMost = 4.0
	// patienceShare is the part of the objective after which a call that may
	// be repeated is tried elsewhere.
	patienceShare = 0.6
	leastPatience = 40 * time.Millisecond
)

// verdict is what became of one try.
type verdict int

const (
	answered verdict = iota // the caller has the answer
	unsent                  // never reached the target; another call is no extra one
	notRun                  // may be sent elsewhere
	mayHaveRun
	failed // the target ran it and failed
)

// call sends a request to a plain service.
func (exchange *exchange) call(ctx context.Context) {
	exchange.proxy.budget(exchange.service.Name).Fresh()
	var tried []string
	var kept *kept
	for {
		run, crowd, ok := exchange.proxy.book.Call(exchange.service.Name, tried)
		if !ok && len(tried) == 0 {
			exchange.refuse(exchange.noRoom(code.NoTarget, time.Second))
			return
		}
		if !ok || (crowd >= crowdMost && len(tried) > 0) {
			if ok {
				exchange.proxy.book.Ended(&run)
			}
			exchange.conclude(ctx, kept)
			return
		}
		if crowd >= crowdMost {
			exchange.proxy.book.Ended(&run)
			exchange.refuse(exchange.noRoom(code.TeamOverloaded, leastRetryAfter))
			return
		}
		outcome, answer := exchange.try(ctx, run)
		exchange.proxy.book.Ended(&run)
		if outcome == answered {
			return
		}
		if answer != nil {
			kept = answer
		}
		tried = append(tried, run.Target.ID)
		if !exchange.mayRepeat(ctx, outcome, len(tried)) || !exchange.afford(outcome) {
			exchange.conclude(ctx, kept)
			return
		}
	}
}

// kept is an answer that is given to the caller if no better one comes.
type kept struct {
	answer *back.Answer
	body   []byte
}

// mostTries bounds the calls of one request, those included that were not run.
const mostTries = 4

// mayRepeat reports whether a request may be sent to one more target.
func (exchange *exchange) mayRepeat(ctx context.Context, outcome verdict, tries int) bool {
	if ctx.Err() != nil || tries >= mostTries {
		return false
	}
	if outcome == notRun || outcome == unsent {
		return true
	}
	return exchange.route.Kind == site.Safe && exchange.runs < exchange.route.Attempts
}

// afford reports whether the budget allows one more call after a try, and takes
// that call from it.
func (exchange *exchange) afford(outcome verdict) bool {
	return outcome == unsent || exchange.proxy.budget(exchange.service.Name).Spend(exchange.proxy.slack())
}

// conclude ends a request that is not tried again.
func (exchange *exchange) conclude(ctx context.Context, kept *kept) {
	if kept != nil {
		exchange.deliver(kept.answer, kept.body)
		return
	}
	exchange.refuse(exchange.stopped(ctx, leastRetryAfter))
}

// try sends the request to one target. If the target failed with an answer of
// its own, that is returned.
func (exchange *exchange) try(ctx context.Context, run place.Run) (verdict, *kept) {
	tryCtx, cancel := exchange.patience(ctx)
	defer cancel()
	begun := time.Now()
	answer, reply, err := exchange.send(tryCtx, &site.Call{
		Target: run.Target, Remaining: exchange.remaining(), Team: exchange.team.Name, Urgency: exchange.urgency(),
	})
	if err != nil {
		return exchange.unanswered(ctx, run.Target, err, begun), nil
	}
	if reply.NotRun {
		drop(answer)
		exchange.note(run.Target, "call", "not-run", begun)
		if reply.Moved {
			exchange.proxy.book.Pause(run.Target.ID, movedPause)
		}
		return notRun, nil
	}
	exchange.runs++
	exchange.count()
	body, err := readAll(answer)
	event := health.Event{Target: run.Target.ID, FirstByte: time.Since(begun), Expected: exchange.route.Objective / 4}
	switch {
	case err != nil || (answer.Status < http.StatusMultipleChoices && !exchange.sound(answer, reply)):
		event.Outcome = health.Failure
		exchange.proxy.observe(event)
		exchange.note(run.Target, "call", "broken", begun)
		return failed, nil
	case answer.Status >= http.StatusInternalServerError:
		event.Outcome = health.Failure
		exchange.proxy.observe(event)
		exchange.note(run.Target, "call", "failed", begun)
		return failed, &kept{answer: answer, body: body}
	}
	exchange.proxy.observe(event)
	exchange.note(run.Target, "call", "answered", begun)
	exchange.deliver(answer, body)
	return answered, nil
}

// movedPause keeps work from a target whose address another one has, until the
// list says so too.
const movedPause = 3 * time.Second

// unanswered judges a call without an answer.
func (exchange *exchange) unanswered(ctx context.Context, target site.Target, err error, begun time.Time) verdict {
	if !exchange.lost(target, err) {
		exchange.note(target, "call", "unreachable", begun)
		return unsent
	}
	exchange.runs++
	exchange.count()
	exchange.note(target, "call", "no-answer", begun)
	if ctx.Err() == nil || exchange.remaining() <= 0 {
		exchange.proxy.observe(health.Event{Target: target.ID, Outcome: health.Failure})
	}
	return mayHaveRun
}

// patience bounds a try that may be followed by another.
func (exchange *exchange) patience(ctx context.Context) (context.Context, context.CancelFunc) {
	if exchange.route.Kind != site.Safe || exchange.runs+1 >= exchange.route.Attempts {
		return context.WithCancel(ctx)
	}
	patience := time.Duration(patienceShare * float64(exchange.route.Objective))
	return context.WithTimeout(ctx, max(leastPatience, patience))
}
