package follow_test

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/follow"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// stampCopy is a copy of the stamps of a table's rows.
type stampCopy struct {
	mutex  sync.Mutex
	stamps map[string]table.Stamp
}

func (copied *stampCopy) Apply(changes []table.Change) {
	copied.mutex.Lock()
	defer copied.mutex.Unlock()
	for _, change := range changes {
		if change.Deleted {
			delete(copied.stamps, change.Key)
		} else {
			copied.stamps[change.Key] = change.Stamp()
		}
	}
}

func (copied *stampCopy) expect(t *testing.T, when string, want map[string]table.Stamp) {
	t.Helper()
	copied.mutex.Lock()
	defer copied.mutex.Unlock()
	if !maps.Equal(copied.stamps, want) {
		t.Errorf("stamps of the copy %s = %v, want %v", when, copied.stamps, want)
	}
}

func runStampFollower(t *testing.T, source *fakeSource, steps func(copied *stampCopy)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		copied := &stampCopy{stamps: map[string]table.Stamp{}}
		done := follow.New("targets", source, copied, zerolog.Nop()).Start(ctx)
		steps(copied)
		cancel()
		<-done
	})
}

// restore makes a source come back from a copy, with lower versions.
func (source *fakeSource) restore(version uint64, rows map[string]uint64) {
	source.update(func() {
		source.era++
		source.err, source.version, source.rows, source.changes = nil, version, rows, nil
	})
}

// The store comes back from a copy and gives versions out again. Guards against dropping
// what is written then, since the versions are lower than those at hand.
func TestAppliesRowsOfRestoredStore(t *testing.T) {
	source := &fakeSource{era: 1, version: 93, rows: map[string]uint64{"a": 93, "b": 20}}
	runStampFollower(t, source, func(copied *stampCopy) {
		time.Sleep(time.Second)
		source.update(func() { source.err = code.Errorf(code.StoreDown, "store down") })
		time.Sleep(time.Second)
		source.restore(60, map[string]uint64{"a": 60, "b": 20})
		time.Sleep(4 * time.Second)
		copied.expect(t, "after the restore", map[string]table.Stamp{"a": {Era: 2, Version: 60}, "b": {Era: 2, Version: 20}})
		source.update(func() {
			source.rows, source.version = map[string]uint64{"a": 61, "b": 20}, 61
			source.changes = []table.Change{{Key: "a", Version: 61}}
		})
		time.Sleep(4 * time.Second)
		copied.expect(t, "after a change", map[string]table.Stamp{"a": {Era: 2, Version: 61}, "b": {Era: 2, Version: 20}})
	})
}

// The restored store has reached the version from which a watch of before goes on. Guards
// against missing the changes below that version, which the watch does not deliver.
func TestListsRestoredStoreThatHasCaughtUp(t *testing.T) {
	source := &fakeSource{era: 1, version: 10, rows: map[string]uint64{"a": 10, "b": 9}}
	runStampFollower(t, source, func(copied *stampCopy) {
		time.Sleep(time.Second)
		source.restore(12, map[string]uint64{"a": 5, "b": 11, "c": 12})
		source.update(func() { source.changes = []table.Change{{Key: "b", Version: 11}, {Key: "c", Version: 12}} })
		time.Sleep(4 * time.Second)
		copied.expect(t, "after the restore",
			map[string]table.Stamp{"a": {Era: 2, Version: 5}, "b": {Era: 2, Version: 11}, "c": {Era: 2, Version: 12}})
	})
}

// Rows that are missing from the copy are written again by their owners. They must stay
// for a grace period, and go afterwards.
func TestKeepsRowsMissingFromRestoredStoreForGracePeriod(t *testing.T) {
	source := &fakeSource{era: 1, version: 10, rows: map[string]uint64{"a": 10, "b": 9}}
	runStampFollower(t, source, func(copied *stampCopy) {
		time.Sleep(time.Second)
		source.restore(3, map[string]uint64{"b": 2})
		time.Sleep(2 * time.Second) // the watch that began before the restore has ended by then
		copied.expect(t, "within the grace period", map[string]table.Stamp{"a": {Era: 1, Version: 10}, "b": {Era: 2, Version: 2}})
		time.Sleep(4 * time.Second)
		copied.expect(t, "after the grace period", map[string]table.Stamp{"b": {Era: 2, Version: 2}})
	})
}

// A mirror that has not noticed the restore lists the rows of before. They must not
// replace those of the restored store.
func TestIgnoresListOfEarlierEra(t *testing.T) {
	source := &fakeSource{era: 2, version: 5, rows: map[string]uint64{"a": 5}}
	runStampFollower(t, source, func(copied *stampCopy) {
		time.Sleep(time.Second)
		source.update(func() { source.era, source.version, source.rows = 1, 90, map[string]uint64{"a": 90, "b": 80} })
		time.Sleep(30 * time.Second)
		copied.expect(t, "after lists of the earlier era", map[string]table.Stamp{"a": {Era: 2, Version: 5}})
	})
}

// Two restores in a row, the second from a copy of before the first.
func TestFollowsRepeatedRestores(t *testing.T) {
	source := &fakeSource{era: 1, version: 50, rows: map[string]uint64{"a": 50}}
	runStampFollower(t, source, func(copied *stampCopy) {
		time.Sleep(time.Second)
		source.restore(30, map[string]uint64{"a": 30})
		time.Sleep(500 * time.Millisecond)
		source.restore(20, map[string]uint64{"a": 20})
		time.Sleep(4 * time.Second)
		copied.expect(t, "after both restores", map[string]table.Stamp{"a": {Era: 3, Version: 20}})
	})
}
