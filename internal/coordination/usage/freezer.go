package usage

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// StateStore is the part of the platform's table and object store that a
// WindowReporter needs.
type StateStore interface {
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	Commit(ctx context.Context, writes ...table.Write) error
	Put(ctx context.Context, key string, data []byte) error
	Fetch(ctx context.Context, key string) ([]byte, error)
}

// Collector collects the usage counts of all instances.
type Collector interface {
	// Collect returns the batches with which Meters and ReplicaStores respond
	// to the request, and the instances whose counts of the window may be too
	// low. An error means that the window cannot be collected yet.
	Collect(ctx context.Context, ask CollectRequest) (batches []Batch, missing []string, err error)
}

// ReportSender sends reports to the platform's usage interface.
type ReportSender interface {
	// SendReport sends a report and returns nil once the platform has accepted it.
	// Reports with the same number have the same bytes.
	SendReport(ctx context.Context, report Report) error
}

// Lease ensures that at most one WindowReporter at a time can write.
type Lease interface {
	// Condition returns a condition that makes a commit fail once the lease is
	// lost.
	Condition() table.Write
	// Held reports whether this instance believes that it holds the lease.
	Held() bool
}

// Report is a frozen report as sent to the platform.
type Report struct {
	Number uint64
	Window Window
	Hash   string // SHA-256 of the body in hexadecimal digits
	Body   []byte // the frozen bytes, a ReportBody in JSON
}

// Status is the progress of freezing and reporting.
type Status struct {
	LeaseHeld    bool   // this instance holds the lease
	NextWindow   Window // the window to freeze next
	LastReported Window // the last window that the platform has accepted
	LastNumber   uint64 // number of the last frozen report
	ReportError  string // why the next report could not be sent, empty if it did not fail
}

// WindowReporter freezes windows and reports them while it holds the lease.
type WindowReporter struct {
	settings  settings
	store     StateStore
	collector Collector
	sender    ReportSender
	lease     Lease
	writerID  string
	metrics   *windowReporterMetrics
	random    *rand.Rand
	status    atomic.Pointer[Status]

	ledger           ledger // of the last frozen window
	ledgerHash       string
	openTicketWindow Window // the window whose ticket may be open under writerID, 0 for none
	acceptedWindow   Window // the last window that the platform accepted from this WindowReporter
}

// NewWindowReporter returns a WindowReporter for the instance self. Call Start to run
// it.
func NewWindowReporter(self string, store StateStore, collector Collector, sender ReportSender, lease Lease, opts ...Option) *WindowReporter {
	settings := newSettings(opts)
	random := rand.New(settings.randSource)
	reporter := &WindowReporter{
		settings:  settings,
		store:     store,
		collector: collector,
		sender:    sender,
		lease:     lease,
		writerID:  self + "/" + strconv.FormatUint(random.Uint64(), 36),
		metrics:   newWindowReporterMetrics(settings.registerer),
		random:    random,
	}
	reporter.status.Store(&Status{})
	return reporter
}

// Start freezes and reports windows until ctx ends. The channel then delivers
// nil.
func (reporter *WindowReporter) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		reporter.run(ctx)
		ended <- nil
	}()
	return ended
}

// Status returns the progress as this instance last read it from the store.
func (reporter *WindowReporter) Status() Status {
	return *reporter.status.Load()
}

func (reporter *WindowReporter) run(ctx context.Context) {
	for {
		if !pause.For(ctx, reporter.step(ctx)) {
			return
		}
	}
}

// step freezes and reports at most one window each, and returns the delay until
// the next step. A failure to report does not delay freezing.
func (reporter *WindowReporter) step(ctx context.Context) time.Duration {
	if !reporter.lease.Held() {
		reporter.setStatus(headRow{}, "")
		reporter.releaseTicket(ctx)
		return reporter.retryDelay()
	}
	head, version, err := reporter.readHead(ctx)
	if err != nil {
		return reporter.logFailure(err, "cannot read the usage head row")
	}
	reporter.setStatus(head, "")
	if head.LastReported < head.NextWindow-1 {
		if err := reporter.reportNextWindow(ctx, head, version); err != nil {
			reporter.setStatus(head, err.Error())
			reporter.logFailure(err, "cannot report a usage window")
		}
		if head, version, err = reporter.readHead(ctx); err != nil {
			return reporter.logFailure(err, "cannot read the usage head row")
		}
	}
	if due := time.Until(reporter.collectionTime(head.NextWindow)); due > 0 {
		return reporter.nextStepDelay(head, due)
	}
	if err := reporter.freezeNextWindow(ctx, head, version); err != nil {
		return reporter.logFailure(err, "cannot freeze a usage window")
	}
	return 0
}

// readHead returns the head row and its version. It creates a missing row,
// starting at the current window.
func (reporter *WindowReporter) readHead(ctx context.Context) (headRow, uint64, error) {
	var head headRow
	version, err := reporter.readRow(ctx, headKey, &head)
	if !code.Is(err, code.RowMissing) {
		return head, version, err
	}
	next := reporter.settings.schedule.WindowAt(time.Now())
	write, err := encodeRow(headKey, 0, headRow{NextWindow: next, LastReported: next - 1})
	if err != nil {
		return head, 0, err
	}
	if err := reporter.store.Commit(ctx, write, reporter.lease.Condition()); err != nil {
		return head, 0, err
	}
	version, err = reporter.readRow(ctx, headKey, &head)
	return head, version, err
}

func (reporter *WindowReporter) collectionTime(window Window) time.Time {
	return reporter.settings.schedule.WindowEnd(window).Add(reporter.settings.gracePeriod)
}

// nextStepDelay returns the time until the next window is due, or until the
// next attempt to report.
func (reporter *WindowReporter) nextStepDelay(head headRow, due time.Duration) time.Duration {
	if head.LastReported < head.NextWindow-1 {
		return min(due, reporter.retryDelay())
	}
	return min(due, reporter.settings.schedule.Length)
}

func (reporter *WindowReporter) retryDelay() time.Duration {
	interval := reporter.settings.retryInterval
	return interval/2 + time.Duration(reporter.random.Int64N(int64(interval)))
}

func (reporter *WindowReporter) logFailure(err error, message string) time.Duration {
	reporter.settings.logger.Warn().Err(err).Msg(message)
	return reporter.retryDelay()
}

func (reporter *WindowReporter) setStatus(head headRow, reportError string) {
	reporter.status.Store(&Status{
		LeaseHeld:    reporter.lease.Held(),
		NextWindow:   head.NextWindow,
		LastReported: head.LastReported,
		LastNumber:   head.LastNumber,
		ReportError:  reportError,
	})
}
