package lease

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// ownership lasts from a takeover by this process to the next takeover by
// another one.
type ownership struct {
	epoch            uint64
	era              uint64 // of the table at the takeover
	first            bool   // there was no holder before
	nonce            string
	grant            Grant
	heartbeatVersion uint64       // version of the heartbeat row, 0 if the row has to be read
	sequence         uint64       // of the last renewal sent
	sentAt           clockReading // when that renewal was sent
}

// renew writes one heartbeat and returns the delay before the next step.
func (candidate *candidate) renew(ctx context.Context) time.Duration {
	ownership := candidate.ownership
	if ownership.heartbeatVersion == 0 {
		if err := candidate.reloadHeartbeat(ctx); err != nil {
			return candidate.recordFailure(err, "renew")
		}
		if candidate.ownership == nil {
			return 0
		}
	}
	ownership.sequence++
	ownership.sentAt = candidate.lease.now()
	err := candidate.writeHeartbeat(ctx, false)
	ownership.heartbeatVersion = 0
	if code.Is(err, code.RowConflict) {
		return 0
	}
	if err != nil {
		return candidate.recordFailure(err, "renew")
	}
	candidate.consecutiveFailures = 0
	candidate.extendValidity()
	return candidate.lease.options.renewalInterval()
}

// reloadHeartbeat reads the heartbeat row. It ends the ownership if another
// process has taken over. If the last renewal took effect although its response
// was lost, it extends the validity of the lease.
func (candidate *candidate) reloadHeartbeat(ctx context.Context) error {
	ownership := candidate.ownership
	row, err := candidate.readRow(ctx, candidate.lease.heartbeatKey())
	if err != nil {
		return err
	}
	record, err := decodeHeartbeat(row)
	if err != nil {
		candidate.lease.options.metrics.malformed.Inc()
		return err
	}
	if record.Nonce != ownership.nonce {
		candidate.endOwnership(record)
		return nil
	}
	ownership.heartbeatVersion = row.Version
	if record.Sequence == ownership.sequence {
		candidate.extendValidity()
	}
	return nil
}

// extendValidity counts the lease as held from the sending of the last renewal,
// not from its response: another process may have seen the renewal before the
// response arrived.
func (candidate *candidate) extendValidity() {
	ownership := candidate.ownership
	candidate.lease.lastRenewal.Store(&renewal{grant: ownership.grant, era: ownership.era, sentAt: ownership.sentAt})
}

// dropOwnership ends the ownership of this process.
func (candidate *candidate) dropOwnership() {
	lease := candidate.lease
	lease.lastRenewal.Store(nil)
	candidate.ownership = nil
	candidate.observed = observation{}
	lease.options.metrics.losses.Inc()
	lease.options.metrics.epoch.Set(0)
}

func (candidate *candidate) endOwnership(successor heartbeatRecord) {
	candidate.dropOwnership()
	candidate.lease.options.logger.Warn().Uint64("epoch", successor.Epoch).
		Str("holder", successor.Holder).Msg("lease lost to another instance")
}

func (candidate *candidate) writeHeartbeat(ctx context.Context, released bool) error {
	ctx, cancel := candidate.withCallTimeout(ctx)
	defer cancel()
	ownership := candidate.ownership
	record := heartbeatRecord{
		Epoch: ownership.epoch, Holder: candidate.lease.holder, Nonce: ownership.nonce,
		Sequence: ownership.sequence, Released: released,
	}
	return candidate.lease.store.Commit(ctx, table.Write{
		Key: candidate.lease.heartbeatKey(), ExpectedVersion: ownership.heartbeatVersion, Value: encode(record),
	})
}

// release marks the lease as free, so that another process can take it over at
// once. If the release fails, the lease expires by itself.
func (candidate *candidate) release(ctx context.Context) error {
	if candidate.ownership == nil {
		return nil
	}
	candidate.lease.lastRenewal.Store(nil)
	candidate.lease.options.metrics.epoch.Set(0)
	if err := candidate.reloadHeartbeat(ctx); err != nil || candidate.ownership == nil {
		return err
	}
	candidate.lease.lastRenewal.Store(nil)
	candidate.ownership.sequence++
	return candidate.writeHeartbeat(ctx, true)
}
