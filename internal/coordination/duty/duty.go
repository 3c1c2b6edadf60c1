// Package duty runs the tasks that only one instance may do at a time: ordering
// targets, ordering engines to change their stage, and reporting usage. The
// holder of the lease does them. A new holder first waits for the period in
// which two holders must not alternate.
package duty

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/coordination/shape"
	"mangopier.example/mangopier/internal/protocol/site"
)

const (
	pollInterval = 250 * time.Millisecond
	// alternationMargin is added to the period in which holders must not
	// alternate.
	alternationMargin = 200 * time.Millisecond
	// stageReportDelay is added to the time that an engine needs to change its
	// stage, before another order goes to it: the engine's row in the platform's
	// table is rewritten every 1.2 s.
	stageReportDelay = 2500 * time.Millisecond
	// maxRunTime is how long the requests that run at an engine may take to end
	// before it changes its stage. Until then it takes no others.
	maxRunTime = 12 * time.Second
	// maxChangingShare limits the part of the engines that change their stage at
	// the same time while requests are served.
	maxChangingShare = 0.34
)

// Lease reports whether this instance holds the lease on the duties.
// *lease.Lease implements it.
type Lease interface {
	Held() (lease.Grant, bool)
}

// Platform carries orders to the platform and to targets.
type Platform interface {
	// OrderCapacity orders a number of targets. An error with code.NoTarget
	// means that none of the kind is available.
	OrderCapacity(ctx context.Context, holder string, fencingToken uint64, order site.CapacityOrder) error
	// OrderStage orders an engine to change its stage.
	OrderStage(ctx context.Context, order site.StageOrder) error
	// FetchEngineStatus returns the state of an engine.
	FetchEngineStatus(ctx context.Context, target site.Target) (site.EngineStatus, error)
}

// Reporter reports the usage windows.
type Reporter interface {
	// ReportEndedWindows reports the windows that have ended at now, as long as
	// held returns a grant.
	ReportEndedWindows(ctx context.Context, now time.Time, held func() (lease.Grant, bool))
	// Reset is called before the first ReportEndedWindows under a new grant.
	Reset()
}

// Snapshot is the state of the site that decisions are based on.
type Snapshot struct {
	Manifest      *site.Manifest // nil until the first one arrives
	Targets       []site.Target
	TrueTime      time.Time // time of day, derived from the store's clock
	TrueTimeKnown bool      // TrueTime is derived from the store's clock; if not, from the local one
	NoRequestsYet bool      // no request has arrived yet, at any instance
	// DecodeDemand is, by service, the number of engines that the requests being
	// decoded fill.
	DecodeDemand map[string]float64
}

// Runner runs the duties while this instance holds the lease.
type Runner struct {
	instance string
	lease    *delayedLease
	platform Platform
	reporter Reporter
	snapshot func() Snapshot
	duties   site.Duties
	logger   zerolog.Logger

	// Used by the goroutine that orders; pending also by PendingStageChanges.
	orderEpoch uint64
	planners   map[string]*shape.CapacityPlanner // by service
	demand     map[string]*shape.DemandTracker   // by service
	pending    pendingChanges

	// Used by the goroutine that reports.
	reportEpoch uint64
}

// Config holds the settings and collaborators of a Runner.
type Config struct {
	Instance          string // name of this instance, sent as holder with each order
	Lease             Lease
	Platform          Platform
	Reporter          Reporter
	Snapshot          func() Snapshot
	Duties            site.Duties   // the duties to run
	AlternationPeriod time.Duration // period in which two holders must not alternate
	Logger            zerolog.Logger
}

// New returns a Runner that does nothing before Start.
func New(config Config) *Runner {
	return &Runner{
		instance: config.Instance, lease: &delayedLease{lease: config.Lease, delay: config.AlternationPeriod + alternationMargin}, platform: config.Platform, reporter: config.Reporter,
		snapshot: config.Snapshot, duties: config.Duties,
		logger:   config.Logger.With().Str("part", "duty").Logger(),
		planners: map[string]*shape.CapacityPlanner{},
		demand:   map[string]*shape.DemandTracker{},
	}
}

// PendingStageChanges returns the engines that were ordered to change their
// stage, by target ID, with the time for which they may still be unable to
// serve.
func (runner *Runner) PendingStageChanges() map[string]time.Duration {
	return runner.pending.remaining(time.Now())
}

// Start runs the duties until ctx ends. The channel is closed after the last
// call to the platform and the reporter.
func (runner *Runner) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	reportingDone := make(chan struct{})
	go func() {
		defer close(reportingDone)
		runner.poll(ctx, runner.reportUsage)
	}()
	go func() {
		defer close(done)
		runner.poll(ctx, runner.sendOrders)
		<-reportingDone
	}()
	return done
}

func (runner *Runner) poll(ctx context.Context, step func(context.Context)) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			step(ctx)
		}
	}
}
