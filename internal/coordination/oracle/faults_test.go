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
	faultsPage = "../../../docs/FAULTS.md"
	faultTime  = 25 * time.Second // that a fault lasts, if it passes
	calmTime   = 75 * time.Second // after which an operation is judged
)

var update = flag.Bool("update", false, "write docs/FAULTS.md")

// fault is something that befalls an instance or its surroundings at a step.
type fault struct {
	name  string
	begin func(life *life)
	end   func(life *life)
}

func nothing(*life) {}

var faults = []fault{
	{"killed", (*life).kill, nothing},
	{"paused", (*life).pause, (*life).wake},
	{"paused (messages first)", (*life).pause, (*life).wakeAsked},
	{
		"store down",
		func(life *life) { life.world.set(func() { life.world.down = true }) },
		func(life *life) { life.world.set(life.world.storeUp) },
	},
	{
		"store slow",
		func(life *life) { life.world.set(func() { life.world.slow = 3 * time.Second }) },
		func(life *life) { life.world.set(life.world.storeUp) },
	},
	{
		"answer lost",
		func(life *life) { life.world.set(func() { life.world.lossy[life.id] = true }) },
		func(life *life) { life.world.set(life.world.storeUp) },
	},
	{
		"engine crash", (*life).crashTargets,
		func(life *life) { life.world.set(func() { clear(life.world.fate) }) },
	},
	{
		"partition from peers",
		func(life *life) { life.world.set(life.cutOff) },
		func(life *life) { life.world.set(life.world.heal) },
	},
}

// crashTargets makes each target lose what runs there and is on its way.
func (life *life) crashTargets() {
	life.world.set(func() {
		for _, engine := range life.world.targets {
			engine.crash()
			life.world.fate[engine.target.ID] = neverArrives
		}
		life.world.fate["service"] = answerLost
	})
}

// cutOff cuts the instance off from its peers. The caller holds the lock.
func (life *life) cutOff() {
	for _, other := range life.world.aliveLocked() {
		life.world.cuts[[2]string{life.id, other.id}] = other != life
	}
}

// trap lets a fault begin at one step of an operation.
type trap struct {
	mu    sync.Mutex
	steps []string // that the operation has passed
	wants func(life *life, step string) bool
	at    int // -1 for never
	fault fault
	loops bool // only the first of equal steps counts
}

func (trap *trap) step(life *life, step string) {
	trap.mu.Lock()
	hit := false
	repeated := trap.loops && slices.Contains(trap.steps, step)
	if trap.wants(life, step) && !repeated {
		hit = len(trap.steps) == trap.at
		trap.steps = append(trap.steps, step)
	}
	trap.mu.Unlock()
	if !hit {
		return
	}
	trap.fault.begin(life)
	time.AfterFunc(faultTime, func() { trap.fault.end(life) })
}

// trial is one run of an operation with a fault at one step.
type trial struct {
	operation operation
	at        int
	fault     fault
}

// run returns the steps that the operation passed and its outcome.
func (trial trial) run(t *testing.T) (steps []string, outcome string) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t, 1)
		defer world.stop()
		world.parts = trial.operation.parts
		world.setUp()
		finish := trial.operation.prepare(world)
		trap := &trap{wants: trial.operation.wants(world), at: trial.at, fault: trial.fault, loops: trial.operation.loops}
		world.trap.Store(trap)
		trial.operation.begin(world)
		time.Sleep(calmTime)
		world.trap.Store(nil)
		outcome = finish()
		if broken := world.broken(); len(broken) > 0 {
			outcome = "BROKEN: " + broken[0]
		}
		steps = trap.steps
	})
	return steps, outcome
}

// row is one line of the table of outcomes.
type row struct{ operation, step, fault, outcome string }

// rows runs an operation without a fault, and then with each fault at each of
// its steps.
func (operation operation) rows(t *testing.T) []row {
	steps, outcome := trial{operation: operation, at: -1}.run(t)
	rows := []row{{operation.name, "any", "none", outcome}}
	for at, step := range steps {
		for _, fault := range faults {
			_, outcome := trial{operation, at, fault}.run(t)
			rows = append(rows, row{operation.name, fmt.Sprintf("%d %s", at+1, step), fault.name, outcome})
		}
	}
	return rows
}

// TestFaults runs the matrix. With the argument -update it writes the page of
// outcomes, and without it the page has to be as it would write it.
func TestFaults(t *testing.T) {
	tables := make([][]row, len(operations))
	t.Run("operations", func(t *testing.T) {
		for i, operation := range operations {
			t.Run(operation.name, func(t *testing.T) {
				t.Parallel()
				tables[i] = operation.rows(t)
			})
		}
	})
	page := bytes.NewBufferString(pageHead)
	for i, rows := range tables {
		for _, row := range rows {
			if strings.HasPrefix(row.outcome, "BROKEN") {
				t.Errorf("%s, step %s, %s: %s", row.operation, row.step, row.fault, row.outcome)
			}
		}
		writeRows(page, operations[i].name, rows)
	}
	if *update {
		if err := os.WriteFile(faultsPage, page.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(faultsPage)
	if err != nil || !bytes.Equal(want, page.Bytes()) {
		t.Errorf("%s is out of date (%v); run: go test ./internal/coordination/oracle -run TestFaults -args -update\n%s",
			faultsPage, err, difference(string(want), page.String()))
	}
}

const pageHead = `# Faults and outcomes

Written by ` + "`go test ./internal/coordination/oracle -run TestFaults -args -update`" + `;
the same test without the argument fails when this page is out of date. Each
line is one fault at one step of one operation, and what came of it. A fault
that passes lasts 25 s; the outcome is judged after 75 s. After a pause the
instance goes on with its own work before it takes messages, or the reverse.
`

// writeRows writes one line for all faults with the same outcome at a step.
func writeRows(page *bytes.Buffer, name string, rows []row) {
	fmt.Fprintf(page, "\n## %s\n\n| step | fault | outcome |\n| --- | --- | --- |\n", name)
	written := map[row]bool{}
	for i, first := range rows {
		key := row{step: first.step, outcome: first.outcome}
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

// difference returns the lines that stand in only one of two texts.
func difference(want, got string) string {
	var lines []string
	before, after := strings.Split(want, "\n"), strings.Split(got, "\n")
	for _, line := range before {
		if !slices.Contains(after, line) {
			lines = append(lines, "- "+line)
		}
	}
	for _, line := range after {
		if !slices.Contains(before, line) {
			lines = append(lines, "+ "+line)
		}
	}
	return strings.Join(lines, "\n")
}
