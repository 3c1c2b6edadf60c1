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

// bubble keeps rapid from asking for the deadline of a test on a paused clock.
// A check ends after a day on that clock, however many runs were asked for; the
// count that -v prints is the true one.
type bubble struct{ *testing.T }

// machine draws what several holders, the network, the store and the targets
// do. The world judges each effect.
type machine struct {
	*world
	holder   *process
	targets  []note.Target
	versions int
	running  map[*process]<-chan struct{}
	stores   map[string]memory.Fault
}

// TestOrdersUnderFaults is a state machine over three holders that never doubt
// their authority.
func TestOrdersUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			machine := newMachine(t)
			defer machine.end()
			for range rapid.IntRange(5, 60).Draw(t, "steps") {
				machine.act(t)
				machine.judge(t)
			}
			machine.end()
			machine.judge(t)
			machine.goOn(t)
		})
	})
}

func newMachine(t *rapid.T) *machine {
	lag := time.Duration(rapid.IntRange(0, 2).Draw(t, "lag")) * time.Second
	machine := &machine{world: newWorld(lag), running: map[*process]<-chan struct{}{}, stores: map[string]memory.Fault{}}
	machine.targets = []note.Target{
		machine.add("fences", true, true), machine.add("no-boot", false, false), machine.add("boots", false, true),
	}
	var opts []order.Option
	if rapid.Bool().Draw(t, "repeats") {
		opts = append(opts, order.WithPlatformRepeats())
	}
	for i := range 3 {
		process := machine.start(fmt.Sprint("holder-", i), opts...)
		process.reachable.Store(rapid.Bool().Draw(t, "reachable"))
	}
	machine.takeCharge(t, machine.procs[0])
	machine.store.SetFault(func(call memory.Call) memory.Fault { return machine.stores[call.Client] })
	return machine
}

func (machine *machine) act(t *rapid.T) {
	process := rapid.SampledFrom(append(machine.procs, machine.holder, machine.holder, machine.holder)).Draw(t, "holder")
	machine.mu.Lock()
	fate := rapid.SampledFrom([]delivery{arrives, arrives, arrives, answerLost, neverArrives, arrivesLate, crashesTarget, refusedBusy, notSent, crossed}).Draw(t, "fate")
	machine.next = func(order.Kind) delivery { return fate }
	machine.mu.Unlock()
	switch rapid.SampledFrom([]string{"order", "order", "order", "recover", "recover", "platform", "take over", "resume", "resume", "sleep", "sleep", "late", "crash", "store"}).Draw(t, "act") {
	case "order":
		act := toTarget(rapid.SampledFrom(machine.targets).Draw(t, "target"))
		machine.versions++
		version := fmt.Sprint("v", machine.versions%3)
		machine.run(t, process, func() { act(process, version) })
	case "recover":
		machine.run(t, process, func() { _, _ = process.recoverOnce() })
	case "platform":
		machine.versions++
		version := fmt.Sprint("v", machine.versions)
		machine.run(t, process, func() { toPlatform(process, version) })
	case "take over":
		machine.takeCharge(t, process)
	case "resume":
		machine.resume(process)
	case "sleep":
		time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
	case "late":
		machine.deliverLate()
	case "crash":
		machine.mu.Lock()
		machine.world.targets[rapid.SampledFrom(machine.targets).Draw(t, "crashed").ID].crash()
		machine.mu.Unlock()
	case "store":
		fault := memory.Fault{
			LoseAnswer: rapid.Bool().Draw(t, "lose"), Down: rapid.IntRange(0, 3).Draw(t, "down") == 0,
			Delay: time.Duration(rapid.IntRange(0, 3).Draw(t, "delay")) * time.Second,
		}
		synctest.Wait()
		machine.stores[process.name] = fault
	}
}

// takeCharge makes a process the holder and gives it time to see reports.
func (machine *machine) takeCharge(t *rapid.T, process *process) {
	machine.takeOver(process)
	machine.holder = process
	machine.run(t, process, func() { _, _ = process.recoverOnce() })
	time.Sleep(time.Duration(rapid.IntRange(0, 3).Draw(t, "settling")) * time.Second)
}

// run starts a call that may pause, unless the process is still in one.
func (machine *machine) run(t *rapid.T, process *process, call func()) {
	if machine.running[process] != nil {
		return
	}
	if paused, done := process.background(rapid.Int64Range(0, 25).Draw(t, "pause at"), call); paused {
		machine.running[process] = done
	}
}

func (machine *machine) resume(process *process) {
	if done := machine.running[process]; done != nil {
		close(process.resume)
		<-done
		delete(machine.running, process)
	}
}

func (machine *machine) end() {
	machine.stores = map[string]memory.Fault{}
	for _, process := range machine.procs {
		machine.resume(process)
	}
	machine.deliverLate()
}

func (machine *machine) judge(t *rapid.T) {
	if faults := machine.faults(); len(faults) > 0 {
		t.Fatalf("%v", faults)
	}
}

// goOn checks that a last holder can order all targets that were not abandoned,
// and those that fence in any case.
func (machine *machine) goOn(t *rapid.T) {
	machine.next = func(order.Kind) delivery { return arrives }
	last := machine.start("last")
	for _, process := range machine.procs[:3] {
		process.ended.Store(true)
	}
	machine.takeOver(last)
	if left := last.recover(); len(left) > 0 {
		for _, ticket := range left {
			if ticket.Target.ID != "" || !ticket.Inherited {
				t.Fatalf("tickets stay open: %+v", left)
			}
		}
	}
	time.Sleep(3 * time.Second)
	for _, target := range machine.targets {
		result := toTarget(target)(last, "last")
		if result.Err != nil && (target.Fences || last.issuer.Blocked()[target.ID] != order.StateAbandoned) {
			t.Fatalf("%s cannot be ordered: %v", target.ID, result.Err)
		}
	}
	machine.judge(t)
}
