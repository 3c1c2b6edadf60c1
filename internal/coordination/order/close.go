package order

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// closeBatches closes the tickets of acknowledged attempts as they arrive,
// several in one transaction, until the channel is closed.
func (issuer *Issuer) closeBatches(ctx context.Context, acknowledged <-chan *attempt) {
	for {
		batch := issuer.collectBatch(acknowledged)
		if len(batch) == 0 {
			return
		}
		issuer.closeBatch(ctx, batch)
	}
}

// collectBatch waits for an attempt and returns it with those that follow within
// flushInterval, up to the batch size. It returns nil once the channel is closed.
func (issuer *Issuer) collectBatch(acknowledged <-chan *attempt) []*attempt {
	first, ok := <-acknowledged
	if !ok {
		return nil
	}
	batch := []*attempt{first}
	flush := time.NewTimer(flushInterval)
	defer flush.Stop()
	for len(batch) < issuer.options.batchSize {
		select {
		case next, ok := <-acknowledged:
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
	issuer.forEachPending(batch, func(attempt *attempt) {
		attempt.closeUpdate = issuer.newCloseUpdate(ctx, attempt.record, attempt.ticket, attempt.result.Outcome)
	})
	var updates []*update
	for _, attempt := range batch {
		if attempt.closeUpdate.err == nil {
			updates = append(updates, attempt.closeUpdate)
		}
	}
	issuer.commitAll(ctx, updates, nil, retryUntilCanceled)
	for _, attempt := range batch {
		issuer.finishClose(attempt.record, attempt.closeUpdate, attempt.result.Outcome)
		if err := attempt.closeUpdate.err; err != nil {
			attempt.result.Outcome = ""
			attempt.fail(conflictAsLeaseLost(err))
		}
	}
}

// newCloseUpdate returns the update that closes an open ticket of this process.
// Its error has code.RowConflict if another process has written the row.
func (issuer *Issuer) newCloseUpdate(ctx context.Context, record *record, ticket Ticket, outcome Outcome) *update {
	current, version, err := issuer.loadTicketWithRetry(ctx, record)
	if err == nil && !current.isSameWrite(ticket) {
		err = code.Errorf(code.RowConflict, "row %s was overwritten by the next lease holder", record.key)
	}
	ticket.State = StateClosed
	ticket.Outcome = outcome
	ticket.WrittenAt = time.Now().UTC()
	return &update{record: record, expectedVersion: version, ticket: ticket, err: err}
}

func (issuer *Issuer) finishClose(record *record, update *update, outcome Outcome) {
	issuer.markSettled(record)
	if update.err == nil {
		issuer.options.metrics.ticketsClosed.WithLabelValues(string(outcome)).Inc()
	}
}

// closeTicket closes one open ticket of this process and sets its outcome.
func (issuer *Issuer) closeTicket(ctx context.Context, record *record, ticket Ticket, outcome Outcome) error {
	closeUpdate := issuer.newCloseUpdate(ctx, record, ticket, outcome)
	if closeUpdate.err == nil {
		issuer.commitBatch(ctx, []*update{closeUpdate}, nil, retryUntilCanceled)
	}
	issuer.finishClose(record, closeUpdate, outcome)
	return conflictAsLeaseLost(closeUpdate.err)
}
