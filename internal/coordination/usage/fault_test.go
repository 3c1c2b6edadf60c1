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

// fault is what happens to one step of a reporting instance.
type fault int

const (
	noFault fault = iota
	storeDown
	responseLost // takes effect, but its response is lost
	appliedLate  // takes effect 20 s after the caller got an error
	slowCall     // takes 8 s
	pauseBefore  // the instance pauses for 4 minutes before the step
	pauseAfter
	killBefore
	killAfter
	faultCount
)

// faultInjector applies a fault to the store operations, collections and
// reports of an instance, numbered in call order.
type faultInjector struct {
	*memory.Client
	name      string
	platform  *fakePlatform
	collector usage.Collector
	faultAt   func(step int) fault

	mu         sync.Mutex
	stepCount  int
	crashed    bool
	leaseTaken atomic.Bool // another instance has taken the lease
}

func (injector *faultInjector) runStep(ctx context.Context, call func(context.Context) error) error {
	injector.mu.Lock()
	fault := injector.faultAt(injector.stepCount)
	injector.stepCount++
	crashed := injector.crashed || fault == killBefore
	injector.crashed = crashed || fault == killAfter
	injector.mu.Unlock()
	if crashed || fault == storeDown {
		return code.Errorf(code.StoreDown, "injected: store is down")
	}
	switch fault {
	case responseLost, killAfter:
		_ = call(ctx)
		return code.Errorf(code.WriteUnknown, "injected: response lost")
	case appliedLate:
		go func() {
			time.Sleep(20 * time.Second)
			_ = call(context.WithoutCancel(ctx))
		}()
		return code.Errorf(code.WriteUnknown, "injected: applied late")
	case slowCall:
		time.Sleep(8 * time.Second)
	case pauseBefore:
		time.Sleep(4 * time.Minute)
	case pauseAfter:
		defer time.Sleep(4 * time.Minute)
	default:
	}
	return call(context.WithoutCancel(ctx))
}

func (injector *faultInjector) killed() bool {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	return injector.crashed
}

func (injector *faultInjector) Get(ctx context.Context, key string) (row table.Row, err error) {
	err = injector.runStep(ctx, func(ctx context.Context) error {
		row, err = injector.Client.Get(ctx, key)
		return err
	})
	return row, err
}

func (injector *faultInjector) Commit(ctx context.Context, writes ...table.Write) error {
	return injector.runStep(ctx, func(ctx context.Context) error {
		err := injector.Client.Commit(ctx, writes...)
		opens := strings.HasPrefix(writes[0].Key, "usage/ticket/") && strings.Contains(string(writes[0].Value), `"open":true`)
		opens = opens && !strings.Contains(string(writes[0].Value), `"writer":""`)
		if err == nil && injector.leaseTaken.Load() && (opens || strings.HasPrefix(writes[0].Key, "usage/window/")) {
			injector.platform.recordViolation(fmt.Errorf("%s wrote %s after losing the lease", injector.name, writes[0].Key))
		}
		return err
	})
}

func (injector *faultInjector) Put(ctx context.Context, key string, data []byte) error {
	return injector.runStep(ctx, func(ctx context.Context) error { return injector.Client.Put(ctx, key, data) })
}

func (injector *faultInjector) Collect(ctx context.Context, request usage.CollectRequest) (batches []usage.Batch, missing []string, err error) {
	err = injector.runStep(ctx, func(ctx context.Context) error {
		batches, missing, err = injector.collector.Collect(ctx, request)
		return err
	})
	return batches, missing, err
}

func (injector *faultInjector) SendReport(ctx context.Context, report usage.Report) error {
	err := injector.runStep(ctx, func(context.Context) error { return injector.platform.accept(injector.name, report) })
	if err == nil {
		injector.platform.recordResponse(injector.name, report)
	}
	return err
}

// fakePlatform accepts usage reports and records as a violation any that are
// out of order or differ from an earlier report with the same number.
type fakePlatform struct {
	mu           sync.Mutex
	reports      []usage.Report // in the order of their numbers
	senders      map[uint64]map[string]bool
	acknowledged map[string]bool // sender and number of reports whose response arrived
	violation    error
}

func (platform *fakePlatform) recordViolation(err error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.violation = err
}

func (platform *fakePlatform) recordResponse(sender string, report usage.Report) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	key := fmt.Sprint(sender, report.Number)
	if platform.acknowledged[key] {
		platform.violation = fmt.Errorf("%s sent report %d again after the response to it had arrived", sender, report.Number)
	}
	platform.acknowledged[key] = true
}

func (platform *fakePlatform) accept(sender string, report usage.Report) error {
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
		platform.violation = fmt.Errorf("got report %d after report %d, want consecutive numbers", report.Number, n)
	case string(platform.reports[report.Number-1].Body) != string(report.Body):
		platform.violation = fmt.Errorf("report %d was sent again with different bytes", report.Number)
	}
	return nil
}

// newGrowingCollector returns a collector whose counts grow with each
// collection, so that freezing a window twice would give different bytes.
func newGrowingCollector() usage.Collector {
	var collected atomic.Int64
	start := usage.Schedule{Length: time.Minute}.WindowAt(time.Now())
	return collectorFunc(func(request usage.CollectRequest) ([]usage.Batch, []string, error) {
		calls := collected.Add(1)
		var batches []usage.Batch
		for window := start; window <= request.LastWindow; window++ {
			batches = append(batches, usage.Batch{
				Origin: usage.Origin{Instance: "m"}, Window: window,
				Lines: []usage.Line{{Team: "press", Model: "layout", Requests: calls}},
			})
		}
		return batches, nil, nil
	})
}

// A fault during freezing or reporting must neither lose a window nor report it
// with two contents. The test injects each fault at each of the first 21 steps
// of instance a, moves the lease to b and, unless a has crashed, back to a.
func TestReportsSurviveEveryFaultAtEveryStep(t *testing.T) {
	for _, lossKnown := range []bool{false, true} { // whether a knows that it lost the lease
		// waitsForWriter is whether an open ticket blocks others until its writer has ended.
		for _, waitsForWriter := range []bool{false, true} {
			for kind := noFault; kind < faultCount; kind++ {
				for step := range 21 {
					t.Run(fmt.Sprintf("loss-known-%v/waits-for-writer-%v/fault%d/step%d", lossKnown, waitsForWriter, kind, step), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { runFaultAtStep(t, kind, step, lossKnown, waitsForWriter) })
					})
				}
			}
		}
	}
}

func runFaultAtStep(t *testing.T, kind fault, step int, lossKnown, waitsForWriter bool) {
	ctx, cancel := context.WithCancel(context.Background())
	store, collector := memory.New(), newGrowingCollector()
	platform := &fakePlatform{senders: map[uint64]map[string]bool{}, acknowledged: map[string]bool{}}
	a := &faultInjector{Client: store.Client("a"), name: "a", platform: platform, collector: collector, faultAt: func(n int) fault {
		if n == step {
			return kind
		}
		return noFault
	}}
	b := &faultInjector{Client: store.Client("b"), name: "b", platform: platform, collector: collector, faultAt: func(int) fault { return noFault }}
	opts := []usage.Option{usage.WithMaxInlineBytes(100), usage.WithRetryInterval(10 * time.Second)}
	if waitsForWriter {
		opts = append(opts, usage.WithWriterEnded(func(context.Context, string) (bool, error) {
			return a.killed(), nil
		}))
	}
	leaseA := acquireLease(t, a.Client)
	endedA := usage.NewWindowReporter("a", a, a, a, leaseA, opts...).Start(ctx)
	time.Sleep(3 * time.Minute)
	leaseA.held.Store(!lossKnown)
	leaseB := acquireLease(t, b.Client)
	a.leaseTaken.Store(true)
	endedB := usage.NewWindowReporter("b", b, b, b, leaseB, opts...).Start(ctx)
	time.Sleep(9*time.Minute + 30*time.Second)
	if !a.killed() {
		a.leaseTaken.Store(false)
		b.leaseTaken.Store(true)
		leaseB.held.Store(false)
		leaseA.acquire(t, a.Client)
	}
	time.Sleep(4 * time.Minute)
	cancel()
	if err := errors.Join(<-endedA, <-endedB); err != nil || platform.violation != nil {
		t.Fatalf("reporters ended with %v, platform saw %v, want nil for both", err, platform.violation)
	}
	minReports := 15
	if step < 2 {
		minReports = 12 // a may never have written the head row that sets the first window
	}
	checkAllWindowsReported(t, platform, minReports)
	for number, senders := range platform.senders {
		if waitsForWriter && len(senders) > 1 && !a.crashed {
			t.Fatalf("report %d was sent by %d writers, want 1 while the first is alive", number, len(senders))
		}
	}
}

// checkAllWindowsReported requires a report for each window up to the last,
// without gaps, whose lines and corrections sum up to the counts of the last
// collection.
func checkAllWindowsReported(t *testing.T, platform *fakePlatform, minReports int) {
	t.Helper()
	if len(platform.reports) < minReports {
		t.Fatalf("got %d reports, want at least %d", len(platform.reports), minReports)
	}
	sums := map[usage.Window]int64{}
	var last usage.ReportBody
	for _, report := range platform.reports {
		body := decodeReport(t, report)
		if last.Number > 0 && body.Window != last.Window+1 {
			t.Fatalf("got window %d after window %d, want consecutive windows", body.Window, last.Window)
		}
		last = body
		for _, line := range body.Lines {
			sums[body.Window] += line.Requests
		}
		for _, correction := range body.Corrections {
			sums[correction.Window] += correction.Line.Requests
		}
	}
	for window, sum := range sums {
		if sum != last.Lines[0].Requests {
			t.Fatalf("requests reported for window %d = %d, want %d", window, sum, last.Lines[0].Requests)
		}
	}
}
