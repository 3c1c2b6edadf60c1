package loader

import (
	"cmp"
	"slices"
)

// defaultLoadingShare is the share of a model's targets that may load at once
// in a data centre.
const defaultLoadingShare = 0.25

// Scheduler starts the change with the fewest bytes left first, as many loads
// as the store can feed at full rate, and never more of a model's targets in a
// data centre than a share.
type Scheduler struct {
	share float64
}

// New returns a scheduler.
func New(opts ...Option) *Scheduler {
	scheduler := &Scheduler{share: defaultLoadingShare}
	for _, opt := range opts {
		opt(scheduler)
	}
	return scheduler
}

// Decide returns the loads to start now.
func (scheduler *Scheduler) Decide(state State) []Load {
	board := newBoard(state, scheduler.share)
	remaining := remainingBytes(state)
	var loads []Load
	for _, pending := range byRemaining(pendingLoads(state), remaining) {
		if board.admits(pending) {
			board.start(pending)
			loads = append(loads, pending.load())
		}
	}
	return loads
}

// pending is a load that has not started.
type pending struct {
	target Target
	want   Want
}

func (pending pending) load() Load {
	return Load{Target: pending.target.ID, Weights: pending.want.Weights, Bytes: pending.want.Bytes}
}

// pendingLoads returns one pending load for each wanted weights that a target
// which is not loading lacks.
func pendingLoads(state State) []pending {
	var loads []pending
	for _, target := range state.Targets {
		if target.Loading {
			continue
		}
		for _, want := range target.Wanted {
			if !want.Loaded {
				loads = append(loads, pending{target: target, want: want})
			}
		}
	}
	return loads
}

// remainingBytes returns what the store has still to give for each change,
// where targets of a data centre share what one of them has fetched.
func remainingBytes(state State) map[Weights]int64 {
	type site struct {
		weights    Weights
		dataCenter string
	}
	largest := map[site]int64{}
	for _, target := range state.Targets {
		for _, want := range target.Wanted {
			if want.Loaded || state.cached(target.DataCenter, want.Weights) {
				continue
			}
			key := site{want.Weights, target.DataCenter}
			largest[key] = max(largest[key], cmp.Or(want.RemainingBytes, want.Bytes))
		}
	}
	remaining := map[Weights]int64{}
	for key, bytes := range largest {
		remaining[key.weights] += bytes
	}
	return remaining
}

// byRemaining sorts loads by the bytes left of their change, so that changes
// end one after another.
func byRemaining(loads []pending, remaining map[Weights]int64) []pending {
	slices.SortStableFunc(loads, func(a, b pending) int {
		return cmp.Or(
			cmp.Compare(remaining[a.want.Weights], remaining[b.want.Weights]),
			cmp.Compare(a.want.Name, b.want.Name),
			cmp.Compare(a.want.Version, b.want.Version),
			cmp.Compare(a.target.DataCenter, b.target.DataCenter),
		)
	})
	return loads
}

func (state State) cached(dataCenter string, weights Weights) bool {
	return slices.Contains(state.Cached[dataCenter], weights)
}
