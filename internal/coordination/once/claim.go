package once

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

const (
	firstPollMS = 20
	lastPollMS  = 400
)

// claim is the attempt of one call to get the row of its key.
type claim struct {
	guard   *Guard
	key     string
	record  record
	version uint64 // version that the row has to have for the claim
	written bool   // a write of the record may have taken effect, now or later
	earlier bool   // a row of another call was there
	until   time.Time
	poll    time.Duration
}

func newClaim(guard *Guard, call Call) *claim {
	return &claim{
		guard:  guard,
		key:    call.rowKey(),
		record: guard.newRecord(call),
		until:  time.Now().Add(guard.settings.wait),
		poll:   firstPollMS * time.Millisecond,
	}
}

// run writes the claim and reads the row until one of them settles who has it.
func (claim *claim) run(ctx context.Context) (*Ticket, *Outcome, error) {
	for {
		won, err := claim.write(ctx)
		if err != nil {
			return nil, nil, claim.refuse(err)
		}
		if won {
			return claim.ticket(), nil, nil
		}
		ticket, outcome, err := claim.read(ctx)
		if ticket != nil || outcome != nil || err != nil {
			return ticket, outcome, err
		}
	}
}

// write tries the compare-and-set. It returns an error only when the claim was
// certainly not made by this or an earlier write.
func (claim *claim) write(ctx context.Context) (bool, error) {
	write, err := claim.record.write(claim.key, claim.version)
	if err != nil {
		return false, err
	}
	err = claim.guard.store.Commit(ctx, write)
	switch {
	case err == nil:
		return true, nil
	case code.Is(err, code.RowConflict):
		claim.earlier = claim.earlier || !claim.written
		return false, nil
	case code.Is(err, code.StoreDown) && !claim.written:
		return false, err
	default:
		claim.written = true
		return false, nil
	}
}

// read looks at the row until it tells whose it is. It returns nothing when
// the claim has to be written again.
func (claim *claim) read(ctx context.Context) (*Ticket, *Outcome, error) {
	for {
		row, err := claim.guard.store.Get(ctx, claim.key)
		switch {
		case code.Is(err, code.RowMissing):
			return nil, nil, claim.again(ctx)
		case err == nil:
			ticket, outcome, again, err := claim.judge(ctx, row)
			if !again {
				return ticket, outcome, err
			}
		}
		if !claim.sleep(ctx) {
			return nil, nil, claim.refuse(err)
		}
	}
}

// judge decides on a row. The third result tells to read the row again later.
func (claim *claim) judge(ctx context.Context, row table.Row) (*Ticket, *Outcome, bool, error) {
	found, err := decode(row)
	if err != nil {
		claim.guard.logger().Error().Err(err).Msg("row is malformed")
		return nil, nil, false, claim.drop(err)
	}
	if found.Nonce == claim.record.Nonce {
		return claim.ticket(), nil, false, nil
	}
	if found.State == released {
		claim.version, claim.earlier = row.Version, false
		return nil, nil, false, claim.expired(ctx)
	}
	claim.earlier = true
	if found.Fingerprint != claim.record.Fingerprint {
		err := code.Errorf(code.IdempotencyMismatch, "the idempotency key was used with another request")
		return nil, nil, false, claim.drop(err)
	}
	if found.State == done {
		outcome, err := claim.guard.load(ctx, found)
		return nil, outcome, false, claim.drop(err)
	}
	if time.Now().After(claim.until) {
		err := code.Errorf(code.OutcomeUnknown, "the call was claimed earlier and has no outcome yet")
		return nil, nil, false, claim.drop(code.WithRetry(err, 1))
	}
	return nil, nil, true, nil
}

func (claim *claim) ticket() *Ticket {
	return newTicket(claim.guard, claim.key, claim.record)
}

// again makes the next write ask for a row that does not exist. A write whose
// answer was lost may be on its way, so it is given a moment.
func (claim *claim) again(ctx context.Context) error {
	claim.version = 0
	if claim.written {
		claim.sleep(ctx)
	}
	return claim.expired(ctx)
}

// expired refuses the call when its time for the claim is over.
func (claim *claim) expired(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return claim.refuse(ctx.Err())
}

// refuse gives up without a ticket. The call is not sent, and no other
// instance takes the row of this claim for a licence, so it does not run. If
// the row of an earlier call with the same key was seen, that one may have run.
func (claim *claim) refuse(cause error) error {
	if cause == nil {
		cause = context.DeadlineExceeded
	}
	if claim.earlier {
		return claim.drop(code.Wrap(cause, code.OutcomeUnknown, "the call was claimed earlier"))
	}
	return claim.drop(code.Wrap(cause, code.StoreUnavailable, "the call could not be claimed"))
}

// drop releases a claim that may have been written and will not be used.
func (claim *claim) drop(err error) error {
	if claim.written {
		claim.guard.jobs.release(claim.key, claim.record)
	}
	return err
}

func (claim *claim) sleep(ctx context.Context) bool {
	delay := claim.guard.jitter(claim.poll)
	claim.poll = min(2*claim.poll, lastPollMS*time.Millisecond)
	return pause.For(ctx, delay)
}
