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

// action is one attempt of a caller.
type action struct {
	after   time.Duration // since the action before it
	process int
	key     int
	body    int
	pause   time.Duration // between the claim and the send
}

// program is what happens in one run of the machine.
type program struct {
	actions []action
	faults  [][]fault // by process and operation
}

func programs(t *rapid.T) program {
	actions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			after:   time.Duration(rapid.IntRange(0, 3000).Draw(t, "after")) * time.Millisecond,
			process: rapid.IntRange(0, 2).Draw(t, "process"),
			key:     rapid.IntRange(0, 1).Draw(t, "key"),
			body:    rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "body"),
			pause:   time.Duration(rapid.SampledFrom([]int{0, 0, 500, 90000}).Draw(t, "pause")) * time.Millisecond,
		}
	}), 1, 12).Draw(t, "actions")
	kinds := rapid.SampledFrom([]fault{
		none, none, none, none, none, down, lose, lose, late, late, pauseBefore, pauseAfter, killBefore, killAfter, outage,
	})
	faults := rapid.SliceOfN(rapid.SliceOfN(kinds, 0, 20), 3, 3).Draw(t, "faults")
	return program{actions: actions, faults: faults}
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		program := programs(rt)
		var broken error
		synctest.Test(t, func(*testing.T) { broken = program.run() })
		if broken != nil {
			rt.Fatal(broken)
		}
	})
}

// oracle knows what really ran, by key.
type oracle struct {
	mu      sync.Mutex
	runs    map[string][]string // answers
	bodies  map[string]string   // body of the call that ran
	results []error             // broken promises
}

func (oracle *oracle) ran(call once.Call, answer string) {
	oracle.mu.Lock()
	defer oracle.mu.Unlock()
	key := call.IdempotencyKey
	oracle.runs[key] = append(oracle.runs[key], answer)
	oracle.bodies[key] = string(call.Body)
}

func (oracle *oracle) learn(call once.Call, got result) {
	oracle.mu.Lock()
	defer oracle.mu.Unlock()
	key := call.IdempotencyKey
	if len(oracle.runs[key]) > 1 {
		oracle.fail("key %s ran %d times", key, len(oracle.runs[key]))
	}
	if got.outcome != nil && (string(got.outcome.Body) != oracle.runs[key][0] || oracle.bodies[key] != string(call.Body)) {
		oracle.fail("key %s was answered with %q, ran %v", key, got.outcome.Body, oracle.runs[key])
	}
	if got.err != nil && code.RunOf(got.err) == code.NotRun && got.ran {
		oracle.fail("key %s ran and was refused as not run", key)
	}
}

func (oracle *oracle) fail(format string, args ...any) {
	oracle.results = append(oracle.results, fmt.Errorf(format, args...))
}

func (program program) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	store := memory.New()
	oracle := &oracle{runs: map[string][]string{}, bodies: map[string]string{}}
	var processes []*process
	var ends []<-chan error
	for i, faults := range program.faults {
		process := newProcess(store, fmt.Sprint(i), func(op int) fault {
			if op < len(faults) {
				return faults[op]
			}
			return none
		})
		process.runs = oracle.ran
		processes = append(processes, process)
		ends = append(ends, process.guard.Start(ctx))
	}
	var callers sync.WaitGroup
	for i, action := range program.actions {
		time.Sleep(action.after)
		process := processes[action.process]
		callers.Go(func() {
			if !process.killed() {
				call, answer := action.call(), fmt.Sprintf("answer %d", i)
				oracle.learn(call, process.attempt(call, action.pause, answer))
			}
		})
	}
	callers.Wait()
	time.Sleep(time.Hour)
	program.settle(store, processes, oracle)
	cancel()
	for _, end := range ends {
		<-end //nolint:errcheck // a killed process cannot store what it has
	}
	if len(oracle.results) > 0 {
		return oracle.results[0]
	}
	return nil
}

func (action action) call() once.Call {
	call := order
	call.IdempotencyKey = fmt.Sprint("key", action.key)
	call.Body = []byte(fmt.Sprint("body", action.body))
	return call
}

// settle repeats each key at a new instance once all faults are over. Where no
// process was killed, the answer has to be the outcome of the run, or a run if
// there was none.
func (program program) settle(store *memory.Store, processes []*process, oracle *oracle) {
	fresh := newProcess(store, "fresh", func(int) fault { return none })
	fresh.runs = oracle.ran
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
		oracle.learn(call, got)
		if !killed && got.err != nil {
			oracle.fail("key %s ran %d times and ends as %v", call.IdempotencyKey, before, got.err)
		}
	}
}
