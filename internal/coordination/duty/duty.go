// Package duty carries out what only one instance may do at a time: ordering
// targets and their stages, and reporting usage. Whoever holds the lease does
// it, after it has held it for as long as holders must not alternate.
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
	// tick is the time between two looks at what is to be done.
	tick = 250 * time.Millisecond
	// alternationSlack is added to the time within which holders must not
	// alternate.
	alternationSlack = 200 * time.Millisecond
	// stageWait is added to an engine's switch before another order goes to
	// it: its row is written anew every 1.2 s.
	stageWait = 2500 * time.Millisecond
	// shareChanging is the part of the engines that may change their stage at
	// the same time while requests are served.
	shareChanging = 0.34
)

// Lease tells whether this instance holds the duties.
type Lease interface {
	Held() (lease.Grant, bool)
}

// Platform takes orders.
type Platform interface {
	OrderCapacity(ctx context.Context, holder string, fence uint64, order site.CapacityOrder) error
	OrderStage(ctx context.Context, order site.StageOrder) error
	Report(ctx context.Context, target site.Target) (site.Report, error)
}

// Reporter reports usage windows.
type Reporter interface {
	Step(ctx context.Context, now time.Time, held func() (lease.Grant, bool))
	Reset()
}

// Situation is what the decisions rest on.
type Situation struct {
	Manifest *site.Manifest // nil before the first
	Targets  []site.Target
	Now      time.Time // true time
	Timely   bool      // true time is known
	Idle     bool      // no request has come yet
}

// Keeper carries out the duties.
type Keeper struct {
	self      string
	tenure    *tenure
	platform  Platform
	reporter  Reporter
	situation func() Situation
	duties    site.Duties
	logger    zerolog.Logger

	// Of the goroutine that orders.
	orderEpoch uint64
	capacity   map[string]*shape.Capacity
	changes    changes

	reportEpoch uint64 // of the goroutine that reports
}

// Config holds what a keeper works with.
type Config struct {
	Instance  string
	Lease     Lease
	Platform  Platform
	Reporter  Reporter
	Situation func() Situation
	Duties    site.Duties
	Term      time.Duration // within which holders must not alternate
	Logger    zerolog.Logger
}

// New returns a keeper.
func New(config Config) *Keeper {
	return &Keeper{
		self: config.Instance, tenure: &tenure{lease: config.Lease, wait: config.Term + alternationSlack}, platform: config.Platform, reporter: config.Reporter,
		situation: config.Situation, duties: config.Duties,
		logger:   config.Logger.With().Str("part", "duty").Logger(),
		capacity: map[string]*shape.Capacity{},
	}
}

// Changing returns the engines that were ordered to change their stage, with
// the time for which they may take no requests.
func (keeper *Keeper) Changing() map[string]time.Duration { return keeper.changes.left(time.Now()) }

// Start carries out the duties until ctx ends. The channels are closed after
// the last call.
func (keeper *Keeper) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		keeper.loop(ctx, keeper.report)
	}()
	go func() {
		defer close(done)
		keeper.loop(ctx, keeper.order)
		<-reported
	}()
	return done
}

func (keeper *Keeper) loop(ctx context.Context, step func(context.Context)) {
	ticker := time.NewTicker(tick)
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
