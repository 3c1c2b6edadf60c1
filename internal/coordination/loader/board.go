package loader

import "math"

// modelLocation is a model in one data centre.
type modelLocation struct {
	name       string
	dataCenter string
}

// targetCounts counts the targets that should hold a model, in one data centre
// or in all of them.
type targetCounts struct {
	total    int // all targets that should hold the model
	serving  int // take requests
	loading  int // load weights
	notReady int // take no requests, and load or lack weights
}

// planner decides which pending loads may start. It tracks the loads in progress
// and those that it has admitted.
type planner struct {
	state           State
	maxLoadingShare float64
	byLocation      map[modelLocation]*targetCounts
	byModel         map[string]*targetCounts
	fetches         map[fetch]struct{} // fetches from the store in progress
	admittedTargets map[string]bool    // IDs of targets with an admitted load
}

// fetch is a transfer of weights from the store to a data centre.
type fetch struct {
	weights    Weights
	dataCenter string
}

func newPlanner(state State, maxLoadingShare float64) *planner {
	planner := &planner{
		state:           state,
		maxLoadingShare: maxLoadingShare,
		byLocation:      map[modelLocation]*targetCounts{},
		byModel:         map[string]*targetCounts{},
		fetches:         map[fetch]struct{}{},
		admittedTargets: map[string]bool{},
	}
	for _, target := range state.Targets {
		planner.addTarget(target)
	}
	return planner
}

func (planner *planner) addTarget(target Target) {
	planner.forEachCount(target, func(counts *targetCounts) {
		counts.total++
		switch {
		case target.Loading:
			counts.loading++
			counts.notReady++
		case target.Serving:
			counts.serving++
		case target.lacksWeights():
			counts.notReady++
		}
	})
	for _, desired := range target.Desired {
		if target.Loading && desired.RemainingBytes > 0 && !planner.state.isCached(target.DataCenter, desired.Weights) {
			planner.fetches[fetch{desired.Weights, target.DataCenter}] = struct{}{}
		}
	}
}

// forEachCount calls visit with the counts, by data centre and overall, of each
// model of the target.
func (planner *planner) forEachCount(target Target, visit func(*targetCounts)) {
	for name := range target.weightNames() {
		location := modelLocation{name, target.DataCenter}
		if planner.byLocation[location] == nil {
			planner.byLocation[location] = &targetCounts{}
		}
		if planner.byModel[name] == nil {
			planner.byModel[name] = &targetCounts{}
		}
		visit(planner.byLocation[location])
		visit(planner.byModel[name])
	}
}

// canStart reports whether a load may start now: its target has no other load,
// the store has capacity, and the target's models stay served.
func (planner *planner) canStart(pending pendingLoad) bool {
	if planner.admittedTargets[pending.target.ID] {
		return false
	}
	return planner.storeHasCapacity(pending) && (!pending.target.Serving || planner.canStopServing(pending.target))
}

// storeHasCapacity reports whether the load reads from the data centre's cache
// or the store can feed one more fetch at full rate.
func (planner *planner) storeHasCapacity(pending pendingLoad) bool {
	weights, dataCenter := pending.desired.Weights, pending.target.DataCenter
	if planner.state.isCached(dataCenter, weights) {
		return true
	}
	if _, fetching := planner.fetches[fetch{weights, dataCenter}]; fetching {
		return false // wait until the data centre has cached the weights
	}
	return len(planner.fetches) < planner.maxStoreFetches()
}

// maxStoreFetches returns the number of concurrent fetches that use the full rate
// of the store, or 1 if a target's rate is unlimited.
func (planner *planner) maxStoreFetches() int {
	if planner.state.TargetBytesPerSecond <= 0 {
		return 1
	}
	return max(int(math.Ceil(planner.state.StoreBytesPerSecond/planner.state.TargetBytesPerSecond)), 1)
}

// canStopServing reports whether all models of the target stay served while it
// loads.
func (planner *planner) canStopServing(target Target) bool {
	canStop := true
	planner.forEachCount(target, func(counts *targetCounts) {
		canStop = canStop && counts.allowsLoad(planner.maxLoadingShare)
	})
	return canStop
}

// allowsLoad reports whether one more serving target may start a load. The last
// serving target may do so only if no other is about to become ready.
func (counts *targetCounts) allowsLoad(maxLoadingShare float64) bool {
	if counts.loading >= max(int(maxLoadingShare*float64(counts.total)), 1) {
		return false
	}
	return counts.serving > 1 || counts.notReady == 0
}

func (planner *planner) recordStart(pending pendingLoad) {
	target := pending.target
	planner.admittedTargets[target.ID] = true
	planner.forEachCount(target, func(counts *targetCounts) {
		counts.loading++
		if target.Serving {
			counts.serving--
			counts.notReady++
		}
	})
	if !planner.state.isCached(target.DataCenter, pending.desired.Weights) {
		planner.fetches[fetch{pending.desired.Weights, target.DataCenter}] = struct{}{}
	}
}

func (target Target) lacksWeights() bool {
	for _, desired := range target.Desired {
		if !desired.Loaded {
			return true
		}
	}
	return false
}

// weightNames returns the names of all weights that the target should hold.
func (target Target) weightNames() map[string]struct{} {
	names := map[string]struct{}{}
	for _, desired := range target.Desired {
		names[desired.Name] = struct{}{}
	}
	return names
}
