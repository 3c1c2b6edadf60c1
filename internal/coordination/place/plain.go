package place

import (
	"slices"
	"time"
)

const (
	awayPenalty = 0.05 // of a slot, for a target in another data centre
	jitterCost  = 0.1  // of a slot, tells equal targets apart
)

// Call chooses the target of a plain service that has most room and counts
// the call there until Ended. The second result is the number of calls per
// slot that are in flight there already; it is 1 or more when the call has to
// wait. The last is false if there is no target.
func (book *Book) Call(service string, except []string) (Run, float64, bool) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	now := time.Now()
	var best *state
	bestCost := 0.0
	for _, state := range book.services[service] {
		if !state.usable(now) || slices.Contains(except, state.ID) {
			continue
		}
		cost := (float64(state.own.Runs+state.others.Runs) + 1) / (slotsOf(state) * state.weight)
		if state.DataCenter != book.options.home {
			cost += awayPenalty / slotsOf(state)
		}
		cost += jitterCost * book.random.Float64() / slotsOf(state)
		if best == nil || cost < bestCost {
			best, bestCost = state, cost
		}
	}
	if best == nil {
		return Run{}, 0, false
	}
	crowd := float64(best.own.Runs+best.others.Runs) / slotsOf(best)
	run := Run{Target: best.Target, load: Load{Runs: 1}}
	best.own.add(&run.load, 1)
	return run, crowd, true
}

func slotsOf(state *state) float64 {
	return float64(max(1, state.Slots))
}
