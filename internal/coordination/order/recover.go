package order

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// Recover settles open tickets where it can, those of earlier lease holders and
// those of this process whose outcome is still unknown, and returns the tickets
// that stay open. Call it after taking over the lease and periodically after
// that: the first call under a grant reads all rows of the data centre, later
// calls only the rows of open tickets.
func (issuer *Issuer) Recover(ctx context.Context) ([]Ticket, error) {
	if _, err := issuer.grant(); err != nil {
		return nil, err
	}
	if err := issuer.listAllRows(ctx); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var unresolved []Ticket
	group := errgroup.Group{}
	group.SetLimit(issuer.options.concurrency)
	for _, ticket := range issuer.cachedOpenTickets() {
		group.Go(func() error {
			if !issuer.recoverTicket(ctx, ticket) {
				mu.Lock()
				defer mu.Unlock()
				unresolved = append(unresolved, ticket)
			}
			return nil
		})
	}
	err := group.Wait()
	issuer.options.metrics.ticketsUnresolved.Set(float64(len(unresolved)))
	return unresolved, err
}

// ListTickets returns the last ticket of each target of a data centre and of its
// orders to the platform, for display. Rows that cannot be decoded are counted,
// logged and omitted.
func (issuer *Issuer) ListTickets(ctx context.Context, dataCenter string) ([]Ticket, error) {
	var tickets []Ticket
	err := issuer.scan(ctx, dataCenter, func(ticket Ticket, _ table.Row) {
		tickets = append(tickets, ticket)
	})
	return tickets, err
}

// scan calls visit for each ticket of a data centre.
func (issuer *Issuer) scan(ctx context.Context, dataCenter string, visit func(Ticket, table.Row)) error {
	ticket, version, err := issuer.readTicket(ctx, platformKey(dataCenter))
	if err != nil && !code.Is(err, code.RowMalformed) {
		return err
	}
	if version != 0 && err == nil {
		visit(ticket, table.Row{Key: ticket.rowKey(), Version: version})
	}
	for after := ""; ; {
		rows, err := issuer.listRows(ctx, dataCenter, after)
		if err != nil {
			return err
		}
		issuer.decodeRows(rows, visit)
		if len(rows) < listPageSize {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (issuer *Issuer) listRows(ctx context.Context, dataCenter, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return issuer.dependencies.Store.List(ctx, targetPrefix(dataCenter), after, listPageSize)
}

func (issuer *Issuer) decodeRows(rows []table.Row, visit func(Ticket, table.Row)) {
	for _, row := range rows {
		ticket, err := decodeTicket(row)
		if err != nil {
			issuer.reportMalformedRow(err)
			continue
		}
		visit(ticket, row)
	}
}

// listAllRows lists and caches all rows of the data centre, once under each
// grant.
func (issuer *Issuer) listAllRows(ctx context.Context) error {
	issuer.mu.Lock()
	epoch, listed := issuer.epoch, issuer.rowsListed
	issuer.mu.Unlock()
	if listed {
		return nil
	}
	listedAt := time.Now()
	err := issuer.scan(ctx, issuer.dataCenter, func(ticket Ticket, row table.Row) {
		issuer.cacheListedRow(ticket, row, listedAt)
	})
	if err != nil {
		return err
	}
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	issuer.rowsListed = epoch == issuer.epoch
	return nil
}

// cacheListedRow caches a row of a listing that began at listedAt, unless a call
// has claimed the row or this process has written it since then.
func (issuer *Issuer) cacheListedRow(ticket Ticket, row table.Row, listedAt time.Time) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	record := issuer.recordFor(row.Key)
	if record.claimed || !record.lastWriteAt.Before(listedAt) {
		return
	}
	record.ticket = ticket
	record.version = row.Version
	record.cacheValid = true
}

func (issuer *Issuer) cachedOpenTickets() []Ticket {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	var tickets []Ticket
	for _, record := range issuer.records {
		if !record.claimed && record.ticket.State == StateOpen {
			tickets = append(tickets, record.ticket)
		}
	}
	return tickets
}

// recoverTicket tries to settle an open ticket and reports whether it is no
// longer open.
func (issuer *Issuer) recoverTicket(ctx context.Context, ticket Ticket) bool {
	record, err := issuer.claim(ticket.rowKey())
	if err != nil {
		return false
	}
	defer issuer.release(record)
	if ticket.Session != issuer.session {
		issuer.invalidate(record) // the writer may have closed the ticket meanwhile
	}
	current, _, err := issuer.loadTicket(ctx, record)
	if err != nil {
		return false
	}
	if current.State != StateOpen {
		return true
	}
	outcome, err := issuer.resolve(ctx, record, current)
	if err != nil {
		issuer.options.logger.Warn().Err(err).Str("row", record.key).Msg("could not settle open ticket")
	}
	return outcome != "" && err == nil
}

func (issuer *Issuer) resolve(ctx context.Context, record *record, ticket Ticket) (Outcome, error) {
	own := ticket.Session == issuer.session
	switch {
	case own && !ticket.ReplacesOpen && issuer.lastSend(record).number < ticket.Number:
		return OutcomeNotSent, issuer.closeTicket(ctx, record, ticket, OutcomeNotSent)
	case ticket.Target.ID == "":
		return issuer.resolvePlatformTicket(ctx, record, ticket, own)
	case issuer.hasEnded(ctx, ticket.Target.ID):
		return OutcomeEnded, issuer.closeAsSuccessor(ctx, record, ticket, OutcomeEnded)
	case own:
		return issuer.resolveOwnTicket(ctx, record, ticket)
	case ticket.Target.ChecksFencingToken:
		return issuer.fence(ctx, record, ticket)
	case issuer.requestDrop(ctx, ticket):
		return OutcomeDropped, issuer.closeAsSuccessor(ctx, record, ticket, OutcomeDropped)
	case issuer.timeSinceFirstSeen(record, ticket) < issuer.options.outcomeTimeout && !issuer.hasEnded(ctx, ticket.Writer):
		return "", nil // the writer may still close the ticket
	default:
		return issuer.abandon(ctx, record, ticket)
	}
}

// closeAsSuccessor closes an open ticket that its writer can no longer act on, in
// a transaction that checks the lease.
func (issuer *Issuer) closeAsSuccessor(ctx context.Context, record *record, previous Ticket, outcome Outcome) error {
	_, err := issuer.replaceTicket(ctx, record, previous, func(ticket *Ticket) {
		ticket.State = StateClosed
		ticket.Outcome = outcome
	})
	issuer.markSettled(record)
	return err
}

// requestDrop asks the writer to drop the ticket and reports whether it has
// confirmed that it will never send the order. A ticket that replaced an open
// one gives false, because the writer of the replaced ticket may still send its
// order.
func (issuer *Issuer) requestDrop(ctx context.Context, ticket Ticket) bool {
	if issuer.dependencies.WriterStatus == nil || ticket.ReplacesOpen {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	dropped, err := issuer.dependencies.WriterStatus.RequestDrop(ctx, ticket.Writer, ticket.ID())
	return err == nil && dropped
}

func (issuer *Issuer) hasEnded(ctx context.Context, id string) bool {
	if issuer.dependencies.WriterStatus == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	ended, err := issuer.dependencies.WriterStatus.HasEnded(ctx, id)
	return err == nil && ended
}
