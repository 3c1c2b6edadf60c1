// Package follow keeps a local copy of a table of the platform's store up to
// date. A Follower lists the table and then watches it. It lists again from
// time to time and when watching fails, so that outages of the store and lost
// history do no harm.
package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// Source is a table that can be listed and watched.
type Source interface {
	// List returns all rows.
	List(ctx context.Context) (table.Page, error)
	// Watch returns the changes after a version of the table. It waits until
	// there are some, but not longer than wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (table.Page, error)
}

// Applier applies changes to a local copy of a table.
type Applier interface {
	// Apply is called after each list, also if nothing has changed, and after
	// each change.
	Apply(changes []table.Change)
}

const (
	// defaultResponseLimit is the time within which a watch has to return. A
	// connection that went silent hides changes for so long.
	defaultResponseLimit = 2400 * time.Millisecond
	// responseMargin is how long after its wait a watch may return. Slow responses
	// of the store take about 300 ms.
	responseMargin = 900 * time.Millisecond
	// maxWatchWait keeps the time between two responses of the store, with minCallInterval
	// and a slow response, below the age from which the table of a mirror counts as stale.
	// All that read the mirror list the store then.
	maxWatchWait = 2 * time.Second
	// listInterval is the time between full lists, which make up for changes
	// that Watch did not deliver.
	listInterval = 10 * time.Second
	// minBackoff and maxBackoff bound the wait after a failed call. The upper
	// bound makes sure that changes arrive within a second of the store's
	// return.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// minCallInterval is the shortest time between two calls, which limits the
	// load of tables that change all the time. It is a tenth of the 2 s within
	// which changes have to take effect.
	minCallInterval = 200 * time.Millisecond
	// defaultRowExpiry is less than three times the time after which owners write
	// their rows.
	defaultRowExpiry = 3 * time.Second
	// missingRowGrace is how long a row may be missing after the store's return
	// before it counts as deleted: rows that expired during an outage are
	// written again within two seconds.
	missingRowGrace = 2500 * time.Millisecond
)

// Option configures a Follower.
type Option func(*Follower)

// WithResponseLimit sets the time within which a watch has to return, 2.4 s by default.
// The table is listed when it has passed, so that a connection that went silent hides
// changes no longer than that.
func WithResponseLimit(limit time.Duration) Option {
	return func(follower *Follower) { follower.responseLimit = limit }
}

// WithRowExpiry sets how long the store may be away before rows expire that their owners
// cannot write, 3 s by default.
func WithRowExpiry(expiry time.Duration) Option {
	return func(follower *Follower) { follower.rowExpiry = expiry }
}

// WithStoreServed sets the function that reports whether the store is known to have served
// others without a break since a time. Rows that are missing after an outage of this
// instance's own path to the store have not expired then. Without the option it is not known.
func WithStoreServed(served func(since time.Time) bool) Option {
	return func(follower *Follower) { follower.storeServed = served }
}

// Follower keeps one copy up to date.
type Follower struct {
	source        Source
	applier       Applier
	responseLimit time.Duration
	rowExpiry     time.Duration
	storeServed   func(since time.Time) bool
	logger        zerolog.Logger

	rowStamps     map[string]table.Stamp // of the rows in the copy
	missingUntil  map[string]time.Time   // rows that expired in an outage, with the end of their grace
	deletedStamps map[string]table.Stamp // at which rows were deleted, to detect stale lists
	era           uint64                 // of the last list
	tableVersion  uint64                 // 0 if a list is needed
	lastList      time.Time
	lastContact   time.Time // when the store sent the last page
	missingSince  time.Time // last contact before rows were found missing, zero if the store was restored
	failures      int       // failed calls in a row
	relists       int       // watches in a row that called for a list
	outageStart   time.Time // of the first failure in a row
}

// New returns a follower that applies the changes of source. Name denotes the
// table in the log.
func New(name string, source Source, applier Applier, logger zerolog.Logger, opts ...Option) *Follower {
	follower := &Follower{
		source: source, applier: applier, responseLimit: defaultResponseLimit,
		rowExpiry: defaultRowExpiry, storeServed: func(time.Time) bool { return false },
		logger:    logger.With().Str("part", "follow").Str("table", name).Logger(),
		rowStamps: map[string]table.Stamp{}, missingUntil: map[string]time.Time{}, deletedStamps: map[string]table.Stamp{},
	}
	for _, opt := range opts {
		opt(follower)
	}
	return follower
}

// Start follows the table until ctx ends. The channel is closed after the last
// call of the source and the applier.
func (follower *Follower) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			pause.For(ctx, follower.poll(ctx))
		}
	}()
	return done
}

// poll calls the source once and returns how long to wait before the next call.
func (follower *Follower) poll(ctx context.Context) time.Duration {
	if follower.tableVersion == 0 || time.Since(follower.lastList) > listInterval {
		return follower.list(ctx)
	}
	start := time.Now()
	watchCtx, cancel := context.WithTimeout(ctx, follower.responseLimit)
	page, err := follower.source.Watch(watchCtx, follower.tableVersion, follower.watchWait())
	cancel()
	if err != nil {
		follower.logFailedWatch(ctx, err, time.Since(start))
		follower.tableVersion = 0
		return max(follower.recordFailure(ctx, err), follower.relistPause(err))
	}
	follower.relists = 0
	if page.Era != follower.era { // the changes follow on a version of another era
		follower.tableVersion = 0
		return 0
	}
	now := time.Now()
	follower.tableVersion, follower.lastContact = page.TableVersion, now.Add(-page.Age)
	follower.applyWatched(page.Changes, now)
	return minCallInterval
}

// relistPause returns how long to wait before the list that a failed watch calls for. The
// first of a row goes at once: the table has moved or a history was dropped.
func (follower *Follower) relistPause(err error) time.Duration {
	if !code.Is(err, code.RowMissing) {
		return 0
	}
	follower.relists++
	if follower.relists == 1 {
		return 0
	}
	return minCallInterval - time.Since(follower.lastList)
}

// watchWait returns how long to wait for changes. It is short while rows are missing,
// so that they are deleted when their grace period has ended.
func (follower *Follower) watchWait() time.Duration {
	if len(follower.missingUntil) > 0 {
		return minCallInterval
	}
	return max(minCallInterval, min(maxWatchWait, follower.responseLimit-responseMargin))
}

// logFailedWatch logs a watch that ended without a response. Its time tells a
// connection that went silent from one that was closed.
func (follower *Follower) logFailedWatch(ctx context.Context, err error, took time.Duration) {
	if ctx.Err() == nil && !code.Is(err, code.RowMissing) {
		follower.logger.Info().Err(err).Dur("took-ms", took).Uint64("version", follower.tableVersion).Msg("watch failed; table will be listed")
	}
}

func (follower *Follower) list(ctx context.Context) time.Duration {
	page, err := follower.source.List(ctx)
	if err == nil && page.Era < follower.era {
		err = code.Errorf(code.StoreDown, "list is of era %d, the rows at hand are of era %d", page.Era, follower.era)
	}
	if err != nil {
		return follower.recordFailure(ctx, err)
	}
	restored := follower.era > 0 && page.Era > follower.era
	if restored {
		follower.logger.Warn().Uint64("era", page.Era).Uint64("version", page.TableVersion).Uint64("earlier-era", follower.era).
			Msg("store was restored from a copy; all rows listed anew")
	}
	follower.era = page.Era
	if follower.failures > 1 {
		follower.logger.Info().Dur("outage-ms", time.Since(follower.outageStart)).Uint64("version", page.TableVersion).Msg("table available again")
	}
	follower.failures = 0
	now, lastContact := time.Now(), follower.lastContact
	follower.tableVersion, follower.lastList, follower.lastContact = page.TableVersion, now, now.Add(-page.Age)
	if restored {
		lastContact = time.Time{}
	}
	follower.applyList(page.Changes, lastContact, now)
	return 0
}

// mayHaveExpired reports whether rows may have expired since a time because their owners
// could not write them. The zero time stands for a restore of the store.
func (follower *Follower) mayHaveExpired(since, now time.Time) bool {
	return since.IsZero() || (now.Sub(since) >= follower.rowExpiry && !follower.storeServed(since))
}

// applyList applies the difference between a list and the copy. Rows that are
// not in the list are deleted at once or, if they may have expired since the last
// contact, when their grace period has ended.
func (follower *Follower) applyList(listed []table.Change, lastContact, now time.Time) {
	mayHaveExpired := follower.mayHaveExpired(lastContact, now)
	if mayHaveExpired {
		follower.missingSince = lastContact
	}
	var changes []table.Change
	present := make(map[string]bool, len(listed))
	older := 0
	for _, change := range listed {
		present[change.Key] = true
		switch {
		case follower.isNewer(change):
			changes = append(changes, change)
		case change.Stamp() != follower.rowStamps[change.Key]:
			older++
		}
	}
	if older > 0 {
		follower.logger.Info().Int("rows", older).Uint64("version", follower.tableVersion).Msg("listed rows are older than those at hand; ignored")
	}
	for key, stamp := range follower.rowStamps {
		if present[key] {
			continue
		}
		_, inGrace := follower.missingUntil[key]
		switch {
		case mayHaveExpired && !inGrace:
			follower.missingUntil[key] = now.Add(missingRowGrace)
		case !inGrace:
			changes = append(changes, deletion(key, stamp))
		}
	}
	follower.apply(changes, now)
}

// isNewer reports whether a row is newer than what the copy has or had. Lists
// from the mirror of another instance may be some seconds old.
func (follower *Follower) isNewer(change table.Change) bool {
	return change.Stamp().After(follower.rowStamps[change.Key]) && change.Stamp().After(follower.deletedStamps[change.Key])
}

func deletion(key string, stamp table.Stamp) table.Change {
	return table.Change{Key: key, Version: stamp.Version, Era: stamp.Era, Deleted: true}
}

func (follower *Follower) applyWatched(changes []table.Change, now time.Time) {
	changes = slices.DeleteFunc(changes, func(change table.Change) bool {
		return !change.Deleted && !follower.isNewer(change)
	})
	if len(changes) > 0 || len(follower.missingUntil) > 0 {
		follower.apply(changes, now)
	}
}

// apply passes changes on to the applier, and with them the deletions of rows
// whose grace period has ended.
func (follower *Follower) apply(changes []table.Change, now time.Time) {
	for _, change := range changes {
		delete(follower.missingUntil, change.Key)
		if change.Deleted {
			follower.recordDeletion(change.Key, change.Stamp())
		} else {
			follower.rowStamps[change.Key] = change.Stamp()
		}
	}
	for key, until := range follower.missingUntil {
		if now.Before(until) && follower.mayHaveExpired(follower.missingSince, now) {
			continue
		}
		follower.logger.Info().Str("row", key).Msg("row still missing after the grace period; deleted")
		changes = append(changes, deletion(key, follower.rowStamps[key]))
		delete(follower.missingUntil, key)
		follower.recordDeletion(key, follower.rowStamps[key])
	}
	follower.applier.Apply(changes)
}

// maxDeletedStamps bounds the memory for the stamps of deleted rows.
const maxDeletedStamps = 4096

func (follower *Follower) recordDeletion(key string, stamp table.Stamp) {
	if latest := follower.rowStamps[key]; latest.After(stamp) {
		stamp = latest
	}
	delete(follower.rowStamps, key)
	if len(follower.deletedStamps) >= maxDeletedStamps {
		clear(follower.deletedStamps)
	}
	follower.deletedStamps[key] = stamp
}

// recordFailure counts a failed call and returns the backoff before the next
// one, exponential and with jitter. Only a second failure in a row is logged as
// an outage.
func (follower *Follower) recordFailure(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if follower.failures == 0 {
		follower.outageStart = time.Now()
	}
	follower.failures++
	if follower.failures == 2 {
		follower.logger.Warn().Err(err).Msg("table not available; retrying with the rows at hand")
	}
	limit := min(maxBackoff, minBackoff<<min(follower.failures-1, 10))
	return limit/2 + rand.N(limit/2)
}
