package once

import (
	"sync"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// Ticket is the licence to send one call. Its owner calls Sent before the
// first byte can reach a target, and at the end either Finish or Abandon.
type Ticket struct {
	guard  *Guard
	key    string // empty for a call without an idempotency key
	record record
	since  time.Time

	mu    sync.Mutex
	sent  bool
	ended bool
}

func newTicket(guard *Guard, key string, record record) *Ticket {
	return &Ticket{guard: guard, key: key, record: record, since: time.Now()}
}

// Sent marks the point after which the call may have run. It refuses a ticket
// that is older than the send timeout, with code.StoreUnavailable, and one
// that has ended, with code.Internal; the call must not be sent then.
func (ticket *Ticket) Sent() error {
	ticket.mu.Lock()
	defer ticket.mu.Unlock()
	if ticket.ended {
		return code.Errorf(code.Internal, "the ticket has ended")
	}
	if ticket.stale() {
		return code.Errorf(code.StoreUnavailable, "the claim is too old to be sent")
	}
	ticket.sent = true
	return nil
}

// Retract takes Sent back. Its caller knows that no target has run or will run
// the call, since the connection failed before the first byte or the target
// refused the call.
func (ticket *Ticket) Retract() {
	ticket.mu.Lock()
	defer ticket.mu.Unlock()
	ticket.sent = false
}

// Finish stores the outcome in the background. The answer may go to the caller
// at once; if the instance ends before the store takes the outcome, repeats of
// the call get code.OutcomeUnknown.
func (ticket *Ticket) Finish(outcome Outcome) {
	if first, _ := ticket.end(); first && ticket.key != "" {
		ticket.guard.jobs.finish(ticket.key, ticket.record, outcome.subset(), ticket.guard.settings)
	}
}

// Abandon ends a ticket without an outcome. If nothing was sent, the key is
// released in the background and may be used again. Otherwise repeats of the
// call get code.OutcomeUnknown.
func (ticket *Ticket) Abandon() {
	if first, sent := ticket.end(); first && !sent && ticket.key != "" {
		ticket.guard.jobs.release(ticket.key, ticket.record)
	}
}

// Run tells what is known of the call: code.NotRun before Sent, and
// code.RunUnknown after it.
func (ticket *Ticket) Run() code.Run {
	ticket.mu.Lock()
	defer ticket.mu.Unlock()
	if ticket.sent {
		return code.RunUnknown
	}
	return code.NotRun
}

// stale compares both clocks, since the monotonic one may stand still while
// the machine is suspended.
func (ticket *Ticket) stale() bool {
	if ticket.key == "" {
		return false
	}
	now := time.Now()
	wall := time.Duration(now.UnixMilli()-ticket.record.ClaimedMS) * time.Millisecond
	return max(now.Sub(ticket.since), wall) > ticket.guard.settings.sendTimeout
}

// end tells whether this is the first end of the ticket, and whether the call
// was sent.
func (ticket *Ticket) end() (first, sent bool) {
	ticket.mu.Lock()
	defer ticket.mu.Unlock()
	first = !ticket.ended
	ticket.ended = true
	return first, ticket.sent
}
