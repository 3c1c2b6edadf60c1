package once

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

const (
	initialPollIntervalMS = 20
	maxPollIntervalMS     = 400
)

// claim is an attempt to claim the row of a call's idempotency key.
type claim struct {
	deduplicator    *Deduplicator
	key             string
	record          record
	expectedVersion uint64 // row version that the compare-and-set expects
	maybeWritten    bool   // a write of the record took effect or may still do so
	sawOtherClaim   bool   // another call's row was found under the key
	outcomeDeadline time.Time
	pollInterval    time.Duration
}

func newClaim(deduplicator *Deduplicator, call Call) *claim {
	return &claim{
		deduplicator:    deduplicator,
		key:             call.rowKey(),
		record:          deduplicator.newRecord(call),
		outcomeDeadline: time.Now().Add(deduplicator.settings.outcomeTimeout),
		pollInterval:    initialPollIntervalMS * time.Millisecond,
	}
}

// run writes the claim and reads the row in turn until the owner of the row is
// known.
func (claim *claim) run(ctx context.Context) (*Ticket, *Outcome, error) {
	for {
		won, err := claim.write(ctx)
		if err != nil {
			return nil, nil, claim.fail(err)
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

// write attempts the compare-and-set and reports whether it succeeded. It
// returns an error only if neither this nor an earlier write can have taken
// effect.
func (claim *claim) write(ctx context.Context) (bool, error) {
	write, err := claim.record.newWrite(claim.key, claim.expectedVersion)
	if err != nil {
		return false, err
	}
	err = claim.deduplicator.store.Commit(ctx, write)
	switch {
	case err == nil:
		return true, nil
	case code.Is(err, code.RowConflict):
		claim.sawOtherClaim = claim.sawOtherClaim || !claim.maybeWritten
		return false, nil
	case code.Is(err, code.StoreDown) && !claim.maybeWritten:
		return false, err
	default:
		claim.maybeWritten = true
		return false, nil
	}
}

// read polls the row until its owner is known. It returns only nil values if the
// claim has to be written again.
func (claim *claim) read(ctx context.Context) (*Ticket, *Outcome, error) {
	for {
		row, err := claim.deduplicator.store.Get(ctx, claim.key)
		switch {
		case code.Is(err, code.RowMissing):
			return nil, nil, claim.prepareRewrite(ctx)
		case err == nil:
			ticket, outcome, poll, err := claim.evaluate(ctx, row)
			if !poll {
				return ticket, outcome, err
			}
		}
		if !claim.sleep(ctx) {
			return nil, nil, claim.fail(err)
		}
	}
}

// evaluate decides what a row means for the claim. The third result reports
// whether the row has to be read again later.
func (claim *claim) evaluate(ctx context.Context, row table.Row) (*Ticket, *Outcome, bool, error) {
	found, err := decode(row)
	if err != nil {
		claim.deduplicator.logger().Error().Err(err).Msg("idempotency row is malformed; refusing the call")
		return nil, nil, false, claim.abort(err)
	}
	if found.Nonce == claim.record.Nonce {
		return claim.ticket(), nil, false, nil
	}
	if found.State == stateReleased {
		claim.expectedVersion, claim.sawOtherClaim = row.Version, false
		return nil, nil, false, claim.checkContext(ctx)
	}
	claim.sawOtherClaim = true
	if found.Fingerprint != claim.record.Fingerprint {
		err := code.Errorf(code.IdempotencyMismatch, "the idempotency key was used with another request")
		return nil, nil, false, claim.abort(err)
	}
	if found.State == stateDone {
		outcome, err := claim.deduplicator.loadOutcome(ctx, found)
		return nil, outcome, false, claim.abort(err)
	}
	if time.Now().After(claim.outcomeDeadline) {
		err := code.Errorf(code.OutcomeUnknown, "the call was claimed earlier and has no outcome yet")
		return nil, nil, false, claim.abort(code.WithRetryAfterSeconds(err, 1))
	}
	return nil, nil, true, nil
}

func (claim *claim) ticket() *Ticket {
	return newTicket(claim.deduplicator, claim.key, claim.record)
}

// prepareRewrite makes the next write expect that the row does not exist. It
// first waits for one poll interval if the response to an earlier write was lost,
// since that write may still take effect.
func (claim *claim) prepareRewrite(ctx context.Context) error {
	claim.expectedVersion = 0
	if claim.maybeWritten {
		claim.sleep(ctx)
	}
	return claim.checkContext(ctx)
}

// checkContext fails the claim if ctx has ended.
func (claim *claim) checkContext(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return claim.fail(ctx.Err())
}

// fail ends the claim without a ticket and returns the error for the caller. The
// call does not run: this instance does not send it, and no other instance may
// send a call under a row that it did not write. If the row of another call with
// the same key was found, that call may have run.
func (claim *claim) fail(cause error) error {
	if cause == nil {
		cause = context.DeadlineExceeded
	}
	if claim.sawOtherClaim {
		return claim.abort(code.Wrap(cause, code.OutcomeUnknown, "the call was claimed earlier"))
	}
	return claim.abort(code.Wrap(cause, code.StoreUnavailable, "the call could not be claimed"))
}

// abort queues the release of a claim that may have been written, and returns
// err.
func (claim *claim) abort(err error) error {
	if claim.maybeWritten {
		claim.deduplicator.queue.enqueueRelease(claim.key, claim.record)
	}
	return err
}

// sleep waits for about the poll interval, which doubles up to its limit, and
// reports whether ctx is still live.
func (claim *claim) sleep(ctx context.Context) bool {
	delay := claim.deduplicator.jitter(claim.pollInterval)
	claim.pollInterval = min(2*claim.pollInterval, maxPollIntervalMS*time.Millisecond)
	return pause.For(ctx, delay)
}
