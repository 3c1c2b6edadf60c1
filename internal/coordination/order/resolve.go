package order

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// epochShiftBits leaves room for 2^20 (about a million) orders to a target in one
// epoch.
const epochShiftBits = 20

// resolveOwnTicket settles an open ticket whose order this process sent without
// a definite response. It returns "" while the ticket stays open.
func (issuer *Issuer) resolveOwnTicket(ctx context.Context, record *record, ticket Ticket) (Outcome, error) {
	if ticket.Target.ChecksFencingToken {
		return issuer.fence(ctx, record, ticket)
	}
	if outcome := issuer.outcomeFromReport(ctx, record, ticket); outcome != "" {
		return outcome, issuer.closeTicket(ctx, record, ticket, outcome)
	}
	if time.Since(issuer.lastSend(record).endedAt) < issuer.options.outcomeTimeout {
		return "", nil
	}
	return issuer.abandon(ctx, record, ticket)
}

// outcomeFromReport derives the outcome from the report of a target without
// fencing. It returns "" if the report does not prove the outcome. The order can
// no longer take effect if the target process at the other end of the order's
// connection has ended, or if its state shows the effect and did not show it
// before the order was sent.
func (issuer *Issuer) outcomeFromReport(ctx context.Context, record *record, ticket Ticket) Outcome {
	report, stateAt, err := issuer.fetchReport(ctx, ticket.Target)
	if err != nil {
		return ""
	}
	lastSend := issuer.lastSend(record)
	if stateAt.Before(lastSend.endedAt) || report.BootID == "" || lastSend.connectedBootID == "" {
		return ""
	}
	if report.BootID != lastSend.connectedBootID {
		return OutcomeEnded
	}
	if report.BootID == lastSend.reportedBootID && report.Satisfies(ticket.Order) {
		return OutcomeDone
	}
	return ""
}

// fence replaces an open ticket of a target with fencing by a ticket of this
// process with a higher number, and sends the target a KindFence order with that
// number. Once the target has accepted it, the order of the replaced ticket can
// no longer take effect.
func (issuer *Issuer) fence(ctx context.Context, record *record, previous Ticket) (Outcome, error) {
	ticket := previous
	if previous.Session != issuer.session || previous.Order.Kind != KindFence {
		var err error
		ticket, err = issuer.replaceTicket(ctx, record, previous, func(ticket *Ticket) {
			ticket.Number = nextNumber(previous.Number, ticket.Epoch)
			ticket.Order = Order{Kind: KindFence, Number: ticket.Number}
		})
		if err != nil {
			return "", err
		}
	}
	if err := issuer.beginSend(record, ticket.Number, ""); err != nil {
		return "", err
	}
	if issuer.sendOrder(ctx, record, ticket) != OutcomeDone && !issuer.hasAcceptedFence(ctx, ticket) {
		return "", nil
	}
	return OutcomeFenced, issuer.closeTicket(ctx, record, ticket, OutcomeFenced)
}

func (issuer *Issuer) hasAcceptedFence(ctx context.Context, ticket Ticket) bool {
	report, _, err := issuer.fetchReport(ctx, ticket.Target)
	return err == nil && report.AcceptedNumber >= ticket.Number
}

// abandon marks a target without fencing as abandoned: the order may still take
// effect at any later time, so the target is sent no further orders.
func (issuer *Issuer) abandon(ctx context.Context, record *record, previous Ticket) (Outcome, error) {
	_, err := issuer.replaceTicket(ctx, record, previous, func(ticket *Ticket) {
		ticket.State = StateAbandoned
		ticket.Outcome = OutcomeAbandoned
	})
	if err != nil {
		return "", err
	}
	issuer.options.metrics.targetsAbandoned.Inc()
	issuer.options.logger.Warn().Str("target", previous.Target.ID).Str("writer", previous.Writer).
		Uint64("number", previous.Number).Msg("abandoned target with an order of unknown outcome")
	return OutcomeAbandoned, nil
}

// replaceTicket writes an edited copy of an open ticket as a ticket of this
// process, in a transaction that checks the lease, and returns the new ticket.
func (issuer *Issuer) replaceTicket(ctx context.Context, record *record, previous Ticket, edit func(*Ticket)) (Ticket, error) {
	grant, err := issuer.grant()
	if err != nil {
		return Ticket{}, err
	}
	current, version, err := issuer.loadTicket(ctx, record)
	if err != nil {
		return Ticket{}, err
	}
	if !current.isSameWrite(previous) {
		return Ticket{}, code.Errorf(code.OrderOpen, "row %s was overwritten since it was read", record.key)
	}
	ticket := previous
	ticket.Epoch = grant.Epoch
	ticket.Writer = issuer.instance
	ticket.Session = issuer.session
	ticket.WrittenAt = time.Now().UTC()
	ticket.ReplacesOpen = true
	edit(&ticket)
	updates := []*update{{record: record, expectedVersion: version, ticket: ticket}}
	issuer.commitBatch(ctx, updates, []table.Write{grant.Condition()}, failFast)
	return ticket, conflictAsLeaseLost(updates[0].err)
}

// nextNumber returns a number above last. Numbers also increase with the epoch,
// so that a target with fencing refuses an order that was meant for an earlier
// target at the same address.
func nextNumber(last, epoch uint64) uint64 {
	return max(last+1, epoch<<epochShiftBits)
}
