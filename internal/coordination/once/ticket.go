package once

import (
	"sync"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// Ticket is the permission to send one call. Its owner calls MarkSent before the
// first byte can reach a target, and finally either Finish or Abandon.
type Ticket struct {
	deduplicator *Deduplicator
	key          string // of the row, empty for a call without an idempotency key
	record       record
	claimedAt    time.Time

	mu    sync.Mutex
	sent  bool
	ended bool
}

func newTicket(deduplicator *Deduplicator, key string, record record) *Ticket {
	return &Ticket{deduplicator: deduplicator, key: key, record: record, claimedAt: time.Now()}
}

// MarkSent records that the call may have run from now on. It returns an error with
// code.StoreUnavailable if the ticket is older than the send timeout, and with
// code.Internal if the ticket has ended; the call must not be sent then.
func (ticket *Ticket) MarkSent() error {
	ticket.mu.Lock()
	defer ticket.mu.Unlock()
	if ticket.ended {
		return code.Errorf(code.Internal, "the ticket has ended")
	}
	if ticket.isStale() {
		return code.Errorf(code.StoreUnavailable, "the claim is too old to be sent")
	}
	ticket.sent = true
	return nil
}

// MarkNotSent undoes MarkSent. It may be called only if no target has run or will run
// the call, because the connection failed before the first byte or the target
// refused the call.
func (ticket *Ticket) MarkNotSent() {
	ticket.mu.Lock()
	defer ticket.mu.Unlock()
	ticket.sent = false
}

// Finish ends the ticket and stores the outcome in the background. The response
// may be sent to the caller at once. If the instance ends before the outcome is
// stored, repeats of the call get code.OutcomeUnknown.
func (ticket *Ticket) Finish(outcome Outcome) {
	if first, _ := ticket.end(); first && ticket.key != "" {
		ticket.deduplicator.queue.enqueueOutcome(ticket.key, ticket.record, outcome.withStoredHeaders(), ticket.deduplicator.settings)
	}
}

// Abandon ends the ticket without an outcome. If the call was not sent, the key
// is released in the background and can be claimed again. Otherwise repeats of
// the call get code.OutcomeUnknown.
func (ticket *Ticket) Abandon() {
	if first, sent := ticket.end(); first && !sent && ticket.key != "" {
		ticket.deduplicator.queue.enqueueRelease(ticket.key, ticket.record)
	}
}

// RunStatus returns code.NotRun before MarkSent and code.RunUnknown after it.
func (ticket *Ticket) RunStatus() code.RunStatus {
	ticket.mu.Lock()
	defer ticket.mu.Unlock()
	if ticket.sent {
		return code.RunUnknown
	}
	return code.NotRun
}

// isStale reports whether the send timeout has expired by the monotonic or the
// wall clock, since the monotonic clock may stop while the machine is suspended.
func (ticket *Ticket) isStale() bool {
	if ticket.key == "" {
		return false
	}
	now := time.Now()
	wall := time.Duration(now.UnixMilli()-ticket.record.ClaimedMS) * time.Millisecond
	return max(now.Sub(ticket.claimedAt), wall) > ticket.deduplicator.settings.sendTimeout
}

// end reports whether the ticket had not ended before, and whether the call was
// marked as sent.
func (ticket *Ticket) end() (first, sent bool) {
	ticket.mu.Lock()
	defer ticket.mu.Unlock()
	first = !ticket.ended
	ticket.ended = true
	return first, ticket.sent
}
