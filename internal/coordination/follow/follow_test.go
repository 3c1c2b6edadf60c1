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

// source is a table whose answers a test sets.
type source struct {
	mutex   sync.Mutex
	rows    map[string]uint64
	changes []table.Change
	version uint64
	failure error
	lists   int
}

func (source *source) List(context.Context) (table.Page, error) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.lists++
	if source.failure != nil {
		return table.Page{}, source.failure
	}
	page := table.Page{Version: source.version}
	for key, version := range source.rows {
		page.Changes = append(page.Changes, table.Change{Key: key, Version: version})
	}
	return page, nil
}

func (source *source) Feed(_ context.Context, after uint64, wait time.Duration) (table.Page, error) {
	time.Sleep(wait)
	source.mutex.Lock()
	defer source.mutex.Unlock()
	if source.failure != nil {
		return table.Page{}, source.failure
	}
	page := table.Page{Version: source.version}
	for _, change := range source.changes {
		if change.Version > after {
			page.Changes = append(page.Changes, change)
		}
	}
	return page, nil
}

func (source *source) set(change func()) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	change()
}

// keys is a copy that keeps the names of the rows.
type keys struct {
	mutex sync.Mutex
	names []string
}

func (keys *keys) Apply(changes []table.Change) {
	keys.mutex.Lock()
	defer keys.mutex.Unlock()
	for _, change := range changes {
		keys.names = slices.DeleteFunc(keys.names, func(name string) bool { return name == change.Key })
		if !change.Deleted {
			keys.names = append(keys.names, change.Key)
		}
	}
	slices.Sort(keys.names)
}

func (keys *keys) String() string {
	keys.mutex.Lock()
	defer keys.mutex.Unlock()
	return strings.Join(keys.names, " ")
}

// play follows a source on the test's clock.
func play(t *testing.T, source *source, steps func(seen *keys)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		seen := &keys{}
		done := follow.New("targets", source, seen, zerolog.Nop()).Start(ctx)
		steps(seen)
		cancel()
		<-done
	})
}

func expect(t *testing.T, seen *keys, when, want string) {
	t.Helper()
	if got := seen.String(); got != want {
		t.Errorf("%s the copy has %q, want %q", when, got, want)
	}
}

func TestChangesAreFollowed(t *testing.T) {
	source := &source{rows: map[string]uint64{"a": 1, "b": 2}, version: 2}
	play(t, source, func(seen *keys) {
		time.Sleep(time.Second)
		expect(t, seen, "at first", "a b")
		source.set(func() {
			source.changes = []table.Change{{Key: "c", Version: 3}, {Key: "a", Version: 4, Deleted: true}}
			source.rows, source.version = map[string]uint64{"b": 2, "c": 3}, 4
		})
		time.Sleep(3 * time.Second)
		expect(t, seen, "after the changes", "b c")
	})
}

// The store forgets its history while a target leaves: the next list shows it.
func TestLostHistoryIsListedAnew(t *testing.T) {
	source := &source{rows: map[string]uint64{"a": 1, "b": 2}, version: 2}
	play(t, source, func(seen *keys) {
		time.Sleep(time.Second)
		source.set(func() {
			source.rows, source.version = map[string]uint64{"b": 2}, 9
			source.failure = code.Errorf(code.RowMissing, "gone")
		})
		time.Sleep(1100 * time.Millisecond)
		source.set(func() { source.failure = nil })
		time.Sleep(4 * time.Second)
		expect(t, seen, "after the list", "b")
	})
}

// Rows that lapsed in an outage get a grace to come back; one that does not is
// gone.
func TestLapsedRowsGetAGrace(t *testing.T) {
	source := &source{rows: map[string]uint64{"a": 1, "b": 2}, version: 2}
	play(t, source, func(seen *keys) {
		time.Sleep(time.Second)
		source.set(func() { source.failure = code.Errorf(code.StoreDown, "down") })
		time.Sleep(10 * time.Second)
		expect(t, seen, "in the outage", "a b")
		source.set(func() {
			source.failure, source.rows, source.version = nil, map[string]uint64{}, 3
		})
		time.Sleep(1500 * time.Millisecond)
		expect(t, seen, "just after the return", "a b")
		source.set(func() {
			source.rows, source.version = map[string]uint64{"a": 4}, 4
			source.changes = []table.Change{{Key: "a", Version: 4}}
		})
		time.Sleep(6 * time.Second)
		expect(t, seen, "after the grace", "a")
	})
}

// A list that comes late, by way of another instance, does not bring back what
// was dropped.
func TestOlderListDoesNotBringRowsBack(t *testing.T) {
	source := &source{rows: map[string]uint64{"a": 1}, version: 1}
	play(t, source, func(seen *keys) {
		time.Sleep(time.Second)
		source.set(func() { source.changes, source.version = []table.Change{{Key: "a", Version: 5, Deleted: true}}, 5 })
		time.Sleep(3 * time.Second)
		expect(t, seen, "after the drop", "")
		time.Sleep(15 * time.Second) // lists anew, with the old row
		expect(t, seen, "after the old list", "")
	})
}

func TestFailuresBackOff(t *testing.T) {
	source := &source{failure: code.Errorf(code.StoreDown, "down")}
	play(t, source, func(*keys) {
		time.Sleep(60 * time.Second)
		source.set(func() {
			if source.lists > 200 || source.lists < 60 {
				t.Errorf("%d calls in a minute's outage", source.lists)
			}
		})
	})
}
