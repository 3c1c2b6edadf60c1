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

// Store is the part of the platform's table and object store that a Freezer
// needs.
type Store interface {
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	Commit(ctx context.Context, writes ...table.Write) error
	Put(ctx context.Context, key string, data []byte) error
	Fetch(ctx context.Context, key string) ([]byte, error)
}

// Source collects the figures of all instances.
type Source interface {
	// Collect returns the batches that Meters and Holders answer to ask, and
	// the instances whose figures of the window may be short. An error means
	// that nothing can be said of the window yet.
	Collect(ctx context.Context, ask Ask) (batches []Batch, missing []string, err error)
}

// Reporter is the platform's usage interface.
type Reporter interface {
	// Report sends a report and returns nil when the platform has taken it. A
	// report with the number of an earlier one has the same bytes.
	Report(ctx context.Context, report Report) error
}

// Duty is the lease under which one Freezer at a time works.
type Duty interface {
	// Check returns a write that holds only while the lease does.
	Check() table.Write
	// Held reports whether the holder believes in its lease.
	Held() bool
}

// Report is one report as it is sent.
type Report struct {
	Number uint64
	Window Window
	Hash   string // SHA-256 of the body in hexadecimal digits
	Body   []byte // the frozen bytes, a Content in JSON
}

// Status tells how far windows are frozen and reported.
type Status struct {
	Held     bool   // this instance holds the duty
	Next     Window // the window to freeze next
	Reported Window // the last window that the platform has taken
	Number   uint64 // of the last frozen report
	Waiting  string // what the next report waits for, empty if nothing
}

// Freezer freezes windows and reports them while it holds the duty.
type Freezer struct {
	settings settings
	store    Store
	source   Source
	reporter Reporter
	duty     Duty
	writer   string
	metrics  *freezerMetrics
	random   *rand.Rand
	status   atomic.Pointer[Status]

	ledger     ledger // of the window before next
	ledgerHash string
	opened     Window // the window whose ticket this Freezer may have open, 0 for none
	taken      Window // the last window that the platform took from this Freezer
}

// NewFreezer returns a Freezer. Start runs it.
func NewFreezer(self string, store Store, source Source, reporter Reporter, duty Duty, opts ...Option) *Freezer {
	settings := newSettings(opts)
	random := rand.New(settings.source)
	freezer := &Freezer{
		settings: settings,
		store:    store,
		source:   source,
		reporter: reporter,
		duty:     duty,
		writer:   self + "/" + strconv.FormatUint(random.Uint64(), 36),
		metrics:  newFreezerMetrics(settings.registerer),
		random:   random,
	}
	freezer.status.Store(&Status{})
	return freezer
}

// Start freezes and reports windows until ctx ends. The channel gives nil then.
func (freezer *Freezer) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		freezer.run(ctx)
		ended <- nil
	}()
	return ended
}

// Status returns how far windows are frozen and reported, as this instance
// last saw it.
func (freezer *Freezer) Status() Status {
	return *freezer.status.Load()
}

func (freezer *Freezer) run(ctx context.Context) {
	for {
		if !pause.For(ctx, freezer.step(ctx)) {
			return
		}
	}
}

// step freezes and reports at most one window each, and returns the time until
// the next step. A report that cannot be sent does not hold up the freezing.
func (freezer *Freezer) step(ctx context.Context) time.Duration {
	if !freezer.duty.Held() {
		freezer.publish(head{}, "")
		freezer.leave(ctx)
		return freezer.retryDelay()
	}
	head, version, err := freezer.readHead(ctx)
	if err != nil {
		return freezer.failed(err, "cannot read the head of usage")
	}
	freezer.publish(head, "")
	if head.Reported < head.Next-1 {
		if err := freezer.report(ctx, head, version); err != nil {
			freezer.publish(head, err.Error())
			freezer.failed(err, "cannot report a window")
		}
		if head, version, err = freezer.readHead(ctx); err != nil {
			return freezer.failed(err, "cannot read the head of usage")
		}
	}
	if due := time.Until(freezer.due(head.Next)); due > 0 {
		return freezer.idleDelay(head, due)
	}
	if err := freezer.freeze(ctx, head, version); err != nil {
		return freezer.failed(err, "cannot freeze a window")
	}
	return 0
}

// readHead returns the head, and creates it at the current window.
func (freezer *Freezer) readHead(ctx context.Context) (head, uint64, error) {
	var found head
	version, err := freezer.read(ctx, headKey, &found)
	if !code.Is(err, code.RowMissing) {
		return found, version, err
	}
	next := freezer.settings.schedule.At(time.Now())
	write, err := encode(headKey, 0, head{Next: next, Reported: next - 1})
	if err != nil {
		return found, 0, err
	}
	if err := freezer.store.Commit(ctx, write, freezer.duty.Check()); err != nil {
		return found, 0, err
	}
	version, err = freezer.read(ctx, headKey, &found)
	return found, version, err
}

func (freezer *Freezer) due(window Window) time.Time {
	return freezer.settings.schedule.End(window).Add(freezer.settings.grace)
}

// idleDelay is the time until the next window is due, or until the next attempt
// to report.
func (freezer *Freezer) idleDelay(head head, due time.Duration) time.Duration {
	if head.Reported < head.Next-1 {
		return min(due, freezer.retryDelay())
	}
	return min(due, freezer.settings.schedule.Length)
}

func (freezer *Freezer) retryDelay() time.Duration {
	poll := freezer.settings.poll
	return poll/2 + time.Duration(freezer.random.Int64N(int64(poll)))
}

func (freezer *Freezer) failed(err error, message string) time.Duration {
	freezer.settings.logger.Warn().Err(err).Msg(message)
	return freezer.retryDelay()
}

func (freezer *Freezer) publish(head head, waiting string) {
	freezer.status.Store(&Status{
		Held:     freezer.duty.Held(),
		Next:     head.Next,
		Reported: head.Reported,
		Number:   head.Number,
		Waiting:  waiting,
	})
}
