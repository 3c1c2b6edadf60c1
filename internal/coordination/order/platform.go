package order

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// copyKind tells whether another copy of an order may be under way.
type copyKind bool

const (
	first    copyKind = false
	repeated copyKind = true
)

// Platform issues one order to the platform. Its error has the codes of DoAll;
// after code.OutcomeUnknown, Recover settles the ticket.
func (issuer *Issuer) Platform(ctx context.Context, order PlatformOrder) Result {
	slot, err := issuer.claim(platformKey(issuer.dataCenter))
	if err != nil {
		return Result{Err: err}
	}
	defer issuer.unclaim(slot)
	ticket, err := issuer.openPlatform(ctx, slot, order)
	if err != nil {
		return Result{Err: err}
	}
	result := Result{Number: ticket.Number}
	ctx, cancel := linger(ctx, closeGrace)
	defer cancel()
	result.Outcome, result.Err = issuer.sendPlatform(ctx, slot, ticket, first)
	if result.Err == nil && result.Outcome == "" {
		result.Err = code.Errorf(code.OutcomeUnknown, "order %d to the platform got no clear answer", ticket.Number)
	}
	return result
}

func (issuer *Issuer) openPlatform(ctx context.Context, slot *slot, order PlatformOrder) (Ticket, error) {
	grant, err := issuer.grant()
	if err != nil {
		return Ticket{}, err
	}
	last, version, err := issuer.load(ctx, slot)
	if err != nil {
		return Ticket{}, err
	}
	if last.Number != 0 && last.State != StateClosed {
		return Ticket{}, code.Errorf(code.OrderOpen, "order %d to the platform is %s", last.Number, last.State)
	}
	order.DataCenter = issuer.dataCenter
	order.Number = nextNumber(last.Number, grant.Epoch)
	ticket := issuer.newTicket(Request{}, grant.Epoch)
	ticket.Number = order.Number
	ticket.Platform = order
	changes := []*change{{slot: slot, version: version, ticket: ticket}}
	issuer.writeBatch(ctx, changes, []table.Write{grant.Condition()}, impatient)
	return ticket, lost(changes[0].err)
}

// sendPlatform sends the order of an open ticket of this process and closes
// the ticket if the outcome is clear.
func (issuer *Issuer) sendPlatform(ctx context.Context, slot *slot, ticket Ticket, kind copyKind) (Outcome, error) {
	if err := issuer.depart(slot, ticket.Number, ""); err != nil {
		return "", err
	}
	outcome := issuer.deliverPlatform(ctx, ticket)
	if outcome == "" || (outcome == OutcomeNotSent && kind == repeated) {
		return "", nil
	}
	return outcome, issuer.closeOne(ctx, slot, ticket, outcome)
}

func (issuer *Issuer) deliverPlatform(ctx context.Context, ticket Ticket) Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), issuer.options.sendTimeout)
	defer cancel()
	err := issuer.services.Platform.Order(ctx, ticket.Platform)
	switch {
	case err == nil:
		return OutcomeDone
	case code.Is(err, code.OrderRefused):
		return OutcomeRefused
	case code.RunOf(err) == code.NotRun:
		return OutcomeNotSent
	default:
		issuer.options.metrics.unknown.Inc()
		issuer.options.logger.Warn().Err(err).Uint64("number", ticket.Number).
			Msg("no clear answer from the platform")
		return ""
	}
}

// resolvePlatform settles an open ticket of orders to the platform. Where the
// platform ignores repeats, the order is sent again as it was. Elsewhere
// nothing is sent until the writer is known to be gone.
func (issuer *Issuer) resolvePlatform(ctx context.Context, slot *slot, ticket Ticket, own bool) (Outcome, error) {
	switch {
	case issuer.options.repeats && own:
		return issuer.sendPlatform(ctx, slot, ticket, repeated)
	case issuer.options.repeats:
		return issuer.adoptPlatform(ctx, slot, ticket)
	case own:
		return "", nil
	case issuer.wasDropped(ctx, ticket):
		return OutcomeDropped, issuer.closeAsSuccessor(ctx, slot, ticket, OutcomeDropped)
	case !ticket.Inherited && issuer.ended(ctx, ticket.Writer):
		return OutcomeEnded, issuer.closeAsSuccessor(ctx, slot, ticket, OutcomeEnded)
	default:
		issuer.options.logger.Warn().Str("writer", ticket.Writer).Dur("age", time.Since(ticket.Written)).
			Msg("waiting for the writer of an open platform order to end")
		return "", nil
	}
}

// adoptPlatform makes the ticket this process's own and repeats its order.
func (issuer *Issuer) adoptPlatform(ctx context.Context, slot *slot, found Ticket) (Outcome, error) {
	ticket, err := issuer.replace(ctx, slot, found, func(*Ticket) {})
	if err != nil {
		return "", err
	}
	return issuer.sendPlatform(ctx, slot, ticket, repeated)
}
