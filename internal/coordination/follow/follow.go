// Package follow keeps a copy of a table of the platform's store up to date
// from its feed of changes, across outages of the store and lost history.
package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/state/table"
)

// Source is a table that can be listed and whose changes can be waited for.
type Source interface {
	// List returns all rows.
	List(ctx context.Context) (table.Page, error)
	// Feed waits until a row changes after a version, or for the wait given.
	Feed(ctx context.Context, after uint64, wait time.Duration) (table.Page, error)
}

// Copy takes what the source says.
type Copy interface {
	// Replace takes all rows. Recovered says that the store has just come
	// back, so that rows which lapsed meanwhile may still be missing.
	Replace(changes []table.Change, recovered bool)
	// Update takes changed rows.
	Update(changes []table.Change)
}

const (
	// feedWait bounds one wait for changes, so that a connection that went
	// silent is noticed within a few seconds.
	feedWait = 2 * time.Second
	// relist is the time between full lists, in case that the feed kept
	// something back.
	relist = 10 * time.Second
	// firstBackoff and mostBackoff bound the wait after a failed call; the
	// longest keeps what a store's return brings within a second.
	firstBackoff = 50 * time.Millisecond
	mostBackoff  = 800 * time.Millisecond
	// pace is the shortest time between two calls, against tables that
	// change all the time.
	pace = 100 * time.Millisecond
)

// Follower keeps one copy up to date.
type Follower struct {
	name   string
	source Source
	copy   Copy
	logger zerolog.Logger

	version  uint64 // of the copy, 0 if a list is needed
	listed   time.Time
	failures int
	since    time.Time // when the store was lost
}

// New returns a follower of the table that name stands for in the log.
func New(name string, source Source, copy Copy, logger zerolog.Logger) *Follower {
	return &Follower{name: name, source: source, copy: copy, logger: logger.With().Str("part", "follow").Str("table", name).Logger()}
}

// Start follows until ctx ends. The channel is closed after the last call.
func (follower *Follower) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			wait := follower.step(ctx)
			sleep(ctx, wait)
		}
	}()
	return done
}

// step does one call and returns how long to wait before the next.
func (follower *Follower) step(ctx context.Context) time.Duration {
	if follower.version == 0 || time.Since(follower.listed) > relist {
		return follower.list(ctx)
	}
	page, err := follower.source.Feed(ctx, follower.version, feedWait)
	if err != nil {
		follower.version = 0
		return follower.failed(ctx, err)
	}
	follower.version = page.Version
	if len(page.Changes) > 0 {
		follower.copy.Update(page.Changes)
	}
	return pace
}

func (follower *Follower) list(ctx context.Context) time.Duration {
	page, err := follower.source.List(ctx)
	if err != nil {
		return follower.failed(ctx, err)
	}
	recovered := follower.failures > 1
	if recovered {
		follower.logger.Info().Dur("outage", time.Since(follower.since)).Uint64("version", page.Version).Msg("store regained")
	}
	follower.failures = 0
	follower.version, follower.listed = page.Version, time.Now()
	follower.copy.Replace(page.Changes, recovered)
	return 0
}

func (follower *Follower) failed(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if follower.failures == 0 {
		follower.since = time.Now()
	}
	follower.failures++
	if follower.failures == 2 {
		follower.logger.Warn().Err(err).Msg("store lost")
	}
	most := min(mostBackoff, firstBackoff<<min(follower.failures-1, 10))
	return most/2 + rand.N(most/2)
}

func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
