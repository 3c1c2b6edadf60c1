package order

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// epochShift leaves room for about a million orders to a target in one epoch.
const epochShift = 20

// resolveOwn settles an open ticket whose order this process sent without a
// clear answer. It returns no outcome while the ticket stays open.
func (issuer *Issuer) resolveOwn(ctx context.Context, slot *slot, ticket Ticket) (Outcome, error) {
	if ticket.Target.Fences {
		return issuer.fence(ctx, slot, ticket)
	}
	if outcome := issuer.outcomeFromReport(ctx, slot, ticket); outcome != "" {
		return outcome, issuer.closeOne(ctx, slot, ticket, outcome)
	}
	if time.Since(issuer.departureOf(slot).at) < issuer.options.outcomeTimeout {
		return "", nil
	}
	return issuer.abandon(ctx, slot, ticket)
}

// outcomeFromReport tells the outcome from the state of a target that does not
// fence, or returns none. The order can no longer take effect if the process
// that the order's connection led to has ended, or if it shows the effect and
// did not do so before the order.
func (issuer *Issuer) outcomeFromReport(ctx context.Context, slot *slot, ticket Ticket) Outcome {
	report, since, err := issuer.report(ctx, ticket.Target)
	if err != nil {
		return ""
	}
	sent := issuer.departureOf(slot)
	if since.Before(sent.at) || report.Boot == "" || sent.boot == "" {
		return ""
	}
	if report.Boot != sent.boot {
		return OutcomeEnded
	}
	if report.Boot == sent.before && report.Satisfies(ticket.Order) {
		return OutcomeDone
	}
	return ""
}

// fence replaces an open ticket on a target that fences by one of this process
// with a higher number, and makes the target accept that number with an order
// that changes nothing. After that the order of the replaced ticket can no
// longer take effect.
func (issuer *Issuer) fence(ctx context.Context, slot *slot, found Ticket) (Outcome, error) {
	ticket := found
	if found.Session != issuer.session || found.Order.Kind != KindFence {
		var err error
		ticket, err = issuer.replace(ctx, slot, found, func(ticket *Ticket) {
			ticket.Number = nextNumber(found.Number, ticket.Epoch)
			ticket.Order = Order{Kind: KindFence, Number: ticket.Number}
		})
		if err != nil {
			return "", err
		}
	}
	if err := issuer.depart(slot, ticket.Number, ""); err != nil {
		return "", err
	}
	if issuer.deliver(ctx, slot, ticket) != OutcomeDone && !issuer.fenced(ctx, ticket) {
		return "", nil
	}
	return OutcomeFenced, issuer.closeOne(ctx, slot, ticket, OutcomeFenced)
}

func (issuer *Issuer) fenced(ctx context.Context, ticket Ticket) bool {
	report, _, err := issuer.report(ctx, ticket.Target)
	return err == nil && report.Number >= ticket.Number
}

// abandon gives up a target that does not fence. Nothing is sent to it again.
func (issuer *Issuer) abandon(ctx context.Context, slot *slot, found Ticket) (Outcome, error) {
	_, err := issuer.replace(ctx, slot, found, func(ticket *Ticket) {
		ticket.State = StateAbandoned
		ticket.Outcome = OutcomeAbandoned
	})
	if err != nil {
		return "", err
	}
	issuer.options.metrics.abandoned.Inc()
	issuer.options.logger.Warn().Str("target", found.Target.ID).Str("writer", found.Writer).
		Uint64("number", found.Number).Msg("target abandoned")
	return OutcomeAbandoned, nil
}

// replace writes a changed copy of an open ticket as one of this process, with
// the check of the lease, and returns what it wrote.
func (issuer *Issuer) replace(ctx context.Context, slot *slot, found Ticket, edit func(*Ticket)) (Ticket, error) {
	grant, err := issuer.grant()
	if err != nil {
		return Ticket{}, err
	}
	current, version, err := issuer.load(ctx, slot)
	if err != nil {
		return Ticket{}, err
	}
	if !current.same(found) {
		return Ticket{}, code.Errorf(code.OrderOpen, "row %s was written since it was read", slot.key)
	}
	ticket := found
	ticket.Epoch = grant.Epoch
	ticket.Writer = issuer.instance
	ticket.Session = issuer.session
	ticket.Written = time.Now().UTC()
	ticket.Inherited = true
	edit(&ticket)
	changes := []*change{{slot: slot, version: version, ticket: ticket}}
	issuer.writeBatch(ctx, changes, []table.Write{grant.Condition()}, impatient)
	return ticket, lost(changes[0].err)
}

// nextNumber returns the number after last. Numbers also go up with the epoch,
// so that an order meant for an earlier target at the same address is refused
// by one that fences.
func nextNumber(last, epoch uint64) uint64 {
	return max(last+1, epoch<<epochShift)
}
