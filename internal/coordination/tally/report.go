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

// Store holds the rows of the reported windows.
type Store interface {
	// Get returns a row.
	Get(ctx context.Context, key string) (table.Row, error)
	// Commit applies all writes or none. The error has code.RowConflict if a
	// condition fails, and code.WriteUnknown if the outcome is unknown.
	Commit(ctx context.Context, writes ...table.Write) error
}

// Sender sends usage reports to the platform.
type Sender interface {
	// ReportUsage sends the report of one window under the fencing token of the
	// lease that holder has.
	ReportUsage(ctx context.Context, holder string, fencingToken uint64, report site.UsageReport) error
}

// Collector gets the counts of ended windows from the other instances.
type Collector interface {
	// Collect asks the instances whose counts of a window are not complete yet,
	// and reports whether those of all live instances are. It does not wait.
	Collect(window int64) bool
}

const (
	// settleTime is how long after its end a window is left alone: the clocks of
	// instances differ a little.
	settleTime = 1200 * time.Millisecond
	// collectShare is the part of the time until a report is due within which
	// the counts of all instances are waited for. Then the window is reported
	// without those that do not answer.
	collectShare = 0.4
)

// Reporter reports the windows that have ended. It writes the counts of a window
// to a row of the store under the lease before it sends them, so that a successor
// sends the same counts. A restore of the store from a copy may take the row back, so
// that windows of before it are left out.
type Reporter struct {
	meter          *Meter
	store          Store
	sender         Sender
	collector      Collector
	instance       string
	maxReportDelay time.Duration
	logger         zerolog.Logger

	eraSeen func() (era uint64, seenAt time.Time) // nil if the store is never restored

	nextWindow int64                      // first window that is not reported yet
	unsent     map[int64]map[string]int64 // counts, by window, that are stored and not sent yet
	storedEra  *eraRow                    // row of the current era, nil if it has to be read
}

// ReporterOption configures a Reporter.
type ReporterOption func(*Reporter)

// WithEra sets the function that returns the number of the store's history, which rises
// when the store is restored from a copy, and a time that it had begun by. Without this
// option the store is never restored.
func WithEra(seen func() (era uint64, seenAt time.Time)) ReporterOption {
	return func(reporter *Reporter) { reporter.eraSeen = seen }
}

// NewReporter returns a reporter for an instance. MaxReportDelay is how long after
// the end of a window its report is still of use.
func NewReporter(meter *Meter, store Store, sender Sender, collector Collector, instance string, maxReportDelay time.Duration, logger zerolog.Logger, opts ...ReporterOption) *Reporter {
	reporter := &Reporter{
		meter: meter, store: store, sender: sender, collector: collector, instance: instance, maxReportDelay: maxReportDelay,
		logger: logger.With().Str("part", "usage").Logger(), unsent: map[int64]map[string]int64{},
	}
	for _, opt := range opts {
		opt(reporter)
	}
	return reporter
}

// ReportEndedWindows reports the windows that have ended at now, in true time.
// It stops at the first window that cannot be reported, which the next call
// tries again. CurrentGrant returns the lease's grant and whether it is held;
// it is called before each call to the store or the platform. Only one
// goroutine may call it.
func (reporter *Reporter) ReportEndedWindows(ctx context.Context, now time.Time, currentGrant func() (lease.Grant, bool)) {
	lastWindow := reporter.meter.WindowAt(now.Add(-settleTime)) - 1
	firstWindow := reporter.meter.WindowAt(now.Add(-reporter.maxReportDelay - settleTime))
	firstOfEra, ok := reporter.firstWindowOfEra(ctx, now, currentGrant)
	if !ok {
		return
	}
	reporter.nextWindow = max(reporter.nextWindow, firstWindow, firstOfEra)
	for ; reporter.nextWindow <= lastWindow; reporter.nextWindow++ {
		if !reporter.isSettled(reporter.nextWindow, now) || !reporter.report(ctx, reporter.nextWindow, currentGrant) {
			return
		}
	}
}

// isSettled reports whether the counts of a window are stored, or complete, or
// not waited for any longer.
func (reporter *Reporter) isSettled(window int64, now time.Time) bool {
	if _, stored := reporter.unsent[window]; stored {
		return true
	}
	collectUntil := reporter.meter.WindowEnd(window).Add(time.Duration(collectShare * float64(reporter.maxReportDelay)))
	return reporter.collector.Collect(window) || !now.Before(collectUntil)
}

// Reset clears the record of reported windows. It is called when the lease has
// been acquired: another holder may have reported windows since.
func (reporter *Reporter) Reset() {
	reporter.nextWindow, reporter.storedEra = 0, nil
	clear(reporter.unsent)
}

func (reporter *Reporter) report(ctx context.Context, window int64, currentGrant func() (lease.Grant, bool)) bool {
	counts, ok := reporter.unsent[window]
	if !ok {
		grant, held := currentGrant()
		if !held {
			return false
		}
		var err error
		if counts, err = reporter.persistCounts(ctx, grant, window); err != nil {
			reporter.logger.Warn().Err(err).Int64("window", window).Msg("usage window not stored")
			return false
		}
		reporter.unsent[window] = counts
	}
	grant, held := currentGrant()
	if !held {
		return false
	}
	err := reporter.sender.ReportUsage(ctx, reporter.instance, grant.Epoch, site.UsageReport{Window: window, Counts: counts})
	if err != nil {
		reporter.logger.Warn().Err(err).Int64("window", window).Msg("usage report failed")
		return false
	}
	delete(reporter.unsent, window)
	reporter.logger.Info().Int64("window", window).Uint64("fence", grant.Epoch).Interface("counts", counts).Msg("usage window reported")
	return true
}

// persistCounts writes the counts of a window to the store. It returns those that
// are stored already if there are any.
func (reporter *Reporter) persistCounts(ctx context.Context, grant lease.Grant, window int64) (map[string]int64, error) {
	counts := reporter.meter.Sum(window)
	value, err := json.Marshal(counts, json.Deterministic(true))
	if err != nil {
		return nil, code.Wrap(err, code.Internal, "usage row")
	}
	err = reporter.store.Commit(ctx, grant.Condition(), table.Write{Key: rowKey(window), Value: value})
	if err == nil {
		return counts, nil
	}
	if !code.Is(err, code.RowConflict) && !code.Is(err, code.WriteUnknown) {
		return nil, err
	}
	row, readErr := reporter.store.Get(ctx, rowKey(window))
	if readErr != nil {
		return nil, readErr
	}
	var stored map[string]int64
	if decodeErr := json.Unmarshal(row.Value, &stored); decodeErr != nil {
		return nil, code.Wrap(decodeErr, code.RowMalformed, "usage row")
	}
	return stored, nil
}

func rowKey(window int64) string {
	return "usage/" + strconv.FormatInt(window, 10)
}
