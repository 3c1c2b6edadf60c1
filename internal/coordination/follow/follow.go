// Package follow keeps a copy of a table of the platform's store up to date
// from its feed of changes, across outages of the store and lost history.
package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/state/table"
)

// Source is a table that can be listed and whose changes can be waited for.
type Source interface {
	// List returns all rows.
	List(ctx context.Context) (table.Page, error)
	// Feed waits until a row changes after a version, or for the wait given.
	Feed(ctx context.Context, after uint64, wait time.Duration) (table.Page, error)
}

// Copy takes what has changed. It is called after each list, also if nothing
// has changed, and after each change.
type Copy interface {
	Apply(changes []table.Change)
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
	// change all the time. A tenth of the 2 s within which changes count.
	pace = 200 * time.Millisecond
	// lapseGrace is how long after the store's return a row may be missing:
	// those that lapsed during an outage are back within two seconds.
	lapseGrace = 2500 * time.Millisecond
)

// Follower keeps one copy up to date.
type Follower struct {
	source Source
	target Copy
	logger zerolog.Logger

	rows     map[string]uint64    // versions of the rows that the copy has
	missing  map[string]time.Time // rows that lapsed in an outage, until when they are kept
	dropped  map[string]uint64    // versions at which rows were dropped, against older lists
	version  uint64               // of the table, 0 if a list is needed
	listed   time.Time
	failures int
	since    time.Time // when the store was lost
}

// New returns a follower of the table that name stands for in the log.
func New(name string, source Source, target Copy, logger zerolog.Logger) *Follower {
	return &Follower{
		source: source, target: target,
		logger: logger.With().Str("part", "follow").Str("table", name).Logger(),
		rows:   map[string]uint64{}, missing: map[string]time.Time{}, dropped: map[string]uint64{},
	}
}

// Start follows until ctx ends. The channel is closed after the last call.
func (follower *Follower) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			pause.For(ctx, follower.step(ctx))
		}
	}()
	return done
}

// step does one call and returns how long to wait before the next.
func (follower *Follower) step(ctx context.Context) time.Duration {
	if follower.version == 0 || time.Since(follower.listed) > relist {
		return follower.list(ctx)
	}
	page, err := follower.source.Feed(ctx, follower.version, follower.wait(time.Now()))
	if err != nil {
		follower.version = 0
		return follower.failed(ctx, err)
	}
	follower.version = page.Version
	follower.update(page.Changes, time.Now())
	return pace
}

// wait returns how long to wait for changes: not past the end of a grace.
func (follower *Follower) wait(now time.Time) time.Duration {
	wait := feedWait
	for _, until := range follower.missing {
		wait = min(wait, max(pace, until.Sub(now)))
	}
	return wait
}

func (follower *Follower) list(ctx context.Context) time.Duration {
	page, err := follower.source.List(ctx)
	if err != nil {
		return follower.failed(ctx, err)
	}
	recovered := follower.failures > 1
	if recovered {
		follower.logger.Info().Dur("outage-ms", time.Since(follower.since)).Uint64("version", page.Version).Msg("store regained")
	}
	follower.failures = 0
	follower.version, follower.listed = page.Version, time.Now()
	follower.replace(page.Changes, recovered, follower.listed)
	return 0
}

// replace turns a list into changes. Rows that are not in it are dropped, at
// once or, if the store has just come back, after the grace.
func (follower *Follower) replace(listed []table.Change, recovered bool, now time.Time) {
	var changes []table.Change
	present := make(map[string]bool, len(listed))
	for _, change := range listed {
		present[change.Key] = true
		if follower.newer(change) {
			changes = append(changes, change)
		}
	}
	for key, version := range follower.rows {
		if present[key] {
			continue
		}
		_, lapsed := follower.missing[key]
		switch {
		case recovered && !lapsed:
			follower.missing[key] = now.Add(lapseGrace)
		case !lapsed:
			changes = append(changes, table.Change{Key: key, Version: version, Deleted: true})
		}
	}
	follower.apply(changes, now)
}

// newer reports whether a row is newer than what the copy has or had. Lists
// that come by way of another instance may be some seconds old.
func (follower *Follower) newer(change table.Change) bool {
	return change.Version > follower.rows[change.Key] && change.Version > follower.dropped[change.Key]
}

func (follower *Follower) update(changes []table.Change, now time.Time) {
	changes = slices.DeleteFunc(changes, func(change table.Change) bool {
		return !change.Deleted && !follower.newer(change)
	})
	if len(changes) > 0 || len(follower.missing) > 0 {
		follower.apply(changes, now)
	}
}

// apply hands changes on, with the drops whose grace has ended.
func (follower *Follower) apply(changes []table.Change, now time.Time) {
	for _, change := range changes {
		delete(follower.missing, change.Key)
		if change.Deleted {
			follower.drop(change.Key, max(change.Version, follower.rows[change.Key]))
		} else {
			follower.rows[change.Key] = change.Version
		}
	}
	for key, until := range follower.missing {
		if now.Before(until) {
			continue
		}
		follower.logger.Info().Str("row", key).Msg("row did not come back with the store")
		changes = append(changes, table.Change{Key: key, Version: follower.rows[key], Deleted: true})
		delete(follower.missing, key)
		follower.drop(key, follower.rows[key])
	}
	follower.target.Apply(changes)
}

// mostDropped bounds what is remembered of dropped rows.
const mostDropped = 4096

func (follower *Follower) drop(key string, version uint64) {
	delete(follower.rows, key)
	if len(follower.dropped) >= mostDropped {
		clear(follower.dropped)
	}
	follower.dropped[key] = version
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
