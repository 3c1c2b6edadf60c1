package feed_test

import (
	"sync"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/state/memory"
)

const countInterval = 250 * time.Millisecond

// callCounter counts the calls to the store in each countInterval, including
// those that fail.
type callCounter struct {
	mu               sync.Mutex
	startedAt        time.Time
	callsPerInterval map[int]int
}

func (counter *callCounter) countCalls(down bool) func(memory.Call) memory.Fault {
	return func(memory.Call) memory.Fault {
		counter.mu.Lock()
		defer counter.mu.Unlock()
		counter.callsPerInterval[int(time.Since(counter.startedAt)/countInterval)]++
		return memory.Fault{Unavailable: down}
	}
}

func (counter *callCounter) maxAndTotal() (maxCalls, total int) {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	for _, calls := range counter.callsPerInterval {
		maxCalls, total = max(maxCalls, calls), total+calls
	}
	return maxCalls, total
}

// TestNoThunderingHerdAfterStoreOutage guards against all instances polling the
// store at once, during an outage or when it ends.
func TestNoThunderingHerdAfterStoreOutage(t *testing.T) {
	const count = 40
	const outageSeconds = 20
	cases := map[string]struct {
		peersUnreachable bool
		maxCalls         int // in one countInterval, during the outage or after it
		maxPerSecond     int // mean rate of calls during the outage
	}{
		"peers reachable":   {false, 12, 5},
		"peers unreachable": {true, count / 2, count / 2},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			withFleet(t, count, func(t *testing.T, fleet *fleet) {
				fleet.partition(func(_, to string) bool { return test.peersUnreachable && to != "list" && to != "store" })
				outage := &callCounter{startedAt: time.Now(), callsPerInterval: map[int]int{}}
				fleet.store.SetFault(outage.countCalls(true))
				time.Sleep(outageSeconds * time.Second)
				recovery := &callCounter{startedAt: time.Now(), callsPerInterval: map[int]int{}}
				fleet.store.SetFault(recovery.countCalls(false))
				took, ok := fleet.waitUntil(8*time.Second, servesNote(1))
				time.Sleep(10 * time.Second)
				maxCalls, total := outage.maxAndTotal()
				maxAfter, totalAfter := recovery.maxAndTotal()
				t.Logf("%d instances: %d calls during %d s of outage, at most %d in 250 ms; %d calls after it, at most %d in 250 ms; all serve after %v",
					count, total, outageSeconds, maxCalls, totalAfter, maxAfter, took)
				if !ok || max(maxCalls, maxAfter) > test.maxCalls || total > test.maxPerSecond*outageSeconds {
					t.Errorf("all serve: %v, want true within 8 s; calls in 250 ms = %d, want at most %d; calls in the outage = %d, want at most %d",
						ok, max(maxCalls, maxAfter), test.maxCalls, total, test.maxPerSecond*outageSeconds)
				}
			})
		})
	}
}

func TestServesFromStoreWithoutPeers(t *testing.T) {
	withFleet(t, 40, func(t *testing.T, fleet *fleet) {
		isolated := fleet.runningNodes()[instanceID(0)]
		fleet.partition(func(from, to string) bool { return to != "store" && (from == isolated.id) != (to == isolated.id) })
		for range 60 {
			time.Sleep(200 * time.Millisecond)
			if err := isolated.feed.CheckServing(); err != nil {
				t.Fatalf("CheckServing() without peers = %v, want nil", err)
			}
		}
	})
}
