package order

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// change is one write of a ticket.
type change struct {
	slot    *slot
	version uint64 // that the row must have
	ticket  Ticket
	err     error
}

// patience tells what to do while the store does not answer.
type patience bool

const (
	// impatient gives up as soon as it is certain that nothing was written.
	impatient patience = false
	// patient tries until the context ends.
	patient patience = true
)

// write commits changes in batches and sets the error of each.
func (issuer *Issuer) write(ctx context.Context, changes []*change, checks []table.Write, patience patience) {
	for len(changes) > 0 {
		count := min(len(changes), issuer.options.batch)
		issuer.writeBatch(ctx, changes[:count], checks, patience)
		changes = changes[count:]
	}
}

// writeBatch commits changes together, or one by one if one of them conflicts.
func (issuer *Issuer) writeBatch(ctx context.Context, changes []*change, checks []table.Write, patience patience) {
	err := issuer.commit(ctx, changes, checks, patience)
	if code.Is(err, code.RowConflict) && len(changes) > 1 {
		for i := range changes {
			issuer.writeBatch(ctx, changes[i:i+1], checks, patience)
		}
		return
	}
	for _, change := range changes {
		change.err = err
		if err != nil {
			change.ticket = Ticket{}
		}
		issuer.forget(change.slot, change.ticket)
	}
}

// forget makes the version of a row unknown after a write to it.
func (issuer *Issuer) forget(slot *slot, ticket Ticket) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	slot.known = false
	slot.written = time.Now()
	if ticket.Number != 0 {
		slot.ticket = ticket
	}
}

// commit writes all changes or none. After a lost answer it commits again:
// either that succeeds, and the first attempt can no longer take effect, or it
// conflicts, and the row tells whose write won.
func (issuer *Issuer) commit(ctx context.Context, changes []*change, checks []table.Write, patience patience) error {
	writes := writesOf(changes, checks)
	unknown := false
	for failures := 0; ; failures++ {
		err := issuer.commitOnce(ctx, writes)
		switch {
		case err == nil:
			return nil
		case code.Is(err, code.RowConflict) && !unknown:
			return err
		case code.Is(err, code.RowConflict):
			if mine, readErr := issuer.landed(ctx, changes[0]); readErr == nil {
				return conflictUnless(mine, err)
			}
		case !code.Is(err, code.StoreDown):
			unknown = true
		case !unknown && patience == impatient:
			return err
		}
		if !sleep(ctx, issuer.options.backoff(failures)) {
			return err
		}
	}
}

func conflictUnless(mine bool, err error) error {
	if mine {
		return nil
	}
	return err
}

func writesOf(changes []*change, checks []table.Write) []table.Write {
	writes := make([]table.Write, 0, len(changes)+len(checks))
	for _, change := range changes {
		writes = append(writes, table.Write{
			Key: change.slot.key, Version: change.version, Value: change.ticket.encode(),
		})
	}
	return append(writes, checks...)
}

func (issuer *Issuer) commitOnce(ctx context.Context, writes []table.Write) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return issuer.services.Store.Commit(ctx, writes...)
}

// landed reports whether the row holds what the change was to write.
func (issuer *Issuer) landed(ctx context.Context, change *change) (bool, error) {
	ticket, _, err := issuer.read(ctx, change.slot.key)
	return err == nil && ticket.same(change.ticket), err
}

// read returns the ticket of a row and its version, both zero if there is no
// row.
func (issuer *Issuer) read(ctx context.Context, key string) (Ticket, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := issuer.services.Store.Get(ctx, key)
	if code.Is(err, code.RowMissing) {
		return Ticket{}, 0, nil
	}
	if err != nil {
		return Ticket{}, 0, err
	}
	ticket, err := decodeTicket(row)
	if err != nil {
		issuer.malformed(err)
	}
	return ticket, row.Version, err
}

func (issuer *Issuer) malformed(err error) {
	issuer.options.metrics.malformed.Inc()
	issuer.options.logger.Error().Err(err).Msg("order: row cannot be read")
}

// load returns the ticket of a claimed row and its version.
func (issuer *Issuer) load(ctx context.Context, slot *slot) (Ticket, uint64, error) {
	if ticket, version, known := issuer.recall(slot); known {
		return ticket, version, nil
	}
	ticket, version, err := issuer.read(ctx, slot.key)
	if err != nil {
		return Ticket{}, 0, err
	}
	issuer.remember(slot, ticket, version)
	return ticket, version, nil
}

// reload is load with retries until the context ends.
func (issuer *Issuer) reload(ctx context.Context, slot *slot) (Ticket, uint64, error) {
	for failures := 0; ; failures++ {
		ticket, version, err := issuer.load(ctx, slot)
		if err == nil || code.Is(err, code.RowMalformed) {
			return ticket, version, err
		}
		if !sleep(ctx, issuer.options.backoff(failures)) {
			return ticket, version, err
		}
	}
}

// sleep waits and reports whether the context is still good.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
