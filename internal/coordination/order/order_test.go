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

// callTimeout is longer than any call takes while the store is up.
const callTimeout = 20 * time.Second

// issueFunc issues one order that asks for a version to a target or to the
// platform.
type issueFunc func(process *process, version string) order.Result

func issueTo(target note.Target) issueFunc {
	return func(process *process, version string) order.Result {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		return process.issuer.Issue(ctx, order.Request{
			Target: target, Order: order.Order{Kind: order.KindLoadModel, Model: "layout", Version: version},
		})
	}
}

func issueToPlatform(process *process, version string) order.Result {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return process.issuer.IssuePlatform(ctx, order.PlatformOrder{Kind: order.PlatformStop, TargetIDs: []string{version}})
}

// recoverAll calls Recover every second until no ticket is open or 20 s have
// passed, and returns the tickets that stay open.
func (process *process) recoverAll() []order.Ticket {
	for startedAt := time.Now(); ; time.Sleep(time.Second) {
		unresolved, err := process.recoverOnce()
		if err == nil && len(unresolved) == 0 || time.Since(startedAt) > 20*time.Second {
			return unresolved
		}
	}
}

func (process *process) recoverOnce() ([]order.Ticket, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return process.issuer.Recover(ctx)
}

// runUntilPaused runs fn until it is done or the process pauses, pauseAt steps
// from now.
func (process *process) runUntilPaused(pauseAt int64, fn func()) (paused bool, done <-chan struct{}) {
	finished := make(chan struct{})
	process.paused, process.resume = make(chan struct{}), make(chan struct{})
	process.pauseAt.Store(process.steps.Load() + pauseAt)
	go func() {
		defer close(finished)
		fn()
	}()
	select {
	case <-process.paused:
		return true, finished
	case <-finished:
		process.pauseAt.Store(0)
		return false, finished
	}
}

// scenario has three lease holders in turn: the first pauses at one step, the
// second at another, and the third runs to the end. Then the first two resume.
type scenario struct {
	name                string
	hasFencing          bool
	platform            bool
	idempotentPlatform  bool
	delivery            delivery
	lostResponsesClient string // name of the process whose commits get no responses
	successorPauseAt    int64  // step at which the second holder pauses, 0 for never
}

func (scenario scenario) run(t *testing.T, pauseAt int64) (paused bool) {
	synctest.Test(t, func(t *testing.T) {
		simulator := newSimulator(time.Second)
		target := simulator.addTarget("t1", scenario.hasFencing, true)
		issue := issueTo(target)
		var opts []order.Option
		if scenario.platform {
			issue = issueToPlatform
		}
		if scenario.idempotentPlatform {
			opts = append(opts, order.WithIdempotentPlatform())
		}
		simulator.store.SetFault(func(call memory.Call) memory.Fault {
			return memory.Fault{LoseResponse: call.Method == "commit" && call.Client == scenario.lostResponsesClient}
		})
		first, second, third := simulator.startProcess("first", opts...), simulator.startProcess("second", opts...), simulator.startProcess("third", opts...)
		simulator.nextDelivery = func(order.Kind) delivery {
			simulator.nextDelivery = func(order.Kind) delivery { return delivered }
			return scenario.delivery
		}
		var done, secondDone <-chan struct{}
		simulator.grantLease(first)
		first.recoverAll()
		time.Sleep(2 * time.Second)
		paused, done = first.runUntilPaused(pauseAt, func() {
			if result := issue(first, "v1"); !paused && scenario.delivery == delivered && scenario.lostResponsesClient != "first" && result.Err != nil {
				t.Errorf("order of the first holder: %v, want no error", result.Err)
			}
		})
		simulator.grantLease(second)
		secondPaused, secondDone := second.runUntilPaused(scenario.successorPauseAt, func() {
			second.recoverAll()
			time.Sleep(2 * time.Second)
			issue(second, "v2")
		})
		simulator.grantLease(third)
		unresolved := third.recoverAll()
		hasOpenTickets := len(unresolved) > 0
		time.Sleep(2 * time.Second)
		result := issue(third, "v3")
		for _, other := range []struct {
			process *process
			paused  bool
			done    <-chan struct{}
		}{{second, secondPaused, secondDone}, {first, paused, done}} {
			if other.paused {
				close(other.process.resume)
			}
			<-other.done
		}
		simulator.deliverDelayed()
		if hasOpenTickets && (!scenario.platform || scenario.idempotentPlatform) {
			t.Errorf("recoverAll() = %+v, want no open tickets", unresolved)
		}
		third.recoverAll()
		time.Sleep(2 * time.Second)
		last := issue(third, "v4")
		simulator.deliverDelayed()
		if scenario.hasFencing && (result.Err != nil || last.Err != nil) {
			t.Errorf("orders of the third holder: %v, %v, want no errors", result.Err, last.Err)
		}
		if !paused && !secondPaused && scenario.delivery == delivered && last.Err != nil {
			t.Errorf("last order, with no process paused: %v, want no error", last.Err)
		}
		for _, violation := range simulator.listViolations() {
			t.Errorf("%+v: first holder paused at step %d: %s", scenario, pauseAt, violation)
		}
	})
	return paused
}

// TestPausedHoldersSendNoConflictingOrders pauses a lease holder at every step, and
// the next holder at steps up to 30, under each fault.
func TestPausedHoldersSendNoConflictingOrders(t *testing.T) {
	runs := 0
	for _, base := range scenarios() {
		t.Run(base.name, func(t *testing.T) {
			for second := int64(0); second <= 30; second += base.successorPauseStride() {
				base.successorPauseAt = second
				for pauseAt := int64(1); base.run(t, pauseAt); pauseAt++ {
					runs++
				}
			}
		})
	}
	t.Logf("ran %d pairs of pauses", runs)
}

// successorPauseStride is the distance between the steps at which the second
// holder pauses. It skips steps where other faults come on top of the pauses. The
// first holder pauses at every step in any case.
func (scenario scenario) successorPauseStride() int64 {
	switch {
	case scenario.lostResponsesClient == "" && scenario.delivery == delayed:
		return 1
	case scenario.lostResponsesClient == "":
		return 5
	default:
		return 9
	}
}

func scenarios() []scenario {
	var all []scenario
	for _, delivery := range []delivery{delivered, responseLost, requestLost, delayed, targetCrash, refusedBusy} {
		for _, lostResponsesClient := range []string{"", "first", "second"} {
			name := fmt.Sprintf("delivery %d, no commit responses to %q", delivery, lostResponsesClient)
			all = append(all,
				scenario{name: name + ", target with fencing", hasFencing: true, delivery: delivery, lostResponsesClient: lostResponsesClient},
				scenario{name: name + ", target without fencing", delivery: delivery, lostResponsesClient: lostResponsesClient})
			if delivery <= requestLost {
				all = append(all,
					scenario{name: name + ", idempotent platform", platform: true, idempotentPlatform: true, delivery: delivery, lostResponsesClient: lostResponsesClient},
					scenario{name: name + ", platform", platform: true, delivery: delivery, lostResponsesClient: lostResponsesClient})
			}
		}
	}
	return all
}

// TestSlowWriterDoesNotAbandonTarget delays a former lease holder by 1 s at
// every step. It drops or closes its ticket, so the target, which has no
// fencing, must not be abandoned and accepts the next holder's order.
func TestSlowWriterDoesNotAbandonTarget(t *testing.T) {
	for pauseAt := int64(1); pauseAt < 16; pauseAt++ {
		synctest.Test(t, func(t *testing.T) {
			simulator := newSimulator(0)
			issue := issueTo(simulator.addTarget("t1", false, true))
			first, second := simulator.startProcess("first"), simulator.startProcess("second")
			first.reachable.Store(true)
			simulator.grantLease(first)
			paused, done := first.runUntilPaused(pauseAt, func() { issue(first, "v1") })
			simulator.grantLease(second)
			if paused {
				time.AfterFunc(time.Second, func() { close(first.resume) })
			}
			second.recoverAll()
			result := issue(second, "v2")
			<-done
			if violations := simulator.listViolations(); len(violations) > 0 || result.Err != nil {
				t.Fatalf("first holder paused at step %d: error %v, violations %v, want none", pauseAt, result.Err, violations)
			}
		})
	}
}

// TestSlowWriterDoesNotBlockPlatform delays a former lease holder by 1 s at
// every step, so that it closes its platform ticket after the next holder has
// read it. The next holder must notice and be able to issue its order.
func TestSlowWriterDoesNotBlockPlatform(t *testing.T) {
	for pauseAt := int64(1); pauseAt < 16; pauseAt++ {
		synctest.Test(t, func(t *testing.T) {
			simulator := newSimulator(0)
			first, second := simulator.startProcess("first"), simulator.startProcess("second")
			first.reachable.Store(true)
			simulator.grantLease(first)
			paused, done := first.runUntilPaused(pauseAt, func() { issueToPlatform(first, "v1") })
			simulator.grantLease(second)
			if paused {
				time.AfterFunc(time.Second, func() { close(first.resume) })
			}
			second.recoverAll()
			result := issueToPlatform(second, "v2")
			<-done
			if violations := simulator.listViolations(); len(violations) > 0 || result.Err != nil {
				t.Fatalf("first holder paused at step %d: error %v, violations %v, want none", pauseAt, result.Err, violations)
			}
		})
	}
}

// TestPlatformTicketWaitsForWriterToEnd guards against sending an order to a
// platform without idempotent orders while the writer of the open ticket may still
// send its own.
func TestPlatformTicketWaitsForWriterToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulator := newSimulator(0)
		first, second := simulator.startProcess("first"), simulator.startProcess("second")
		simulator.grantLease(first)
		simulator.nextDelivery = func(order.Kind) delivery { return requestLost }
		issueToPlatform(first, "v1")
		simulator.nextDelivery = func(order.Kind) delivery { return delivered }
		simulator.grantLease(second)
		if unresolved := second.recoverAll(); len(unresolved) != 1 || unresolved[0].Writer != "first" {
			t.Fatalf("recoverAll() = %+v, want one ticket of writer first", unresolved)
		}
		if result := issueToPlatform(second, "v2"); !code.Is(result.Err, code.OrderOpen) || len(simulator.platformOrders) > 0 {
			t.Fatalf("order to the platform = %+v with %d orders sent, want code.OrderOpen and none", result, len(simulator.platformOrders))
		}
		first.ended.Store(true)
		if unresolved := second.recoverAll(); len(unresolved) > 0 {
			t.Fatalf("recoverAll() = %+v, want none", unresolved)
		}
		if result := issueToPlatform(second, "v2"); result.Err != nil {
			t.Fatal(result.Err)
		}
	})
}
