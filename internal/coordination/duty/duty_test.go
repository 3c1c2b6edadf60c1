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

// standing is a lease whose state a test sets.
type standing struct{ epoch atomic.Uint64 }

func (standing *standing) Held() (lease.Grant, bool) {
	epoch := standing.epoch.Load()
	return lease.Grant{Epoch: epoch}, epoch > 0
}

// platform keeps the orders that it gets.
type platform struct {
	mutex  sync.Mutex
	orders []string
	dry    bool
	report site.Report
}

func (platform *platform) add(text string) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.orders = append(platform.orders, text)
}

// sent returns the orders so far.
func (platform *platform) sent() []string {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return slices.Clone(platform.orders)
}

func (platform *platform) OrderCapacity(_ context.Context, holder string, fence uint64, order site.CapacityOrder) error {
	platform.add(fmt.Sprintf("%s %d %s %d cheap=%v", holder, fence, order.DataCenter, order.Count, order.Cheap))
	if platform.dry && order.Cheap {
		return code.Errorf(code.NoTarget, "none")
	}
	return nil
}

func (platform *platform) OrderStage(_ context.Context, order site.StageOrder) error {
	platform.add(fmt.Sprintf("%s %d %s %v expected=%d", order.Holder, order.Fence, order.Target.ID, order.Stage, order.Expected))
	return nil
}

func (platform *platform) Report(context.Context, site.Target) (site.Report, error) {
	return platform.report, nil
}

type reporter struct{ steps, resets atomic.Int64 }

func (reporter *reporter) Step(context.Context, time.Time, func() (lease.Grant, bool)) {
	reporter.steps.Add(1)
}
func (reporter *reporter) Reset() { reporter.resets.Add(1) }

func situation(targets ...site.Target) func() duty.Situation {
	manifest := &site.Manifest{Version: 1, Services: map[string]site.Service{
		"llm": {Name: "llm", Engine: &site.Engine{Switch: 3 * time.Second}},
	}}
	return func() duty.Situation {
		return duty.Situation{Manifest: manifest, Targets: targets, Now: time.Now(), Timely: true}
	}
}

func engine(id string, stage site.Stage) site.Target {
	return site.Target{ID: id, Service: "llm", DataCenter: "a", Stage: stage}
}

func run(t *testing.T, standing *standing, platform *platform, reporter *reporter, view func() duty.Situation, steps func(*duty.Keeper)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		keeper := duty.New(duty.Config{
			Instance: "a", Lease: standing, Platform: platform, Reporter: reporter, Situation: view,
			Duties: site.Duties{Usage: true, Capacity: true}, Term: 3 * time.Second, Logger: zerolog.Nop(),
		})
		done := keeper.Start(ctx)
		steps(keeper)
		cancel()
		<-done
	})
}

// Without the lease nothing is done; a successor waits for the time within
// which holders must not alternate; the first holder of all acts at once.
func TestHoldersDoNotAlternate(t *testing.T) {
	standing, platform, reporter := &standing{}, &platform{}, &reporter{}
	view := situation(engine("e1", site.Prefill), engine("e2", site.Prefill), engine("e3", site.Prefill), engine("e4", site.Prefill))
	run(t, standing, platform, reporter, view, func(*duty.Keeper) {
		time.Sleep(2 * time.Second)
		if len(platform.sent()) != 0 || reporter.steps.Load() != 0 {
			t.Errorf("without the lease: %v", platform.sent())
		}
		standing.epoch.Store(4)
		time.Sleep(3 * time.Second)
		if len(platform.sent()) != 0 || reporter.steps.Load() != 0 {
			t.Errorf("within the term after the takeover: %v", platform.sent())
		}
		time.Sleep(time.Second)
		if len(platform.sent()) == 0 || reporter.steps.Load() == 0 || reporter.resets.Load() != 1 {
			t.Error("nothing is done after the term")
		}
	})
}

func TestFirstHolderActsAtOnce(t *testing.T) {
	standing, platform := &standing{}, &platform{}
	standing.epoch.Store(1)
	view := situation(engine("e1", site.Prefill), engine("e2", site.Prefill), engine("e3", site.Prefill), engine("e4", site.Prefill))
	run(t, standing, platform, &reporter{}, view, func(keeper *duty.Keeper) {
		time.Sleep(time.Second)
		if len(platform.sent()) == 0 {
			t.Error("no order in the first second")
		}
		if len(keeper.Changing()) == 0 {
			t.Error("nothing is told of the engines that change")
		}
	})
}

// An engine that is asked to change is not asked again while it does, and the
// order names how many it must have accepted.
func TestStageIsOrderedOnce(t *testing.T) {
	standing, platform := &standing{}, &platform{report: site.Report{Stage: site.Prefill, Orders: 2}}
	standing.epoch.Store(1)
	view := situation(engine("e1", site.Prefill), engine("e2", site.Prefill), engine("e3", site.Prefill), engine("e4", site.Prefill), engine("e5", site.Prefill), engine("e6", site.Prefill))
	run(t, standing, platform, &reporter{}, view, func(*duty.Keeper) {
		time.Sleep(4 * time.Second)
		seen := map[string]bool{}
		for _, order := range platform.sent() {
			if seen[order] {
				t.Errorf("%s twice", order)
			}
			seen[order] = true
		}
		if !seen["a 1 e1 decode expected=2"] || len(seen) != 2 {
			t.Errorf("orders %v", platform.sent())
		}
	})
}

// An engine that is busy with an order gets none.
func TestBusyEngineGetsNoOrder(t *testing.T) {
	standing, platform := &standing{}, &platform{report: site.Report{Stage: site.Prefill, Busy: true}}
	standing.epoch.Store(1)
	run(t, standing, platform, &reporter{}, situation(engine("e1", site.Prefill), engine("e2", site.Prefill)), func(*duty.Keeper) {
		time.Sleep(5 * time.Second)
		if len(platform.sent()) != 0 {
			t.Errorf("orders %v", platform.sent())
		}
	})
}
