package shape_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/shape"
	"mangopier.example/mangopier/internal/protocol/site"
)

var service = site.Service{
	Name:   "llm",
	Engine: &site.Engine{StageChangeTime: 3 * time.Second},
	Scaling: &site.Scaling{
		Min: 1, Max: 6, BootTime: 4 * time.Second, SpotPrice: 0.15, Prices: map[string]float64{"a": 1, "b": 0.8},
	},
}

func newEngines(center string, regular, spot int, stage site.Stage) []site.Target {
	var targets []site.Target
	for i := range regular + spot {
		targets = append(targets, site.Target{
			ID: fmt.Sprintf("%s-%v-%d", center, stage, i), Service: "llm", DataCenter: center, Spot: i >= regular, Stage: stage,
		})
	}
	return targets
}

// acceptAll records that the platform accepted the orders.
func acceptAll(planner *shape.CapacityPlanner, orders []site.CapacityOrder, now time.Time) {
	for _, order := range orders {
		planner.RecordAccepted(order, now)
	}
}

// The site starts with regular targets only. Spot ones are ordered in their
// place, regular ones are reduced once the spot ones run, and no order is
// repeated while its targets boot.
func TestSpotTargetsReplaceRegularOnes(t *testing.T) {
	planner, now := shape.NewCapacityPlanner(), time.Now()
	targets := append(newEngines("a", 3, 0, site.Decode), newEngines("b", 3, 0, site.Decode)...)
	orders := planner.PlanOrders(service, targets, false, now)
	if len(orders) != 2 || !orders[0].Spot || orders[0].Count != 3 {
		t.Fatalf("PlanOrders() at first = %+v, want 2, the first for 3 spot targets", orders)
	}
	acceptAll(planner, orders, now)
	if again := planner.PlanOrders(service, targets, false, now.Add(time.Second)); len(again) != 0 {
		t.Errorf("PlanOrders() while targets boot = %+v, want none", again)
	}
	targets = append(newEngines("a", 3, 3, site.Decode), newEngines("b", 3, 3, site.Decode)...)
	orders = planner.PlanOrders(service, targets, false, now.Add(5*time.Second))
	if len(orders) != 2 || orders[0].Spot || orders[0].Count != 1 {
		t.Fatalf("PlanOrders() once spot targets run = %+v, want 2, the first for 1 regular target", orders)
	}
}

// The spot targets of one data centre are reclaimed and no others are
// available. A refused order is not repeated at once, and regular targets are
// ordered only if the whole site has a shortage.
func TestRefusedSpotOrderIsRetriedLater(t *testing.T) {
	planner, now := shape.NewCapacityPlanner(), time.Now()
	full := append(newEngines("a", 1, 5, site.Prefill), newEngines("b", 1, 5, site.Prefill)...)
	acceptAll(planner, planner.PlanOrders(service, full, false, now), now)
	half := append(newEngines("a", 1, 0, site.Prefill), newEngines("b", 1, 5, site.Prefill)...)
	later := now.Add(10 * time.Second)
	orders := planner.PlanOrders(service, half, false, later)
	if len(orders) != 1 || !orders[0].Spot || orders[0].DataCenter != "a" {
		t.Fatalf("PlanOrders() after the reclaim = %+v, want 1 for spot targets in a", orders)
	}
	planner.RecordRefused(orders[0], later)
	if orders := planner.PlanOrders(service, half, false, later.Add(100*time.Millisecond)); len(orders) != 0 {
		t.Errorf("PlanOrders() 100 ms after the refusal = %+v, want none", orders)
	}
	if orders := planner.PlanOrders(service, half, false, later.Add(time.Second)); len(orders) != 1 || !orders[0].Spot {
		t.Errorf("PlanOrders() 1 s after the refusal = %+v, want 1 for spot targets", orders)
	}
}

func TestNoOrdersForServiceWithoutSpotTargets(t *testing.T) {
	plain := service
	plain.Scaling = &site.Scaling{Min: 1, Max: 6, Prices: map[string]float64{"a": 1}}
	if orders := shape.NewCapacityPlanner().PlanOrders(plain, newEngines("a", 3, 0, site.Decode), false, time.Now()); len(orders) != 0 {
		t.Errorf("PlanOrders() = %+v, want none", orders)
	}
}

// Orders stay within the bounds of the service for any number of running
// targets and any replies of the platform.
func TestOrdersStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner, now := shape.NewCapacityPlanner(), time.Now()
		for range rapid.IntRange(1, 8).Draw(t, "rounds") {
			regular, spot := rapid.IntRange(0, 6).Draw(t, "regular"), rapid.IntRange(0, 6).Draw(t, "spot")
			targets := newEngines("a", regular, spot, site.Prefill)
			for _, order := range planner.PlanOrders(service, targets, rapid.Bool().Draw(t, "idle"), now) {
				if order.Count < 0 || order.Count > 6 || (!order.Spot && order.Count < 1) {
					t.Fatalf("PlanOrders() contains %+v with %d regular and %d spot targets, out of bounds", order, regular, spot)
				}
				if rapid.Bool().Draw(t, "refused") && order.Spot {
					planner.RecordRefused(order, now)
				} else {
					planner.RecordAccepted(order, now)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(100, 9000).Draw(t, "wait")) * time.Millisecond)
		}
	})
}

// countDecode returns the number of decode engines after the changes.
func countDecode(targets []site.Target, changes []shape.StageChange) (decode int) {
	stages := map[string]site.Stage{}
	for _, target := range targets {
		stages[target.ID] = target.Stage
	}
	for _, change := range changes {
		stages[change.Target.ID] = change.Stage
	}
	for _, stage := range stages {
		if stage == site.Decode {
			decode++
		}
	}
	return decode
}

// Most of the work is prefill, so a sixth of the engines is used for decode,
// spread over the data centres. No more engines change than a stage lacks.
func TestPlansOnlyMissingStageChanges(t *testing.T) {
	targets := append(newEngines("a", 1, 5, site.Decode), newEngines("b", 1, 5, site.Decode)...)
	changes := shape.PlanStageChanges(service, targets, nil, 0)
	if decode := countDecode(targets, changes); decode != 2 || len(changes) != 10 {
		t.Errorf("PlanStageChanges() leaves %d of 12 engines for decode after %d changes, want 2 after 10", decode, len(changes))
	}
	decodeByDataCenter := map[string]int{"a": 6, "b": 6}
	for _, change := range changes {
		decodeByDataCenter[change.Target.DataCenter]--
	}
	if decodeByDataCenter["a"] != 1 || decodeByDataCenter["b"] != 1 {
		t.Errorf("decode engines by data centre = %v, want 1 each", decodeByDataCenter)
	}
	if more := shape.PlanStageChanges(service, targets, map[string]site.Stage{}, 0); len(more) != len(changes) {
		t.Errorf("PlanStageChanges() again = %d changes, want %d", len(more), len(changes))
	}
	changing := map[string]site.Stage{}
	for _, change := range changes {
		changing[change.Target.ID] = change.Stage
	}
	if more := shape.PlanStageChanges(service, targets, changing, 0); len(more) != 0 {
		t.Errorf("PlanStageChanges() while engines change = %+v, want none", more)
	}
}

// All decode engines are lost at once; regular prefill engines replace them.
func TestLostDecodeEnginesAreReplaced(t *testing.T) {
	targets := append(newEngines("a", 1, 3, site.Prefill), newEngines("b", 1, 3, site.Prefill)...)
	changes := shape.PlanStageChanges(service, targets, nil, 0)
	if len(changes) != 2 || changes[0].Stage != site.Decode || changes[0].Target.Spot || changes[1].Target.Spot {
		t.Errorf("PlanStageChanges() = %+v, want 2 regular engines to decode", changes)
	}
	if changes := shape.PlanStageChanges(service, targets[:1], nil, 0); changes != nil {
		t.Errorf("PlanStageChanges() with a single engine = %+v, want none", changes)
	}
}

// Requests with long outputs fill the decode engines, such as with 90 events of
// 51 tokens to an output. Engines change to decode until the demand fits, also
// right after a data centre's engines were reclaimed. Half of the engines stay
// with prefill.
func TestDecodeEnginesFollowDemand(t *testing.T) {
	all := append(newEngines("a", 1, 5, site.Prefill), newEngines("b", 1, 5, site.Prefill)...)
	for _, test := range []struct {
		targets []site.Target
		demand  float64
		want    int
	}{{all, 0, 2}, {all, 1.1, 2}, {all, 2.2, 4}, {all, 9, 6}, {all[:6], 1.7, 3}, {all[:7], 1.7, 3}} {
		if decode := countDecode(test.targets, shape.PlanStageChanges(service, test.targets, nil, test.demand)); decode != test.want {
			t.Errorf("%d of %d engines decode at demand %v, want %d", decode, len(test.targets), test.demand, test.want)
		}
	}
}

// Demand that falls a little does not move engines back and forth.
func TestDecodeEnginesStayWhenDemandFallsALittle(t *testing.T) {
	targets := append(newEngines("a", 4, 0, site.Decode), newEngines("b", 0, 8, site.Prefill)...)
	for demand, want := range map[float64]int{2.4: 4, 1.7: 4, 1.4: 4, 1.1: 3, 0.2: 2} {
		if decode := countDecode(targets, shape.PlanStageChanges(service, targets, nil, demand)); decode != want {
			t.Errorf("%d engines decode after the demand fell to %v, want %d", decode, demand, want)
		}
	}
}

// The demand swings every 3 s. Its peak counts throughout, and ends 10 s after
// the last one.
func TestDemandTrackerHoldsPeaks(t *testing.T) {
	var tracker shape.DemandTracker
	now := time.Now()
	record := func(demand float64, length time.Duration) (peak float64) {
		for ; length > 0; length -= 250 * time.Millisecond {
			now = now.Add(250 * time.Millisecond)
			peak = tracker.Record(demand, now)
		}
		return peak
	}
	record(4, 3*time.Second)
	for range 5 {
		if peak := record(1, 3*time.Second); peak < 3.5 {
			t.Errorf("peak between the swings = %.2f, want almost 4", peak)
		}
		record(4, 3*time.Second)
	}
	if peak := record(1, 13*time.Second); peak > 1.5 {
		t.Errorf("peak 13 s after the last swing = %.2f, want about 1", peak)
	}
}
