package order_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/memory"
	"mangopier.example/mangopier/internal/state/table"
)

// with runs a test on a paused clock with two holders, the first in charge and
// one target.
func with(t *testing.T, fences, boots bool, run func(world *world, act act, first, second *process), opts ...order.Option) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(0)
		act := toTarget(world.add("t1", fences, boots))
		first, second := world.start("first", opts...), world.start("second", opts...)
		world.takeOver(first)
		run(world, act, first, second)
		world.deliverLate()
		for _, fault := range world.faults() {
			t.Error(fault)
		}
	})
}

func (world *world) fate(fate delivery) {
	world.next = func(order.Kind) delivery { return fate }
}

// TestEngineCrashMidChange resumes after an engine crashed under an order.
func TestEngineCrashMidChange(t *testing.T) {
	for _, fences := range []bool{true, false} {
		with(t, fences, true, func(world *world, act act, first, _ *process) {
			world.fate(crashesTarget)
			act(first, "v1")
			world.fate(arrives)
			if left := first.recover(); len(left) > 0 {
				t.Fatalf("left %+v", left)
			}
			if result := act(first, "v1"); result.Outcome != order.OutcomeDone {
				t.Fatalf("got %+v", result)
			}
		})
	}
}

// TestStateWithoutBootProvesNothing lets the state that an order asks for come
// from a restart, while the order is still on its way.
func TestStateWithoutBootProvesNothing(t *testing.T) {
	boots := false
	for _, lag := range []time.Duration{0, 0, time.Second} {
		boots = !boots || lag > 0
		with(t, false, boots, func(world *world, act act, first, _ *process) {
			act(first, "v1")
			world.lag = lag
			time.Sleep(2 * lag)
			engine := world.targets["t1"]
			world.next = func(order.Kind) delivery {
				world.fate(arrives)
				return arrivesLate
			}
			world.beforeSend = func() {
				world.beforeSend = func() {}
				engine.crash()
			}
			act(first, "v0")
			time.Sleep(2 * lag)
			act(first, "v2")
		})
	}
}

// TestReportBeforeAPauseIsOld pauses a holder at every step between two orders
// for longer than reports lag.
func TestReportBeforeAPauseIsOld(t *testing.T) {
	for pauseAt := int64(1); pauseAt < 16; pauseAt++ {
		with(t, false, true, func(world *world, act act, first, _ *process) {
			world.lag = 2 * time.Second
			first.recover()
			time.Sleep(3 * time.Second)
			if result := act(first, "v1"); result.Err != nil {
				t.Fatal(result.Err)
			}
			if paused, done := first.background(pauseAt, func() { act(first, "v2") }); paused {
				time.Sleep(3 * time.Second)
				close(first.resume)
				<-done
			}
		})
	}
}

// TestInheritedTicketCountsAsSent has a successor whose fence ticket is written
// but who never learns that, and so never sends the fence.
func TestInheritedTicketCountsAsSent(t *testing.T) {
	with(t, true, true, func(world *world, act act, first, second *process) {
		world.fate(arrivesLate)
		act(first, "v1")
		world.takeOver(second)
		world.fate(arrives)
		written := false
		world.store.SetFault(func(call memory.Call) memory.Fault {
			defer func() { written = written || call.Method == "commit" }()
			return memory.Fault{LoseAnswer: call.Method == "commit" && !written, Down: written}
		})
		_, _ = second.recoverOnce()
		world.store.SetFault(nil)
		second.recover()
		world.beforeSend = world.arriveAll
		if result := act(second, "v2"); result.Err != nil {
			t.Fatal(result.Err)
		}
	})
}

// TestLostAnswers loses the answer to each commit of a holder, before and after
// another takes over.
func TestLostAnswers(t *testing.T) {
	with(t, false, true, func(world *world, act act, first, second *process) {
		world.store.SetFault(func(call memory.Call) memory.Fault {
			return memory.Fault{LoseAnswer: call.Method == "commit" && call.Client == "first"}
		})
		if result := act(first, "v1"); result.Outcome != order.OutcomeDone {
			t.Fatalf("got %+v", result)
		}
		world.takeOver(second)
		if result := act(first, "v2"); !code.Is(result.Err, code.LeaseLost) {
			t.Fatalf("got %+v", result)
		}
	})
}

// TestRepeatThatWasNotSentClosesNothing keeps a platform ticket open while an
// earlier copy of its order may still arrive.
func TestRepeatThatWasNotSentClosesNothing(t *testing.T) {
	with(t, true, true, func(world *world, _ act, first, second *process) {
		world.fate(neverArrives)
		toPlatform(first, "v1")
		world.takeOver(second)
		world.fate(notSent)
		if left := second.recover(); len(left) != 1 {
			t.Fatalf("left %+v", left)
		}
		world.fate(arrives)
		if left := second.recover(); len(left) != 0 || len(world.platform) != 1 {
			t.Fatalf("left %+v", left)
		}
	}, order.WithPlatformRepeats())
}

// TestNumbersGoUpWithTheEpoch covers a new target at the address of an old one.
func TestNumbersGoUpWithTheEpoch(t *testing.T) {
	with(t, true, true, func(world *world, act act, first, second *process) {
		for range 3 {
			act(first, "v1")
			act(first, "v2")
		}
		last := act(first, "v1").Number
		world.takeOver(second)
		second.recover()
		next := toTarget(world.add("t2", true, true))(second, "v1")
		if next.Err != nil || next.Number <= last {
			t.Fatalf("got %+v after %d", next, last)
		}
	})
}

// TestMalformedRow refuses the target of a row that cannot be read and issues
// the other orders of the same batch.
func TestMalformedRow(t *testing.T) {
	for _, value := range []string{"{", `{"data-center":"kosice-1","target":{"id":"t1"},"number":1,"session":"s","state":"lost"}`, `{"data-center":"kosice-1","target":{"id":"t9"},"number":1,"session":"s","state":"closed"}`} {
		with(t, true, true, func(world *world, act act, first, _ *process) {
			err := world.store.Client("admin").Commit(context.Background(), table.Write{Key: "order/kosice-1/t1", Value: []byte(value)})
			if err != nil {
				t.Fatal(err)
			}
			results := first.issuer.DoAll(context.Background(), []order.Request{
				load(world.targets["t1"].target, "v1"), load(world.add("t2", true, true), "v1"),
			})
			if !code.Is(results[0].Err, code.RowMalformed) || results[1].Outcome != order.OutcomeDone {
				t.Fatalf("got %+v", results)
			}
			if tickets, err := first.issuer.Tickets(context.Background(), dataCenter); err != nil || len(tickets) != 1 {
				t.Fatalf("got %+v, %v", tickets, err)
			}
		})
	}
}

// TestBatchWithAStolenRow has one row of a batch change between its reading and
// the opening of the tickets. The other orders go out.
func TestBatchWithAStolenRow(t *testing.T) {
	with(t, true, true, func(world *world, _ act, first, _ *process) {
		requests := []order.Request{load(world.targets["t1"].target, "v1"), load(world.add("t2", true, true), "v1")}
		world.store.SetFault(func(call memory.Call) memory.Fault {
			if call.Client == "first" && call.Method == "commit" {
				world.store.SetFault(nil)
				_ = world.store.Client("thief").Commit(context.Background(), table.Write{Key: "order/kosice-1/t1", Value: []byte("{")})
			}
			return memory.Fault{}
		})
		results := first.issuer.DoAll(context.Background(), requests)
		if !code.Is(results[0].Err, code.LeaseLost) || results[1].Outcome != order.OutcomeDone {
			t.Fatalf("got %+v", results)
		}
	})
}
