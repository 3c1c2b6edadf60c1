package tally

import (
	"context"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/state/table"
)

// Store is the part of the platform's table that a reporter needs.
type Store interface {
	Get(ctx context.Context, key string) (table.Row, error)
	Commit(ctx context.Context, writes ...table.Write) error
}

// Sender sends a report to the platform.
type Sender interface {
	ReportUsage(ctx context.Context, holder string, fence uint64, report site.UsageReport) error
}

const (
	// leastSettle is how long after its end a window is summed up at least,
	// settleHeartbeats in heartbeats: one may get lost.
	leastSettle      = 1200 * time.Millisecond
	settleHeartbeats = 2
)

// Reporter reports the windows that have ended. A window's figures are frozen
// in a row of the store under the lease before they are sent, so that a
// successor sends the same.
type Reporter struct {
	meter  *Meter
	store  Store
	sender Sender
	self   string
	late   time.Duration
	period func() time.Duration // longest time between heartbeats
	logger zerolog.Logger

	next   int64                      // first window that is not reported
	frozen map[int64]map[string]int64 // windows that are frozen and not yet sent
}

// NewReporter returns a reporter for the instance named self. Late is how long
// after its end a report is still of use, period the longest time between
// heartbeats.
func NewReporter(meter *Meter, store Store, sender Sender, self string, late time.Duration, period func() time.Duration, logger zerolog.Logger) *Reporter {
	return &Reporter{
		meter: meter, store: store, sender: sender, self: self, late: late, period: period,
		logger: logger.With().Str("part", "usage").Logger(), frozen: map[int64]map[string]int64{},
	}
}

// Step reports the windows that have ended by now, in true time. Held returns
// the grant under which to act and is asked before each call. Only one
// goroutine may call Step.
func (reporter *Reporter) Step(ctx context.Context, now time.Time, held func() (lease.Grant, bool)) {
	settle := max(leastSettle, settleHeartbeats*reporter.period())
	last := reporter.meter.WindowOf(now.Add(-settle)) - 1
	first := reporter.meter.WindowOf(now.Add(-reporter.late - settle))
	reporter.next = max(reporter.next, first)
	for ; reporter.next <= last; reporter.next++ {
		if !reporter.report(ctx, reporter.next, held) {
			return
		}
	}
}

// Reset forgets what was reported, at the begin of a tenure: another holder
// may have reported since.
func (reporter *Reporter) Reset() {
	reporter.next = 0
	clear(reporter.frozen)
}

func (reporter *Reporter) report(ctx context.Context, window int64, held func() (lease.Grant, bool)) bool {
	counts, ok := reporter.frozen[window]
	if !ok {
		grant, holds := held()
		if !holds {
			return false
		}
		var err error
		if counts, err = reporter.freeze(ctx, grant, window); err != nil {
			reporter.logger.Warn().Err(err).Int64("window", window).Msg("window is not frozen")
			return false
		}
		reporter.frozen[window] = counts
	}
	grant, holds := held()
	if !holds {
		return false
	}
	err := reporter.sender.ReportUsage(ctx, reporter.self, grant.Epoch, site.UsageReport{Window: window, Counts: counts})
	if err != nil {
		reporter.logger.Warn().Err(err).Int64("window", window).Msg("report is not accepted")
		return false
	}
	delete(reporter.frozen, window)
	reporter.logger.Info().Int64("window", window).Uint64("fence", grant.Epoch).Interface("counts", counts).Msg("window reported")
	return true
}

// freeze writes the figures of a window, or returns those that stand.
func (reporter *Reporter) freeze(ctx context.Context, grant lease.Grant, window int64) (map[string]int64, error) {
	counts := reporter.meter.Sum(window)
	value, err := json.Marshal(counts, json.Deterministic(true))
	if err != nil {
		return nil, code.Wrap(err, code.Internal, "usage row")
	}
	err = reporter.store.Commit(ctx, grant.Condition(), table.Write{Key: rowOf(window), Value: value})
	if err == nil {
		return counts, nil
	}
	if !code.Is(err, code.RowConflict) && !code.Is(err, code.WriteUnknown) {
		return nil, err
	}
	row, failure := reporter.store.Get(ctx, rowOf(window))
	if failure != nil {
		return nil, failure
	}
	var standing map[string]int64
	if failure := json.Unmarshal(row.Value, &standing); failure != nil {
		return nil, code.Wrap(failure, code.RowMalformed, "usage row")
	}
	return standing, nil
}

func rowOf(window int64) string {
	return "usage/" + strconv.FormatInt(window, 10)
}
