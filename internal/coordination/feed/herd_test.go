package feed_test

import (
	"sync"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/state/memory"
)

const tallyInterval = 250 * time.Millisecond

// tally counts the calls to the store in each tallyInterval, those that fail
// too.
type tally struct {
	mu    sync.Mutex
	begin time.Time
	calls map[int]int
}

func (tally *tally) fault(down bool) func(memory.Call) memory.Fault {
	return func(memory.Call) memory.Fault {
		tally.mu.Lock()
		defer tally.mu.Unlock()
		tally.calls[int(time.Since(tally.begin)/tallyInterval)]++
		return memory.Fault{Down: down}
	}
}

func (tally *tally) result() (most, sum int) {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	for _, calls := range tally.calls {
		most, sum = max(most, calls), sum+calls
	}
	return most, sum
}

func TestNoHerdOnTheStoresReturn(t *testing.T) {
	const count = 40
	const outageSeconds = 20
	cases := map[string]struct {
		peersCut  bool
		most      int // calls in one tallyInterval, in the outage or after it
		perSecond int // calls in the outage
	}{
		"peers answer": {false, 12, 5},
		"all cut off":  {true, count / 2, count / 2},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			inFleet(t, count, func(t *testing.T, fleet *fleet) {
				fleet.partition(func(_, to string) bool { return test.peersCut && to != "list" && to != "store" })
				outage := &tally{begin: time.Now(), calls: map[int]int{}}
				fleet.store.SetFault(outage.fault(true))
				time.Sleep(outageSeconds * time.Second)
				recovery := &tally{begin: time.Now(), calls: map[int]int{}}
				fleet.store.SetFault(recovery.fault(false))
				took, ok := fleet.until(8*time.Second, serves(1))
				time.Sleep(10 * time.Second)
				most, sum := outage.result()
				mostAfter, sumAfter := recovery.result()
				t.Logf("%d instances: %d calls in %d s of outage, at most %d in 250 ms; %d after it, at most %d; all serve after %v",
					count, sum, outageSeconds, most, sumAfter, mostAfter, took)
				if !ok || max(most, mostAfter) > test.most || sum > test.perSecond*outageSeconds {
					t.Error("too late or too many")
				}
			})
		})
	}
}

func TestCutOffFromPeersServesFromTheStore(t *testing.T) {
	inFleet(t, 40, func(t *testing.T, fleet *fleet) {
		alone := fleet.snapshot()[name(0)]
		fleet.partition(func(from, to string) bool { return to != "store" && (from == alone.id) != (to == alone.id) })
		for range 60 {
			time.Sleep(200 * time.Millisecond)
			if err := alone.feed.Serving(); err != nil {
				t.Fatalf("after the peers' loss: %v", err)
			}
		}
	})
}
