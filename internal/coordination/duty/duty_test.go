package duty_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/duty"
	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
)

// fakeLease is held under the epoch that a test sets, and not held at epoch 0.
type fakeLease struct{ epoch atomic.Uint64 }

func (fakeLease *fakeLease) Held() (lease.Grant, bool) {
	epoch := fakeLease.epoch.Load()
	return lease.Grant{Epoch: epoch, First: epoch == 1}, epoch > 0
}

// fakePlatform records the orders that it receives.
type fakePlatform struct {
	mutex         sync.Mutex
	orders        []string
	noSpotTargets bool
	status        site.EngineStatus
}

func (platform *fakePlatform) record(order string) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.orders = append(platform.orders, order)
}

func (platform *fakePlatform) recorded() []string {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return slices.Clone(platform.orders)
}

func (platform *fakePlatform) OrderCapacity(_ context.Context, holder string, fencingToken uint64, order site.CapacityOrder) error {
	platform.record(fmt.Sprintf("%s %d %s %d spot=%v", holder, fencingToken, order.DataCenter, order.Count, order.Spot))
	if platform.noSpotTargets && order.Spot {
		return code.Errorf(code.NoTarget, "none")
	}
	return nil
}

func (platform *fakePlatform) OrderStage(_ context.Context, order site.StageOrder) error {
	platform.record(fmt.Sprintf("%s %d %s %v expected=%d", order.Holder, order.FencingToken, order.Target.ID, order.Stage, order.ExpectedOrders))
	return nil
}

func (platform *fakePlatform) FetchEngineStatus(context.Context, site.Target) (site.EngineStatus, error) {
	return platform.status, nil
}

type fakeReporter struct{ steps, resets atomic.Int64 }

func (reporter *fakeReporter) ReportEndedWindows(context.Context, time.Time, func() (lease.Grant, bool)) {
	reporter.steps.Add(1)
}
func (reporter *fakeReporter) Reset() { reporter.resets.Add(1) }

func newSnapshot(targets ...site.Target) func() duty.Snapshot {
	manifest := &site.Manifest{Version: 1, Services: map[string]site.Service{
		"llm": {Name: "llm", Engine: &site.Engine{StageChangeTime: 3 * time.Second}},
	}}
	return func() duty.Snapshot {
		return duty.Snapshot{Manifest: manifest, Targets: targets, TrueTime: time.Now(), TrueTimeKnown: true}
	}
}

func newEngine(id string, stage site.Stage) site.Target {
	return site.Target{ID: id, Service: "llm", DataCenter: "a", Stage: stage}
}

func runDuties(t *testing.T, fakeLease *fakeLease, platform *fakePlatform, reporter *fakeReporter, snapshot func() duty.Snapshot, test func(*duty.Runner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		runner := duty.New(duty.Config{
			Instance: "a", Lease: fakeLease, Platform: platform, Reporter: reporter, Snapshot: snapshot,
			Duties: site.Duties{Usage: true, Capacity: true}, AlternationPeriod: 3 * time.Second, Logger: zerolog.Nop(),
		})
		done := runner.Start(ctx)
		test(runner)
		cancel()
		<-done
	})
}

// Two holders must not act in turn within the alternation period. So nothing is
// done without the lease, and a holder of epoch 2 or later waits for the period
// before it acts.
func TestNewHolderWaitsForAlternationPeriod(t *testing.T) {
	fakeLease, platform, reporter := &fakeLease{}, &fakePlatform{}, &fakeReporter{}
	snapshot := newSnapshot(newEngine("e1", site.Prefill), newEngine("e2", site.Prefill), newEngine("e3", site.Prefill), newEngine("e4", site.Prefill))
	runDuties(t, fakeLease, platform, reporter, snapshot, func(*duty.Runner) {
		time.Sleep(2 * time.Second)
		if len(platform.recorded()) != 0 || reporter.steps.Load() != 0 {
			t.Errorf("without the lease: orders %v, %d report steps, want none", platform.recorded(), reporter.steps.Load())
		}
		fakeLease.epoch.Store(4)
		time.Sleep(3 * time.Second)
		if len(platform.recorded()) != 0 || reporter.steps.Load() != 0 {
			t.Errorf("within the period after the takeover: orders %v, %d report steps, want none", platform.recorded(), reporter.steps.Load())
		}
		time.Sleep(time.Second)
		if len(platform.recorded()) == 0 || reporter.steps.Load() == 0 || reporter.resets.Load() != 1 {
			t.Errorf("after the period: %d orders, %d report steps, %d resets, want some, some and 1",
				len(platform.recorded()), reporter.steps.Load(), reporter.resets.Load())
		}
	})
}

// The holder of epoch 1 has no predecessor and need not wait.
func TestFirstHolderActsAtOnce(t *testing.T) {
	fakeLease, platform := &fakeLease{}, &fakePlatform{}
	fakeLease.epoch.Store(1)
	snapshot := newSnapshot(newEngine("e1", site.Prefill), newEngine("e2", site.Prefill), newEngine("e3", site.Prefill), newEngine("e4", site.Prefill))
	runDuties(t, fakeLease, platform, &fakeReporter{}, snapshot, func(runner *duty.Runner) {
		time.Sleep(time.Second)
		if len(platform.recorded()) == 0 {
			t.Error("no order in the first second under epoch 1")
		}
		if len(runner.PendingStageChanges()) == 0 {
			t.Error("runner.PendingStageChanges() is empty after a stage order")
		}
	})
}

// An engine gets no second order while it changes its stage. The order carries
// the number of orders that the engine must have accepted.
func TestStageIsOrderedOnce(t *testing.T) {
	fakeLease, platform := &fakeLease{}, &fakePlatform{status: site.EngineStatus{Stage: site.Prefill, OrdersAccepted: 2}}
	fakeLease.epoch.Store(1)
	snapshot := newSnapshot(newEngine("e1", site.Prefill), newEngine("e2", site.Prefill), newEngine("e3", site.Prefill), newEngine("e4", site.Prefill), newEngine("e5", site.Prefill), newEngine("e6", site.Prefill))
	runDuties(t, fakeLease, platform, &fakeReporter{}, snapshot, func(*duty.Runner) {
		time.Sleep(4 * time.Second)
		seen := map[string]bool{}
		for _, order := range platform.recorded() {
			if seen[order] {
				t.Errorf("order %q was sent twice", order)
			}
			seen[order] = true
		}
		if !seen["a 1 e1 decode expected=2"] || len(seen) != 2 {
			t.Errorf("orders = %v, want 2 different ones, the one to e1 with expected=2", platform.recorded())
		}
	})
}

// An engine finishes the requests that run there before it changes its stage,
// such as answers of 10 s, and refuses all others meanwhile. It has to be left
// alone for that long, and no longer than until its row shows the new stage.
func TestChangingEngineIsLeftAloneWhileRequestsEnd(t *testing.T) {
	fakeLease, platform := &fakeLease{}, &fakePlatform{status: site.EngineStatus{Stage: site.Prefill}}
	fakeLease.epoch.Store(1)
	engines := []site.Target{newEngine("e1", site.Prefill), newEngine("e2", site.Prefill), newEngine("e3", site.Prefill)}
	var listed atomic.Pointer[[]site.Target]
	listed.Store(&engines)
	snapshot := func() duty.Snapshot { return newSnapshot(*listed.Load()...)() }
	runDuties(t, fakeLease, platform, &fakeReporter{}, snapshot, func(runner *duty.Runner) {
		time.Sleep(12 * time.Second)
		if pending := runner.PendingStageChanges(); pending["e1"] == 0 {
			t.Errorf("PendingStageChanges() 12 s after the order to e1 = %v, want e1", pending)
		}
		if orders := platform.recorded(); len(orders) != 1 {
			t.Errorf("orders = %v, want one to e1", orders)
		}
		changed := slices.Clone(engines)
		changed[0].Stage = site.Decode
		listed.Store(&changed)
		time.Sleep(time.Second)
		if pending := runner.PendingStageChanges(); len(pending) != 0 {
			t.Errorf("PendingStageChanges() once e1 is listed as changed = %v, want none", pending)
		}
	})
}

func TestBusyEngineGetsNoOrder(t *testing.T) {
	fakeLease, platform := &fakeLease{}, &fakePlatform{status: site.EngineStatus{Stage: site.Prefill, OrderInProgress: true}}
	fakeLease.epoch.Store(1)
	runDuties(t, fakeLease, platform, &fakeReporter{}, newSnapshot(newEngine("e1", site.Prefill), newEngine("e2", site.Prefill)), func(*duty.Runner) {
		time.Sleep(5 * time.Second)
		if len(platform.recorded()) != 0 {
			t.Errorf("orders = %v, want none", platform.recorded())
		}
	})
}
