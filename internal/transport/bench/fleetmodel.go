package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mangopier.example/mangopier/internal/coordination/fleet"
)

// Sizes and times of the fleet model.
const (
	fleetRun         = 4 * time.Hour
	fleetTick        = 5 * time.Second
	fleetStart       = 3 * time.Minute
	fleetDay         = 2 * time.Hour // length of the load's cycle
	fleetDataCenters = 3
	fleetMost        = 24    // targets of a data centre
	modelLoadMean    = 7.0   // targets
	modelLoadSwing   = 0.55  // of the mean
	serviceLoadMean  = 1.2   // targets
	loadNoise        = 0.05  // of the load, in each tick
	weatherNoise     = 0.003 // of the load, added up over ticks
	reclaimNotice    = 10 * time.Second
	surgeFrom        = 40 * time.Minute
	surgeUntil       = 60 * time.Minute
	surgeFactor      = 1.5
	cheapPrice       = 0.35 // of an on-demand target
	usableCapacity   = 0.95 // of a target's time while answers are within limits
	callsPerTarget   = 4    // calls that run once, per target of their load
	callLength       = 20 * time.Second
	onDemandSupply   = 4 // targets that the platform starts in one tick
)

// Pools of the fleet model.
const (
	modelPool   fleet.Pool = "guide"
	servicePool fleet.Pool = "bookings"
)

// fleetModel runs a fleet policy over targets of a model and a plain service
// in data centres of one region. Work that can be run again goes to any data
// centre; calls that run once stay on on-demand targets of the service.
type fleetModel struct {
	timeline
	random  *rand.Rand
	policy  fleet.Policy
	faults  bool // cheap targets are reclaimed and not supplied for a while
	surge   bool // the load jumps once
	targets []*modelTarget
	named   int // targets so far
	weather float64
	result  fleetResult
}

type modelTarget struct {
	fleet.Target
	dataCenter string
	drained    time.Duration
	calls      []time.Duration // ends of calls that run once
}

// fleetResult is what a run of a fleet model counts, in seconds of targets.
type fleetResult struct {
	offered   float64
	served    float64
	cheap     float64 // served on cheap targets
	time      float64 // of all targets, whatever their price
	paid      float64 // in the price of on-demand targets
	worst     float64 // the least share served in a tick
	calls     int
	cutCalls  int
	lostCalls int // refused, as no target of the service serves
	ordered   int
	reclaimed int
}

func (model *fleetModel) run() fleetResult {
	model.result.worst = 1
	model.warm()
	if model.faults {
		model.after(50*time.Minute, func() { model.reclaim(dataCenterName(0)) })
		model.after(100*time.Minute, func() { model.reclaim(dataCenterName(1)) })
		model.after(175*time.Minute, func() { model.reclaim(dataCenterName(2)) })
		model.after(177*time.Minute, func() { model.reclaim(dataCenterName(0)) })
	}
	model.every(fleetTick, model.tick)
	model.runUntil(fleetRun)
	return model.result
}

// warm gives each pool the on-demand targets of the first load.
func (model *fleetModel) warm() {
	for index := range fleetDataCenters {
		for _, pool := range []fleet.Pool{modelPool, servicePool} {
			for range int(math.Ceil(model.load(pool, index) / 0.7)) {
				model.add(fleet.Order{DataCenter: dataCenterName(index), Pool: pool}).Phase = fleet.Serving
			}
		}
	}
}

func (model *fleetModel) tick() {
	model.weather += weatherNoise * model.random.NormFloat64()
	state := model.state()
	model.serve(state)
	model.call(state)
	for _, order := range model.policy.PlanOrders(model.clock(), state) {
		model.carryOut(order)
	}
}

// load returns the load of a pool in a data centre, in targets.
func (model *fleetModel) load(pool fleet.Pool, dataCenter int) float64 {
	mean := serviceLoadMean
	if pool == modelPool {
		mean = modelLoadMean
	}
	phase := 2*math.Pi*model.now.Seconds()/fleetDay.Seconds() + 0.3*float64(dataCenter)
	load := mean * (1 - modelLoadSwing*math.Cos(phase)) * (1 + model.weather)
	if model.surge && model.now > surgeFrom && model.now < surgeUntil {
		load *= surgeFactor
	}
	return max(load*(1+loadNoise*model.random.NormFloat64()), 0)
}

func (model *fleetModel) state() fleet.State {
	var state fleet.State
	for index := range fleetDataCenters {
		service := model.load(servicePool, index)
		dataCenter := fleet.DataCenter{
			Name: dataCenterName(index), Region: "region",
			MinTargets: 2, MaxTargets: fleetMost,
			AvailableOnDemand: onDemandSupply, AvailableSpot: model.cheapSupply(),
			Demand: []fleet.Demand{
				{Pool: modelPool, Load: model.load(modelPool, index)},
				{Pool: servicePool, Load: service, OnDemandLoad: service},
			},
		}
		for _, target := range model.targets {
			if target.dataCenter == dataCenter.Name {
				target.InFlight = target.holds(model.now)
				dataCenter.Targets = append(dataCenter.Targets, target.Target)
			}
		}
		state.DataCenters = append(state.DataCenters, dataCenter)
	}
	return state
}

// cheapSupply returns the cheap targets to be had in each data centre; for
// half an hour there are none.
func (model *fleetModel) cheapSupply() int {
	if model.faults && model.now > 120*time.Minute && model.now < 150*time.Minute {
		return 0
	}
	return 2
}

// holds returns the requests of a target: its calls, and others that end
// within the length of a call.
func (target *modelTarget) holds(now time.Duration) int {
	target.calls = slices.DeleteFunc(target.calls, func(end time.Duration) bool { return end <= now })
	if target.Phase == fleet.Starting || (target.Phase == fleet.Draining && now-target.drained > callLength) {
		return len(target.calls)
	}
	return len(target.calls) + 1
}

// serve shares the work that can be run again among the targets of all data
// centres, and pays for them.
func (model *fleetModel) serve(state fleet.State) {
	var load, onDemand, cheap float64
	for _, dataCenter := range state.DataCenters {
		load += dataCenter.Demand[0].Load
		for _, target := range dataCenter.Targets {
			price := 1.0
			if target.Spot {
				price = cheapPrice
			}
			model.result.time += fleetTick.Seconds()
			model.result.paid += price * fleetTick.Seconds()
			if target.Pool != modelPool || target.Phase != fleet.Serving {
				continue
			}
			if target.Spot {
				cheap++
			} else {
				onDemand++
			}
		}
	}
	served := min(load, usableCapacity*(onDemand+cheap))
	model.result.offered += load * fleetTick.Seconds()
	model.result.served += served * fleetTick.Seconds()
	if onDemand+cheap > 0 {
		model.result.cheap += served * cheap / (onDemand + cheap) * fleetTick.Seconds()
	}
	model.result.worst = min(model.result.worst, served/load)
}

// call starts calls that run once, on on-demand targets of the service.
func (model *fleetModel) call(state fleet.State) {
	for _, dataCenter := range state.DataCenters {
		rate := dataCenter.Demand[1].OnDemandLoad * callsPerTarget / callLength.Seconds()
		for wait := model.random.ExpFloat64() / rate; wait < fleetTick.Seconds(); wait += model.random.ExpFloat64() / rate {
			model.result.calls++
			target := model.pick(dataCenter.Name)
			if target == nil {
				model.result.lostCalls++
				continue
			}
			target.calls = append(target.calls, model.now+seconds(wait)+callLength)
		}
	}
}

func (model *fleetModel) pick(dataCenter string) *modelTarget {
	var best *modelTarget
	for _, target := range model.targets {
		usable := target.dataCenter == dataCenter && target.Pool == servicePool && !target.Spot && target.Phase == fleet.Serving
		if usable && (best == nil || len(target.calls) < len(best.calls)) {
			best = target
		}
	}
	return best
}

func (model *fleetModel) carryOut(order fleet.Order) {
	switch order.Action {
	case fleet.Start:
		model.result.ordered++
		target := model.add(order)
		model.after(fleetStart, func() {
			if target.Phase == fleet.Starting {
				target.Phase = fleet.Serving
			}
		})
	case fleet.Drain:
		target := model.target(order.TargetID)
		target.Phase, target.drained = fleet.Draining, model.now
	case fleet.Release:
		model.remove(model.target(order.TargetID))
	}
}

func (model *fleetModel) add(order fleet.Order) *modelTarget {
	model.named++
	target := &modelTarget{dataCenter: order.DataCenter}
	target.ID = fmt.Sprintf("target-%d", model.named)
	target.Pool, target.Spot = order.Pool, order.Spot
	model.targets = append(model.targets, target)
	return target
}

func (model *fleetModel) target(id string) *modelTarget {
	return model.targets[slices.IndexFunc(model.targets, func(target *modelTarget) bool { return target.ID == id })]
}

// remove takes a target away, and counts the calls that it cuts.
func (model *fleetModel) remove(target *modelTarget) {
	if !slices.Contains(model.targets, target) {
		return
	}
	target.holds(model.now)
	model.result.cutCalls += len(target.calls)
	model.targets = slices.DeleteFunc(model.targets, func(other *modelTarget) bool { return other == target })
}

// reclaim takes all cheap targets of a data centre away after a notice.
func (model *fleetModel) reclaim(dataCenter string) {
	for _, target := range model.targets {
		if target.Spot && target.dataCenter == dataCenter {
			model.result.reclaimed++
			target.Phase = fleet.Reclaiming
			model.after(reclaimNotice, func() { model.remove(target) })
		}
	}
}

func dataCenterName(index int) string { return fmt.Sprintf("dc-%d", index+1) }

// peakCounts returns the targets that a fixed fleet needs for the peak.
func peakCounts() map[string]map[fleet.Pool]int {
	counts := map[string]map[fleet.Pool]int{}
	for index := range fleetDataCenters {
		counts[dataCenterName(index)] = map[fleet.Pool]int{
			modelPool:   int(math.Ceil(modelLoadMean * (1 + modelLoadSwing) / 0.7)),
			servicePool: int(math.Ceil(serviceLoadMean * (1 + modelLoadSwing) / 0.7)),
		}
	}
	return counts
}
