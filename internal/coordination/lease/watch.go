package lease

import (
	"context"
	"strconv"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// observation is what a challenger has seen of the heartbeat row.
type observation struct {
	version uint64
	since   time.Time // when the version was first seen
	last    time.Time // when it was last seen
}

// watch looks at the heartbeat and takes the lease over if it is free.
func (contest *contest) watch(ctx context.Context) time.Duration {
	row, err := contest.get(ctx, contest.lease.heartbeatKey())
	switch {
	case code.Is(err, code.RowMissing):
		return contest.take(ctx, table.Row{})
	case err != nil:
		return contest.failed(err, "watch")
	}
	contest.failures = 0
	record, err := decodeHeartbeat(row)
	if err != nil {
		return contest.malformed(err)
	}
	repeated := contest.observe(row.Version, time.Now())
	if record.Released || contest.lapsed() {
		return contest.take(ctx, row)
	}
	return contest.untilNextLook(repeated)
}

// observe records a look at the heartbeat and reports whether its version is
// that of the look before. Looks more than a term apart prove nothing about
// the time between them, so the observation starts anew: after an outage of
// the store the holder gets a whole term to renew.
func (contest *contest) observe(version uint64, now time.Time) bool {
	seen := &contest.observed
	repeated := seen.version == version
	if !repeated || now.Sub(seen.last) > contest.lease.options.term {
		seen.since = now
	}
	seen.version = version
	seen.last = now
	return repeated
}

func (contest *contest) lapsed() bool {
	return contest.observed.last.Sub(contest.observed.since) >= contest.lease.options.term
}

// untilNextLook returns how long to wait before the next look. An instance
// that is no standby looks closely only while the heartbeat stands still.
func (contest *contest) untilNextLook(repeated bool) time.Duration {
	options := &contest.lease.options
	if !repeated && !options.standby() {
		return options.watch()
	}
	lapse := options.term - contest.observed.last.Sub(contest.observed.since)
	return min(options.renewal(), lapse+options.upTo(options.term/takeoverDivisor))
}

// take tries to take the lease over from the heartbeat row given, which has
// version 0 if there is none.
func (contest *contest) take(ctx context.Context, heartbeat table.Row) time.Duration {
	epoch, err := contest.get(ctx, contest.lease.epochKey())
	if err != nil && !code.Is(err, code.RowMissing) {
		return contest.failed(err, "take")
	}
	last, err := lastEpoch(epoch, heartbeat)
	if err != nil {
		return contest.malformed(err)
	}
	tenure := contest.newTenure(last + 1)
	err = contest.commitTakeover(ctx, tenure, epoch, heartbeat)
	if code.Is(err, code.RowConflict) {
		return contest.lease.options.renewal()
	}
	if err != nil && !code.Is(err, code.WriteUnknown) {
		return contest.failed(err, "take")
	}
	return contest.confirm(ctx, tenure)
}

// lastEpoch returns the epoch before the next takeover. Rows that do not fit
// together are refused.
func lastEpoch(epoch, heartbeat table.Row) (uint64, error) {
	if (epoch.Version == 0) != (heartbeat.Version == 0) {
		return 0, code.Errorf(code.RowMalformed, "one row of the lease is missing")
	}
	if epoch.Version == 0 {
		return 0, nil
	}
	record, err := decodeEpoch(epoch)
	return record.Epoch, err
}

func (contest *contest) newTenure(epoch uint64) *tenure {
	contest.attempts++
	return &tenure{
		epoch: epoch,
		nonce: contest.lease.session + "-" + strconv.FormatUint(contest.attempts, 10),
		sent:  contest.lease.now(),
	}
}

func (contest *contest) commitTakeover(ctx context.Context, tenure *tenure, epoch, heartbeat table.Row) error {
	ctx, cancel := contest.call(ctx)
	defer cancel()
	holder := contest.lease.holder
	return contest.lease.store.Commit(
		ctx,
		table.Write{
			Key: contest.lease.epochKey(), Version: epoch.Version,
			Value: encode(epochRecord{Epoch: tenure.epoch, Holder: holder, Nonce: tenure.nonce}),
		},
		table.Write{
			Key: contest.lease.heartbeatKey(), Version: heartbeat.Version,
			Value: encode(heartbeatRecord{Epoch: tenure.epoch, Holder: holder, Nonce: tenure.nonce}),
		},
	)
}

// confirm reads the epoch row back, which gives its version and tells whether
// a takeover without an answer took effect.
func (contest *contest) confirm(ctx context.Context, tenure *tenure) time.Duration {
	limit := tenure.sent.monotonic.Add(contest.lease.options.term)
	for ctx.Err() == nil && time.Now().Before(limit) {
		row, err := contest.get(ctx, contest.lease.epochKey())
		if err != nil {
			pause.For(ctx, contest.failed(err, "confirm"))
			continue
		}
		contest.failures = 0
		contest.begin(tenure, row)
		break
	}
	return 0
}

func (contest *contest) begin(tenure *tenure, row table.Row) {
	record, err := decodeEpoch(row)
	if err != nil || record.Nonce != tenure.nonce {
		contest.observed = observation{}
		return
	}
	lease := contest.lease
	tenure.grant = Grant{Epoch: tenure.epoch, Key: row.Key, Version: row.Version}
	contest.tenure = tenure
	lease.belief.Store(&belief{grant: tenure.grant, sent: tenure.sent})
	lease.options.metrics.takeovers.Inc()
	lease.options.metrics.epoch.Set(float64(tenure.epoch))
	lease.options.logger.Info().Uint64("epoch", tenure.epoch).Msg("taken")
}

func (contest *contest) malformed(err error) time.Duration {
	options := &contest.lease.options
	options.metrics.malformed.Inc()
	options.logger.Error().Err(err).Msg("row cannot be read")
	return options.renewal()
}

func (contest *contest) get(ctx context.Context, key string) (table.Row, error) {
	ctx, cancel := contest.call(ctx)
	defer cancel()
	return contest.lease.store.Get(ctx, key)
}
