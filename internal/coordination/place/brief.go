package place

import (
	"cmp"
	"slices"

	"mangopier.example/mangopier/internal/protocol/site"
)

// A large prompt keeps an engine for up to a second, and small ones that come
// meanwhile for some 150 ms of it. So some engines are kept for small prompts:
// others go there only if that saves much.
const (
	// briefEvery is how many engines that read prompts there are for each one
	// kept for small prompts. On the sites' sheets those are a sixth of the
	// work.
	briefEvery = 6
	// briefMS is the work up to which a prompt is small.
	briefMS = 60.0
	// briefGuardMS is what a larger prompt costs more at an engine kept for
	// small ones, briefStrayMS what a small one costs more elsewhere.
	briefGuardMS = 250.0
	briefStrayMS = 30.0
)

// keepBrief chooses the engines kept for small prompts, the same at all
// instances.
func keepBrief(group []*state) {
	engines := slices.DeleteFunc(slices.Clone(group), func(state *state) bool {
		state.brief = false
		return state.Stage != site.Prefill || state.Leaving
	})
	slices.SortFunc(engines, func(a, b *state) int {
		return cmp.Or(cmp.Compare(a.DataCenter, b.DataCenter), cmp.Compare(a.ID, b.ID))
	})
	for i, state := range engines {
		state.brief = i%briefEvery == briefEvery/2
	}
}

// briefCost is what work costs more at an engine that is kept for another
// size.
func (state *state) briefCost(workMS float64) float64 {
	small := workMS <= briefMS
	switch {
	case state.brief && !small:
		return briefGuardMS
	case !state.brief && small:
		return briefStrayMS
	default:
		return 0
	}
}
