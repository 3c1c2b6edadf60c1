package follow_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/follow"
	"mangopier.example/mangopier/internal/state/table"
)

// slowSource is a store without changes whose responses take some time.
type slowSource struct {
	mutex    sync.Mutex
	last     time.Time // response
	longest  time.Duration
	response time.Duration // time that a response takes
}

func (source *slowSource) respond(wait time.Duration) (table.Page, error) {
	time.Sleep(wait + source.response)
	source.mutex.Lock()
	defer source.mutex.Unlock()
	if !source.last.IsZero() {
		source.longest = max(source.longest, time.Since(source.last))
	}
	source.last = time.Now()
	return table.Page{TableVersion: 1, Changes: []table.Change{{Key: "a", Version: 1}}}, nil
}

func (source *slowSource) List(context.Context) (table.Page, error) { return source.respond(0) }

func (source *slowSource) Watch(_ context.Context, _ uint64, wait time.Duration) (table.Page, error) {
	return source.respond(wait)
}

// Guards against mirrors whose tables count as stale in normal operation, so that all that
// read them list the store at once: a long contact time must not make watches longer than the
// age that mirrors allow.
func TestMirroredTableStaysFreshAtAnyContactTime(t *testing.T) {
	const maxTableAge = 2500 * time.Millisecond // of package mirror
	for _, contactTime := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 10 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			source := &slowSource{response: 200 * time.Millisecond}
			ctx, cancel := context.WithCancel(t.Context())
			done := follow.New("targets", source, &stampCopy{stamps: map[string]table.Stamp{}}, zerolog.Nop(), follow.WithResponseLimit(contactTime*4/5)).Start(ctx)
			time.Sleep(time.Minute)
			cancel()
			<-done
			if source.longest > maxTableAge {
				t.Errorf("contact time %v: longest time between two responses = %v, want at most %v", contactTime, source.longest, maxTableAge)
			}
		})
	}
}
