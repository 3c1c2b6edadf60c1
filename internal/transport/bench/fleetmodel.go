package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mangopier.example/mangopier/internal/coordination/fleet"
)

// Parameters of the fleet simulation.
const (
	fleetDuration          = 4 * time.Hour
	fleetTick              = 5 * time.Second
	targetStartTime        = 3 * time.Minute
	loadCycle              = 2 * time.Hour // period of the load
	fleetDataCenters       = 3
	maxDataCenterTargets   = 24
	modelLoadMean          = 7.0   // in targets
	loadAmplitude          = 0.55  // relative to the mean
	serviceLoadMean        = 1.2   // in targets
	loadNoise              = 0.05  // standard deviation in each tick, relative to the load
	loadDriftNoise         = 0.003 // standard deviation of the random walk per tick, relative to the load
	reclaimNotice          = 10 * time.Second
	surgeStart             = 40 * time.Minute
	surgeEnd               = 60 * time.Minute
	surgeFactor            = 1.5
	spotPrice              = 0.35 // relative to an on-demand target
	maxUtilization         = 0.95 // share of a target's capacity that is usable within the latency limits
	nonIdempotentPerTarget = 4    // requests in flight per target of load
	nonIdempotentDuration  = 20 * time.Second
	onDemandPerTick        = 4 // on-demand targets that the platform can start in one tick
)

const (
	modelPool   fleet.Pool = "guide"
	servicePool fleet.Pool = "bookings"
)

// fleetSimulation runs a fleet policy over targets of a model and a plain
// service in data centres of one region. Idempotent work goes to any data
// centre; non-idempotent requests run only on on-demand targets of the
// service.
type fleetSimulation struct {
	eventLoop
	random         *rand.Rand
	policy         fleet.Policy
	spotFaults     bool // spot targets are reclaimed, and none are available for a while
	surge          bool // the load jumps once
	targets        []*simulatedTarget
	createdTargets int     // number of targets created so far, for IDs
	loadDrift      float64 // random walk of the load, relative to it
	result         fleetResult
}

type simulatedTarget struct {
	fleet.Target
	dataCenter  string
	drainStart  time.Duration
	requestEnds []time.Duration // end times of its non-idempotent requests
}

// fleetResult holds the totals of a run. Loads and times are in
// target-seconds.
type fleetResult struct {
	offered        float64
	served         float64
	servedOnSpot   float64 // part of served
	targetTime     float64 // lifetime of all targets
	paid           float64 // targetTime weighted by price, in target-seconds of on-demand targets
	minServedShare float64 // lowest served share of the load in any tick
	nonIdempotent  int
	interrupted    int
	refused        int // no target of the service was serving
	ordered        int
	reclaimed      int
}

func (simulation *fleetSimulation) run() fleetResult {
	simulation.result.minServedShare = 1
	simulation.startInitialTargets()
	if simulation.spotFaults {
		simulation.scheduleAfter(50*time.Minute, func() { simulation.reclaimSpot(dataCenterName(0)) })
		simulation.scheduleAfter(100*time.Minute, func() { simulation.reclaimSpot(dataCenterName(1)) })
		simulation.scheduleAfter(175*time.Minute, func() { simulation.reclaimSpot(dataCenterName(2)) })
		simulation.scheduleAfter(177*time.Minute, func() { simulation.reclaimSpot(dataCenterName(0)) })
	}
	simulation.scheduleEvery(fleetTick, simulation.tick)
	simulation.runUntil(fleetDuration)
	return simulation.result
}

// startInitialTargets gives each pool on-demand targets for the initial load
// at a utilization of 70%.
func (simulation *fleetSimulation) startInitialTargets() {
	for index := range fleetDataCenters {
		for _, pool := range []fleet.Pool{modelPool, servicePool} {
			for range int(math.Ceil(simulation.drawLoad(pool, index) / 0.7)) {
				simulation.addTarget(fleet.Order{DataCenter: dataCenterName(index), Pool: pool}).Phase = fleet.Serving
			}
		}
	}
}

func (simulation *fleetSimulation) tick() {
	simulation.loadDrift += loadDriftNoise * simulation.random.NormFloat64()
	state := simulation.drawState()
	simulation.serveIdempotent(state)
	simulation.startNonIdempotent(state)
	for _, order := range simulation.policy.PlanOrders(simulation.wallTime(), state) {
		simulation.applyOrder(order)
	}
}

// drawLoad returns a random load of a pool in a data centre, in targets.
func (simulation *fleetSimulation) drawLoad(pool fleet.Pool, dataCenter int) float64 {
	mean := serviceLoadMean
	if pool == modelPool {
		mean = modelLoadMean
	}
	phase := 2*math.Pi*simulation.now.Seconds()/loadCycle.Seconds() + 0.3*float64(dataCenter)
	load := mean * (1 - loadAmplitude*math.Cos(phase)) * (1 + simulation.loadDrift)
	if simulation.surge && simulation.now > surgeStart && simulation.now < surgeEnd {
		load *= surgeFactor
	}
	return max(load*(1+loadNoise*simulation.random.NormFloat64()), 0)
}

func (simulation *fleetSimulation) drawState() fleet.State {
	var state fleet.State
	for index := range fleetDataCenters {
		service := simulation.drawLoad(servicePool, index)
		dataCenter := fleet.DataCenter{
			Name: dataCenterName(index), Region: "region",
			MinTargets: 2, MaxTargets: maxDataCenterTargets,
			AvailableOnDemand: onDemandPerTick, AvailableSpot: simulation.availableSpot(),
			Demand: []fleet.Demand{
				{Pool: modelPool, Load: simulation.drawLoad(modelPool, index)},
				{Pool: servicePool, Load: service, OnDemandLoad: service},
			},
		}
		for _, target := range simulation.targets {
			if target.dataCenter == dataCenter.Name {
				target.InFlight = target.inFlightAt(simulation.now)
				dataCenter.Targets = append(dataCenter.Targets, target.Target)
			}
		}
		state.DataCenters = append(state.DataCenters, dataCenter)
	}
	return state
}

// availableSpot returns the spot targets available in each data centre. With
// spot faults there are none for half an hour.
func (simulation *fleetSimulation) availableSpot() int {
	if simulation.spotFaults && simulation.now > 120*time.Minute && simulation.now < 150*time.Minute {
		return 0
	}
	return 2
}

// inFlightAt returns the requests in flight at a target: its non-idempotent
// requests, plus one that stands for idempotent work. A draining target
// finishes idempotent work within nonIdempotentDuration.
func (target *simulatedTarget) inFlightAt(now time.Duration) int {
	target.requestEnds = slices.DeleteFunc(target.requestEnds, func(end time.Duration) bool { return end <= now })
	if target.Phase == fleet.Starting || (target.Phase == fleet.Draining && now-target.drainStart > nonIdempotentDuration) {
		return len(target.requestEnds)
	}
	return len(target.requestEnds) + 1
}

// serveIdempotent spreads the idempotent work over the targets of all data
// centres and adds up the price of all targets.
func (simulation *fleetSimulation) serveIdempotent(state fleet.State) {
	var load, onDemand, spot float64
	for _, dataCenter := range state.DataCenters {
		load += dataCenter.Demand[0].Load
		for _, target := range dataCenter.Targets {
			price := 1.0
			if target.Spot {
				price = spotPrice
			}
			simulation.result.targetTime += fleetTick.Seconds()
			simulation.result.paid += price * fleetTick.Seconds()
			if target.Pool != modelPool || target.Phase != fleet.Serving {
				continue
			}
			if target.Spot {
				spot++
			} else {
				onDemand++
			}
		}
	}
	served := min(load, maxUtilization*(onDemand+spot))
	simulation.result.offered += load * fleetTick.Seconds()
	simulation.result.served += served * fleetTick.Seconds()
	if onDemand+spot > 0 {
		simulation.result.servedOnSpot += served * spot / (onDemand + spot) * fleetTick.Seconds()
	}
	simulation.result.minServedShare = min(simulation.result.minServedShare, served/load)
}

// startNonIdempotent starts the non-idempotent requests of a tick on
// on-demand targets of the service.
func (simulation *fleetSimulation) startNonIdempotent(state fleet.State) {
	for _, dataCenter := range state.DataCenters {
		rate := dataCenter.Demand[1].OnDemandLoad * nonIdempotentPerTarget / nonIdempotentDuration.Seconds()
		for delay := simulation.random.ExpFloat64() / rate; delay < fleetTick.Seconds(); delay += simulation.random.ExpFloat64() / rate {
			simulation.result.nonIdempotent++
			target := simulation.pickTarget(dataCenter.Name)
			if target == nil {
				simulation.result.refused++
				continue
			}
			target.requestEnds = append(target.requestEnds, simulation.now+secondsToDuration(delay)+nonIdempotentDuration)
		}
	}
}

func (simulation *fleetSimulation) pickTarget(dataCenter string) *simulatedTarget {
	var best *simulatedTarget
	for _, target := range simulation.targets {
		eligible := target.dataCenter == dataCenter && target.Pool == servicePool && !target.Spot && target.Phase == fleet.Serving
		if eligible && (best == nil || len(target.requestEnds) < len(best.requestEnds)) {
			best = target
		}
	}
	return best
}

func (simulation *fleetSimulation) applyOrder(order fleet.Order) {
	switch order.Action {
	case fleet.Start:
		simulation.result.ordered++
		target := simulation.addTarget(order)
		simulation.scheduleAfter(targetStartTime, func() {
			if target.Phase == fleet.Starting {
				target.Phase = fleet.Serving
			}
		})
	case fleet.Drain:
		target := simulation.findTarget(order.TargetID)
		target.Phase, target.drainStart = fleet.Draining, simulation.now
	case fleet.Release:
		simulation.removeTarget(simulation.findTarget(order.TargetID))
	}
}

func (simulation *fleetSimulation) addTarget(order fleet.Order) *simulatedTarget {
	simulation.createdTargets++
	target := &simulatedTarget{dataCenter: order.DataCenter}
	target.ID = fmt.Sprintf("target-%d", simulation.createdTargets)
	target.Pool, target.Spot = order.Pool, order.Spot
	simulation.targets = append(simulation.targets, target)
	return target
}

func (simulation *fleetSimulation) findTarget(id string) *simulatedTarget {
	return simulation.targets[slices.IndexFunc(simulation.targets, func(target *simulatedTarget) bool { return target.ID == id })]
}

// removeTarget removes a target and counts the requests that this interrupts.
func (simulation *fleetSimulation) removeTarget(target *simulatedTarget) {
	if !slices.Contains(simulation.targets, target) {
		return
	}
	target.inFlightAt(simulation.now)
	simulation.result.interrupted += len(target.requestEnds)
	simulation.targets = slices.DeleteFunc(simulation.targets, func(other *simulatedTarget) bool { return other == target })
}

// reclaimSpot removes all spot targets of a data centre after a notice
// period.
func (simulation *fleetSimulation) reclaimSpot(dataCenter string) {
	for _, target := range simulation.targets {
		if target.Spot && target.dataCenter == dataCenter {
			simulation.result.reclaimed++
			target.Phase = fleet.Reclaiming
			simulation.scheduleAfter(reclaimNotice, func() { simulation.removeTarget(target) })
		}
	}
}

func dataCenterName(index int) string { return fmt.Sprintf("dc-%d", index+1) }

// peakTargets returns the target counts of a fixed fleet that serves the peak
// load at a utilization of 70%.
func peakTargets() map[string]map[fleet.Pool]int {
	counts := map[string]map[fleet.Pool]int{}
	for index := range fleetDataCenters {
		counts[dataCenterName(index)] = map[fleet.Pool]int{
			modelPool:   int(math.Ceil(modelLoadMean * (1 + loadAmplitude) / 0.7)),
			servicePool: int(math.Ceil(serviceLoadMean * (1 + loadAmplitude) / 0.7)),
		}
	}
	return counts
}
