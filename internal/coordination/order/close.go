package order

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// closeAnswered closes the tickets of attempts as they come, several in one
// transaction, until the channel is closed.
func (issuer *Issuer) closeAnswered(ctx context.Context, answered <-chan *attempt) {
	for {
		batch := issuer.collect(answered)
		if len(batch) == 0 {
			return
		}
		issuer.closeBatch(ctx, batch)
	}
}

// collect waits for an attempt and returns it with those that follow within
// the flush interval. It returns none once the channel is closed.
func (issuer *Issuer) collect(answered <-chan *attempt) []*attempt {
	first, ok := <-answered
	if !ok {
		return nil
	}
	batch := []*attempt{first}
	flush := time.NewTimer(flushInterval)
	defer flush.Stop()
	for len(batch) < issuer.options.batch {
		select {
		case next, ok := <-answered:
			if !ok {
				return batch
			}
			batch = append(batch, next)
		case <-flush.C:
			return batch
		}
	}
	return batch
}

func (issuer *Issuer) closeBatch(ctx context.Context, batch []*attempt) {
	issuer.each(batch, func(attempt *attempt) {
		attempt.closing = issuer.closing(ctx, attempt.slot, attempt.ticket, attempt.result.Outcome)
	})
	var changes []*change
	for _, attempt := range batch {
		if attempt.closing.err == nil {
			changes = append(changes, attempt.closing)
		}
	}
	issuer.write(ctx, changes, nil, patient)
	for _, attempt := range batch {
		issuer.closed(attempt.slot, attempt.closing, attempt.result.Outcome)
		if err := attempt.closing.err; err != nil {
			attempt.result.Outcome = ""
			attempt.fail(lost(err))
		}
	}
}

// closing returns the write that closes an open ticket of this process.
func (issuer *Issuer) closing(ctx context.Context, slot *slot, ticket Ticket, outcome Outcome) *change {
	found, version, err := issuer.reload(ctx, slot)
	if err == nil && !found.same(ticket) {
		err = code.Errorf(code.RowConflict, "row %s was written by a successor", slot.key)
	}
	ticket.State = StateClosed
	ticket.Outcome = outcome
	ticket.Written = time.Now().UTC()
	return &change{slot: slot, version: version, ticket: ticket, err: err}
}

func (issuer *Issuer) closed(slot *slot, change *change, outcome Outcome) {
	issuer.settle(slot)
	if change.err == nil {
		issuer.options.metrics.closed.WithLabelValues(string(outcome)).Inc()
	}
}

// closeOne closes one open ticket of this process.
func (issuer *Issuer) closeOne(ctx context.Context, slot *slot, ticket Ticket, outcome Outcome) error {
	closing := issuer.closing(ctx, slot, ticket, outcome)
	if closing.err == nil {
		issuer.writeBatch(ctx, []*change{closing}, nil, patient)
	}
	issuer.closed(slot, closing, outcome)
	return lost(closing.err)
}
