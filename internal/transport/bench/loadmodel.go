package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mangopier.example/mangopier/internal/coordination/loader"
)

// Parameters of the weight simulation.
const (
	weightDataCenters    = 3
	weightTick           = time.Second
	maxWeightDuration    = 2 * time.Hour
	storeBytesPerSecond  = 2e9 // shared by all loads
	targetBytesPerSecond = 1e9 // of one target
	minServingShare      = 0.7 // of a model's targets in a data centre
)

// weightSimulation runs a load policy until all targets hold the newest
// version of their model.
type weightSimulation struct {
	eventLoop
	random     *rand.Rand
	policy     loader.Policy
	state      loader.State
	fromStore  map[string]bool // target IDs whose load reads from the store rather than the data centre's cache
	finishedAt map[string]time.Duration
}

// weightResult holds the totals of a run.
type weightResult struct {
	meanFinish      time.Duration // mean over the models of when their version change finished
	lastFinish      time.Duration
	downtime        time.Duration // sum over the targets of the time without service
	belowMinServing time.Duration // sum over models and data centres of the time below minServingShare
	unservedTime    time.Duration // sum over models and data centres of the time with no serving target
	storeBytes      float64       // bytes read from the store
	completed       bool
}

// newWeightSimulation returns a simulation in which every target of three
// models needs a new version. The weight sizes are random.
func newWeightSimulation(random *rand.Rand, policy loader.Policy) *weightSimulation {
	simulation := &weightSimulation{
		random: random, policy: policy,
		fromStore: map[string]bool{}, finishedAt: map[string]time.Duration{},
		state: loader.State{
			StoreBytesPerSecond: storeBytesPerSecond, TargetBytesPerSecond: targetBytesPerSecond,
			Cached: map[string][]loader.Weights{},
		},
	}
	for index, gigabytes := range []float64{60, 24, 8} {
		bytes := int64(gigabytes * 1e9 * (0.7 + 0.6*random.Float64()))
		weights := loader.Weights{Name: fmt.Sprintf("model-%d", index+1), Version: "2"}
		for dataCenter := range weightDataCenters {
			for target := range 4 {
				simulation.state.Targets = append(simulation.state.Targets, loader.Target{
					ID:         fmt.Sprintf("%s/%s/%d", weights.Name, dataCenterName(dataCenter), target),
					DataCenter: dataCenterName(dataCenter),
					Serving:    true,
					Desired:    []loader.DesiredWeights{{Weights: weights, Bytes: bytes}},
				})
			}
		}
	}
	return simulation
}

func (simulation *weightSimulation) run() weightResult {
	var result weightResult
	for simulation.now < maxWeightDuration && !result.completed {
		simulation.startLoads()
		simulation.advanceLoads(&result)
		simulation.recordServing(&result)
		simulation.now += weightTick
	}
	for _, end := range simulation.finishedAt {
		result.meanFinish += end / time.Duration(len(simulation.finishedAt))
		result.lastFinish = max(result.lastFinish, end)
	}
	return result
}

func (simulation *weightSimulation) startLoads() {
	for _, order := range simulation.policy.PlanLoads(simulation.state) {
		for index := range simulation.state.Targets {
			target := &simulation.state.Targets[index]
			if target.ID != order.TargetID {
				continue
			}
			target.Loading, target.Serving = true, false
			target.Desired[0].RemainingBytes = order.Bytes
			simulation.fromStore[target.ID] = !simulation.isCached(target)
		}
	}
}

func (simulation *weightSimulation) isCached(target *loader.Target) bool {
	for _, weights := range simulation.state.Cached[target.DataCenter] {
		if weights == target.Desired[0].Weights {
			return true
		}
	}
	return false
}

// advanceLoads advances all loads by one tick. Loads from the store share its
// rate.
func (simulation *weightSimulation) advanceLoads(result *weightResult) {
	storeLoads := 0
	for _, target := range simulation.state.Targets {
		if target.Loading && simulation.fromStore[target.ID] {
			storeLoads++
		}
	}
	for index := range simulation.state.Targets {
		target := &simulation.state.Targets[index]
		if !target.Loading {
			continue
		}
		rate := targetBytesPerSecond
		if simulation.fromStore[target.ID] {
			rate = min(targetBytesPerSecond, storeBytesPerSecond/float64(storeLoads))
			result.storeBytes += rate * weightTick.Seconds()
		}
		target.Desired[0].RemainingBytes -= int64(rate * weightTick.Seconds())
		if target.Desired[0].RemainingBytes <= 0 {
			simulation.finishLoad(target)
		}
	}
}

func (simulation *weightSimulation) finishLoad(target *loader.Target) {
	target.Loading, target.Serving = false, true
	target.Desired[0].Loaded, target.Desired[0].RemainingBytes = true, 0
	if !simulation.isCached(target) {
		simulation.state.Cached[target.DataCenter] = append(simulation.state.Cached[target.DataCenter], target.Desired[0].Weights)
	}
}

func (simulation *weightSimulation) recordServing(result *weightResult) {
	type placement struct{ name, dataCenter string }
	total, serving := map[placement]int{}, map[placement]int{}
	result.completed = true
	pending := map[string]bool{}
	for _, target := range simulation.state.Targets {
		at := placement{target.Desired[0].Name, target.DataCenter}
		total[at]++
		if target.Serving {
			serving[at]++
		} else {
			result.downtime += weightTick
		}
		if !target.Desired[0].Loaded {
			pending[at.name], result.completed = true, false
		}
	}
	for at, count := range total {
		if float64(serving[at]) < minServingShare*float64(count) {
			result.belowMinServing += weightTick
		}
		if serving[at] == 0 {
			result.unservedTime += weightTick
		}
		if _, done := simulation.finishedAt[at.name]; !done && !pending[at.name] {
			simulation.finishedAt[at.name] = simulation.now + weightTick
		}
	}
}
