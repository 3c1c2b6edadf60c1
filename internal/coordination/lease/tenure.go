package lease

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// tenure is the time from a takeover by this process to the next takeover.
type tenure struct {
	epoch    uint64
	nonce    string
	grant    Grant
	version  uint64 // of the heartbeat row, 0 if it has to be read
	sequence uint64 // of the last renewal sent
	sent     moment // when that was sent
}

// renew writes one heartbeat.
func (contest *contest) renew(ctx context.Context) time.Duration {
	tenure := contest.tenure
	if tenure.version == 0 {
		if err := contest.reread(ctx); err != nil {
			return contest.failed(err, "renew")
		}
		if contest.tenure == nil {
			return 0
		}
	}
	tenure.sequence++
	tenure.sent = contest.lease.now()
	err := contest.beat(ctx, false)
	tenure.version = 0
	if code.Is(err, code.RowConflict) {
		return 0
	}
	if err != nil {
		return contest.failed(err, "renew")
	}
	contest.failures = 0
	contest.extend()
	return contest.lease.options.renewal()
}

// reread reads the heartbeat row. It ends the tenure if another process took
// over, and extends it if the last renewal took effect though its answer was
// lost.
func (contest *contest) reread(ctx context.Context) error {
	tenure := contest.tenure
	row, err := contest.get(ctx, contest.lease.heartbeatKey())
	if err != nil {
		return err
	}
	record, err := decodeHeartbeat(row)
	if err != nil {
		contest.lease.options.metrics.malformed.Inc()
		return err
	}
	if record.Nonce != tenure.nonce {
		contest.end(record)
		return nil
	}
	tenure.version = row.Version
	if record.Sequence == tenure.sequence {
		contest.extend()
	}
	return nil
}

// extend believes in the lease from the moment the last renewal was sent.
func (contest *contest) extend() {
	tenure := contest.tenure
	contest.lease.belief.Store(&belief{grant: tenure.grant, sent: tenure.sent})
}

func (contest *contest) end(successor heartbeatRecord) {
	lease := contest.lease
	lease.belief.Store(nil)
	contest.tenure = nil
	contest.observed = observation{}
	lease.options.metrics.losses.Inc()
	lease.options.metrics.epoch.Set(0)
	lease.options.logger.Warn().Uint64("epoch", successor.Epoch).
		Str("holder", successor.Holder).Msg("lost to another instance")
}

func (contest *contest) beat(ctx context.Context, released bool) error {
	ctx, cancel := contest.call(ctx)
	defer cancel()
	tenure := contest.tenure
	record := heartbeatRecord{
		Epoch: tenure.epoch, Holder: contest.lease.holder, Nonce: tenure.nonce,
		Sequence: tenure.sequence, Released: released,
	}
	return contest.lease.store.Commit(ctx, table.Write{
		Key: contest.lease.heartbeatKey(), Version: tenure.version, Value: encode(record),
	})
}

// release lets the next challenger take the lease at once. Without it, the
// lease lapses by itself.
func (contest *contest) release(ctx context.Context) error {
	if contest.tenure == nil {
		return nil
	}
	contest.lease.belief.Store(nil)
	contest.lease.options.metrics.epoch.Set(0)
	if err := contest.reread(ctx); err != nil || contest.tenure == nil {
		return err
	}
	contest.lease.belief.Store(nil)
	contest.tenure.sequence++
	return contest.beat(ctx, true)
}
