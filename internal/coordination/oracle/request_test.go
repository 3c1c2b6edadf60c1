package oracle_test

import (
	"fmt"
	"time"

	"mangopier.example/mangopier/internal/coordination/once"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
)

// withdrawBound is the time after which no instance takes a withdrawn key,
// but for those that the rule of the feed does not cover: see excuse.
const withdrawBound = 6 * time.Second

// storeBound is the time after which an instance that reaches the store again
// has read the newest note.
const storeBound = 3 * time.Second

// accepts reports whether the instance takes a request with a key now.
func (life *life) accepts(key string) bool {
	if life.feed.CheckServing() != nil {
		return false
	}
	_, ok := life.feed.Catalog().Keys[note.KeyDigest(key)]
	return ok
}

// checkKey checks a request with a key at an instance that runs.
func (world *world) checkKey(life *life, key string) {
	accepted := life.accepts(key)
	world.mu.Lock()
	defer world.mu.Unlock()
	withdrawn, ok := world.model.withdraw[key]
	since := withdrawn
	if life.excused.After(since) {
		since = life.excused
	}
	if ok && accepted && time.Since(since) > withdrawBound {
		world.fail("withdrawn key accepted", "%s takes %s after %v", life.id, key, time.Since(since))
	}
}

// excuse notes the instances that may serve an old note: those that lost the
// store together with more than half of the instances, none of which can know
// the newest note yet. The caller holds the lock.
func (world *world) excuse() {
	alive := world.aliveLocked()
	for _, life := range alive {
		if life.paused() || world.storeLost(life.id) {
			life.lost = time.Now()
		}
	}
	for _, life := range alive {
		group, informed := 1, world.informed(life)
		for _, peer := range alive {
			if peer == life || peer.paused() || !world.reaches(life.id, peer.id) {
				continue
			}
			group++
			informed = informed || world.informed(peer)
		}
		if !life.paused() && group*2 > len(alive) && !informed {
			life.excused = time.Now()
		}
	}
}

// informed reports whether an instance knows the newest note, or has had the
// store for long enough to know it.
func (world *world) informed(life *life) bool {
	newest := uint64(len(world.model.notes))
	return life.feed.Number() >= newest || time.Since(life.lost) > storeBound
}

func (world *world) storeLost(id string) bool {
	return world.down || world.slow > 0 || world.storeCut[id]
}

// noAnswer is what the caller of a killed instance gets.
const noAnswer = "no answer"

// call makes one attempt of a call that may run at most once.
func (life *life) call(key int) string {
	world := life.world
	if life.gate() != nil {
		return noAnswer
	}
	call := once.Call{
		Team: "press", IdempotencyKey: fmt.Sprint("job-", key), Method: "POST", Path: "/print-orders", Body: []byte("body"),
	}
	before := world.attempt(life, call.IdempotencyKey)
	ticket, outcome, err := life.guard.Begin(life.ctx, call)
	if life.gate() != nil {
		return noAnswer
	}
	switch {
	case err != nil:
		return world.checkRefusal(life, call.IdempotencyKey, before, code.RunStatusFromError(err), err)
	case outcome != nil:
		world.checkOutcome(life, call.IdempotencyKey, string(outcome.Body))
		return "stored answer"
	default:
		return life.sendCall(ticketOf{ticket, call.IdempotencyKey, before})
	}
}

// ticketOf is a ticket with what was known of its key before.
type ticketOf struct {
	ticket *once.Ticket
	key    string
	before attempt
}

// attempt is what was so when an attempt of a call began.
type attempt struct {
	runs    int // of the key
	at      time.Time
	ran     bool // this attempt
	storeUp bool
}

// sendCall sends the call of a ticket to the service.
func (life *life) sendCall(call ticketOf) string {
	world, ticket := life.world, call.ticket
	if err := ticket.MarkSent(); err != nil {
		ticket.Abandon()
		return world.checkRefusal(life, call.key, call.before, code.RunStatusFromError(err), err)
	}
	if life.gate() != nil {
		return noAnswer
	}
	life.step("before call")
	if life.gate() != nil {
		return noAnswer
	}
	answer, fate := world.serve(life, call.key)
	life.step("after call")
	call.before.ran = answer != ""
	if life.gate() != nil {
		return noAnswer
	}
	switch fate {
	case arrives:
		ticket.Finish(once.Outcome{Status: 200, Body: []byte(answer)})
		return "answer"
	case refused, connectFailed:
		ticket.MarkNotSent()
		ticket.Abandon()
		return world.checkRefusal(life, call.key, call.before, ticket.RunStatus(), fate)
	default:
		ticket.Abandon()
		return world.checkRefusal(life, call.key, call.before, ticket.RunStatus(), fate)
	}
}

// serve is the service: it runs what it gets, as often as it gets it.
func (world *world) serve(life *life, key string) (answer string, how fate) {
	world.mu.Lock()
	defer world.mu.Unlock()
	how = world.takeFate("service")
	if life.dead() || how == refused || how == connectFailed || how == neverArrives {
		return "", how
	}
	runs := world.model.runs[key]
	answer = fmt.Sprintf("%s run %d", key, len(runs)+1)
	world.model.runs[key] = append(runs, answer)
	if len(runs) > 0 {
		world.fail("ran twice", "%s by %s", key, life.id)
	}
	return answer, how
}

func (world *world) attempt(life *life, key string) attempt {
	world.mu.Lock()
	defer world.mu.Unlock()
	return attempt{runs: len(world.model.runs[key]), at: time.Now(), storeUp: !world.storeLost(life.id)}
}

// checkRefusal requires of a refusal that says "not run" that the attempt did
// not run, and no earlier one with its key if the store could be asked.
func (world *world) checkRefusal(life *life, key string, attempt attempt, run code.RunStatus, why any) string {
	world.mu.Lock()
	defer world.mu.Unlock()
	asked := attempt.storeUp && !world.storeLost(life.id) && time.Since(attempt.at) < time.Second
	if run == code.NotRun && (attempt.ran || attempt.runs > 0 && asked) {
		world.fail("not-run is false", "%s says so of %s, which ran: %v", life.id, key, why)
	}
	return run.String()
}

func (world *world) checkOutcome(life *life, key, answer string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	runs := world.model.runs[key]
	if len(runs) != 1 || runs[0] != answer {
		world.fail("wrong outcome", "%s answers %q for %s, which gave %q", life.id, answer, key, runs)
	}
}

func (world *world) runsOf(key string) int {
	world.mu.Lock()
	defer world.mu.Unlock()
	return len(world.model.runs[key])
}
