package fleet_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/fleet"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestOrdersKeepBounds plays a data centre under random loads, supply and
// reclaims, and checks each order against the targets before it.
func TestOrdersKeepBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner := fleet.New(fleet.WithHoldTime(time.Minute))
		world := world{DataCenter: fleet.DataCenter{Name: "dc", MaxTargets: 14}}
		world.MinTargets = rapid.IntRange(0, 8).Draw(t, "min")
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "wait")) * time.Second)
			world.change(t)
			state := fleet.State{DataCenters: []fleet.DataCenter{world.DataCenter}}
			for _, order := range planner.Decide(now, state) {
				world.carryOut(t, order)
			}
		}
	})
}

type world struct {
	fleet.DataCenter
	ordered int
}

// change moves targets on, reclaims cheap ones, and draws a load and supply.
func (world *world) change(t *rapid.T) {
	reclaim := rapid.IntRange(0, 9).Draw(t, "reclaim") == 0
	var kept []fleet.Target
	for _, target := range world.Targets {
		if target.Phase == fleet.Leaving {
			continue
		}
		if target.Cheap && reclaim {
			target.Phase = fleet.Leaving
		}
		if target.Phase == fleet.Starting && (target.Cheap || rapid.IntRange(0, 3).Draw(t, "started") == 0) {
			target.Phase = fleet.Serving
		}
		target.InFlight = rapid.IntRange(0, 2).Draw(t, "in-flight")
		kept = append(kept, target)
	}
	world.Targets = kept
	world.OnDemand = rapid.IntRange(0, 5).Draw(t, "on-demand")
	world.Cheap = rapid.IntRange(0, 5).Draw(t, "cheap")
	model := rapid.Float64Range(0, 9).Draw(t, "model")
	service := rapid.Float64Range(0, 3).Draw(t, "service")
	world.Demand = []fleet.Demand{{Pool: "model", Load: model}, {Pool: "service", Load: service, Pinned: service}}
}

func (world *world) carryOut(t *rapid.T, order fleet.Order) {
	switch order.Action {
	case fleet.Start:
		world.start(t, order)
	case fleet.Drain:
		index := world.index(order)
		if world.Targets[index].Phase >= fleet.Draining {
			t.Fatalf("drained %+v", world.Targets[index])
		}
		world.Targets[index].Phase = fleet.Draining
		if staying := world.count(func(target fleet.Target) bool { return target.Phase < fleet.Draining }); staying < world.MinTargets {
			t.Fatalf("%d targets stay after %+v", staying, order)
		}
		if !order.Cheap && world.serving(order.Pool) == 0 {
			t.Fatalf("no on-demand target serves after %+v", order)
		}
	case fleet.Release:
		index := world.index(order)
		if target := world.Targets[index]; target.Phase != fleet.Draining || target.InFlight > 0 {
			t.Fatalf("released %+v", target)
		}
		world.Targets = append(world.Targets[:index:index], world.Targets[index+1:]...)
	}
}

func (world *world) start(t *rapid.T, order fleet.Order) {
	supply := &world.OnDemand
	if order.Cheap {
		supply = &world.Cheap
		if world.serving(order.Pool) == 0 || order.Pool == "service" {
			t.Fatalf("cheap target as the only copy, or for pinned work: %+v", order)
		}
	}
	*supply--
	world.ordered++
	world.Targets = append(world.Targets, fleet.Target{ID: fmt.Sprint(world.ordered), Pool: order.Pool, Cheap: order.Cheap})
	if len(world.Targets) > world.MaxTargets || *supply < 0 {
		t.Fatalf("%d targets, supply left %d", len(world.Targets), *supply)
	}
}

func (world *world) serving(pool fleet.Pool) int {
	return world.count(func(target fleet.Target) bool {
		return target.Pool == pool && !target.Cheap && target.Phase == fleet.Serving
	})
}

func (world *world) count(matches func(fleet.Target) bool) int {
	count := 0
	for _, target := range world.Targets {
		if matches(target) {
			count++
		}
	}
	return count
}

func (world *world) index(order fleet.Order) int {
	for index, target := range world.Targets {
		if target.ID == order.Target {
			return index
		}
	}
	panic(fmt.Sprintf("no target for %+v", order))
}

// TestZoneLossStaysWithinLimit checks that what is left without any one data
// centre's cheap targets carries the load of the region.
func TestZoneLossStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner := fleet.New(fleet.WithCheapShare(1))
		load := rapid.Float64Range(0.5, 20).Draw(t, "load")
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		state := fleet.State{}
		for zone := range zones {
			state.DataCenters = append(state.DataCenters, fleet.DataCenter{
				Name: fmt.Sprint(zone), Region: "r", OnDemand: 99, Cheap: 99,
				Targets: []fleet.Target{{ID: fmt.Sprint("first", zone), Pool: "model", Phase: fleet.Serving}},
				Demand:  []fleet.Demand{{Pool: "model", Load: load}},
			})
		}
		total, cheap := zones, map[string]int{}
		for _, order := range planner.Decide(time.Unix(0, 0), state) {
			total++
			if order.Cheap {
				cheap[order.DataCenter]++
			}
		}
		for zone, lost := range cheap {
			if left := float64(total - lost); load*float64(zones) > 0.9*left {
				t.Fatalf("zone %s loses %d of %d targets under a load of %v", zone, lost, total, load*float64(zones))
			}
		}
	})
}

func TestCheapShortageFallsBackToOnDemand(t *testing.T) {
	planner := fleet.New()
	dataCenter := fleet.DataCenter{
		Name: "dc", OnDemand: 99,
		Targets: []fleet.Target{{ID: "a", Pool: "model", Phase: fleet.Serving}},
		Demand:  []fleet.Demand{{Pool: "model", Load: 7}},
	}
	decide := func(second int64, cheap int) (onDemand, cheapOrders int) {
		dataCenter.Cheap = cheap
		for _, order := range planner.Decide(time.Unix(second, 0), fleet.State{DataCenters: []fleet.DataCenter{dataCenter}}) {
			if order.Cheap {
				cheapOrders++
			} else {
				onDemand++
			}
		}
		return onDemand, cheapOrders
	}
	if onDemand, _ := decide(0, 0); onDemand != 9 {
		t.Fatalf("%d on-demand targets ordered without cheap ones", onDemand)
	}
	if _, cheap := decide(30, 9); cheap != 0 {
		t.Fatalf("%d cheap targets ordered during the pause", cheap)
	}
	if _, cheap := decide(61, 9); cheap == 0 {
		t.Fatal("no cheap targets ordered after the pause")
	}
}

func TestReclaimPausesCheapOrders(t *testing.T) {
	leaving := fleet.Target{ID: "b", Pool: "model", Phase: fleet.Leaving, Cheap: true}
	for name, left := range map[string][]fleet.Target{"with notice": {leaving}, "without": nil} {
		t.Run(name, func(t *testing.T) { checkReclaim(t, left) })
	}
}

func checkReclaim(t *testing.T, left []fleet.Target) {
	planner := fleet.New()
	target := fleet.Target{ID: "a", Pool: "model", Phase: fleet.Serving}
	reclaimed := fleet.Target{ID: "b", Pool: "model", Phase: fleet.Serving, Cheap: true}
	for second, targets := range [][]fleet.Target{{target, reclaimed}, append(left, target)} {
		state := fleet.State{DataCenters: []fleet.DataCenter{{
			Name: "dc", OnDemand: 99, Cheap: 99, Targets: targets,
			Demand: []fleet.Demand{{Pool: "model", Load: 7}},
		}}}
		for _, order := range planner.Decide(time.Unix(int64(second), 0), state) {
			if second == 1 && (order.Cheap || order.Target == reclaimed.ID) {
				t.Fatalf("got %+v right after a reclaim", order)
			}
		}
	}
}

func TestNewPlannerHoldsWhatItFinds(t *testing.T) {
	planner := fleet.New()
	dataCenter := fleet.DataCenter{Name: "dc", Demand: []fleet.Demand{{Pool: "model", Load: 1}}}
	for index := range 6 {
		dataCenter.Targets = append(dataCenter.Targets, fleet.Target{ID: fmt.Sprint(index), Pool: "model", Phase: fleet.Serving})
	}
	drains := 0
	for minute := range 12 {
		now := time.Unix(0, 0).Add(time.Duration(minute) * time.Minute)
		drains += len(planner.Decide(now, fleet.State{DataCenters: []fleet.DataCenter{dataCenter}}))
		if (minute < 10) != (drains == 0) {
			t.Fatalf("%d drains after %d minutes", drains, minute)
		}
	}
}
