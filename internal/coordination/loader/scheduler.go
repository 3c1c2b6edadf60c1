package loader

import (
	"cmp"
	"slices"
)

const defaultMaxLoadingShare = 0.25

// Scheduler is a Policy that starts loads by shortest remaining work first: the
// version with the fewest bytes left to fetch goes first. It runs as many
// fetches as the store can feed at full rate, and limits the fraction of a
// model's serving targets that load at the same time, see WithMaxLoadingShare.
type Scheduler struct {
	maxLoadingShare float64
}

// New returns a Scheduler.
func New(opts ...Option) *Scheduler {
	scheduler := &Scheduler{maxLoadingShare: defaultMaxLoadingShare}
	for _, opt := range opts {
		opt(scheduler)
	}
	return scheduler
}

// PlanLoads returns the loads to start now, see Policy.
func (scheduler *Scheduler) PlanLoads(state State) []LoadOrder {
	planner := newPlanner(state, scheduler.maxLoadingShare)
	remaining := remainingBytes(state)
	var loads []LoadOrder
	for _, pending := range sortByRemaining(pendingLoads(state), remaining) {
		if planner.canStart(pending) {
			planner.recordStart(pending)
			loads = append(loads, pending.order())
		}
	}
	return loads
}

// pendingLoad is a load that has not been started.
type pendingLoad struct {
	target  Target
	desired DesiredWeights
}

func (pending pendingLoad) order() LoadOrder {
	return LoadOrder{TargetID: pending.target.ID, Weights: pending.desired.Weights, Bytes: pending.desired.Bytes}
}

// pendingLoads returns the loads that are needed on targets that are not loading,
// one for each target and the weights that it lacks.
func pendingLoads(state State) []pendingLoad {
	var loads []pendingLoad
	for _, target := range state.Targets {
		if target.Loading {
			continue
		}
		for _, desired := range target.Desired {
			if !desired.Loaded {
				loads = append(loads, pendingLoad{target: target, desired: desired})
			}
		}
	}
	return loads
}

// remainingBytes returns, by version, the bytes that are still to be fetched from
// the store. Weights are fetched once for each data centre, as its targets share
// a cache.
func remainingBytes(state State) map[Weights]int64 {
	type location struct {
		weights    Weights
		dataCenter string
	}
	largest := map[location]int64{}
	for _, target := range state.Targets {
		for _, desired := range target.Desired {
			if desired.Loaded || state.isCached(target.DataCenter, desired.Weights) {
				continue
			}
			key := location{desired.Weights, target.DataCenter}
			largest[key] = max(largest[key], cmp.Or(desired.RemainingBytes, desired.Bytes))
		}
	}
	remaining := map[Weights]int64{}
	for key, bytes := range largest {
		remaining[key.weights] += bytes
	}
	return remaining
}

// sortByRemaining sorts loads by the remaining bytes of their version, so that
// versions are completed one after another rather than all at the end.
func sortByRemaining(loads []pendingLoad, remaining map[Weights]int64) []pendingLoad {
	slices.SortStableFunc(loads, func(a, b pendingLoad) int {
		return cmp.Or(
			cmp.Compare(remaining[a.desired.Weights], remaining[b.desired.Weights]),
			cmp.Compare(a.desired.Name, b.desired.Name),
			cmp.Compare(a.desired.Version, b.desired.Version),
			cmp.Compare(a.target.DataCenter, b.target.DataCenter),
		)
	})
	return loads
}

func (state State) isCached(dataCenter string, weights Weights) bool {
	return slices.Contains(state.Cached[dataCenter], weights)
}
