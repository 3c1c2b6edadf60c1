package place

import (
	"cmp"
	"slices"

	"mangopier.example/mangopier/internal/protocol/site"
)

// A large prompt occupies a prefill engine for up to a second and delays small
// prompts that arrive meanwhile by some 150 ms of that. Therefore some engines
// are reserved for small prompts; a prompt of the other size is placed there
// only if that saves more than a penalty.
const (
	// enginesPerReserved is the number of prefill engines for each one that is
	// reserved for small prompts. In the site descriptions small prompts are a
	// sixth of the prefill work.
	enginesPerReserved = 6
	// smallPromptMaxMS is the prefill work up to which a prompt is small.
	smallPromptMaxMS = 60.0
	// largeOnReservedPenaltyMS is added for a large prompt on a reserved
	// engine, smallOnUnreservedPenaltyMS for a small prompt on any other.
	largeOnReservedPenaltyMS   = 250.0
	smallOnUnreservedPenaltyMS = 30.0
)

// reserveForSmallPrompts marks the reserved engines of a service. The choice
// depends only on the target list and on the targets that leave, so all instances
// make the same one.
func reserveForSmallPrompts(group []*targetState) {
	engines := slices.DeleteFunc(slices.Clone(group), func(state *targetState) bool {
		state.reservedForSmall = false
		return state.Stage != site.Prefill || state.Draining || state.leaving
	})
	slices.SortFunc(engines, func(a, b *targetState) int {
		return cmp.Or(cmp.Compare(a.DataCenter, b.DataCenter), cmp.Compare(a.ID, b.ID))
	})
	for i, state := range engines {
		state.reservedForSmall = i%enginesPerReserved == enginesPerReserved/2
	}
}

// promptSizePenaltyMS returns the extra cost of placing a prompt with the given
// prefill work on an engine that is meant for the other size.
func (state *targetState) promptSizePenaltyMS(workMS float64) float64 {
	small := workMS <= smallPromptMaxMS
	switch {
	case state.reservedForSmall && !small:
		return largeOnReservedPenaltyMS
	case !state.reservedForSmall && small:
		return smallOnUnreservedPenaltyMS
	default:
		return 0
	}
}
