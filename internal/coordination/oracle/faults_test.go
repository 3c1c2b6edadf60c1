package oracle_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	faultsFile    = "../../../docs/FAULTS.md"
	faultDuration = 25 * time.Second // duration of a fault that ends
	outcomeDelay  = 75 * time.Second // from the start of an operation to the check of its outcome
)

var update = flag.Bool("update", false, "write docs/FAULTS.md instead of comparing with it")

// fault is a failure of an instance or its environment, injected at a step.
type fault struct {
	name  string
	begin func(instance *instance)
	end   func(instance *instance)
}

func noop(*instance) {}

var faults = []fault{
	{"killed", (*instance).kill, noop},
	{"paused", (*instance).pause, (*instance).resumeWorkFirst},
	{"paused (messages first on resume)", (*instance).pause, (*instance).resumeMessagesFirst},
	{
		"store unavailable",
		func(instance *instance) { instance.simulator.withLock(func() { instance.simulator.storeDown = true }) },
		func(instance *instance) { instance.simulator.withLock(instance.simulator.restoreStore) },
	},
	{
		"store slow",
		func(instance *instance) {
			instance.simulator.withLock(func() { instance.simulator.storeDelay = 3 * time.Second })
		},
		func(instance *instance) { instance.simulator.withLock(instance.simulator.restoreStore) },
	},
	{
		"commit response lost",
		func(instance *instance) {
			instance.simulator.withLock(func() { instance.simulator.losesResponses[instance.id] = true })
		},
		func(instance *instance) { instance.simulator.withLock(instance.simulator.restoreStore) },
	},
	{
		"target crash", (*instance).crashTargets,
		func(instance *instance) {
			instance.simulator.withLock(func() { clear(instance.simulator.nextDelivery) })
		},
	},
	{
		"partition from peers",
		func(instance *instance) { instance.simulator.withLock(instance.isolate) },
		func(instance *instance) { instance.simulator.withLock(instance.simulator.healNetwork) },
	},
}

// crashTargets crashes all targets and loses the next order to each, and the
// next response of the service.
func (instance *instance) crashTargets() {
	instance.simulator.withLock(func() {
		for _, fakeTarget := range instance.simulator.targets {
			fakeTarget.crash()
			instance.simulator.nextDelivery[fakeTarget.target.ID] = dropped
		}
		instance.simulator.nextDelivery["service"] = responseLost
	})
}

// isolate partitions the instance from its peers. The caller holds
// simulator.mu.
func (instance *instance) isolate() {
	for _, other := range instance.simulator.aliveLocked() {
		instance.simulator.cutLinks[[2]string{instance.id, other.id}] = other != instance
	}
}

// faultInjector starts a fault at one step of an operation.
type faultInjector struct {
	mu            sync.Mutex
	steps         []string // steps recorded so far
	matches       func(instance *instance, step string) bool
	stepIndex     int // step at which the fault starts, -1 for none
	fault         fault
	ignoreRepeats bool // count only the first of equal steps
}

func (faultInjector *faultInjector) recordStep(instance *instance, step string) {
	faultInjector.mu.Lock()
	hit := false
	repeated := faultInjector.ignoreRepeats && slices.Contains(faultInjector.steps, step)
	if faultInjector.matches(instance, step) && !repeated {
		hit = len(faultInjector.steps) == faultInjector.stepIndex
		faultInjector.steps = append(faultInjector.steps, step)
	}
	faultInjector.mu.Unlock()
	if !hit {
		return
	}
	faultInjector.fault.begin(instance)
	time.AfterFunc(faultDuration, func() { faultInjector.fault.end(instance) })
}

// trial is one run of an operation with a fault at one step.
type trial struct {
	operation operation
	stepIndex int
	fault     fault
}

// run returns the steps of the operation and its outcome.
func (trial trial) run(t *testing.T) (steps []string, outcome string) {
	synctest.Test(t, func(t *testing.T) {
		simulator := newSimulator(t, 1)
		defer simulator.stop()
		simulator.components = trial.operation.components
		simulator.setUp()
		finish := trial.operation.prepare(simulator)
		faultInjector := &faultInjector{matches: trial.operation.stepFilter(simulator), stepIndex: trial.stepIndex, fault: trial.fault, ignoreRepeats: trial.operation.polls}
		simulator.injector.Store(faultInjector)
		trial.operation.start(simulator)
		time.Sleep(outcomeDelay)
		simulator.injector.Store(nil)
		outcome = finish()
		if violations := simulator.violations(); len(violations) > 0 {
			outcome = "VIOLATED: " + violations[0]
		}
		steps = faultInjector.steps
	})
	return steps, outcome
}

// outcomeRow is one entry of the table of outcomes.
type outcomeRow struct{ operation, step, fault, outcome string }

// outcomes runs an operation without a fault, and then with each fault at each
// of its steps.
func (operation operation) outcomes(t *testing.T) []outcomeRow {
	steps, outcome := trial{operation: operation, stepIndex: -1}.run(t)
	rows := []outcomeRow{{operation.name, "any", "none", outcome}}
	for index, step := range steps {
		for _, fault := range faults {
			_, outcome := trial{operation, index, fault}.run(t)
			rows = append(rows, outcomeRow{operation.name, fmt.Sprintf("%d %s", index+1, step), fault.name, outcome})
		}
	}
	return rows
}

// TestFaults runs every operation with every fault at every step and requires
// that no invariant is violated and that docs/FAULTS.md lists exactly these
// outcomes. With the argument -update it writes the page.
func TestFaults(t *testing.T) {
	tables := make([][]outcomeRow, len(operations))
	t.Run("operations", func(t *testing.T) {
		for i, operation := range operations {
			t.Run(operation.name, func(t *testing.T) {
				t.Parallel()
				tables[i] = operation.outcomes(t)
			})
		}
	})
	page := bytes.NewBufferString(pageHeader)
	for i, rows := range tables {
		for _, row := range rows {
			if strings.HasPrefix(row.outcome, "VIOLATED") {
				t.Errorf("%s, step %s, %s: %s", row.operation, row.step, row.fault, row.outcome)
			}
		}
		writeTable(page, operations[i].name, rows)
	}
	if *update {
		if err := os.WriteFile(faultsFile, page.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(faultsFile)
	if err != nil || !bytes.Equal(want, page.Bytes()) {
		t.Errorf("%s is out of date (%v); run: go test ./internal/coordination/oracle -run TestFaults -args -update\n%s",
			faultsFile, err, diffLines(string(want), page.String()))
	}
}

const pageHeader = `# Faults and outcomes

Written by ` + "`go test ./internal/coordination/oracle -run TestFaults -args -update`" + `;
the same test without the argument fails when this page is out of date. Each
line shows the outcome of an operation with one fault injected at one step.
Faults that end last 25 s; the outcome is checked after 75 s. After a pause an
instance continues its own work first and then receives messages, or the
reverse ("messages first on resume").
`

// writeTable writes the outcomes of an operation, with one line for all faults
// that have the same outcome at a step.
func writeTable(page *bytes.Buffer, name string, rows []outcomeRow) {
	fmt.Fprintf(page, "\n## %s\n\n| step | fault | outcome |\n| --- | --- | --- |\n", name)
	written := map[outcomeRow]bool{}
	for i, first := range rows {
		key := outcomeRow{step: first.step, outcome: first.outcome}
		if written[key] {
			continue
		}
		written[key] = true
		var names []string
		for _, other := range rows[i:] {
			if other.step == first.step && other.outcome == first.outcome {
				names = append(names, other.fault)
			}
		}
		fmt.Fprintf(page, "| %s | %s | %s |\n", first.step, strings.Join(names, ", "), first.outcome)
	}
}

// diffLines returns the lines that only one of two texts contains.
func diffLines(want, got string) string {
	var lines []string
	wantLines, gotLines := strings.Split(want, "\n"), strings.Split(got, "\n")
	for _, line := range wantLines {
		if !slices.Contains(gotLines, line) {
			lines = append(lines, "- "+line)
		}
	}
	for _, line := range gotLines {
		if !slices.Contains(wantLines, line) {
			lines = append(lines, "+ "+line)
		}
	}
	return strings.Join(lines, "\n")
}
