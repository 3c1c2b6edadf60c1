package order

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/state/table"
)

// closeGracePeriod is how long the tickets of in-flight orders may still be
// closed after the context of the call has ended.
const closeGracePeriod = 5 * time.Second

// attempt is the state of one request while it is being issued.
type attempt struct {
	request        Request
	record         *record
	ticket         Ticket // as written when it was opened
	rowVersion     uint64 // of the row before the ticket was opened
	reportedBootID string // boot ID in the target's last report
	closeUpdate    *update
	result         Result
	final          bool // result is complete; later steps skip the attempt
}

// Issue issues one order. See IssueAll for the errors.
func (issuer *Issuer) Issue(ctx context.Context, request Request) Result {
	return issuer.IssueAll(ctx, []Request{request})[0]
}

// IssueAll issues one order to each of several targets and returns the results in
// the sequence of the requests. The context bounds the steps before an order is
// sent; once sent, an order is followed until it is acknowledged, refused or
// times out.
//
// Errors have one of these codes:
//
//   - code.LeaseLost: another process holds the lease.
//   - code.OrderOpen: the target has an order in flight, is busy, or has not yet
//     reported a state that is younger than its last order.
//   - code.OutcomeUnknown: the order may be in flight.
//   - a code of the store.
//
// Nothing was sent if the code is not code.OutcomeUnknown, except that
// code.LeaseLost is also returned if the next lease holder replaced the ticket
// after the order was sent.
func (issuer *Issuer) IssueAll(ctx context.Context, requests []Request) []Result {
	attempts := make([]*attempt, len(requests))
	for i, request := range requests {
		attempts[i] = &attempt{request: request, result: Result{TargetID: request.Target.ID}}
	}
	issuer.forEachPending(attempts, func(attempt *attempt) { issuer.prepare(ctx, attempt) })
	issuer.openAll(ctx, attempts)
	issuer.sendAll(ctx, attempts)
	results := make([]Result, len(attempts))
	for i, attempt := range attempts {
		if attempt.record != nil {
			issuer.release(attempt.record)
		}
		results[i] = attempt.result
	}
	return results
}

// forEachPending runs step concurrently on the attempts whose result is not
// final.
func (issuer *Issuer) forEachPending(attempts []*attempt, step func(*attempt)) {
	group := errgroup.Group{}
	group.SetLimit(issuer.options.concurrency)
	for _, attempt := range attempts {
		if attempt.final {
			continue
		}
		group.Go(func() error {
			step(attempt)
			return nil
		})
	}
	_ = group.Wait() // step stores its error in the attempt
}

func (attempt *attempt) fail(err error) {
	attempt.result.Err = err
	attempt.final = true
}

func (attempt *attempt) finish(outcome Outcome) {
	attempt.result.Outcome = outcome
	attempt.final = true
}

// prepare claims the row and checks that the target can accept the order.
func (issuer *Issuer) prepare(ctx context.Context, attempt *attempt) {
	grant, err := issuer.grant()
	if err != nil {
		attempt.fail(err)
		return
	}
	target := attempt.request.Target
	record, err := issuer.claim(targetKey(issuer.dataCenter, target.ID))
	if err != nil {
		attempt.fail(err)
		return
	}
	attempt.record = record
	ticket, version, err := issuer.loadTicket(ctx, record)
	if err != nil {
		attempt.fail(err)
		return
	}
	if ticket.Number != 0 && ticket.State != StateClosed {
		attempt.fail(code.Errorf(code.OrderOpen, "last order %d to target %s is %s", ticket.Number, target.ID, ticket.State))
		return
	}
	attempt.rowVersion = version
	attempt.request.Order.Number = nextNumber(ticket.Number, grant.Epoch)
	issuer.checkReport(ctx, attempt)
}

func (issuer *Issuer) checkReport(ctx context.Context, attempt *attempt) {
	target := attempt.request.Target
	report, stateAt, err := issuer.fetchReport(ctx, target)
	switch {
	case err != nil:
		attempt.fail(err)
	case !issuer.isFresh(attempt.record, stateAt):
		attempt.fail(code.Errorf(code.OrderOpen, "report of target %s is older than its last order or the current lease grant", target.ID))
	case report.Satisfies(attempt.request.Order):
		attempt.finish(OutcomeSatisfied)
	case report.Phase == PhaseChanging:
		attempt.fail(code.Errorf(code.OrderOpen, "target %s is carrying out an order", target.ID))
	}
	attempt.reportedBootID = report.BootID
}

// fetchReport returns the state of a target and the earliest time at which that
// state can have been read. The age is subtracted from the time before the call,
// because the process may be paused after the call.
func (issuer *Issuer) fetchReport(ctx context.Context, target note.Target) (TargetReport, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	calledAt := time.Now()
	report, err := issuer.dependencies.Targets.FetchReport(ctx, target)
	return report, calledAt.Add(-report.Age), err
}

// openAll writes the open tickets in transactions that also check the lease.
func (issuer *Issuer) openAll(ctx context.Context, attempts []*attempt) {
	grant, err := issuer.grant()
	var pending []*attempt
	var updates []*update
	for _, attempt := range attempts {
		if attempt.final {
			continue
		}
		if err != nil {
			attempt.fail(err)
			continue
		}
		attempt.ticket = issuer.newTicket(attempt.request, grant.Epoch)
		pending = append(pending, attempt)
		updates = append(updates, &update{record: attempt.record, expectedVersion: attempt.rowVersion, ticket: attempt.ticket})
	}
	issuer.commitAll(ctx, updates, []table.Write{grant.Condition()}, failFast)
	for i, attempt := range pending {
		if err := updates[i].err; err != nil {
			attempt.fail(conflictAsLeaseLost(err))
			continue
		}
		attempt.result.Number = attempt.ticket.Number
		issuer.options.metrics.ticketsOpened.Inc()
	}
}

// conflictAsLeaseLost turns code.RowConflict into code.LeaseLost: only a process
// that took over the lease writes rows that this process has read.
func conflictAsLeaseLost(err error) error {
	if code.Is(err, code.RowConflict) {
		return code.Wrap(err, code.LeaseLost, "write ticket")
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
		WrittenAt:  time.Now().UTC(),
	}
}

// sendAll sends the orders and closes the tickets of acknowledged ones in batches.
func (issuer *Issuer) sendAll(ctx context.Context, attempts []*attempt) {
	ctx, cancel := withGracePeriod(ctx, closeGracePeriod)
	defer cancel()
	acknowledged := make(chan *attempt)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		issuer.closeBatches(ctx, acknowledged)
	}()
	issuer.forEachPending(attempts, func(attempt *attempt) {
		if outcome := issuer.sendAndResolve(ctx, attempt); outcome != "" {
			attempt.result.Outcome = outcome
			acknowledged <- attempt
		}
	})
	close(acknowledged)
	<-closed
}

// sendAndResolve sends the order of an open ticket and returns the outcome with
// which the ticket has to be closed. It returns "" if the attempt is final: the
// ticket stays open, or was closed after the outcome was found by other means.
func (issuer *Issuer) sendAndResolve(ctx context.Context, attempt *attempt) Outcome {
	if err := issuer.beginSend(attempt.record, attempt.ticket.Number, attempt.reportedBootID); err != nil {
		attempt.fail(err)
		return ""
	}
	outcome := issuer.sendOrder(ctx, attempt.record, attempt.ticket)
	if outcome != "" {
		return outcome
	}
	outcome, err := issuer.resolveOwnTicket(ctx, attempt.record, attempt.ticket)
	if err != nil || outcome == "" {
		attempt.fail(code.Errorf(code.OutcomeUnknown, "outcome of order %d to target %s is unknown", attempt.ticket.Number, attempt.request.Target.ID))
		return ""
	}
	attempt.finish(outcome)
	return ""
}

// sendOrder sends an order and returns its outcome, or "" if that is unknown.
func (issuer *Issuer) sendOrder(ctx context.Context, record *record, ticket Ticket) Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), issuer.options.sendTimeout)
	defer cancel()
	ack, err := issuer.dependencies.Targets.Send(ctx, ticket.Target, ticket.Order)
	issuer.endSend(record, ack.BootID)
	switch {
	case err == nil && ack.Number == ticket.Number:
		return OutcomeDone
	case code.Is(err, code.OrderRefused):
		return OutcomeRefused
	case err != nil && code.RunStatusFromError(err) == code.NotRun:
		return OutcomeNotSent
	default:
		issuer.options.metrics.outcomesUnknown.Inc()
		issuer.options.logger.Warn().Err(err).Str("target", ticket.Target.ID).
			Uint64("number", ticket.Number).Msg("order outcome unknown")
		return ""
	}
}

// withGracePeriod returns a context that is cancelled a grace period after ctx
// ends.
func withGracePeriod(ctx context.Context, grace time.Duration) (context.Context, context.CancelFunc) {
	extended, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(grace, cancel) })
	return extended, func() {
		stop()
		cancel()
	}
}
