package order

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/state/table"
)

// closeGrace is how long tickets of orders on their way are still closed after
// the context of a call ended.
const closeGrace = 5 * time.Second

// attempt is one request on its way.
type attempt struct {
	request Request
	slot    *slot
	ticket  Ticket // as opened
	version uint64 // of the row before
	before  string // boot of the target
	closing *change
	result  Result
	settled bool // the result is final
}

// Do issues one order. See DoAll.
func (issuer *Issuer) Do(ctx context.Context, request Request) Result {
	return issuer.DoAll(ctx, []Request{request})[0]
}

// DoAll issues one order to each of several targets and returns the results in
// the order of the requests. The context bounds what comes before an order is
// sent; an order on its way is followed to its end.
//
// Errors have code.LeaseLost if another process is in charge, code.OrderOpen
// if the target has an order under way, is busy, or has not yet reported a
// state after its last order, code.OutcomeUnknown if the order may be under
// way, or the code of the store. Nothing was sent under any code but
// code.OutcomeUnknown, except that a ticket lost to a successor after sending
// also gives code.LeaseLost.
func (issuer *Issuer) DoAll(ctx context.Context, requests []Request) []Result {
	attempts := make([]*attempt, len(requests))
	for i, request := range requests {
		attempts[i] = &attempt{request: request, result: Result{Target: request.Target.ID}}
	}
	issuer.each(attempts, func(attempt *attempt) { issuer.prepare(ctx, attempt) })
	issuer.open(ctx, attempts)
	issuer.carryOut(ctx, attempts)
	results := make([]Result, len(attempts))
	for i, attempt := range attempts {
		if attempt.slot != nil {
			issuer.unclaim(attempt.slot)
		}
		results[i] = attempt.result
	}
	return results
}

// each runs step on the attempts that are not settled, several at a time.
func (issuer *Issuer) each(attempts []*attempt, step func(*attempt)) {
	group := errgroup.Group{}
	group.SetLimit(issuer.options.parallel)
	for _, attempt := range attempts {
		if attempt.settled {
			continue
		}
		group.Go(func() error {
			step(attempt)
			return nil
		})
	}
	_ = group.Wait() // steps keep their errors in their attempts
}

func (attempt *attempt) fail(err error) {
	attempt.result.Err = err
	attempt.settled = true
}

func (attempt *attempt) end(outcome Outcome) {
	attempt.result.Outcome = outcome
	attempt.settled = true
}

// prepare claims the row and checks that the target can take the order.
func (issuer *Issuer) prepare(ctx context.Context, attempt *attempt) {
	grant, err := issuer.grant()
	if err != nil {
		attempt.fail(err)
		return
	}
	target := attempt.request.Target
	slot, err := issuer.claim(targetKey(issuer.dataCenter, target.ID))
	if err != nil {
		attempt.fail(err)
		return
	}
	attempt.slot = slot
	ticket, version, err := issuer.load(ctx, slot)
	if err != nil {
		attempt.fail(err)
		return
	}
	if ticket.Number != 0 && ticket.State != StateClosed {
		attempt.fail(code.Errorf(code.OrderOpen, "order %d to %s is %s", ticket.Number, target.ID, ticket.State))
		return
	}
	attempt.version = version
	attempt.request.Order.Number = nextNumber(ticket.Number, grant.Epoch)
	issuer.checkReport(ctx, attempt)
}

func (issuer *Issuer) checkReport(ctx context.Context, attempt *attempt) {
	target := attempt.request.Target
	report, since, err := issuer.report(ctx, target)
	switch {
	case err != nil:
		attempt.fail(err)
	case !issuer.fresh(attempt.slot, since):
		attempt.fail(code.Errorf(code.OrderOpen, "the report of %s is older than its last order", target.ID))
	case report.Satisfies(attempt.request.Order):
		attempt.end(OutcomeSatisfied)
	case report.Phase == PhaseChanging:
		attempt.fail(code.Errorf(code.OrderOpen, "target %s is carrying out an order", target.ID))
	}
	attempt.before = report.Boot
}

// report returns the state of a target and the earliest time at which that was
// its state. The age counts from before the call, as the process may be paused
// after it.
func (issuer *Issuer) report(ctx context.Context, target note.Target) (Report, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := time.Now()
	report, err := issuer.services.Targets.Report(ctx, target)
	return report, asked.Add(-report.Age), err
}

// open writes the tickets together with the check of the lease.
func (issuer *Issuer) open(ctx context.Context, attempts []*attempt) {
	grant, err := issuer.grant()
	var opening []*attempt
	var changes []*change
	for _, attempt := range attempts {
		if attempt.settled {
			continue
		}
		if err != nil {
			attempt.fail(err)
			continue
		}
		attempt.ticket = issuer.newTicket(attempt.request, grant.Epoch)
		opening = append(opening, attempt)
		changes = append(changes, &change{slot: attempt.slot, version: attempt.version, ticket: attempt.ticket})
	}
	issuer.write(ctx, changes, []table.Write{grant.Condition()}, impatient)
	for i, attempt := range opening {
		if err := changes[i].err; err != nil {
			attempt.fail(lost(err))
			continue
		}
		attempt.result.Number = attempt.ticket.Number
		issuer.options.metrics.opened.Inc()
	}
}

// lost gives a conflict the code of its cause: only a successor writes rows
// that this process has read.
func lost(err error) error {
	if code.Is(err, code.RowConflict) {
		return code.Wrap(err, code.LeaseLost, "ticket")
	}
	return err
}

func (issuer *Issuer) newTicket(request Request, epoch uint64) Ticket {
	return Ticket{
		DataCenter: issuer.dataCenter,
		Target:     request.Target,
		Number:     request.Order.Number,
		Epoch:      epoch,
		Writer:     issuer.instance,
		Session:    issuer.session,
		State:      StateOpen,
		Order:      request.Order,
		Written:    time.Now().UTC(),
	}
}

// carryOut sends the orders and closes their tickets in batches.
func (issuer *Issuer) carryOut(ctx context.Context, attempts []*attempt) {
	ctx, cancel := linger(ctx, closeGrace)
	defer cancel()
	answered := make(chan *attempt)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		issuer.closeAnswered(ctx, answered)
	}()
	issuer.each(attempts, func(attempt *attempt) {
		if outcome := issuer.send(ctx, attempt); outcome != "" {
			attempt.result.Outcome = outcome
			answered <- attempt
		}
	})
	close(answered)
	<-closed
}

// send sends the order of an open ticket and returns the outcome with which to
// close the ticket, or none if it stays open or was settled otherwise.
func (issuer *Issuer) send(ctx context.Context, attempt *attempt) Outcome {
	if err := issuer.depart(attempt.slot, attempt.ticket.Number, attempt.before); err != nil {
		attempt.fail(err)
		return ""
	}
	outcome := issuer.deliver(ctx, attempt.slot, attempt.ticket)
	if outcome != "" {
		return outcome
	}
	outcome, err := issuer.resolveOwn(ctx, attempt.slot, attempt.ticket)
	if err != nil || outcome == "" {
		attempt.fail(code.Errorf(code.OutcomeUnknown, "order %d to %s got no clear answer", attempt.ticket.Number, attempt.request.Target.ID))
		return ""
	}
	attempt.end(outcome)
	return ""
}

// deliver sends an order and returns its outcome, or none if that is unknown.
func (issuer *Issuer) deliver(ctx context.Context, slot *slot, ticket Ticket) Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), issuer.options.sendTimeout)
	defer cancel()
	ack, err := issuer.services.Targets.Send(ctx, ticket.Target, ticket.Order)
	issuer.arrived(slot, ack.Boot)
	switch {
	case err == nil && ack.Number == ticket.Number:
		return OutcomeDone
	case code.Is(err, code.OrderRefused):
		return OutcomeRefused
	case err != nil && code.RunOf(err) == code.NotRun:
		return OutcomeNotSent
	default:
		issuer.options.metrics.unknown.Inc()
		issuer.options.logger.Warn().Err(err).Str("target", ticket.Target.ID).
			Uint64("number", ticket.Number).Msg("no clear answer")
		return ""
	}
}

// linger returns a context that ends some time after ctx.
func linger(ctx context.Context, grace time.Duration) (context.Context, context.CancelFunc) {
	longer, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(grace, cancel) })
	return longer, func() {
		stop()
		cancel()
	}
}
