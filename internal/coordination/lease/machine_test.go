package lease_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/state/memory"
	"mangopier.example/mangopier/internal/state/table"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// bubble keeps rapid from asking for the deadline of a test on a paused clock.
// A check ends after a day on that clock, however many runs were asked for; the
// count that -v prints is the true one.
type bubble struct{ *testing.T }

// gate is a store whose caller can be paused before and after each call.
type gate struct {
	*memory.Client
	closed atomic.Pointer[chan struct{}]
}

func (gate *gate) wait() {
	if closed := gate.closed.Load(); closed != nil {
		<-*closed
	}
}

func (gate *gate) Get(ctx context.Context, key string) (table.Row, error) {
	gate.wait()
	defer gate.wait()
	return gate.Client.Get(ctx, key)
}

func (gate *gate) Commit(ctx context.Context, writes ...table.Write) error {
	gate.wait()
	defer gate.wait()
	return gate.Client.Commit(ctx, writes...)
}

func (gate *gate) resume() {
	if closed := gate.closed.Swap(nil); closed != nil {
		close(*closed)
	}
}

type contestant struct {
	*process
	gate *gate
	jump atomic.Int64
}

// TestOneHolder draws pauses, store faults, clock jumps and restarts, and
// checks all along that at most one process believes, that its grant passes,
// and that the epoch never goes back.
func TestOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			store, faults := memory.New(), &atomic.Pointer[map[string]memory.Fault]{}
			faults.Store(&map[string]memory.Fault{})
			store.SetFault(func(call memory.Call) memory.Fault {
				all := *faults.Load()
				if fault, ok := all[call.Client+" "+call.Method]; ok {
					return fault
				}
				return all[call.Client]
			})
			all := make([]*contestant, 3)
			for i := range all {
				all[i] = contend(store, fmt.Sprint("process-", i), uint64(i))
			}
			defer func() {
				for _, contestant := range all {
					contestant.gate.resume()
					contestant.end()
				}
			}()
			epoch := uint64(0)
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				i := rapid.IntRange(0, 2).Draw(t, "process")
				disturb(t, store, all, i, faults)
				wait := rapid.IntRange(1, 30).Draw(t, "tenths of a term")
				epoch = observe(t, store, all, epoch, time.Duration(wait)*term/10)
			}
			faults.Store(&map[string]memory.Fault{})
			for _, contestant := range all {
				contestant.gate.resume()
			}
			observe(t, store, all, epoch, 4*term)
			if !held(all[0].process) && !held(all[1].process) && !held(all[2].process) {
				t.Fatal("nobody takes the lease")
			}
		})
	})
}

func contend(store *memory.Store, name string, seed uint64) *contestant {
	contestant := &contestant{gate: &gate{Client: store.Client(name)}}
	wall := func() time.Time { return time.Now().Add(time.Duration(contestant.jump.Load())) }
	contestant.process = start(contestant.gate, name, seed, lease.WithWallClock(wall))
	return contestant
}

func disturb(t *rapid.T, store *memory.Store, all []*contestant, i int, faults *atomic.Pointer[map[string]memory.Fault]) {
	contestant, name := all[i], fmt.Sprint("process-", i)
	switch rapid.SampledFrom([]string{"pause", "resume", "store", "jump", "restart"}).Draw(t, "disturbance") {
	case "pause":
		closed := make(chan struct{})
		contestant.gate.closed.CompareAndSwap(nil, &closed)
	case "resume":
		contestant.gate.resume()
	case "store":
		next := map[string]memory.Fault{}
		for client, fault := range *faults.Load() {
			next[client] = fault
		}
		if rapid.Bool().Draw(t, "commits only") {
			name += " commit"
		}
		next[name] = memory.Fault{
			Down: rapid.Bool().Draw(t, "down"), LoseAnswer: rapid.Bool().Draw(t, "lose"),
			Delay: time.Duration(rapid.IntRange(0, 30).Draw(t, "delay")) * term / 100,
		}
		faults.Store(&next)
	case "jump":
		contestant.jump.Add(int64(term))
		if held(contestant.process) {
			t.Fatal("believes after a jump")
		}
	case "restart":
		contestant.gate.resume()
		contestant.end()
		all[i] = contend(store, name, uint64(i))
	}
}

// observe looks at all processes for some time and returns the epoch.
func observe(t *rapid.T, store *memory.Store, all []*contestant, epoch uint64, wait time.Duration) uint64 {
	for began := time.Now(); time.Since(began) < wait; time.Sleep(term / 50) {
		synctest.Wait()
		holders := 0
		for _, contestant := range all {
			grant, ok := contestant.lease.Held()
			if !ok {
				continue
			}
			holders++
			if err := store.Client("judge").Commit(context.Background(), grant.Check()); err != nil {
				t.Fatalf("a believed grant does not pass: %v", err)
			}
			if grant.Epoch < epoch {
				t.Fatalf("epoch went from %d to %d", epoch, grant.Epoch)
			}
			epoch = grant.Epoch
		}
		if holders > 1 {
			t.Fatalf("%d processes believe", holders)
		}
	}
	return epoch
}

// TestIdleCost logs what one lease costs the store while nothing happens.
func TestIdleCost(t *testing.T) {
	const terms = 60
	for _, instances := range []int{7, 300, 950} {
		synctest.Test(t, func(t *testing.T) {
			store := memory.New()
			all := startMany(store, instances)
			time.Sleep(30 * term)
			before := store.Counts()
			time.Sleep(terms * term)
			after := store.Counts()
			seconds := (terms * term).Seconds()
			reads := float64(after.Reads-before.Reads) / seconds
			writes := float64(after.Writes-before.Writes) / seconds
			t.Logf("%d instances: %.2f reads/s, %.2f writes/s", instances, reads, writes)
			if writes > 1 || reads > 3+float64(instances)/50 {
				t.Error("an idle lease costs more than it should")
			}
			stopAll(all)
		})
	}
}
