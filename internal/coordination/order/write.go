package order

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
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

// commit writes all changes or none. After a lost answer it reads what became
// of the write, and commits again while the write may still be under way:
// either that succeeds, and the first attempt can no longer take effect, or the
// rows tell whose write won.
func (issuer *Issuer) commit(ctx context.Context, changes []*change, checks []table.Write, patience patience) error {
	writes := writesOf(changes, checks)
	unknown := false
	for failures := 0; ; failures++ {
		err := issuer.commitOnce(ctx, writes)
		switch {
		case err == nil, code.Is(err, code.RowConflict) && !unknown:
			return err
		case !code.Is(err, code.StoreDown):
			unknown = true
		case !unknown && patience == impatient:
			return err
		}
		if !pause.For(ctx, issuer.options.backoff(failures)) {
			return err
		}
		if !unknown {
			continue
		}
		if decided, err := issuer.decided(ctx, changes[0], checks); decided {
			return err
		}
	}
}

// decided reports whether a write without an answer took effect, which gives no
// error, or never will, which gives code.RowConflict. The checks are read
// first: a write that has not taken effect after a check failed never does.
func (issuer *Issuer) decided(ctx context.Context, change *change, checks []table.Write) (bool, error) {
	moved := false
	for _, check := range checks {
		version, err := issuer.version(ctx, check.Key)
		if err != nil {
			return false, err
		}
		moved = moved || version != check.Version
	}
	ticket, version, err := issuer.read(ctx, change.slot.key)
	switch {
	case err != nil:
		return false, err
	case ticket.same(change.ticket):
		return true, nil
	case moved || version != change.version:
		return true, code.Errorf(code.RowConflict, "another process wrote row %s or took the lease", change.slot.key)
	default:
		return false, nil
	}
}

// version returns the version of a row, 0 if there is none.
func (issuer *Issuer) version(ctx context.Context, key string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := issuer.services.Store.Get(ctx, key)
	if code.Is(err, code.RowMissing) {
		return 0, nil
	}
	return row.Version, err
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
	issuer.options.logger.Error().Err(err).Msg("row cannot be read")
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
		if !pause.For(ctx, issuer.options.backoff(failures)) {
			return ticket, version, err
		}
	}
}
