package order

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// Recover settles what open tickets it can, those of earlier holders and those
// of this process whose outcome is still unknown, and returns the tickets that
// stay open. Call it after a takeover and then from time to time: the first
// call under a grant reads all rows of the data centre, later ones only the
// rows of open tickets.
func (issuer *Issuer) Recover(ctx context.Context) ([]Ticket, error) {
	if _, err := issuer.grant(); err != nil {
		return nil, err
	}
	if err := issuer.readAll(ctx); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var left []Ticket
	group := errgroup.Group{}
	group.SetLimit(issuer.options.parallel)
	for _, ticket := range issuer.openTickets() {
		group.Go(func() error {
			if !issuer.recoverOne(ctx, ticket) {
				mu.Lock()
				defer mu.Unlock()
				left = append(left, ticket)
			}
			return nil
		})
	}
	err := group.Wait()
	issuer.options.metrics.open.Set(float64(len(left)))
	return left, err
}

// Tickets returns the last ticket of each target of a data centre and of its
// orders to the platform, for display. Rows that cannot be read are counted,
// logged and left out.
func (issuer *Issuer) Tickets(ctx context.Context, dataCenter string) ([]Ticket, error) {
	var tickets []Ticket
	err := issuer.scan(ctx, dataCenter, func(ticket Ticket, _ table.Row) {
		tickets = append(tickets, ticket)
	})
	return tickets, err
}

// scan visits the tickets of a data centre.
func (issuer *Issuer) scan(ctx context.Context, dataCenter string, visit func(Ticket, table.Row)) error {
	ticket, version, err := issuer.read(ctx, platformKey(dataCenter))
	if err != nil && !code.Is(err, code.RowMalformed) {
		return err
	}
	if version != 0 && err == nil {
		visit(ticket, table.Row{Key: ticket.key(), Version: version})
	}
	for after := ""; ; {
		rows, err := issuer.page(ctx, dataCenter, after)
		if err != nil {
			return err
		}
		issuer.visitRows(rows, visit)
		if len(rows) < listPage {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (issuer *Issuer) page(ctx context.Context, dataCenter, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return issuer.services.Store.List(ctx, targetPrefix(dataCenter), after, listPage)
}

func (issuer *Issuer) visitRows(rows []table.Row, visit func(Ticket, table.Row)) {
	for _, row := range rows {
		ticket, err := decodeTicket(row)
		if err != nil {
			issuer.malformed(err)
			continue
		}
		visit(ticket, row)
	}
}

// readAll reads all rows of the data centre, once under each grant.
func (issuer *Issuer) readAll(ctx context.Context) error {
	issuer.mu.Lock()
	epoch, listed := issuer.epoch, issuer.listed
	issuer.mu.Unlock()
	if listed {
		return nil
	}
	began := time.Now()
	err := issuer.scan(ctx, issuer.dataCenter, func(ticket Ticket, row table.Row) {
		issuer.learn(ticket, row, began)
	})
	if err != nil {
		return err
	}
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	issuer.listed = epoch == issuer.epoch
	return nil
}

// learn records a row of a listing that began at a time, unless this process
// has worked on the row since.
func (issuer *Issuer) learn(ticket Ticket, row table.Row, began time.Time) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	slot := issuer.slotOf(row.Key)
	if slot.busy || !slot.written.Before(began) {
		return
	}
	slot.ticket = ticket
	slot.version = row.Version
	slot.known = true
}

func (issuer *Issuer) openTickets() []Ticket {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	var tickets []Ticket
	for _, slot := range issuer.slots {
		if !slot.busy && slot.ticket.State == StateOpen {
			tickets = append(tickets, slot.ticket)
		}
	}
	return tickets
}

// recoverOne reports whether the ticket is no longer open.
func (issuer *Issuer) recoverOne(ctx context.Context, ticket Ticket) bool {
	slot, err := issuer.claim(ticket.key())
	if err != nil {
		return false
	}
	defer issuer.unclaim(slot)
	if ticket.Session != issuer.session {
		issuer.expire(slot) // its writer may have closed it
	}
	current, _, err := issuer.load(ctx, slot)
	if err != nil {
		return false
	}
	if current.State != StateOpen {
		return true
	}
	outcome, err := issuer.resolve(ctx, slot, current)
	if err != nil {
		issuer.options.logger.Warn().Err(err).Str("row", slot.key).Msg("ticket not settled")
	}
	return outcome != "" && err == nil
}

func (issuer *Issuer) resolve(ctx context.Context, slot *slot, ticket Ticket) (Outcome, error) {
	own := ticket.Session == issuer.session
	switch {
	case own && !ticket.Inherited && issuer.departureOf(slot).number < ticket.Number:
		return OutcomeNotSent, issuer.closeOne(ctx, slot, ticket, OutcomeNotSent)
	case ticket.Target.ID == "":
		return issuer.resolvePlatform(ctx, slot, ticket, own)
	case issuer.ended(ctx, ticket.Target.ID):
		return OutcomeEnded, issuer.closeAsSuccessor(ctx, slot, ticket, OutcomeEnded)
	case own:
		return issuer.resolveOwn(ctx, slot, ticket)
	case ticket.Target.Fences:
		return issuer.fence(ctx, slot, ticket)
	case issuer.wasDropped(ctx, ticket):
		return OutcomeDropped, issuer.closeAsSuccessor(ctx, slot, ticket, OutcomeDropped)
	case issuer.seenFor(slot, ticket) < issuer.options.outcomeTimeout && !issuer.ended(ctx, ticket.Writer):
		return "", nil // the writer may be about to close it
	default:
		return issuer.abandon(ctx, slot, ticket)
	}
}

// closeAsSuccessor closes a ticket that its writer can no longer act on.
func (issuer *Issuer) closeAsSuccessor(ctx context.Context, slot *slot, found Ticket, outcome Outcome) error {
	_, err := issuer.replace(ctx, slot, found, func(ticket *Ticket) {
		ticket.State = StateClosed
		ticket.Outcome = outcome
	})
	issuer.settle(slot)
	return err
}

// wasDropped reports whether the only process that may send the order answered
// that it never will.
func (issuer *Issuer) wasDropped(ctx context.Context, ticket Ticket) bool {
	if issuer.services.Writers == nil || ticket.Inherited {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	dropped, err := issuer.services.Writers.Dropped(ctx, ticket.Writer, ticket.Reference())
	return err == nil && dropped
}

func (issuer *Issuer) ended(ctx context.Context, id string) bool {
	if issuer.services.Writers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	ended, err := issuer.services.Writers.Ended(ctx, id)
	return err == nil && ended
}
