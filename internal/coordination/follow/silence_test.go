package follow_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/follow"
	"mangopier.example/mangopier/internal/state/table"
)

// silentSource is a store whose open connections can go silent: a watch that is under
// way then never returns by itself. New calls work.
type silentSource struct {
	mutex   sync.Mutex
	version uint64
	calls   int
	changed chan struct{} // closed at the next change
	silence chan struct{} // closed when the open connections go silent
}

func newSilentSource() *silentSource {
	return &silentSource{version: 1, changed: make(chan struct{}), silence: make(chan struct{})}
}

func (source *silentSource) page() table.Page {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return table.Page{TableVersion: source.version, Changes: []table.Change{{Key: "a", Version: source.version}}}
}

func (source *silentSource) List(context.Context) (table.Page, error) {
	source.update(func() { source.calls++ })
	return source.page(), nil
}

func (source *silentSource) Watch(ctx context.Context, _ uint64, wait time.Duration) (table.Page, error) {
	source.mutex.Lock()
	source.calls++
	changed, silence := source.changed, source.silence
	source.mutex.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-silence:
		<-ctx.Done()
		return table.Page{}, ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return source.page(), nil
}

func (source *silentSource) update(change func()) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	change()
}

// silenceConnections makes the watch that is under way hang.
func (source *silentSource) silenceConnections() {
	source.update(func() {
		close(source.silence)
		source.silence = make(chan struct{})
	})
}

// write changes the row.
func (source *silentSource) write() {
	source.update(func() {
		source.version++
		close(source.changed)
		source.changed = make(chan struct{})
	})
}

// Open connections to the store go silent for good while new ones work, and the row of the
// manifest changes. Guards against a change that is hidden for longer than the contact time
// (3 s on the sites) after the silence began, whatever the moment, and against a bound that
// is kept by more calls: a table without changes is watched no more often than needed.
func TestSilentConnectionHidesChangesWithinContactTime(t *testing.T) {
	const contactTime = 3 * time.Second
	for moment := time.Duration(0); moment < 2*time.Second; moment += 100 * time.Millisecond {
		t.Run(fmt.Sprint(moment), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, copied := newSilentSource(), &stampCopy{stamps: map[string]table.Stamp{}}
				ctx, cancel := context.WithCancel(t.Context())
				done := follow.New("manifest", source, copied, zerolog.Nop()).Start(ctx)
				time.Sleep(5*time.Second + moment)
				source.silenceConnections()
				time.Sleep(10 * time.Millisecond)
				source.write()
				time.Sleep(contactTime - 100*time.Millisecond)
				synctest.Wait()
				copied.expect(t, "within the contact time", map[string]table.Stamp{"a": {Version: 2}})
				cancel()
				<-done
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		source, copied := newSilentSource(), &stampCopy{stamps: map[string]table.Stamp{}}
		ctx, cancel := context.WithCancel(t.Context())
		done := follow.New("manifest", source, copied, zerolog.Nop()).Start(ctx)
		time.Sleep(time.Minute)
		cancel()
		<-done
		const maxCalls = 60 // one a second
		if source.calls > maxCalls {
			t.Errorf("calls in a minute without changes = %d, want at most %d", source.calls, maxCalls)
		}
	})
}
