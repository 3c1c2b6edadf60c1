package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mangopier.example/mangopier/internal/coordination/loader"
)

// Sizes of the load model.
const (
	loadDataCenters   = 3
	loadTick          = time.Second
	loadRunMost       = 2 * time.Hour
	storeRate         = 2e9 // bytes per second, all loads together
	targetRate        = 1e9 // bytes per second, one target
	servedShareNeeded = 0.7 // of a model's targets in a data centre
)

// loadModel runs a load policy until all targets hold the newest version of
// their model.
type loadModel struct {
	timeline
	random  *rand.Rand
	policy  loader.Policy
	state   loader.State
	fetches map[string]bool // loads by target that take from the store
	done    map[string]time.Duration
}

// loadResult is what a run of a load model counts.
type loadResult struct {
	meanEnd   time.Duration // of the changes, one per model
	lastEnd   time.Duration
	gone      time.Duration // target time without service
	starved   time.Duration // models and data centres with too few targets
	unserved  time.Duration // models and data centres with none
	fetched   float64       // bytes from the store
	completed bool
}

// newLoadModel returns a model in which every target of three models waits
// for a version. Sizes are drawn.
func newLoadModel(random *rand.Rand, policy loader.Policy) *loadModel {
	model := &loadModel{
		random: random, policy: policy,
		fetches: map[string]bool{}, done: map[string]time.Duration{},
		state: loader.State{
			StoreBytesPerSecond: storeRate, TargetBytesPerSecond: targetRate,
			Cached: map[string][]loader.Weights{},
		},
	}
	for index, gigabytes := range []float64{60, 24, 8} {
		bytes := int64(gigabytes * 1e9 * (0.7 + 0.6*random.Float64()))
		weights := loader.Weights{Name: fmt.Sprintf("model-%d", index+1), Version: "2"}
		for dataCenter := range loadDataCenters {
			for target := range 4 {
				model.state.Targets = append(model.state.Targets, loader.Target{
					ID:         fmt.Sprintf("%s/%s/%d", weights.Name, dataCenterName(dataCenter), target),
					DataCenter: dataCenterName(dataCenter),
					Serving:    true,
					Desired:    []loader.DesiredWeights{{Weights: weights, Bytes: bytes}},
				})
			}
		}
	}
	return model
}

func (model *loadModel) run() loadResult {
	var result loadResult
	for model.now < loadRunMost && !result.completed {
		model.order()
		model.progress(&result)
		model.observe(&result)
		model.now += loadTick
	}
	for _, end := range model.done {
		result.meanEnd += end / time.Duration(len(model.done))
		result.lastEnd = max(result.lastEnd, end)
	}
	return result
}

func (model *loadModel) order() {
	for _, load := range model.policy.PlanLoads(model.state) {
		for index := range model.state.Targets {
			target := &model.state.Targets[index]
			if target.ID != load.TargetID {
				continue
			}
			target.Loading, target.Serving = true, false
			target.Desired[0].RemainingBytes = load.Bytes
			model.fetches[target.ID] = !model.cached(target)
		}
	}
}

func (model *loadModel) cached(target *loader.Target) bool {
	for _, weights := range model.state.Cached[target.DataCenter] {
		if weights == target.Desired[0].Weights {
			return true
		}
	}
	return false
}

// progress moves all loads on; those that take from the store share its rate.
func (model *loadModel) progress(result *loadResult) {
	fetching := 0
	for _, target := range model.state.Targets {
		if target.Loading && model.fetches[target.ID] {
			fetching++
		}
	}
	for index := range model.state.Targets {
		target := &model.state.Targets[index]
		if !target.Loading {
			continue
		}
		rate := targetRate
		if model.fetches[target.ID] {
			rate = min(targetRate, storeRate/float64(fetching))
			result.fetched += rate * loadTick.Seconds()
		}
		target.Desired[0].RemainingBytes -= int64(rate * loadTick.Seconds())
		if target.Desired[0].RemainingBytes <= 0 {
			model.end(target)
		}
	}
}

func (model *loadModel) end(target *loader.Target) {
	target.Loading, target.Serving = false, true
	target.Desired[0].Loaded, target.Desired[0].RemainingBytes = true, 0
	if !model.cached(target) {
		model.state.Cached[target.DataCenter] = append(model.state.Cached[target.DataCenter], target.Desired[0].Weights)
	}
}

func (model *loadModel) observe(result *loadResult) {
	type site struct{ name, dataCenter string }
	holders, serving := map[site]int{}, map[site]int{}
	result.completed = true
	pending := map[string]bool{}
	for _, target := range model.state.Targets {
		at := site{target.Desired[0].Name, target.DataCenter}
		holders[at]++
		if target.Serving {
			serving[at]++
		} else {
			result.gone += loadTick
		}
		if !target.Desired[0].Loaded {
			pending[at.name], result.completed = true, false
		}
	}
	for at, count := range holders {
		if float64(serving[at]) < servedShareNeeded*float64(count) {
			result.starved += loadTick
		}
		if serving[at] == 0 {
			result.unserved += loadTick
		}
		if _, done := model.done[at.name]; !done && !pending[at.name] {
			model.done[at.name] = model.now + loadTick
		}
	}
}
