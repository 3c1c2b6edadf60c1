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

// fault is what one store operation of a process suffers.
type fault int

const (
	none        fault = iota
	down              // no effect
	lose              // takes effect, the answer is lost
	late              // takes effect after the answer was given up
	pauseBefore       // the process stops for 90 s before the operation
	pauseAfter        // the process stops for 90 s after the operation
	killBefore
	killAfter
	outage // the store is down for the process for 30 s
	faults
)

// process is one instance with its own faults and its own view of the store.
type process struct {
	*memory.Client
	guard *once.Guard
	pick  func(op int) fault
	delay time.Duration                       // of late writes
	runs  func(call once.Call, answer string) // called when a call runs

	mu      sync.Mutex
	ops     int
	dead    bool
	downEnd time.Time
}

func newProcess(store *memory.Store, name string, pick func(op int) fault) *process {
	process := &process{Client: store.Client(name), pick: pick, delay: 3 * time.Second, runs: func(once.Call, string) {}}
	process.guard = once.New(process, once.WithObjects(store.Client(name)), once.WithBodyLimits(64, 1<<10))
	return process
}

func (process *process) Get(ctx context.Context, key string) (row table.Row, err error) {
	err = process.do(ctx, false, func(ctx context.Context) error {
		row, err = process.Client.Get(ctx, key)
		return err
	})
	return row, err
}

func (process *process) Commit(ctx context.Context, writes ...table.Write) error {
	return process.do(ctx, true, func(ctx context.Context) error {
		return process.Client.Commit(ctx, writes...)
	})
}

func (process *process) do(ctx context.Context, write bool, call func(context.Context) error) error {
	switch fault := process.next(); {
	case process.killed() || fault == killBefore || fault == down || fault == outage:
		process.mark(fault)
		return code.Errorf(code.StoreDown, "down")
	case fault == late && write:
		go func() {
			time.Sleep(process.delay)
			_ = call(context.WithoutCancel(ctx))
		}()
		return code.Errorf(code.WriteUnknown, "late")
	case fault == lose && write:
		_ = call(ctx)
		return code.Errorf(code.WriteUnknown, "lost")
	case fault == pauseBefore:
		time.Sleep(90 * time.Second)
		return call(context.WithoutCancel(ctx))
	case fault == pauseAfter:
		defer time.Sleep(90 * time.Second)
		return call(ctx)
	case fault == killAfter:
		defer process.mark(fault)
		return call(ctx)
	default:
		return call(ctx)
	}
}

func (process *process) next() fault {
	process.mu.Lock()
	defer process.mu.Unlock()
	process.ops++
	if time.Now().Before(process.downEnd) {
		return down
	}
	return process.pick(process.ops - 1)
}

func (process *process) mark(fault fault) {
	process.mu.Lock()
	defer process.mu.Unlock()
	if fault == outage {
		process.downEnd = time.Now().Add(30 * time.Second)
	}
	process.dead = process.dead || fault == killBefore || fault == killAfter
}

func (process *process) killed() bool {
	process.mu.Lock()
	defer process.mu.Unlock()
	return process.dead
}

// result is what the caller of one attempt learns, and what really happened.
type result struct {
	ran     bool
	dead    bool // the process was killed before it answered
	outcome *once.Outcome
	err     error
}

func (result result) String() string {
	return fmt.Sprintf("ran=%v dead=%v outcome=%v err=%v", result.ran, result.dead, result.outcome, result.err)
}

// attempt does what an entry does with a call. Pause comes between the claim
// and the send.
func (process *process) attempt(call once.Call, pause time.Duration, answer string) result {
	ticket, outcome, err := process.guard.Begin(context.Background(), call)
	if process.killed() {
		return result{dead: true}
	}
	if ticket == nil {
		return result{outcome: outcome, err: err}
	}
	time.Sleep(pause)
	if err := ticket.Sent(); err != nil {
		ticket.Abandon()
		return result{err: err}
	}
	if process.killed() {
		return result{dead: true}
	}
	process.runs(call, answer)
	got := once.Outcome{Status: 201, Body: []byte(answer)}
	ticket.Finish(got)
	return result{ran: true, outcome: &got}
}

func TestEveryFaultAtEveryStep(t *testing.T) {
	answers := map[string]string{"inline": "small", "object": string(make([]byte, 100))}
	for name, answer := range answers {
		for kind := none; kind < faults; kind++ {
			for step := range 5 {
				t.Run(fmt.Sprintf("%s/fault%d/step%d", name, kind, step), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { faultAtStep(t, kind, step, answer) })
				})
			}
		}
	}
}

func faultAtStep(t *testing.T, kind fault, step int, answer string) {
	ctx, cancel := context.WithCancel(context.Background())
	store := memory.New()
	a := newProcess(store, "a", func(op int) fault {
		if op == step {
			return kind
		}
		return none
	})
	b := newProcess(store, "b", func(int) fault { return none })
	endA, endB := a.guard.Start(ctx), b.guard.Start(ctx)
	first := a.attempt(order, 0, answer)
	time.Sleep(5 * time.Minute)
	second := b.attempt(order, 0, "second")
	time.Sleep(time.Minute)
	third := b.attempt(order, 0, "third")
	cancel()
	if err := errors.Join(<-endA, <-endB); err != nil {
		t.Fatal(err)
	}
	if third.ran || first.ran && second.ran {
		t.Fatalf("ran twice: %v, %v, %v", first, second, third)
	}
	if first.err != nil && (code.RunOf(first.err) != code.NotRun || !second.ran) {
		t.Fatalf("a call that was not sent cannot be sent again: %v, then %v", first, second)
	}
	if first.ran && !a.killed() && (second.outcome == nil || string(second.outcome.Body) != answer) {
		t.Fatalf("the outcome was not stored: %v, then %v", first, second)
	}
	if second.err != nil && (!a.killed() || !code.Is(second.err, code.OutcomeUnknown)) {
		t.Fatalf("got %v, then %v", first, second)
	}
}

// A claim write that takes effect after its release would leave a row that
// nobody sends and nobody releases.
func TestClaimThatArrivesAfterItsRelease(t *testing.T) {
	for _, released := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			store := memory.New()
			a := newProcess(store, "a", func(op int) fault {
				return map[int]fault{0: late, 1: outage}[op]
			})
			b := newProcess(store, "b", func(int) fault { return none })
			endA, endB := a.guard.Start(ctx), b.guard.Start(ctx)
			if released {
				ticket := begin(t, b.guard, order)
				ticket.Abandon()
				time.Sleep(time.Second)
				a.pick = func(op int) fault { return map[int]fault{2: late, 3: outage}[op] }
			}
			a.delay = 2 * time.Minute
			first := a.attempt(order, 0, "first")
			time.Sleep(time.Hour)
			second := b.attempt(order, 0, "second")
			cancel()
			if err := errors.Join(<-endA, <-endB); err != nil {
				t.Fatal(err)
			}
			if !code.Is(first.err, code.StoreUnavailable) || !second.ran {
				t.Fatalf("released before: %v; got %v, then %v", released, first, second)
			}
		})
	}
}

func TestSentAndAbandonedIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a := newProcess(store, "a", func(int) fault { return none })
		ticket := begin(t, a.guard, order)
		if err := ticket.Sent(); err != nil || ticket.Run() != code.RunUnknown {
			t.Fatalf("got %v, %v", ticket.Run(), err)
		}
		ticket.Abandon()
		flush(t, a.guard)
		if got := a.attempt(order, 0, "again"); !code.Is(got.err, code.OutcomeUnknown) {
			t.Fatalf("got %v", got)
		}
		other := order
		other.IdempotencyKey = "k2"
		ticket = begin(t, a.guard, other)
		if err := ticket.Sent(); err != nil {
			t.Fatal(err)
		}
		ticket.Retract()
		ticket.Abandon()
		flush(t, a.guard)
		if got := a.attempt(other, 0, string(make([]byte, 2<<10))); !got.ran {
			t.Fatalf("got %v", got)
		}
		flush(t, a.guard)
		if got := a.attempt(other, 0, ""); got.outcome == nil || !got.outcome.BodyOmitted || got.outcome.Body != nil {
			t.Fatalf("a body above the limit was stored: %v", got.err)
		}
	})
}

func TestPausedBeforeSendIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a := newProcess(store, "a", func(int) fault { return none })
		first := a.attempt(order, 49*time.Hour, "first")
		if first.ran || code.RunOf(first.err) != code.NotRun {
			t.Fatalf("a claim past its retention was sent: %v", first)
		}
	})
}

func TestCallWithoutKeyTouchesNoStore(t *testing.T) {
	store := memory.New()
	a := newProcess(store, "a", func(int) fault { return down })
	call := order
	call.IdempotencyKey = ""
	for range 2 {
		if got := a.attempt(call, 0, "x"); !got.ran {
			t.Fatalf("got %v", got)
		}
	}
	if a.guard.Status().Jobs != 0 || a.ops != 0 {
		t.Fatalf("got %d store operations", a.ops)
	}
}

func TestSweepDeletesOnlyOldRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a := newProcess(store, "a", func(int) fault { return none })
		call := order
		for i := range 10 {
			call.IdempotencyKey = fmt.Sprint(i)
			a.attempt(call, 0, "x")
			time.Sleep(10 * time.Hour)
		}
		deleted, after := 0, ""
		for {
			next, n, err := a.guard.Sweep(context.Background(), after, 3)
			if err != nil {
				t.Fatal(err)
			}
			if deleted, after = deleted+n, next; next == "" {
				break
			}
		}
		if deleted != 6 {
			t.Fatalf("deleted %d rows, want those older than 48 h", deleted)
		}
	})
}
