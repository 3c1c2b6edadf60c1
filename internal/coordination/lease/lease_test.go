package lease_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/memory"
	"mangopier.example/mangopier/internal/state/table"
)

const (
	leaseDuration = 6 * time.Second
	duty          = "orders/kosice-1"
	heartbeatKey  = "lease/" + duty + "/heartbeat"
	epochKey      = "lease/" + duty + "/epoch"
)

// process competes for the lease until it is shut down.
type process struct {
	lease *lease.Lease
	stop  context.CancelFunc
	done  <-chan error
}

func start(store lease.Store, name string, seed uint64, opts ...lease.Option) *process {
	opts = append([]lease.Option{lease.WithDuration(leaseDuration), lease.WithRandSource(rand.NewPCG(seed, seed))}, opts...)
	ctx, stop := context.WithCancel(context.Background())
	process := &process{lease: lease.New(store, duty, name, opts...), stop: stop}
	process.done = process.lease.Start(ctx)
	return process
}

func (process *process) shutDown() {
	process.stop()
	for range process.done { // a lease whose release fails expires by itself
		continue
	}
}

func isHolder(process *process) bool {
	_, ok := process.lease.Held()
	return ok
}

func TestSuccessorTakesOverOnlyAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		first := start(store.Client("first"), "first", 1)
		defer first.shutDown()
		time.Sleep(leaseDuration)
		second := start(store.Client("second"), "second", 2)
		defer second.shutDown()
		time.Sleep(10 * leaseDuration)
		if !isHolder(first) || isHolder(second) {
			t.Fatal("a live holder lost its lease, or a second process holds it too")
		}
		before, _ := first.lease.Held()
		disconnect(store, "first")
		startedAt := time.Now()
		for !isHolder(second) {
			time.Sleep(leaseDuration / 100)
			if isHolder(first) && isHolder(second) {
				t.Fatal("two processes hold the lease at the same time")
			}
		}
		if elapsed := time.Since(startedAt); elapsed > 2*leaseDuration {
			t.Fatalf("takeover took %v, want at most %v", elapsed, 2*leaseDuration)
		}
		after, _ := second.lease.Held()
		if after.Epoch != before.Epoch+1 {
			t.Fatalf("epoch after the takeover = %d, want %d", after.Epoch, before.Epoch+1)
		}
		ctx := context.Background()
		if err := store.Client("any").Commit(ctx, before.Condition()); !code.Is(err, code.RowConflict) {
			t.Fatalf("Commit with the old grant: %v, want code.RowConflict", err)
		}
		if err := store.Client("any").Commit(ctx, after.Condition()); err != nil {
			t.Fatalf("Commit with the new grant: %v", err)
		}
	})
}

func TestGrantStaysValidAcrossRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		first := start(store.Client("first"), "first", 1)
		defer first.shutDown()
		time.Sleep(leaseDuration)
		grant, _ := first.lease.Held()
		time.Sleep(20 * leaseDuration)
		if err := store.Client("any").Commit(context.Background(), grant.Condition()); err != nil {
			t.Fatalf("Commit with the grant after renewals: %v", err)
		}
	})
}

// TestValidityCountsFromSending lets each commit take effect at once and delays
// its response. A validity that counted from the response would outlast the lease.
func TestValidityCountsFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		client := &slowClient{Client: store.Client("first"), delay: leaseDuration / 5}
		first := start(client, "first", 1)
		defer first.shutDown()
		time.Sleep(3 * leaseDuration)
		client.waitForCommit()
		disconnect(store, "first")
		sentAt := *client.lastCommitAt.Load()
		for isHolder(first) {
			time.Sleep(leaseDuration / 100)
		}
		if elapsed := time.Since(sentAt); elapsed > leaseDuration*5/6+leaseDuration/50 {
			t.Fatalf("lease held for %v after the renewal was sent, want at most %v", elapsed, leaseDuration*5/6+leaseDuration/50)
		}
	})
}

func TestReleasedLeaseIsTakenOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		first := start(store.Client("first"), "first", 1)
		time.Sleep(leaseDuration)
		second := start(store.Client("second"), "second", 2)
		defer second.shutDown()
		time.Sleep(3 * leaseDuration)
		first.shutDown()
		time.Sleep(leaseDuration / 2)
		if isHolder(first) || !isHolder(second) {
			t.Fatal("the successor did not hold the released lease after half a lease duration")
		}
	})
}

// A machine that sleeps may stop its monotonic clock, by which the lease would
// still be valid. The jump of the wall clock has to end the validity.
func TestClockJumpInvalidatesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wallOffset atomic.Int64
		store := memory.New()
		first := start(store.Client("first"), "first", 1,
			lease.WithWallClock(func() time.Time { return time.Now().Add(time.Duration(wallOffset.Load())) }))
		defer first.shutDown()
		time.Sleep(leaseDuration)
		synctest.Wait()
		wallOffset.Store(int64(2 * leaseDuration)) // the machine slept while its monotonic clock stood still
		if isHolder(first) {
			t.Fatal("lease still held after a jump of the wall clock")
		}
		grant := waitForGrant(t, first, leaseDuration)
		if grant.Epoch != 1 {
			t.Fatalf("epoch = %d, want 1: no other process competes", grant.Epoch)
		}
	})
}

// The store applies each commit and loses its response. The process has to read
// the rows back to learn that its takeover or renewal took effect.
func TestLostCommitResponsesAreResolvedByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetFault(func(call memory.Call) memory.Fault {
			return memory.Fault{LoseResponse: call.Method == "commit", Delay: leaseDuration / 100}
		})
		first := start(store.Client("first"), "first", 1)
		defer first.shutDown()
		second := start(store.Client("second"), "second", 2)
		defer second.shutDown()
		for range 300 {
			time.Sleep(leaseDuration / 300)
			if isHolder(first) && isHolder(second) {
				t.Fatal("two processes hold the lease after a lost response")
			}
		}
		holder := first
		if isHolder(second) {
			holder = second
		}
		for range 1000 {
			if !isHolder(holder) {
				t.Fatal("the holder lost its lease because of lost responses")
			}
			time.Sleep(leaseDuration / 50)
		}
	})
}

// A lease with a row that cannot be decoded, or with only one of its two rows,
// must not be taken over, and the row must stay as it is.
func TestMalformedRowsAreLeftUnchanged(t *testing.T) {
	const wellFormed = `{"epoch":7,"holder":"gone","nonce":"n","sequence":0}`
	for _, row := range []struct{ key, value string }{{heartbeatKey, "{"}, {epochKey, "{"}, {heartbeatKey, wellFormed}} {
		synctest.Test(t, func(t *testing.T) {
			key, value := row.key, row.value
			store, ctx := memory.New(), context.Background()
			client := store.Client("any")
			if err := client.Commit(ctx, table.Write{Key: key, Value: []byte(value)}); err != nil {
				t.Fatal(err)
			}
			first := start(store.Client("first"), "first", 1)
			time.Sleep(10 * leaseDuration)
			if isHolder(first) {
				t.Fatal("a lease with a malformed or missing row was taken over")
			}
			first.shutDown()
			if row, _ := client.Get(ctx, key); string(row.Value) != value {
				t.Fatalf("row %s = %s, want %s", key, row.Value, value)
			}
		})
	}
}

// At the start of a site many instances read the lease's two rows while one of
// them writes both. An instance that reads one row before and one after that
// must not report the lease as malformed.
func TestReadDuringFirstTakeoverIsNoError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetFault(func(call memory.Call) memory.Fault {
			switch {
			case call.Client == "slow" && call.Key == epochKey:
				return memory.Fault{Delay: 100 * time.Millisecond}
			case call.Client == "first":
				return memory.Fault{Delay: 20 * time.Millisecond}
			default:
				return memory.Fault{}
			}
		})
		var log bytes.Buffer
		slow := start(store.Client("slow"), "slow", 1, lease.WithLogger(zerolog.New(&log)))
		first := start(store.Client("first"), "first", 2)
		time.Sleep(5 * leaseDuration)
		if !isHolder(first) || isHolder(slow) {
			t.Error("the first writer is not the holder, or the reader is")
		}
		shutDownAll([]*process{slow, first})
		if strings.Contains(log.String(), `"level":"error"`) {
			t.Errorf("log of the reader = %s, want no errors", log.String())
		}
	})
}

// Store outages that begin at different times after a renewal must not cost a
// live holder its lease.
func TestHolderKeepsLeaseAcrossOutageAtAnyPhase(t *testing.T) {
	for phase := range 30 {
		synctest.Test(t, func(t *testing.T) {
			store := memory.New()
			processes := startProcesses(store, 7)
			time.Sleep(5*leaseDuration + time.Duration(phase)*leaseDuration/30)
			holder := findHolder(processes)
			store.SetFault(func(memory.Call) memory.Fault { return memory.Fault{Unavailable: true} })
			time.Sleep(3 * leaseDuration)
			store.SetFault(nil)
			time.Sleep(2 * leaseDuration)
			if findHolder(processes) != holder {
				t.Errorf("outage at phase %d of 30: the live holder lost its lease", phase)
			}
			shutDownAll(processes)
		})
	}
}

// After a long outage of the store the live holder gets its lease back, and the
// 300 instances must not call the recovered store all at once.
func TestOutageEndsWithoutThunderingHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 300
		store := memory.New()
		processes := startProcesses(store, instances)
		time.Sleep(5 * leaseDuration)
		holder := findHolder(processes)
		store.SetFault(func(memory.Call) memory.Fault { return memory.Fault{Unavailable: true} })
		time.Sleep(20 * leaseDuration)
		if findHolder(processes) != nil {
			t.Fatal("lease still held after 20 lease durations of outage")
		}
		store.SetFault(nil)
		before := store.Counts()
		time.Sleep(time.Second)
		after := store.Counts()
		t.Logf("first second after the outage: %d reads, %d writes", after.Reads-before.Reads, after.Writes-before.Writes)
		if after.Reads-before.Reads > instances || after.Writes-before.Writes > 3 {
			t.Fatalf("first second after the outage: %d reads, %d writes, want at most %d and 3", after.Reads-before.Reads, after.Writes-before.Writes, instances)
		}
		time.Sleep(3 * leaseDuration)
		if findHolder(processes) != holder {
			t.Fatal("the live holder lost its lease")
		}
		shutDownAll(processes)
	})
}

func startProcesses(store *memory.Store, count int) []*process {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("instance-%03d", i)
	}
	processes := make([]*process, count)
	for i, name := range names {
		processes[i] = start(store.Client(name), name, uint64(i+1), lease.WithStandby(func() bool {
			return lease.IsStandby(duty, name, names, 3)
		}))
	}
	return processes
}

func shutDownAll(processes []*process) {
	for _, process := range processes {
		process.shutDown()
	}
}

func findHolder(processes []*process) *process {
	for _, process := range processes {
		if isHolder(process) {
			return process
		}
	}
	return nil
}

func disconnect(store *memory.Store, name string) {
	store.SetFault(func(call memory.Call) memory.Fault { return memory.Fault{Unavailable: call.Client == name} })
}

func waitForGrant(t *testing.T, process *process, limit time.Duration) lease.Grant {
	t.Helper()
	for startedAt := time.Now(); time.Since(startedAt) < limit; time.Sleep(leaseDuration / 100) {
		if grant, ok := process.lease.Held(); ok {
			return grant
		}
	}
	t.Fatalf("lease not held within %v", limit)
	return lease.Grant{}
}

// slowClient applies each commit at once and returns after a delay.
type slowClient struct {
	*memory.Client
	delay        time.Duration
	lastCommitAt atomic.Pointer[time.Time] // when the last commit that has returned was applied
}

func (client *slowClient) Commit(ctx context.Context, writes ...table.Write) error {
	committedAt := time.Now()
	err := client.Client.Commit(ctx, writes...)
	time.Sleep(client.delay)
	client.lastCommitAt.Store(&committedAt)
	return err
}

func (client *slowClient) waitForCommit() {
	for previous := client.lastCommitAt.Load(); client.lastCommitAt.Load() == previous; {
		time.Sleep(time.Millisecond)
	}
}

// A newer build may add fields to the rows of a lease. Guards against an older one that
// cannot read them any more: the duty would stay without a holder once the newer
// instances are gone.
func TestTakesOverFromBuildThatWritesMoreFields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		writer := store.Client("newer build")
		for key, value := range map[string]string{
			epochKey:     `{"epoch":7,"holder":"newer build","nonce":"n","since":{"ms":1}}`,
			heartbeatKey: `{"epoch":7,"holder":"newer build","nonce":"n","sequence":3,"build":"v9"}`,
		} {
			if err := writer.Commit(t.Context(), table.Write{Key: key, Value: []byte(value)}); err != nil {
				t.Fatal(err)
			}
		}
		process := start(store.Client("older build"), "older build", 1)
		defer process.shutDown()
		time.Sleep(5 * leaseDuration)
		if grant, ok := process.lease.Held(); !ok || grant.Epoch <= 7 {
			t.Errorf("Held() = %+v, %t, want a grant with an epoch above 7", grant, ok)
		}
	})
}
