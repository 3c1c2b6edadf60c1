package lease

import (
	"context"
	"strconv"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// observation is what this process has seen of another holder's heartbeat row.
type observation struct {
	version   uint64
	firstSeen time.Time // start of the time over which the version was seen unchanged
	lastSeen  time.Time // latest read of the version
}

// checkHeartbeat reads the heartbeat row and takes the lease over if it is
// free. It returns the delay before the next step.
func (candidate *candidate) checkHeartbeat(ctx context.Context) time.Duration {
	row, err := candidate.readRow(ctx, candidate.lease.heartbeatKey())
	if candidate.followEra() {
		return 0
	}
	switch {
	case code.Is(err, code.RowMissing):
		if wait := candidate.untilSure(); wait > 0 {
			return min(wait, candidate.lease.options.renewalInterval())
		}
		return candidate.takeOver(ctx, table.Row{})
	case err != nil:
		return candidate.recordFailure(err, "watch")
	}
	candidate.consecutiveFailures, candidate.heartbeatMissing = 0, false
	record, err := decodeHeartbeat(row)
	if err != nil {
		return candidate.recordMalformedRow(err)
	}
	unchanged := candidate.observe(row.Version, time.Now())
	if (record.Released && candidate.untilSure() == 0) || candidate.leaseExpired() {
		return candidate.takeOver(ctx, row)
	}
	return candidate.nextReadDelay(unchanged)
}

// observe records the version of the heartbeat row and reports whether the
// previous read returned the same one. Two reads more than a lease duration
// apart prove nothing about the time between them, so the observation then
// starts anew: after an outage of the store the holder gets a whole lease
// duration to renew.
func (candidate *candidate) observe(version uint64, now time.Time) bool {
	observed := &candidate.observed
	unchanged := observed.version == version
	if !unchanged || now.Sub(observed.lastSeen) > candidate.lease.options.duration {
		observed.firstSeen = now
	}
	observed.version = version
	observed.lastSeen = now
	return unchanged
}

func (candidate *candidate) leaseExpired() bool {
	return candidate.observed.lastSeen.Sub(candidate.observed.firstSeen) >= candidate.lease.options.duration
}

// nextReadDelay returns the delay before the next read of the heartbeat. An
// instance that is not a standby reads often only while the heartbeat does not
// change.
func (candidate *candidate) nextReadDelay(unchanged bool) time.Duration {
	options := &candidate.lease.options
	if !unchanged && !options.standby() {
		return options.idleReadInterval()
	}
	untilExpiry := options.duration - candidate.observed.lastSeen.Sub(candidate.observed.firstSeen)
	return min(options.renewalInterval(), untilExpiry+options.randomBelow(options.duration/takeoverSpreadDivisor))
}

// takeOver tries to take the lease over. The heartbeat row must still be as
// given; its version is 0 if there is none. takeOver returns the delay before
// the next step.
func (candidate *candidate) takeOver(ctx context.Context, heartbeat table.Row) time.Duration {
	epoch, err := candidate.readRow(ctx, candidate.lease.epochKey())
	if candidate.followEra() {
		return 0
	}
	if err != nil && !code.Is(err, code.RowMissing) {
		return candidate.recordFailure(err, "take")
	}
	if epoch.Version != 0 && heartbeat.Version == 0 && !candidate.heartbeatMissing {
		// Another process may have written both rows between the two reads.
		candidate.heartbeatMissing = true
		return candidate.lease.options.renewalInterval()
	}
	candidate.heartbeatMissing = false
	last, err := lastEpoch(epoch, heartbeat)
	if err != nil {
		return candidate.recordMalformedRow(err)
	}
	ownership := candidate.newOwnership(max(last+1, candidate.era*epochsPerEra+1))
	ownership.first = epoch.Version == 0 && candidate.unsureSince.IsZero()
	err = candidate.commitTakeover(ctx, ownership, epoch, heartbeat)
	if code.Is(err, code.RowConflict) {
		return candidate.lease.options.renewalInterval()
	}
	if err != nil && !code.Is(err, code.WriteUnknown) {
		return candidate.recordFailure(err, "take")
	}
	return candidate.confirmTakeover(ctx, ownership)
}

// epochsPerEra is more takeovers than one era of the table sees. The epochs of an era are
// above all those of earlier ones, which a restore of the table may have taken back.
const epochsPerEra = 1_000_000

// lastEpoch returns the epoch of the latest takeover, 0 if there was none. It
// returns an error with code.RowMalformed if only one of the two rows exists or
// if the epoch row cannot be decoded.
func lastEpoch(epoch, heartbeat table.Row) (uint64, error) {
	if (epoch.Version == 0) != (heartbeat.Version == 0) {
		return 0, code.Errorf(code.RowMalformed, "only one of the lease's epoch and heartbeat rows exists")
	}
	if epoch.Version == 0 {
		return 0, nil
	}
	record, err := decodeEpoch(epoch)
	return record.Epoch, err
}

func (candidate *candidate) newOwnership(epoch uint64) *ownership {
	candidate.takeoverAttempts++
	return &ownership{
		epoch:  epoch,
		era:    candidate.era,
		nonce:  candidate.lease.session + "-" + strconv.FormatUint(candidate.takeoverAttempts, 10),
		sentAt: candidate.lease.now(),
	}
}

func (candidate *candidate) commitTakeover(ctx context.Context, ownership *ownership, epoch, heartbeat table.Row) error {
	ctx, cancel := candidate.withCallTimeout(ctx)
	defer cancel()
	holder := candidate.lease.holder
	return candidate.lease.store.Commit(
		ctx,
		table.Write{
			Key: candidate.lease.epochKey(), ExpectedVersion: epoch.Version,
			Value: encode(epochRecord{Epoch: ownership.epoch, Holder: holder, Nonce: ownership.nonce}),
		},
		table.Write{
			Key: candidate.lease.heartbeatKey(), ExpectedVersion: heartbeat.Version,
			Value: encode(heartbeatRecord{Epoch: ownership.epoch, Holder: holder, Nonce: ownership.nonce}),
		},
	)
}

// confirmTakeover reads the epoch row back. This yields the row's version, and
// shows whether a takeover whose response was lost took effect.
func (candidate *candidate) confirmTakeover(ctx context.Context, ownership *ownership) time.Duration {
	deadline := ownership.sentAt.monotonic.Add(candidate.lease.options.duration)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		row, err := candidate.readRow(ctx, candidate.lease.epochKey())
		if err != nil {
			pause.For(ctx, candidate.recordFailure(err, "confirm"))
			continue
		}
		candidate.consecutiveFailures = 0
		candidate.beginOwnership(ownership, row)
		break
	}
	return 0
}

// beginOwnership makes this process the holder if the epoch row carries the
// nonce of its takeover.
func (candidate *candidate) beginOwnership(ownership *ownership, row table.Row) {
	record, err := decodeEpoch(row)
	if err != nil || record.Nonce != ownership.nonce || ownership.era != candidate.lease.options.era() {
		candidate.observed = observation{}
		return
	}
	lease := candidate.lease
	ownership.grant = Grant{Epoch: ownership.epoch, Key: row.Key, Version: row.Version, First: ownership.first, Era: ownership.era}
	candidate.ownership = ownership
	lease.lastRenewal.Store(&renewal{grant: ownership.grant, era: ownership.era, sentAt: ownership.sentAt})
	lease.options.metrics.takeovers.Inc()
	lease.options.metrics.epoch.Set(float64(ownership.epoch))
	lease.options.logger.Info().Uint64("epoch", ownership.epoch).Msg("lease taken over by this instance")
}

func (candidate *candidate) recordMalformedRow(err error) time.Duration {
	options := &candidate.lease.options
	options.metrics.malformed.Inc()
	options.logger.Error().Err(err).Msg("row of the lease cannot be decoded")
	return options.renewalInterval()
}

func (candidate *candidate) readRow(ctx context.Context, key string) (table.Row, error) {
	ctx, cancel := candidate.withCallTimeout(ctx)
	defer cancel()
	row, err := candidate.lease.store.Get(ctx, key)
	candidate.answered = candidate.answered || err == nil || code.Is(err, code.RowMissing)
	return row, err
}
