package order

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// update is one conditional write of a ticket.
type update struct {
	record          *record
	expectedVersion uint64 // version that the row must have, 0 for a new row
	ticket          Ticket
	err             error
}

// commitMode is what a commit does while the store is down.
type commitMode bool

const (
	// failFast returns as soon as it is certain that nothing was written.
	failFast commitMode = false
	// retryUntilCanceled retries until the context ends.
	retryUntilCanceled commitMode = true
)

// commitAll commits updates in batches and sets the err of each.
func (issuer *Issuer) commitAll(ctx context.Context, updates []*update, checks []table.Write, mode commitMode) {
	for len(updates) > 0 {
		count := min(len(updates), issuer.options.batchSize)
		issuer.commitBatch(ctx, updates[:count], checks, mode)
		updates = updates[count:]
	}
}

// commitBatch commits updates in one transaction, or one by one if that
// conflicts, so that a conflict fails only the update concerned.
func (issuer *Issuer) commitBatch(ctx context.Context, updates []*update, checks []table.Write, mode commitMode) {
	err := issuer.commitWithRetry(ctx, updates, checks, mode)
	if code.Is(err, code.RowConflict) && len(updates) > 1 {
		for i := range updates {
			issuer.commitBatch(ctx, updates[i:i+1], checks, mode)
		}
		return
	}
	for _, update := range updates {
		update.err = err
		if err != nil {
			update.ticket = Ticket{}
		}
		issuer.invalidateAfterWrite(update.record, update.ticket)
	}
}

// invalidateAfterWrite marks the version of a row as unknown after a write. The
// ticket is zero if the write failed.
func (issuer *Issuer) invalidateAfterWrite(record *record, ticket Ticket) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	record.cacheValid = false
	record.lastWriteAt = time.Now()
	if ticket.Number != 0 {
		record.ticket = ticket
	}
}

// commitWithRetry writes all updates or none. After a lost response it reads the
// rows to learn whether the write took effect, and commits again while the write
// may still be in flight: either the new commit succeeds, and the first one can
// no longer take effect, or the rows show which write took effect.
func (issuer *Issuer) commitWithRetry(ctx context.Context, updates []*update, checks []table.Write, mode commitMode) error {
	writes := tableWrites(updates, checks)
	outcomeUnknown := false
	for failures := 0; ; failures++ {
		err := issuer.commitOnce(ctx, writes)
		switch {
		case err == nil, code.Is(err, code.RowConflict) && !outcomeUnknown:
			return err
		case !code.Is(err, code.StoreDown):
			outcomeUnknown = true
		case !outcomeUnknown && mode == failFast:
			return err
		}
		if !pause.For(ctx, issuer.options.backoffDelay(failures)) {
			return err
		}
		if !outcomeUnknown {
			continue
		}
		if resolved, err := issuer.resolveLostCommit(ctx, updates[0], checks); resolved {
			return err
		}
	}
}

// resolveLostCommit reports whether the outcome of a commit without a response is
// known. The error is nil if the commit took effect, and has code.RowConflict if
// it never will. The rows of the checks are read first: once a check has failed,
// a commit that has not taken effect never does.
func (issuer *Issuer) resolveLostCommit(ctx context.Context, update *update, checks []table.Write) (bool, error) {
	checkFailed := false
	for _, check := range checks {
		version, err := issuer.readVersion(ctx, check.Key)
		if err != nil {
			return false, err
		}
		checkFailed = checkFailed || version != check.ExpectedVersion
	}
	ticket, version, err := issuer.readTicket(ctx, update.record.key)
	switch {
	case err != nil:
		return false, err
	case ticket.isSameWrite(update.ticket):
		return true, nil
	case checkFailed || version != update.expectedVersion:
		return true, code.Errorf(code.RowConflict, "another process wrote row %s or took the lease", update.record.key)
	default:
		return false, nil
	}
}

// readVersion returns the version of a row, 0 if the row does not exist.
func (issuer *Issuer) readVersion(ctx context.Context, key string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := issuer.dependencies.Store.Get(ctx, key)
	if code.Is(err, code.RowMissing) {
		return 0, nil
	}
	return row.Version, err
}

func tableWrites(updates []*update, checks []table.Write) []table.Write {
	writes := make([]table.Write, 0, len(updates)+len(checks))
	for _, update := range updates {
		writes = append(writes, table.Write{
			Key: update.record.key, ExpectedVersion: update.expectedVersion, Value: update.ticket.encode(),
		})
	}
	return append(writes, checks...)
}

func (issuer *Issuer) commitOnce(ctx context.Context, writes []table.Write) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return issuer.dependencies.Store.Commit(ctx, writes...)
}

// readTicket reads a row from the store and returns its ticket and version, both
// zero if the row does not exist.
func (issuer *Issuer) readTicket(ctx context.Context, key string) (Ticket, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := issuer.dependencies.Store.Get(ctx, key)
	if code.Is(err, code.RowMissing) {
		return Ticket{}, 0, nil
	}
	if err != nil {
		return Ticket{}, 0, err
	}
	ticket, err := decodeTicket(row)
	if err != nil {
		issuer.reportMalformedRow(err)
	}
	return ticket, row.Version, err
}

func (issuer *Issuer) reportMalformedRow(err error) {
	issuer.options.metrics.malformedRows.Inc()
	issuer.options.logger.Error().Err(err).Msg("could not decode ticket row")
}

// loadTicket returns the ticket and version of a claimed row, from the cache if
// that is valid.
func (issuer *Issuer) loadTicket(ctx context.Context, record *record) (Ticket, uint64, error) {
	if ticket, version, valid := issuer.cachedTicket(record); valid {
		return ticket, version, nil
	}
	ticket, version, err := issuer.readTicket(ctx, record.key)
	if err != nil {
		return Ticket{}, 0, err
	}
	issuer.cacheTicket(record, ticket, version)
	return ticket, version, nil
}

// loadTicketWithRetry is loadTicket with retries until the context ends. A
// malformed row is not retried.
func (issuer *Issuer) loadTicketWithRetry(ctx context.Context, record *record) (Ticket, uint64, error) {
	for failures := 0; ; failures++ {
		ticket, version, err := issuer.loadTicket(ctx, record)
		if err == nil || code.Is(err, code.RowMalformed) {
			return ticket, version, err
		}
		if !pause.For(ctx, issuer.options.backoffDelay(failures)) {
			return ticket, version, err
		}
	}
}
