package once_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/once"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/memory"
)

// action is one attempt of a caller to run a call.
type action struct {
	after   time.Duration // since the previous action
	process int
	key     int
	body    int
	pause   time.Duration // between the claim and the send
}

// program is a random sequence of calls and store faults.
type program struct {
	actions     []action
	storeFaults [][]storeFault // by process and store operation
}

func drawProgram(t *rapid.T) program {
	actions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			after:   time.Duration(rapid.IntRange(0, 3000).Draw(t, "after")) * time.Millisecond,
			process: rapid.IntRange(0, 2).Draw(t, "process"),
			key:     rapid.IntRange(0, 1).Draw(t, "key"),
			body:    rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "body"),
			pause:   time.Duration(rapid.SampledFrom([]int{0, 0, 500, 90000}).Draw(t, "pause")) * time.Millisecond,
		}
	}), 1, 12).Draw(t, "actions")
	kinds := rapid.SampledFrom([]storeFault{
		noFault, noFault, noFault, noFault, noFault, failRequest, loseResponse, loseResponse, delayWrite, delayWrite, pauseBefore, pauseAfter, killBefore, killAfter, startOutage,
	})
	faults := rapid.SliceOfN(rapid.SliceOfN(kinds, 0, 20), 3, 3).Draw(t, "faults")
	return program{actions: actions, storeFaults: faults}
}

// Three instances handle calls with two keys under random store faults, pauses and
// kills. No key may run twice, and no caller may get a wrong outcome.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		program := drawProgram(rt)
		var violation error
		synctest.Test(t, func(*testing.T) { violation = program.run() })
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}

// oracle records which calls ran, by key, and checks results against that.
type oracle struct {
	mu         sync.Mutex
	runs       map[string][]string // response bodies
	bodies     map[string]string   // body of the call that ran
	violations []error
}

func (oracle *oracle) recordRun(call once.Call, responseBody string) {
	oracle.mu.Lock()
	defer oracle.mu.Unlock()
	key := call.IdempotencyKey
	oracle.runs[key] = append(oracle.runs[key], responseBody)
	oracle.bodies[key] = string(call.Body)
}

func (oracle *oracle) checkResult(call once.Call, got result) {
	oracle.mu.Lock()
	defer oracle.mu.Unlock()
	key := call.IdempotencyKey
	if len(oracle.runs[key]) > 1 {
		oracle.addViolation("key %s ran %d times", key, len(oracle.runs[key]))
	}
	if got.outcome != nil && (string(got.outcome.Body) != oracle.runs[key][0] || oracle.bodies[key] != string(call.Body)) {
		oracle.addViolation("key %s: outcome has body %q, runs had %v", key, got.outcome.Body, oracle.runs[key])
	}
	if got.err != nil && code.RunStatusFromError(got.err) == code.NotRun && got.ran {
		oracle.addViolation("key %s ran, but its error has the run status NotRun", key)
	}
}

func (oracle *oracle) addViolation(format string, args ...any) {
	oracle.violations = append(oracle.violations, fmt.Errorf(format, args...))
}

func (program program) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	store := memory.New()
	oracle := &oracle{runs: map[string][]string{}, bodies: map[string]string{}}
	var processes []*process
	var ends []<-chan error
	for i, faults := range program.storeFaults {
		process := newProcess(store, fmt.Sprint(i), func(op int) storeFault {
			if op < len(faults) {
				return faults[op]
			}
			return noFault
		})
		process.onRun = oracle.recordRun
		processes = append(processes, process)
		ends = append(ends, process.deduplicator.Start(ctx))
	}
	var callers sync.WaitGroup
	for i, action := range program.actions {
		time.Sleep(action.after)
		process := processes[action.process]
		callers.Go(func() {
			if !process.killed() {
				call, responseBody := action.call(), fmt.Sprintf("response %d", i)
				oracle.checkResult(call, process.attempt(call, action.pause, responseBody))
			}
		})
	}
	callers.Wait()
	time.Sleep(time.Hour)
	program.checkAfterFaults(store, processes, oracle)
	cancel()
	for _, end := range ends {
		<-end //nolint:errcheck // a killed process cannot store its queue
	}
	if len(oracle.violations) > 0 {
		return oracle.violations[0]
	}
	return nil
}

func (action action) call() once.Call {
	call := orderCall
	call.IdempotencyKey = fmt.Sprint("key", action.key)
	call.Body = []byte(fmt.Sprint("body", action.body))
	return call
}

// checkAfterFaults repeats each key at a new instance after all faults. If no
// process was killed, the result must be the outcome of the run, or a run if there
// was none.
func (program program) checkAfterFaults(store *memory.Store, processes []*process, oracle *oracle) {
	fresh := newProcess(store, "fresh", func(int) storeFault { return noFault })
	fresh.onRun = oracle.recordRun
	killed := false
	for _, process := range processes {
		killed = killed || process.killed()
	}
	for key := range 2 {
		call := action{key: key}.call()
		if body, ok := oracle.bodies[call.IdempotencyKey]; ok {
			call.Body = []byte(body)
		}
		before := len(oracle.runs[call.IdempotencyKey])
		got := fresh.attempt(call, 0, "fresh")
		oracle.checkResult(call, got)
		if !killed && got.err != nil {
			oracle.addViolation("key %s ran %d times; repeat after the faults: error %v, want an outcome or a run", call.IdempotencyKey, before, got.err)
		}
	}
}
