package order_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/state/memory"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// callTimeout is longer than any call takes without an outage.
const callTimeout = 20 * time.Second

// act is one order to a target or to the platform with a version of its own.
type act func(process *process, version string) order.Result

func toTarget(target note.Target) act {
	return func(process *process, version string) order.Result {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		return process.issuer.Do(ctx, order.Request{
			Target: target, Order: order.Order{Kind: order.KindLoadModel, Model: "layout", Version: version},
		})
	}
}

func toPlatform(process *process, version string) order.Result {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return process.issuer.Platform(ctx, order.PlatformOrder{Kind: order.PlatformStop, Targets: []string{version}})
}

// recover settles tickets until none is open or some time has passed.
func (process *process) recover() []order.Ticket {
	for began := time.Now(); ; time.Sleep(time.Second) {
		left, err := process.recoverOnce()
		if err == nil && len(left) == 0 || time.Since(began) > 20*time.Second {
			return left
		}
	}
}

func (process *process) recoverOnce() ([]order.Ticket, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return process.issuer.Recover(ctx)
}

// background runs fn until it is done or pauses.
func (process *process) background(pauseAt int64, fn func()) (paused bool, done <-chan struct{}) {
	ended := make(chan struct{})
	process.paused, process.resume = make(chan struct{}), make(chan struct{})
	process.pauseAt.Store(process.steps.Load() + pauseAt)
	go func() {
		defer close(ended)
		fn()
	}()
	select {
	case <-process.paused:
		return true, ended
	case <-ended:
		process.pauseAt.Store(0)
		return false, ended
	}
}

// scenario is a holder that pauses at a step, a successor that pauses at one
// too, and a third that goes on to the end. Then the two resume.
type scenario struct {
	name     string
	fences   bool
	platform bool
	repeats  bool
	fate     delivery
	lose     string // name of the client that gets no answers to commits
	steps    int64  // of the successor at which it pauses, 0 for none
}

func (scenario scenario) run(t *testing.T, pauseAt int64) (paused bool) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(time.Second)
		target := world.add("t1", scenario.fences, true)
		act := toTarget(target)
		var opts []order.Option
		if scenario.platform {
			act = toPlatform
		}
		if scenario.repeats {
			opts = append(opts, order.WithPlatformRepeats())
		}
		world.store.SetFault(func(call memory.Call) memory.Fault {
			return memory.Fault{LoseAnswer: call.Method == "commit" && call.Client == scenario.lose}
		})
		first, second, third := world.start("first", opts...), world.start("second", opts...), world.start("third", opts...)
		world.next = func(order.Kind) delivery {
			world.next = func(order.Kind) delivery { return arrives }
			return scenario.fate
		}
		var done, doneSecond <-chan struct{}
		world.takeOver(first)
		first.recover()
		time.Sleep(2 * time.Second)
		paused, done = first.background(pauseAt, func() {
			if result := act(first, "v1"); !paused && scenario.fate == arrives && scenario.lose != "first" && result.Err != nil {
				t.Errorf("the first holder cannot order: %v", result.Err)
			}
		})
		world.takeOver(second)
		pausedSecond, doneSecond := second.background(scenario.steps, func() {
			second.recover()
			time.Sleep(2 * time.Second)
			act(second, "v2")
		})
		world.takeOver(third)
		left := third.recover()
		blocked := len(left) > 0
		time.Sleep(2 * time.Second)
		result := act(third, "v3")
		for _, other := range []struct {
			process *process
			paused  bool
			done    <-chan struct{}
		}{{second, pausedSecond, doneSecond}, {first, paused, done}} {
			if other.paused {
				close(other.process.resume)
			}
			<-other.done
		}
		world.deliverLate()
		if blocked && (!scenario.platform || scenario.repeats) {
			t.Errorf("tickets stay open: %+v", left)
		}
		third.recover()
		time.Sleep(2 * time.Second)
		last := act(third, "v4")
		world.deliverLate()
		if scenario.fences && (result.Err != nil || last.Err != nil) {
			t.Errorf("the last holder cannot go on: %v, %v", result.Err, last.Err)
		}
		if !paused && !pausedSecond && scenario.fate == arrives && last.Err != nil {
			t.Errorf("nothing was paused, but: %v", last.Err)
		}
		for _, fault := range world.faults() {
			t.Errorf("%+v: pause at %d: %s", scenario, pauseAt, fault)
		}
	})
	return paused
}

// TestPausedHolders pauses a holder, and its successor, at every step.
func TestPausedHolders(t *testing.T) {
	runs := 0
	for _, base := range scenarios() {
		t.Run(base.name, func(t *testing.T) {
			for second := int64(0); second <= 30; second += base.stride() {
				base.steps = second
				for pauseAt := int64(1); base.run(t, pauseAt); pauseAt++ {
					runs++
				}
			}
		})
	}
	t.Logf("%d pairs of pauses", runs)
}

// stride leaves out steps of the successor where faults come on top of pauses.
// The holder pauses at every step in any case.
func (scenario scenario) stride() int64 {
	switch {
	case scenario.lose == "" && scenario.fate == arrivesLate:
		return 1
	case scenario.lose == "":
		return 5
	default:
		return 9
	}
}

func scenarios() []scenario {
	var all []scenario
	for _, fate := range []delivery{arrives, answerLost, neverArrives, arrivesLate, crashesTarget, refusedBusy} {
		for _, lose := range []string{"", "first", "second"} {
			name := fmt.Sprintf("fate %d, no answers to %q", fate, lose)
			all = append(all,
				scenario{name: name + ", fencing", fences: true, fate: fate, lose: lose},
				scenario{name: name + ", not fencing", fate: fate, lose: lose})
			if fate <= neverArrives {
				all = append(all,
					scenario{name: name + ", platform with repeats", platform: true, repeats: true, fate: fate, lose: lose},
					scenario{name: name + ", platform", platform: true, fate: fate, lose: lose})
			}
		}
	}
	return all
}

// TestLiveWriterSparesTheTarget has a former holder that is slow at every step
// but lives. It drops its ticket or closes it, and the target, which does not
// fence, goes on taking orders.
func TestLiveWriterSparesTheTarget(t *testing.T) {
	for pauseAt := int64(1); pauseAt < 16; pauseAt++ {
		synctest.Test(t, func(t *testing.T) {
			world := newWorld(0)
			act := toTarget(world.add("t1", false, true))
			first, second := world.start("first"), world.start("second")
			first.reachable.Store(true)
			world.takeOver(first)
			paused, done := first.background(pauseAt, func() { act(first, "v1") })
			world.takeOver(second)
			if paused {
				time.AfterFunc(time.Second, func() { close(first.resume) })
			}
			second.recover()
			result := act(second, "v2")
			<-done
			if faults := world.faults(); len(faults) > 0 || result.Err != nil {
				t.Fatalf("pause at %d: %v, %v", pauseAt, result.Err, faults)
			}
		})
	}
}

// TestLiveWriterFreesThePlatform has a former holder that is slow at every step
// and closes its ticket after the successor has read it.
func TestLiveWriterFreesThePlatform(t *testing.T) {
	for pauseAt := int64(1); pauseAt < 16; pauseAt++ {
		synctest.Test(t, func(t *testing.T) {
			world := newWorld(0)
			first, second := world.start("first"), world.start("second")
			first.reachable.Store(true)
			world.takeOver(first)
			paused, done := first.background(pauseAt, func() { toPlatform(first, "v1") })
			world.takeOver(second)
			if paused {
				time.AfterFunc(time.Second, func() { close(first.resume) })
			}
			second.recover()
			result := toPlatform(second, "v2")
			<-done
			if faults := world.faults(); len(faults) > 0 || result.Err != nil {
				t.Fatalf("pause at %d: %v, %v", pauseAt, result.Err, faults)
			}
		})
	}
}

// TestPlatformWaitsForTheWriter shows that nothing is sent to a platform that
// minds repeats until the writer of the open ticket is known to be gone.
func TestPlatformWaitsForTheWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(0)
		first, second := world.start("first"), world.start("second")
		world.takeOver(first)
		world.next = func(order.Kind) delivery { return neverArrives }
		toPlatform(first, "v1")
		world.next = func(order.Kind) delivery { return arrives }
		world.takeOver(second)
		if left := second.recover(); len(left) != 1 || left[0].Writer != "first" {
			t.Fatalf("left %+v", left)
		}
		if result := toPlatform(second, "v2"); !code.Is(result.Err, code.OrderOpen) || len(world.platform) > 0 {
			t.Fatalf("got %+v", result)
		}
		first.ended.Store(true)
		if left := second.recover(); len(left) > 0 {
			t.Fatalf("left %+v", left)
		}
		if result := toPlatform(second, "v2"); result.Err != nil {
			t.Fatal(result.Err)
		}
	})
}
