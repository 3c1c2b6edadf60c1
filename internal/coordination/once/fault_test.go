package once_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/once"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/memory"
	"mangopier.example/mangopier/internal/state/table"
)

// storeFault is a fault injected into one store operation of a process.
type storeFault int

const (
	noFault      storeFault = iota
	failRequest             // the operation fails without effect
	loseResponse            // the write takes effect, its response is lost
	delayWrite              // the write takes effect after the caller got an error
	pauseBefore             // the process stops for 90 s before the operation
	pauseAfter              // the process stops for 90 s after the operation
	killBefore
	killAfter
	startOutage // the store is unreachable for the process for 30 s
	faultKinds
)

// process is one instance with its own faults and its own client of the store.
type process struct {
	*memory.Client
	deduplicator *once.Deduplicator
	faultFor     func(op int) storeFault
	writeDelay   time.Duration                     // after which a delayed write takes effect
	onRun        func(call once.Call, body string) // called when a target runs a call

	mu         sync.Mutex
	operations int
	wasKilled  bool
	outageEnd  time.Time
}

func newProcess(store *memory.Store, name string, pick func(op int) storeFault) *process {
	process := &process{Client: store.Client(name), faultFor: pick, writeDelay: 3 * time.Second, onRun: func(once.Call, string) {}}
	process.deduplicator = once.New(process, once.WithObjectStore(store.Client(name)), once.WithBodyLimits(64, 1<<10))
	return process
}

func (process *process) Get(ctx context.Context, key string) (row table.Row, err error) {
	err = process.inject(ctx, false, func(ctx context.Context) error {
		row, err = process.Client.Get(ctx, key)
		return err
	})
	return row, err
}

func (process *process) Commit(ctx context.Context, writes ...table.Write) error {
	return process.inject(ctx, true, func(ctx context.Context) error {
		return process.Client.Commit(ctx, writes...)
	})
}

func (process *process) inject(ctx context.Context, write bool, call func(context.Context) error) error {
	switch fault := process.nextFault(); {
	case process.killed() || fault == killBefore || fault == failRequest || fault == startOutage:
		process.recordFault(fault)
		return code.Errorf(code.StoreDown, "down")
	case fault == delayWrite && write:
		go func() {
			time.Sleep(process.writeDelay)
			_ = call(context.WithoutCancel(ctx))
		}()
		return code.Errorf(code.WriteUnknown, "late")
	case fault == loseResponse && write:
		_ = call(ctx)
		return code.Errorf(code.WriteUnknown, "lost")
	case fault == pauseBefore:
		time.Sleep(90 * time.Second)
		return call(context.WithoutCancel(ctx))
	case fault == pauseAfter:
		defer time.Sleep(90 * time.Second)
		return call(ctx)
	case fault == killAfter:
		defer process.recordFault(fault)
		return call(ctx)
	default:
		return call(ctx)
	}
}

func (process *process) nextFault() storeFault {
	process.mu.Lock()
	defer process.mu.Unlock()
	process.operations++
	if time.Now().Before(process.outageEnd) {
		return failRequest
	}
	return process.faultFor(process.operations - 1)
}

func (process *process) recordFault(fault storeFault) {
	process.mu.Lock()
	defer process.mu.Unlock()
	if fault == startOutage {
		process.outageEnd = time.Now().Add(30 * time.Second)
	}
	process.wasKilled = process.wasKilled || fault == killBefore || fault == killAfter
}

func (process *process) killed() bool {
	process.mu.Lock()
	defer process.mu.Unlock()
	return process.wasKilled
}

// result is what the caller of one attempt got, and whether the call ran.
type result struct {
	ran     bool
	killed  bool // the process was killed before it responded
	outcome *once.Outcome
	err     error
}

func (result result) String() string {
	return fmt.Sprintf("ran=%v killed=%v outcome=%v err=%v", result.ran, result.killed, result.outcome, result.err)
}

// attempt handles a call as an entry instance does, with a pause between the
// claim and the send.
func (process *process) attempt(call once.Call, pause time.Duration, body string) result {
	ticket, outcome, err := process.deduplicator.Begin(context.Background(), call)
	if process.killed() {
		return result{killed: true}
	}
	if ticket == nil {
		return result{outcome: outcome, err: err}
	}
	time.Sleep(pause)
	if err := ticket.MarkSent(); err != nil {
		ticket.Abandon()
		return result{err: err}
	}
	if process.killed() {
		return result{killed: true}
	}
	process.onRun(call, body)
	got := once.Outcome{Status: 201, Body: []byte(body)}
	ticket.Finish(got)
	return result{ran: true, outcome: &got}
}

// A fault at any store operation of the first attempt must neither let the call
// run twice nor block a key whose call was not sent, and the outcome of a run must
// be stored unless the process was killed.
func TestAtMostOnceWithFaultAtEachOperation(t *testing.T) {
	bodies := map[string]string{"inline": "small", "object": string(make([]byte, 100))}
	for name, body := range bodies {
		for kind := noFault; kind < faultKinds; kind++ {
			for step := range 5 {
				t.Run(fmt.Sprintf("%s/fault%d/step%d", name, kind, step), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testFaultAtStep(t, kind, step, body) })
				})
			}
		}
	}
}

func testFaultAtStep(t *testing.T, kind storeFault, step int, body string) {
	ctx, cancel := context.WithCancel(context.Background())
	store := memory.New()
	a := newProcess(store, "a", func(op int) storeFault {
		if op == step {
			return kind
		}
		return noFault
	})
	b := newProcess(store, "b", func(int) storeFault { return noFault })
	endA, endB := a.deduplicator.Start(ctx), b.deduplicator.Start(ctx)
	first := a.attempt(orderCall, 0, body)
	time.Sleep(5 * time.Minute)
	second := b.attempt(orderCall, 0, "second")
	time.Sleep(time.Minute)
	third := b.attempt(orderCall, 0, "third")
	cancel()
	if err := errors.Join(<-endA, <-endB); err != nil {
		t.Fatal(err)
	}
	if third.ran || first.ran && second.ran {
		t.Fatalf("call ran more than once: first %v, second %v, third %v", first, second, third)
	}
	if first.err != nil && (code.RunStatusFromError(first.err) != code.NotRun || !second.ran) {
		t.Fatalf("first attempt was not sent: got %v, want NotRun; second attempt: got %v, want a run", first, second)
	}
	if first.ran && !a.killed() && (second.outcome == nil || string(second.outcome.Body) != body) {
		t.Fatalf("first attempt ran: %v; second attempt: got %v, want the stored outcome", first, second)
	}
	if second.err != nil && (!a.killed() || !code.Is(second.err, code.OutcomeUnknown)) {
		t.Fatalf("first attempt: %v; second attempt: got %v, want OutcomeUnknown and only after a kill", first, second)
	}
}

// A claim write that takes effect after the release of its claim must not block
// the key: no instance would send the call or release the row.
func TestLateClaimWriteDoesNotBlockKey(t *testing.T) {
	for _, released := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			store := memory.New()
			a := newProcess(store, "a", func(op int) storeFault {
				return map[int]storeFault{0: delayWrite, 1: startOutage}[op]
			})
			b := newProcess(store, "b", func(int) storeFault { return noFault })
			endA, endB := a.deduplicator.Start(ctx), b.deduplicator.Start(ctx)
			if released {
				ticket := mustBegin(t, b.deduplicator, orderCall)
				ticket.Abandon()
				time.Sleep(time.Second)
				a.faultFor = func(op int) storeFault { return map[int]storeFault{2: delayWrite, 3: startOutage}[op] }
			}
			a.writeDelay = 2 * time.Minute
			first := a.attempt(orderCall, 0, "first")
			time.Sleep(time.Hour)
			second := b.attempt(orderCall, 0, "second")
			cancel()
			if err := errors.Join(<-endA, <-endB); err != nil {
				t.Fatal(err)
			}
			if !code.Is(first.err, code.StoreUnavailable) || !second.ran {
				t.Fatalf("row released before: %v; first attempt: got %v, want StoreUnavailable; second attempt: got %v, want a run", released, first, second)
			}
		})
	}
}

// Abandon must release the key only if the call was not sent or was marked as not
// sent again. A body above the limit is omitted from the stored outcome.
func TestAbandonAfterSendDoesNotReleaseKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a := newProcess(store, "a", func(int) storeFault { return noFault })
		ticket := mustBegin(t, a.deduplicator, orderCall)
		if err := ticket.MarkSent(); err != nil || ticket.RunStatus() != code.RunUnknown {
			t.Fatalf("MarkSent() = %v, RunStatus() = %v, want nil, RunUnknown", err, ticket.RunStatus())
		}
		ticket.Abandon()
		flushQueue(t, a.deduplicator)
		if got := a.attempt(orderCall, 0, "again"); !code.Is(got.err, code.OutcomeUnknown) {
			t.Fatalf("repeat of a sent call: got %v, want OutcomeUnknown", got)
		}
		other := orderCall
		other.IdempotencyKey = "k2"
		ticket = mustBegin(t, a.deduplicator, other)
		if err := ticket.MarkSent(); err != nil {
			t.Fatal(err)
		}
		ticket.MarkNotSent()
		ticket.Abandon()
		flushQueue(t, a.deduplicator)
		if got := a.attempt(other, 0, string(make([]byte, 2<<10))); !got.ran {
			t.Fatalf("repeat of a call marked as not sent: got %v, want a run", got)
		}
		flushQueue(t, a.deduplicator)
		if got := a.attempt(other, 0, ""); got.outcome == nil || !got.outcome.BodyOmitted || got.outcome.Body != nil {
			t.Fatalf("repeat of a call with a body above the limit: got %v, want an outcome without body", got)
		}
	})
}

// A process that is suspended between claim and send must not send the call, since
// the row may have been deleted and claimed by another instance.
func TestStaleClaimIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a := newProcess(store, "a", func(int) storeFault { return noFault })
		first := a.attempt(orderCall, 49*time.Hour, "first")
		if first.ran || code.RunStatusFromError(first.err) != code.NotRun {
			t.Fatalf("call sent 49 h after its claim: got %v, want NotRun", first)
		}
	})
}

func TestCallWithoutKeySkipsStore(t *testing.T) {
	store := memory.New()
	a := newProcess(store, "a", func(int) storeFault { return failRequest })
	call := orderCall
	call.IdempotencyKey = ""
	for range 2 {
		if got := a.attempt(call, 0, "x"); !got.ran {
			t.Fatalf("call without a key: got %v, want a run", got)
		}
	}
	if a.deduplicator.QueueStatus().PendingWrites != 0 || a.operations != 0 {
		t.Fatalf("got %d queued writes and %d store operations, want none", a.deduplicator.QueueStatus().PendingWrites, a.operations)
	}
}

func TestDeletesOnlyExpiredRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a := newProcess(store, "a", func(int) storeFault { return noFault })
		call := orderCall
		for i := range 10 {
			call.IdempotencyKey = fmt.Sprint(i)
			a.attempt(call, 0, "x")
			time.Sleep(10 * time.Hour)
		}
		deleted, after := 0, ""
		for {
			next, n, err := a.deduplicator.DeleteExpired(context.Background(), after, 3)
			if err != nil {
				t.Fatal(err)
			}
			if deleted, after = deleted+n, next; next == "" {
				break
			}
		}
		if deleted != 6 {
			t.Fatalf("deleted %d rows, want the 6 older than 48 h", deleted)
		}
	})
}
