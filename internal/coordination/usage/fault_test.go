package usage_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/memory"
	"mangopier.example/mangopier/internal/state/table"
)

// fault is what one step of a freezing instance suffers.
type fault int

const (
	none fault = iota
	down
	lose        // takes effect, the answer is lost
	late        // takes effect 20 s after the answer was given up
	slow        // takes 8 s
	pauseBefore // the instance stops for 4 minutes before the step
	pauseAfter
	killBefore
	killAfter
	faults
)

// steps passes each store operation, collection and report of an instance, in
// their order, to a fault.
type steps struct {
	*memory.Client
	name     string
	platform *usageInterface
	source   usage.Source
	pick     func(step int) fault

	mu      sync.Mutex
	count   int
	dead    bool
	retired atomic.Bool // another instance has the duty
}

func (steps *steps) do(ctx context.Context, call func(context.Context) error) error {
	steps.mu.Lock()
	fault := steps.pick(steps.count)
	steps.count++
	dead := steps.dead || fault == killBefore
	steps.dead = dead || fault == killAfter
	steps.mu.Unlock()
	if dead || fault == down {
		return code.Errorf(code.StoreDown, "down")
	}
	switch fault {
	case lose, killAfter:
		_ = call(ctx)
		return code.Errorf(code.WriteUnknown, "lost")
	case late:
		go func() {
			time.Sleep(20 * time.Second)
			_ = call(context.WithoutCancel(ctx))
		}()
		return code.Errorf(code.WriteUnknown, "late")
	case slow:
		time.Sleep(8 * time.Second)
	case pauseBefore:
		time.Sleep(4 * time.Minute)
	case pauseAfter:
		defer time.Sleep(4 * time.Minute)
	default:
	}
	return call(context.WithoutCancel(ctx))
}

func (steps *steps) killed() bool {
	steps.mu.Lock()
	defer steps.mu.Unlock()
	return steps.dead
}

func (steps *steps) Get(ctx context.Context, key string) (row table.Row, err error) {
	err = steps.do(ctx, func(ctx context.Context) error {
		row, err = steps.Client.Get(ctx, key)
		return err
	})
	return row, err
}

func (steps *steps) Commit(ctx context.Context, writes ...table.Write) error {
	return steps.do(ctx, func(ctx context.Context) error {
		err := steps.Client.Commit(ctx, writes...)
		opens := strings.HasPrefix(writes[0].Key, "usage/ticket/") && strings.Contains(string(writes[0].Value), `"open":true`)
		opens = opens && !strings.Contains(string(writes[0].Value), `"writer":""`)
		if err == nil && steps.retired.Load() && (opens || strings.HasPrefix(writes[0].Key, "usage/window/")) {
			steps.platform.fail(fmt.Errorf("%s wrote %s without the duty", steps.name, writes[0].Key))
		}
		return err
	})
}

func (steps *steps) Put(ctx context.Context, key string, data []byte) error {
	return steps.do(ctx, func(ctx context.Context) error { return steps.Client.Put(ctx, key, data) })
}

func (steps *steps) Collect(ctx context.Context, ask usage.Ask) (batches []usage.Batch, missing []string, err error) {
	err = steps.do(ctx, func(ctx context.Context) error {
		batches, missing, err = steps.source.Collect(ctx, ask)
		return err
	})
	return batches, missing, err
}

func (steps *steps) Report(ctx context.Context, report usage.Report) error {
	err := steps.do(ctx, func(context.Context) error { return steps.platform.take(steps.name, report) })
	if err == nil {
		steps.platform.answered(steps.name, report)
	}
	return err
}

// usageInterface takes reports and finds those that differ.
type usageInterface struct {
	mu      sync.Mutex
	reports []usage.Report // in the order of their numbers
	senders map[uint64]map[string]bool
	known   map[string]bool // sender and number of the reports whose answer arrived
	broken  error
}

func (platform *usageInterface) fail(err error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.broken = err
}

func (platform *usageInterface) answered(sender string, report usage.Report) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	key := fmt.Sprint(sender, report.Number)
	if platform.known[key] {
		platform.broken = fmt.Errorf("%s sent report %d again after its answer", sender, report.Number)
	}
	platform.known[key] = true
}

func (platform *usageInterface) take(sender string, report usage.Report) error {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if platform.senders[report.Number] == nil {
		platform.senders[report.Number] = map[string]bool{}
	}
	platform.senders[report.Number][sender] = true
	switch n := uint64(len(platform.reports)); {
	case report.Number == n+1:
		platform.reports = append(platform.reports, report)
	case report.Number > n+1:
		platform.broken = fmt.Errorf("report %d came after %d", report.Number, n)
	case string(platform.reports[report.Number-1].Body) != string(report.Body):
		platform.broken = fmt.Errorf("report %d was sent with other bytes", report.Number)
	}
	return nil
}

// growing is a source whose figures are larger at each collection, so that no
// two collections freeze the same.
func growing() usage.Source {
	var collected atomic.Int64
	start := usage.Schedule{Length: time.Minute}.At(time.Now())
	return sourceFunc(func(ask usage.Ask) ([]usage.Batch, []string, error) {
		calls := collected.Add(1)
		var batches []usage.Batch
		for window := start; window <= ask.Window; window++ {
			batches = append(batches, usage.Batch{
				Origin: usage.Origin{Instance: "m"}, Window: window,
				Lines: []usage.Line{{Team: "press", Model: "layout", Requests: calls}},
			})
		}
		return batches, nil, nil
	})
}

func TestEveryFaultAtEveryStep(t *testing.T) {
	for _, honest := range []bool{false, true} { // whether a knows that it lost the duty
		for _, waits := range []bool{false, true} { // whether open tickets wait for their writer
			for kind := none; kind < faults; kind++ {
				for step := range 21 {
					t.Run(fmt.Sprintf("honest-%v/waits-%v/fault%d/step%d", honest, waits, kind, step), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { faultAtStep(t, kind, step, honest, waits) })
					})
				}
			}
		}
	}
}

func faultAtStep(t *testing.T, kind fault, step int, honest, waits bool) {
	ctx, cancel := context.WithCancel(context.Background())
	store, source := memory.New(), growing()
	platform := &usageInterface{senders: map[uint64]map[string]bool{}, known: map[string]bool{}}
	a := &steps{Client: store.Client("a"), name: "a", platform: platform, source: source, pick: func(n int) fault {
		if n == step {
			return kind
		}
		return none
	}}
	b := &steps{Client: store.Client("b"), name: "b", platform: platform, source: source, pick: func(int) fault { return none }}
	opts := []usage.Option{usage.WithInlineBytes(100), usage.WithPoll(10 * time.Second)}
	if waits {
		opts = append(opts, usage.WithWriterGone(func(context.Context, string) (bool, error) {
			return a.killed(), nil
		}))
	}
	dutyA := lead(t, a.Client)
	endA := usage.NewFreezer("a", a, a, a, dutyA, opts...).Start(ctx)
	time.Sleep(3 * time.Minute)
	dutyA.held.Store(!honest)
	dutyB := lead(t, b.Client)
	a.retired.Store(true)
	endB := usage.NewFreezer("b", b, b, b, dutyB, opts...).Start(ctx)
	time.Sleep(9*time.Minute + 30*time.Second)
	if !a.killed() {
		a.retired.Store(false)
		b.retired.Store(true)
		dutyB.held.Store(false)
		dutyA.take(t, a.Client)
	}
	time.Sleep(4 * time.Minute)
	cancel()
	if err := errors.Join(<-endA, <-endB); err != nil || platform.broken != nil {
		t.Fatal(err, platform.broken)
	}
	least := 15
	if step < 2 {
		least = 12 // a may never have written the head from which windows are frozen
	}
	checkReports(t, platform, least)
	for number, senders := range platform.senders {
		if waits && len(senders) > 1 && !a.dead {
			t.Fatalf("report %d was sent by two that live", number)
		}
	}
}

// checkReports requires all windows up to the last, each with the figures of the
// last collection once its corrections are added.
func checkReports(t *testing.T, platform *usageInterface, least int) {
	t.Helper()
	if len(platform.reports) < least {
		t.Fatalf("got %d reports, want %d", len(platform.reports), least)
	}
	sums := map[usage.Window]int64{}
	var last usage.Content
	for _, report := range platform.reports {
		content := contentOf(t, report)
		if last.Number > 0 && content.Window != last.Window+1 {
			t.Fatalf("window %d follows window %d", content.Window, last.Window)
		}
		last = content
		for _, line := range content.Lines {
			sums[content.Window] += line.Requests
		}
		for _, correction := range content.Corrections {
			sums[correction.Window] += correction.Line.Requests
		}
	}
	for window, sum := range sums {
		if sum != last.Lines[0].Requests {
			t.Fatalf("window %d sums up to %d, want %d", window, sum, last.Lines[0].Requests)
		}
	}
}
