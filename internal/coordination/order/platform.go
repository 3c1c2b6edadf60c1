package order

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// sendKind states whether an earlier copy of the same order may be in flight.
type sendKind bool

const (
	firstSend sendKind = false
	resend    sendKind = true
)

// IssuePlatform issues one order to the platform. The error has the codes of
// IssueAll; after code.OutcomeUnknown, Recover settles the ticket.
func (issuer *Issuer) IssuePlatform(ctx context.Context, order PlatformOrder) Result {
	record, err := issuer.claim(platformKey(issuer.dataCenter))
	if err != nil {
		return Result{Err: err}
	}
	defer issuer.release(record)
	ticket, err := issuer.openPlatformTicket(ctx, record, order)
	if err != nil {
		return Result{Err: err}
	}
	result := Result{Number: ticket.Number}
	ctx, cancel := withGracePeriod(ctx, closeGracePeriod)
	defer cancel()
	result.Outcome, result.Err = issuer.sendAndClosePlatform(ctx, record, ticket, firstSend)
	if result.Err == nil && result.Outcome == "" {
		result.Err = code.Errorf(code.OutcomeUnknown, "outcome of order %d to the platform is unknown", ticket.Number)
	}
	return result
}

func (issuer *Issuer) openPlatformTicket(ctx context.Context, record *record, order PlatformOrder) (Ticket, error) {
	grant, err := issuer.grant()
	if err != nil {
		return Ticket{}, err
	}
	last, version, err := issuer.loadTicket(ctx, record)
	if err != nil {
		return Ticket{}, err
	}
	if last.Number != 0 && last.State != StateClosed {
		return Ticket{}, code.Errorf(code.OrderOpen, "last order %d to the platform is %s", last.Number, last.State)
	}
	order.DataCenter = issuer.dataCenter
	order.Number = nextNumber(last.Number, grant.Epoch)
	ticket := issuer.newTicket(Request{}, grant.Epoch)
	ticket.Number = order.Number
	ticket.PlatformOrder = order
	updates := []*update{{record: record, expectedVersion: version, ticket: ticket}}
	issuer.commitBatch(ctx, updates, []table.Write{grant.Condition()}, failFast)
	return ticket, conflictAsLeaseLost(updates[0].err)
}

// sendAndClosePlatform sends the order of an open ticket of this process and
// closes the ticket if the outcome is known. A resend that was not sent does
// not show whether the earlier copy took effect, so the ticket stays open.
func (issuer *Issuer) sendAndClosePlatform(ctx context.Context, record *record, ticket Ticket, kind sendKind) (Outcome, error) {
	if err := issuer.beginSend(record, ticket.Number, ""); err != nil {
		return "", err
	}
	outcome := issuer.sendPlatformOrder(ctx, ticket)
	if outcome == "" || (outcome == OutcomeNotSent && kind == resend) {
		return "", nil
	}
	return outcome, issuer.closeTicket(ctx, record, ticket, outcome)
}

func (issuer *Issuer) sendPlatformOrder(ctx context.Context, ticket Ticket) Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), issuer.options.sendTimeout)
	defer cancel()
	err := issuer.dependencies.Platform.SendOrder(ctx, ticket.PlatformOrder)
	switch {
	case err == nil:
		return OutcomeDone
	case code.Is(err, code.OrderRefused):
		return OutcomeRefused
	case code.RunStatusFromError(err) == code.NotRun:
		return OutcomeNotSent
	default:
		issuer.options.metrics.outcomesUnknown.Inc()
		issuer.options.logger.Warn().Err(err).Uint64("number", ticket.Number).
			Msg("platform order outcome unknown")
		return ""
	}
}

// resolvePlatformTicket settles an open ticket of an order to the platform. If
// platform orders are idempotent, it sends the same order again. Otherwise it
// sends nothing, and the ticket stays open until its writer has dropped it or
// has ended.
func (issuer *Issuer) resolvePlatformTicket(ctx context.Context, record *record, ticket Ticket, own bool) (Outcome, error) {
	switch {
	case issuer.options.idempotentPlatform && own:
		return issuer.sendAndClosePlatform(ctx, record, ticket, resend)
	case issuer.options.idempotentPlatform:
		return issuer.takeOverPlatformTicket(ctx, record, ticket)
	case own:
		return "", nil
	case issuer.requestDrop(ctx, ticket):
		return OutcomeDropped, issuer.closeAsSuccessor(ctx, record, ticket, OutcomeDropped)
	case !ticket.ReplacesOpen && issuer.hasEnded(ctx, ticket.Writer):
		return OutcomeEnded, issuer.closeAsSuccessor(ctx, record, ticket, OutcomeEnded)
	default:
		issuer.options.logger.Warn().Str("writer", ticket.Writer).Dur("age", time.Since(ticket.WrittenAt)).
			Msg("open platform order waits for its writer to end")
		return "", nil
	}
}

// takeOverPlatformTicket rewrites the ticket as one of this process and sends its
// order again.
func (issuer *Issuer) takeOverPlatformTicket(ctx context.Context, record *record, previous Ticket) (Outcome, error) {
	ticket, err := issuer.replaceTicket(ctx, record, previous, func(*Ticket) {})
	if err != nil {
		return "", err
	}
	return issuer.sendAndClosePlatform(ctx, record, ticket, resend)
}
