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

// rapidTB hides the Deadline method of testing.T from rapid, which would read
// it on the fake clock of synctest. A check ends after a day on that clock, also
// if it has made fewer runs than requested; -v prints how many it made.
type rapidTB struct{ *testing.T }

// pausableClient is a store whose caller can be paused before and after each
// call.
type pausableClient struct {
	*memory.Client
	paused atomic.Pointer[chan struct{}] // closed on resume, nil while not paused
}

func (client *pausableClient) wait() {
	if paused := client.paused.Load(); paused != nil {
		<-*paused
	}
}

func (client *pausableClient) Get(ctx context.Context, key string) (table.Row, error) {
	client.wait()
	defer client.wait()
	return client.Client.Get(ctx, key)
}

func (client *pausableClient) Commit(ctx context.Context, writes ...table.Write) error {
	client.wait()
	defer client.wait()
	return client.Client.Commit(ctx, writes...)
}

func (client *pausableClient) resume() {
	if paused := client.paused.Swap(nil); paused != nil {
		close(*paused)
	}
}

// faultyProcess is a process that a test can pause and whose wall clock it can
// move.
type faultyProcess struct {
	*process
	client     *pausableClient
	wallOffset atomic.Int64 // nanoseconds
}

// TestAtMostOneHolder draws pauses, store faults, clock jumps and restarts.
// After each it checks that at most one process holds the lease, that the
// holder's grant is accepted, and that the epoch never decreases. Without
// faults one process has to take the lease in the end.
func TestAtMostOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(rapidTB{t}, func(t *rapid.T) {
			store, faults := memory.New(), &atomic.Pointer[map[string]memory.Fault]{}
			faults.Store(&map[string]memory.Fault{})
			store.SetFault(func(call memory.Call) memory.Fault {
				current := *faults.Load()
				if fault, ok := current[call.Client+" "+call.Method]; ok {
					return fault
				}
				return current[call.Client]
			})
			processes := make([]*faultyProcess, 3)
			for i := range processes {
				processes[i] = startFaulty(store, fmt.Sprint("process-", i), uint64(i))
			}
			defer func() {
				for _, process := range processes {
					process.client.resume()
					process.shutDown()
				}
			}()
			epoch := uint64(0)
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				i := rapid.IntRange(0, 2).Draw(t, "process")
				injectFault(t, store, processes, i, faults)
				wait := rapid.IntRange(1, 30).Draw(t, "tenths of the lease duration")
				epoch = checkInvariants(t, store, processes, epoch, time.Duration(wait)*leaseDuration/10)
			}
			faults.Store(&map[string]memory.Fault{})
			for _, process := range processes {
				process.client.resume()
			}
			checkInvariants(t, store, processes, epoch, 4*leaseDuration)
			if !isHolder(processes[0].process) && !isHolder(processes[1].process) && !isHolder(processes[2].process) {
				t.Fatal("no process holds the lease four lease durations after the last fault")
			}
		})
	})
}

func startFaulty(store *memory.Store, name string, seed uint64) *faultyProcess {
	process := &faultyProcess{client: &pausableClient{Client: store.Client(name)}}
	wallClock := func() time.Time { return time.Now().Add(time.Duration(process.wallOffset.Load())) }
	process.process = start(process.client, name, seed, lease.WithWallClock(wallClock))
	return process
}

// injectFault pauses, resumes or restarts process i, moves its wall clock, or
// sets a fault of the store for it.
func injectFault(t *rapid.T, store *memory.Store, processes []*faultyProcess, i int, faults *atomic.Pointer[map[string]memory.Fault]) {
	process, name := processes[i], fmt.Sprint("process-", i)
	switch rapid.SampledFrom([]string{"pause", "resume", "store", "jump", "restart"}).Draw(t, "fault") {
	case "pause":
		paused := make(chan struct{})
		process.client.paused.CompareAndSwap(nil, &paused)
	case "resume":
		process.client.resume()
	case "store":
		next := map[string]memory.Fault{}
		for client, fault := range *faults.Load() {
			next[client] = fault
		}
		if rapid.Bool().Draw(t, "commits only") {
			name += " commit"
		}
		next[name] = memory.Fault{
			Unavailable: rapid.Bool().Draw(t, "down"), LoseResponse: rapid.Bool().Draw(t, "lose"),
			Delay: time.Duration(rapid.IntRange(0, 30).Draw(t, "delay")) * leaseDuration / 100,
		}
		faults.Store(&next)
	case "jump":
		process.wallOffset.Add(int64(leaseDuration))
		if isHolder(process.process) {
			t.Fatalf("%s holds the lease after a jump of its wall clock", name)
		}
	case "restart":
		process.client.resume()
		process.shutDown()
		processes[i] = startFaulty(store, name, uint64(i))
	}
}

// checkInvariants checks all processes for the given time and returns the
// latest epoch seen.
func checkInvariants(t *rapid.T, store *memory.Store, processes []*faultyProcess, epoch uint64, wait time.Duration) uint64 {
	for startedAt := time.Now(); time.Since(startedAt) < wait; time.Sleep(leaseDuration / 50) {
		synctest.Wait()
		holders := 0
		for _, process := range processes {
			grant, ok := process.lease.Held()
			if !ok {
				continue
			}
			holders++
			if err := store.Client("checker").Commit(context.Background(), grant.Condition()); err != nil {
				t.Fatalf("Commit with a held grant: %v", err)
			}
			if grant.Epoch < epoch {
				t.Fatalf("epoch = %d, want at least %d", grant.Epoch, epoch)
			}
			epoch = grant.Epoch
		}
		if holders > 1 {
			t.Fatalf("%d processes hold the lease, want at most 1", holders)
		}
	}
	return epoch
}

// TestIdleStoreLoad logs and limits the store calls of one lease while its
// holder stays the same.
func TestIdleStoreLoad(t *testing.T) {
	const durations = 60
	for _, instances := range []int{7, 300, 950} {
		synctest.Test(t, func(t *testing.T) {
			store := memory.New()
			processes := startProcesses(store, instances)
			time.Sleep(30 * leaseDuration)
			before := store.Counts()
			time.Sleep(durations * leaseDuration)
			after := store.Counts()
			seconds := (durations * leaseDuration).Seconds()
			reads := float64(after.Reads-before.Reads) / seconds
			writes := float64(after.Writes-before.Writes) / seconds
			t.Logf("%d instances: %.2f reads/s, %.2f writes/s", instances, reads, writes)
			if writes > 1 || reads > 3+float64(instances)/50 {
				t.Errorf("%d instances: %.2f reads/s, %.2f writes/s, want at most %.2f and 1", instances, reads, writes, 3+float64(instances)/50)
			}
			shutDownAll(processes)
		})
	}
}
