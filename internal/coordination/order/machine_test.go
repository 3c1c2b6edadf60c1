package order_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/state/memory"
)

// noDeadlineT hides the type *testing.T from rapid, so that rapid does not read
// the test's deadline, which is in real time, inside a synctest bubble. rapid then
// ends a check after one day of the bubble's time even if fewer runs than requested
// are done; -v prints the number of runs.
type noDeadlineT struct{ *testing.T }

// stateMachine draws the actions of several lease holders and the faults of
// network, store and targets. The simulator checks each effect.
type stateMachine struct {
	*simulator
	holder       *process
	targets      []note.Target
	versionCount int
	pausedCalls  map[*process]<-chan struct{}
	storeFaults  map[string]memory.Fault
}

// TestRandomFaultsCauseNoConflictingOrders runs random sequences of orders,
// takeovers, pauses and faults on three processes that go on issuing orders after
// they have lost the lease.
func TestRandomFaultsCauseNoConflictingOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineT{t}, func(t *rapid.T) {
			stateMachine := newStateMachine(t)
			defer stateMachine.finishCalls()
			for range rapid.IntRange(5, 60).Draw(t, "steps") {
				stateMachine.step(t)
				stateMachine.checkViolations(t)
			}
			stateMachine.finishCalls()
			stateMachine.checkViolations(t)
			stateMachine.checkProgress(t)
		})
	})
}

func newStateMachine(t *rapid.T) *stateMachine {
	reportLag := time.Duration(rapid.IntRange(0, 2).Draw(t, "report lag")) * time.Second
	stateMachine := &stateMachine{simulator: newSimulator(reportLag), pausedCalls: map[*process]<-chan struct{}{}, storeFaults: map[string]memory.Fault{}}
	stateMachine.targets = []note.Target{
		stateMachine.addTarget("fences", true, true), stateMachine.addTarget("no-boot", false, false), stateMachine.addTarget("boots", false, true),
	}
	var opts []order.Option
	if rapid.Bool().Draw(t, "idempotent platform") {
		opts = append(opts, order.WithIdempotentPlatform())
	}
	for i := range 3 {
		process := stateMachine.startProcess(fmt.Sprint("holder-", i), opts...)
		process.reachable.Store(rapid.Bool().Draw(t, "reachable"))
	}
	stateMachine.takeOver(t, stateMachine.processes[0])
	stateMachine.store.SetFault(func(call memory.Call) memory.Fault { return stateMachine.storeFaults[call.Client] })
	return stateMachine
}

func (stateMachine *stateMachine) step(t *rapid.T) {
	process := rapid.SampledFrom(append(stateMachine.processes, stateMachine.holder, stateMachine.holder, stateMachine.holder)).Draw(t, "process")
	stateMachine.mu.Lock()
	drawnDelivery := rapid.SampledFrom([]delivery{delivered, delivered, delivered, responseLost, requestLost, delayed, targetCrash, refusedBusy, notSent, mismatchedAck}).Draw(t, "delivery")
	stateMachine.nextDelivery = func(order.Kind) delivery { return drawnDelivery }
	stateMachine.mu.Unlock()
	switch rapid.SampledFrom([]string{"order", "order", "order", "recover", "recover", "platform", "take over", "resume", "resume", "sleep", "sleep", "deliver delayed", "crash", "store faults"}).Draw(t, "action") {
	case "order":
		issue := issueTo(rapid.SampledFrom(stateMachine.targets).Draw(t, "target"))
		stateMachine.versionCount++
		version := fmt.Sprint("v", stateMachine.versionCount%3)
		stateMachine.runCall(t, process, func() { issue(process, version) })
	case "recover":
		stateMachine.runCall(t, process, func() { _, _ = process.recoverOnce() })
	case "platform":
		stateMachine.versionCount++
		version := fmt.Sprint("v", stateMachine.versionCount)
		stateMachine.runCall(t, process, func() { issueToPlatform(process, version) })
	case "take over":
		stateMachine.takeOver(t, process)
	case "resume":
		stateMachine.resume(process)
	case "sleep":
		time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(t, "sleep ms")) * time.Millisecond)
	case "deliver delayed":
		stateMachine.deliverDelayed()
	case "crash":
		stateMachine.mu.Lock()
		stateMachine.simulator.targets[rapid.SampledFrom(stateMachine.targets).Draw(t, "crashing target").ID].crash()
		stateMachine.mu.Unlock()
	case "store faults":
		fault := memory.Fault{
			LoseResponse: rapid.Bool().Draw(t, "lose responses"), Unavailable: rapid.IntRange(0, 3).Draw(t, "store down") == 0,
			Delay: time.Duration(rapid.IntRange(0, 3).Draw(t, "delay")) * time.Second,
		}
		synctest.Wait()
		stateMachine.storeFaults[process.name] = fault
	}
}

// takeOver gives the lease to a process, runs its recovery and waits up to 3 s
// for reports that are younger than the takeover.
func (stateMachine *stateMachine) takeOver(t *rapid.T, process *process) {
	stateMachine.grantLease(process)
	stateMachine.holder = process
	stateMachine.runCall(t, process, func() { _, _ = process.recoverOnce() })
	time.Sleep(time.Duration(rapid.IntRange(0, 3).Draw(t, "wait seconds")) * time.Second)
}

// runCall starts a call that may pause, unless an earlier call of the process is
// still paused.
func (stateMachine *stateMachine) runCall(t *rapid.T, process *process, call func()) {
	if stateMachine.pausedCalls[process] != nil {
		return
	}
	if paused, done := process.runUntilPaused(rapid.Int64Range(0, 25).Draw(t, "pause at"), call); paused {
		stateMachine.pausedCalls[process] = done
	}
}

func (stateMachine *stateMachine) resume(process *process) {
	if done := stateMachine.pausedCalls[process]; done != nil {
		close(process.resume)
		<-done
		delete(stateMachine.pausedCalls, process)
	}
}

func (stateMachine *stateMachine) finishCalls() {
	stateMachine.storeFaults = map[string]memory.Fault{}
	for _, process := range stateMachine.processes {
		stateMachine.resume(process)
	}
	stateMachine.deliverDelayed()
}

func (stateMachine *stateMachine) checkViolations(t *rapid.T) {
	if violations := stateMachine.listViolations(); len(violations) > 0 {
		t.Fatalf("violations = %v, want none", violations)
	}
}

// checkProgress checks that a final lease holder can issue orders to all targets
// that were not abandoned, and to targets with fencing in any case.
func (stateMachine *stateMachine) checkProgress(t *rapid.T) {
	stateMachine.nextDelivery = func(order.Kind) delivery { return delivered }
	last := stateMachine.startProcess("last")
	for _, process := range stateMachine.processes[:3] {
		process.ended.Store(true)
	}
	stateMachine.grantLease(last)
	if unresolved := last.recoverAll(); len(unresolved) > 0 {
		for _, ticket := range unresolved {
			if ticket.Target.ID != "" || !ticket.ReplacesOpen {
				t.Fatalf("Recover() leaves open tickets %+v, want none but replaced platform tickets", unresolved)
			}
		}
	}
	time.Sleep(3 * time.Second)
	for _, target := range stateMachine.targets {
		result := issueTo(target)(last, "last")
		if result.Err != nil && (target.ChecksFencingToken || last.issuer.BlockedTargets()[target.ID] != order.StateAbandoned) {
			t.Fatalf("Issue() for target %s: %v, want no error", target.ID, result.Err)
		}
	}
	stateMachine.checkViolations(t)
}
