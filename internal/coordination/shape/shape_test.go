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
	Engine: &site.Engine{Switch: 3 * time.Second},
	Scaling: &site.Scaling{
		Min: 1, Max: 6, Boot: 4 * time.Second, CheapPrice: 0.15, Prices: map[string]float64{"a": 1, "b": 0.8},
	},
}

func engines(center string, regular, cheap int, stage site.Stage) []site.Target {
	var targets []site.Target
	for i := range regular + cheap {
		targets = append(targets, site.Target{
			ID: fmt.Sprintf("%s-%v-%d", center, stage, i), Service: "llm", DataCenter: center, Cheap: i >= regular, Stage: stage,
		})
	}
	return targets
}

func send(capacity *shape.Capacity, orders []site.CapacityOrder, now time.Time) {
	for _, order := range orders {
		capacity.Ordered(order, now)
	}
}

// Pattern: the site starts with regular targets only. Cheap ones take their
// place, and nothing is ordered twice.
func TestCheapTargetsTakeThePlaceOfRegularOnes(t *testing.T) {
	capacity, now := shape.NewCapacity(), time.Now()
	targets := append(engines("a", 3, 0, site.Decode), engines("b", 3, 0, site.Decode)...)
	orders := capacity.Orders(service, targets, false, now)
	if len(orders) != 2 || !orders[0].Cheap || orders[0].Count != 3 {
		t.Fatalf("first %+v", orders)
	}
	send(capacity, orders, now)
	if again := capacity.Orders(service, targets, false, now.Add(time.Second)); len(again) != 0 {
		t.Errorf("while these boot: %+v", again)
	}
	targets = append(engines("a", 3, 3, site.Decode), engines("b", 3, 3, site.Decode)...)
	orders = capacity.Orders(service, targets, false, now.Add(5*time.Second))
	if len(orders) != 2 || orders[0].Cheap || orders[0].Count != 1 {
		t.Fatalf("once these run %+v", orders)
	}
}

// Pattern: a zone's cheap targets are reclaimed and none are to be had. The
// refusal is not asked again at once, and regular targets come only when the
// site is short.
func TestReclaimedZone(t *testing.T) {
	capacity, now := shape.NewCapacity(), time.Now()
	full := append(engines("a", 1, 5, site.Prefill), engines("b", 1, 5, site.Prefill)...)
	send(capacity, capacity.Orders(service, full, false, now), now)
	half := append(engines("a", 1, 0, site.Prefill), engines("b", 1, 5, site.Prefill)...)
	later := now.Add(10 * time.Second)
	orders := capacity.Orders(service, half, false, later)
	if len(orders) != 1 || !orders[0].Cheap || orders[0].DataCenter != "a" {
		t.Fatalf("after the reclaim %+v", orders)
	}
	capacity.Refused(orders[0], later)
	if orders := capacity.Orders(service, half, false, later.Add(100*time.Millisecond)); len(orders) != 0 {
		t.Errorf("at once after the refusal %+v", orders)
	}
	if orders := capacity.Orders(service, half, false, later.Add(time.Second)); len(orders) != 1 || !orders[0].Cheap {
		t.Errorf("a second after the refusal %+v", orders)
	}
}

func TestServiceWithoutCheapTargetsIsLeftAlone(t *testing.T) {
	plain := service
	plain.Scaling = &site.Scaling{Min: 1, Max: 6, Prices: map[string]float64{"a": 1}}
	if orders := shape.NewCapacity().Orders(plain, engines("a", 3, 0, site.Decode), false, time.Now()); len(orders) != 0 {
		t.Errorf("orders %+v", orders)
	}
}

// Orders keep to the bounds of the service whatever runs.
func TestOrdersKeepToTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, now := shape.NewCapacity(), time.Now()
		for range rapid.IntRange(1, 8).Draw(t, "looks") {
			regular, cheap := rapid.IntRange(0, 6).Draw(t, "regular"), rapid.IntRange(0, 6).Draw(t, "cheap")
			targets := engines("a", regular, cheap, site.Prefill)
			for _, order := range capacity.Orders(service, targets, rapid.Bool().Draw(t, "idle"), now) {
				if order.Count < 0 || order.Count > 6 || (!order.Cheap && order.Count < 1) {
					t.Fatalf("order %+v with %d regular and %d cheap", order, regular, cheap)
				}
				if rapid.Bool().Draw(t, "refused") && order.Cheap {
					capacity.Refused(order, now)
				} else {
					capacity.Ordered(order, now)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(100, 9000).Draw(t, "wait")) * time.Millisecond)
		}
	})
}

func countStages(targets []site.Target, changes []shape.StageChange) (decode int) {
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

// Pattern: the mix is mostly prompts to read. A sixth of the engines makes
// tokens, spread over the data centres, and only the missing change.
func TestStagesFillWhatIsMissing(t *testing.T) {
	targets := append(engines("a", 1, 5, site.Decode), engines("b", 1, 5, site.Decode)...)
	changes := shape.Stages(service, targets, nil)
	if decode := countStages(targets, changes); decode != 2 || len(changes) != 10 {
		t.Errorf("%d of 12 make tokens after %d changes", decode, len(changes))
	}
	left := map[string]int{"a": 6, "b": 6}
	for _, change := range changes {
		left[change.Target.DataCenter]--
	}
	if left["a"] != 1 || left["b"] != 1 {
		t.Errorf("engines that make tokens by data centre: %v", left)
	}
	if more := shape.Stages(service, targets, map[string]site.Stage{}); len(more) != len(changes) {
		t.Errorf("decides otherwise the second time: %d", len(more))
	}
	changing := map[string]site.Stage{}
	for _, change := range changes {
		changing[change.Target.ID] = change.Stage
	}
	if more := shape.Stages(service, targets, changing); len(more) != 0 {
		t.Errorf("while they change %+v", more)
	}
}

// Pattern: all engines that make tokens are lost at once.
func TestLostDecodeEnginesAreReplaced(t *testing.T) {
	targets := append(engines("a", 1, 3, site.Prefill), engines("b", 1, 3, site.Prefill)...)
	changes := shape.Stages(service, targets, nil)
	if len(changes) != 2 || changes[0].Stage != site.Decode || changes[0].Target.Cheap || changes[1].Target.Cheap {
		t.Errorf("changes %+v", changes)
	}
	if changes := shape.Stages(service, targets[:1], nil); changes != nil {
		t.Errorf("a single engine changes: %+v", changes)
	}
}
