package follow_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/follow"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// fakeSource is a table whose contents and failures a test sets.
type fakeSource struct {
	mutex   sync.Mutex
	rows    map[string]uint64
	changes []table.Change
	version uint64
	era     uint64
	err     error
	lists   int
}

func (source *fakeSource) List(context.Context) (table.Page, error) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.lists++
	if source.err != nil {
		return table.Page{}, source.err
	}
	page := table.Page{TableVersion: source.version, Era: source.era}
	for key, version := range source.rows {
		page.Changes = append(page.Changes, table.Change{Key: key, Version: version, Era: source.era})
	}
	return page, nil
}

func (source *fakeSource) Watch(_ context.Context, after uint64, wait time.Duration) (table.Page, error) {
	time.Sleep(wait)
	source.mutex.Lock()
	defer source.mutex.Unlock()
	if source.err != nil {
		return table.Page{}, source.err
	}
	page := table.Page{TableVersion: source.version, Era: source.era}
	for _, change := range source.changes {
		if change.Version > after {
			change.Era = source.era
			page.Changes = append(page.Changes, change)
		}
	}
	return page, nil
}

func (source *fakeSource) update(change func()) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	change()
}

// keyCopy is a copy of the keys of a table's rows.
type keyCopy struct {
	mutex sync.Mutex
	keys  []string
}

func (copied *keyCopy) Apply(changes []table.Change) {
	copied.mutex.Lock()
	defer copied.mutex.Unlock()
	for _, change := range changes {
		copied.keys = slices.DeleteFunc(copied.keys, func(key string) bool { return key == change.Key })
		if !change.Deleted {
			copied.keys = append(copied.keys, change.Key)
		}
	}
	slices.Sort(copied.keys)
}

func (copied *keyCopy) String() string {
	copied.mutex.Lock()
	defer copied.mutex.Unlock()
	return strings.Join(copied.keys, " ")
}

// runFollower runs steps while a follower copies source, on the fake clock of
// synctest.
func runFollower(t *testing.T, source *fakeSource, steps func(copied *keyCopy)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		copied := &keyCopy{}
		done := follow.New("targets", source, copied, zerolog.Nop()).Start(ctx)
		steps(copied)
		cancel()
		<-done
	})
}

func expectKeys(t *testing.T, copied *keyCopy, when, want string) {
	t.Helper()
	if got := copied.String(); got != want {
		t.Errorf("keys of the copy %s = %q, want %q", when, got, want)
	}
}

func TestAppliesListAndChanges(t *testing.T) {
	source := &fakeSource{rows: map[string]uint64{"a": 1, "b": 2}, version: 2}
	runFollower(t, source, func(copied *keyCopy) {
		time.Sleep(time.Second)
		expectKeys(t, copied, "after the first list", "a b")
		source.update(func() {
			source.changes = []table.Change{{Key: "c", Version: 3}, {Key: "a", Version: 4, Deleted: true}}
			source.rows, source.version = map[string]uint64{"b": 2, "c": 3}, 4
		})
		time.Sleep(3 * time.Second)
		expectKeys(t, copied, "after the changes", "b c")
	})
}

// The store loses its history of changes while a target is removed, so that
// Watch cannot deliver the deletion. The next list must show it.
func TestListsAgainAfterLostHistory(t *testing.T) {
	source := &fakeSource{rows: map[string]uint64{"a": 1, "b": 2}, version: 2}
	runFollower(t, source, func(copied *keyCopy) {
		time.Sleep(time.Second)
		source.update(func() {
			source.rows, source.version = map[string]uint64{"b": 2}, 9
			source.err = code.Errorf(code.RowMissing, "history lost")
		})
		time.Sleep(1100 * time.Millisecond)
		source.update(func() { source.err = nil })
		time.Sleep(4 * time.Second)
		expectKeys(t, copied, "after the next list", "b")
	})
}

// Rows that expire in an outage of the store are missing from the first list
// after it. They must stay for a grace period, in which they may be written
// again, and be deleted afterwards.
func TestKeepsMissingRowsForGracePeriodAfterOutage(t *testing.T) {
	source := &fakeSource{rows: map[string]uint64{"a": 1, "b": 2}, version: 2}
	runFollower(t, source, func(copied *keyCopy) {
		time.Sleep(time.Second)
		source.update(func() { source.err = code.Errorf(code.StoreDown, "store down") })
		time.Sleep(10 * time.Second)
		expectKeys(t, copied, "during the outage", "a b")
		source.update(func() {
			source.err, source.rows, source.version = nil, map[string]uint64{}, 3
		})
		time.Sleep(1500 * time.Millisecond)
		expectKeys(t, copied, "within the grace period", "a b")
		source.update(func() {
			source.rows, source.version = map[string]uint64{"a": 4}, 4
			source.changes = []table.Change{{Key: "a", Version: 4}}
		})
		time.Sleep(6 * time.Second)
		expectKeys(t, copied, "after the grace period", "a")
	})
}

// A list from the mirror of another instance may be older than a deletion that
// Watch has delivered. It must not restore the deleted row.
func TestStaleListDoesNotRestoreDeletedRows(t *testing.T) {
	source := &fakeSource{rows: map[string]uint64{"a": 1}, version: 1}
	runFollower(t, source, func(copied *keyCopy) {
		time.Sleep(time.Second)
		source.update(func() { source.changes, source.version = []table.Change{{Key: "a", Version: 5, Deleted: true}}, 5 })
		time.Sleep(3 * time.Second)
		expectKeys(t, copied, "after the deletion", "")
		time.Sleep(15 * time.Second) // covers the next list, which still has the row
		expectKeys(t, copied, "after the stale list", "")
	})
}

func TestBacksOffAfterFailures(t *testing.T) {
	source := &fakeSource{err: code.Errorf(code.StoreDown, "store down")}
	runFollower(t, source, func(*keyCopy) {
		time.Sleep(60 * time.Second)
		source.update(func() {
			if source.lists > 200 || source.lists < 60 {
				t.Errorf("List was called %d times in an outage of a minute, want 60 to 200", source.lists)
			}
		})
	})
}

// Rows are removed while one instance is cut off from the store. Guards against keeping them for
// the grace period of rows that expire in an outage of the store: others were served, so that
// none has expired. What others say may come after the list.
func TestDeletesMissingRowsAtOnceIfStoreServedOthers(t *testing.T) {
	for name, tellsAfter := range map[string]time.Duration{"known at the list": 0, "known a second later": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, copied := &fakeSource{rows: map[string]uint64{"a": 1, "b": 2}, version: 2}, &keyCopy{}
				begin := time.Now()
				told := begin.Add(11*time.Second + tellsAfter)
				servedSince := func(since time.Time) bool {
					return time.Now().After(told) && !since.Before(begin)
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := follow.New("targets", source, copied, zerolog.Nop(), follow.WithStoreServed(servedSince)).Start(ctx)
				time.Sleep(time.Second)
				source.update(func() { source.err = code.Errorf(code.StoreDown, "cut off") })
				time.Sleep(10 * time.Second)
				source.update(func() { source.err, source.rows, source.version = nil, map[string]uint64{"a": 1}, 3 })
				time.Sleep(900*time.Millisecond + tellsAfter) // covers the backoff of the list
				expectKeys(t, copied, "after the list", "a")
				cancel()
				<-done
			})
		})
	}
}

// An outage is too short for rows to expire. Guards against keeping rows that are missing after
// it, whatever the number of failed calls.
func TestDeletesMissingRowsAtOnceAfterShortOutage(t *testing.T) {
	source := &fakeSource{rows: map[string]uint64{"a": 1, "b": 2}, version: 2}
	runFollower(t, source, func(copied *keyCopy) {
		time.Sleep(time.Second)
		source.update(func() { source.err = code.Errorf(code.StoreDown, "connection reset") })
		time.Sleep(1200 * time.Millisecond)
		source.update(func() { source.err, source.rows, source.version = nil, map[string]uint64{"a": 1}, 3 })
		time.Sleep(900 * time.Millisecond)
		expectKeys(t, copied, "after the list", "a")
	})
}
