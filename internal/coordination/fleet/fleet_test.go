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

// TestOrdersRespectLimits simulates a data centre under random load, supply and
// reclaims, and checks each order against the targets that exist when it is
// carried out.
func TestOrdersRespectLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner := fleet.NewPlanner(fleet.WithStabilisationWindow(time.Minute))
		simulation := simulation{DataCenter: fleet.DataCenter{Name: "dc", MaxTargets: 14}}
		simulation.MinTargets = rapid.IntRange(0, 8).Draw(t, "min")
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "wait")) * time.Second)
			simulation.step(t)
			state := fleet.State{DataCenters: []fleet.DataCenter{simulation.DataCenter}}
			for _, order := range planner.PlanOrders(now, state) {
				simulation.apply(t, order)
			}
		}
	})
}

type simulation struct {
	fleet.DataCenter
	started int // targets started so far, used for their IDs
}

// step advances the phases of targets, reclaims spot ones at random, and draws a
// new load and supply.
func (simulation *simulation) step(t *rapid.T) {
	reclaimSpot := rapid.IntRange(0, 9).Draw(t, "reclaim") == 0
	var remaining []fleet.Target
	for _, target := range simulation.Targets {
		if target.Phase == fleet.Reclaiming {
			continue
		}
		if target.Spot && reclaimSpot {
			target.Phase = fleet.Reclaiming
		}
		if target.Phase == fleet.Starting && (target.Spot || rapid.IntRange(0, 3).Draw(t, "started") == 0) {
			target.Phase = fleet.Serving
		}
		target.InFlight = rapid.IntRange(0, 2).Draw(t, "in-flight")
		remaining = append(remaining, target)
	}
	simulation.Targets = remaining
	simulation.AvailableOnDemand = rapid.IntRange(0, 5).Draw(t, "on-demand")
	simulation.AvailableSpot = rapid.IntRange(0, 5).Draw(t, "spot")
	modelLoad := rapid.Float64Range(0, 9).Draw(t, "model")
	serviceLoad := rapid.Float64Range(0, 3).Draw(t, "service")
	simulation.Demand = []fleet.Demand{{Pool: "model", Load: modelLoad}, {Pool: "service", Load: serviceLoad, OnDemandLoad: serviceLoad}}
}

func (simulation *simulation) apply(t *rapid.T, order fleet.Order) {
	switch order.Action {
	case fleet.Start:
		simulation.start(t, order)
	case fleet.Drain:
		index := simulation.targetIndex(order)
		if simulation.Targets[index].Phase >= fleet.Draining {
			t.Fatalf("drain order for %+v, which is not active", simulation.Targets[index])
		}
		simulation.Targets[index].Phase = fleet.Draining
		if active := simulation.countTargets(func(target fleet.Target) bool { return target.Phase < fleet.Draining }); active < simulation.MinTargets {
			t.Fatalf("%d targets active after %+v, below the minimum", active, order)
		}
		if !order.Spot && simulation.servingOnDemand(order.Pool) == 0 {
			t.Fatalf("no on-demand target of the pool serves after %+v", order)
		}
	case fleet.Release:
		index := simulation.targetIndex(order)
		if target := simulation.Targets[index]; target.Phase != fleet.Draining || target.InFlight > 0 {
			t.Fatalf("release order for %+v, which has not drained", target)
		}
		simulation.Targets = append(simulation.Targets[:index:index], simulation.Targets[index+1:]...)
	}
}

func (simulation *simulation) start(t *rapid.T, order fleet.Order) {
	supply := &simulation.AvailableOnDemand
	if order.Spot {
		supply = &simulation.AvailableSpot
		if simulation.servingOnDemand(order.Pool) == 0 || order.Pool == "service" {
			t.Fatalf("spot target without a serving on-demand one, or for load that needs on-demand targets: %+v", order)
		}
	}
	*supply--
	simulation.started++
	simulation.Targets = append(simulation.Targets, fleet.Target{ID: fmt.Sprint(simulation.started), Pool: order.Pool, Spot: order.Spot})
	if len(simulation.Targets) > simulation.MaxTargets || *supply < 0 {
		t.Fatalf("after a start: %d targets, remaining supply %d", len(simulation.Targets), *supply)
	}
}

func (simulation *simulation) servingOnDemand(pool fleet.Pool) int {
	return simulation.countTargets(func(target fleet.Target) bool {
		return target.Pool == pool && !target.Spot && target.Phase == fleet.Serving
	})
}

func (simulation *simulation) countTargets(matches func(fleet.Target) bool) int {
	count := 0
	for _, target := range simulation.Targets {
		if matches(target) {
			count++
		}
	}
	return count
}

func (simulation *simulation) targetIndex(order fleet.Order) int {
	for index, target := range simulation.Targets {
		if target.ID == order.TargetID {
			return index
		}
	}
	panic(fmt.Sprintf("order for an unknown target: %+v", order))
}

// TestLosingSpotTargetsKeepsUtilisationWithinMaximum checks that after one data
// centre has lost all its spot targets, the remaining targets of the region carry
// its load at or below the maximum utilisation.
func TestLosingSpotTargetsKeepsUtilisationWithinMaximum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner := fleet.NewPlanner(fleet.WithMaxSpotShare(1))
		load := rapid.Float64Range(0.5, 20).Draw(t, "load")
		dataCenters := rapid.IntRange(1, 4).Draw(t, "data centres")
		state := fleet.State{}
		for index := range dataCenters {
			state.DataCenters = append(state.DataCenters, fleet.DataCenter{
				Name: fmt.Sprint(index), Region: "r", AvailableOnDemand: 99, AvailableSpot: 99,
				Targets: []fleet.Target{{ID: fmt.Sprint("first", index), Pool: "model", Phase: fleet.Serving}},
				Demand:  []fleet.Demand{{Pool: "model", Load: load}},
			})
		}
		total, spot := dataCenters, map[string]int{}
		for _, order := range planner.PlanOrders(time.Unix(0, 0), state) {
			total++
			if order.Spot {
				spot[order.DataCenter]++
			}
		}
		for name, lost := range spot {
			if remaining := float64(total - lost); load*float64(dataCenters) > 0.9*remaining {
				t.Fatalf("data centre %s: losing %d of %d targets exceeds the maximum utilisation at load %v", name, lost, total, load*float64(dataCenters))
			}
		}
	})
}

func TestSpotShortageFallsBackToOnDemand(t *testing.T) {
	planner := fleet.NewPlanner()
	dataCenter := fleet.DataCenter{
		Name: "dc", AvailableOnDemand: 99,
		Targets: []fleet.Target{{ID: "a", Pool: "model", Phase: fleet.Serving}},
		Demand:  []fleet.Demand{{Pool: "model", Load: 7}},
	}
	planOrders := func(second int64, spot int) (onDemand, spotOrders int) {
		dataCenter.AvailableSpot = spot
		for _, order := range planner.PlanOrders(time.Unix(second, 0), fleet.State{DataCenters: []fleet.DataCenter{dataCenter}}) {
			if order.Spot {
				spotOrders++
			} else {
				onDemand++
			}
		}
		return onDemand, spotOrders
	}
	if onDemand, _ := planOrders(0, 0); onDemand != 9 {
		t.Fatalf("without spot supply: %d on-demand targets started, want 9", onDemand)
	}
	if _, spot := planOrders(30, 9); spot != 0 {
		t.Fatalf("during the backoff: %d spot targets started, want 0", spot)
	}
	if _, spot := planOrders(61, 9); spot == 0 {
		t.Fatal("after the backoff: no spot targets started, want some")
	}
}

func TestReclaimStartsSpotBackoff(t *testing.T) {
	reclaiming := fleet.Target{ID: "b", Pool: "model", Phase: fleet.Reclaiming, Spot: true}
	for name, remaining := range map[string][]fleet.Target{"with notice": {reclaiming}, "without notice": nil} {
		t.Run(name, func(t *testing.T) { checkReclaim(t, remaining) })
	}
}

func checkReclaim(t *testing.T, remaining []fleet.Target) {
	planner := fleet.NewPlanner()
	target := fleet.Target{ID: "a", Pool: "model", Phase: fleet.Serving}
	reclaimed := fleet.Target{ID: "b", Pool: "model", Phase: fleet.Serving, Spot: true}
	for second, targets := range [][]fleet.Target{{target, reclaimed}, append(remaining, target)} {
		state := fleet.State{DataCenters: []fleet.DataCenter{{
			Name: "dc", AvailableOnDemand: 99, AvailableSpot: 99, Targets: targets,
			Demand: []fleet.Demand{{Pool: "model", Load: 7}},
		}}}
		for _, order := range planner.PlanOrders(time.Unix(int64(second), 0), state) {
			if second == 1 && (order.Spot || order.TargetID == reclaimed.ID) {
				t.Fatalf("order right after a reclaim: %+v, want no spot start and none for the reclaimed target", order)
			}
		}
	}
}

// TestNewPlannerDoesNotDrainBeforeStabilisationWindow guards against a planner
// that just took over the lease draining targets on too little history.
func TestNewPlannerDoesNotDrainBeforeStabilisationWindow(t *testing.T) {
	planner := fleet.NewPlanner()
	dataCenter := fleet.DataCenter{Name: "dc", Demand: []fleet.Demand{{Pool: "model", Load: 1}}}
	for index := range 6 {
		dataCenter.Targets = append(dataCenter.Targets, fleet.Target{ID: fmt.Sprint(index), Pool: "model", Phase: fleet.Serving})
	}
	orders := 0
	for minute := range 12 {
		now := time.Unix(0, 0).Add(time.Duration(minute) * time.Minute)
		orders += len(planner.PlanOrders(now, fleet.State{DataCenters: []fleet.DataCenter{dataCenter}}))
		if (minute < 10) != (orders == 0) {
			t.Fatalf("%d orders after %d minutes, want 0 before minute 10 and some from then on", orders, minute)
		}
	}
}
