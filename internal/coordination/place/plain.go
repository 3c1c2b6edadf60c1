package place

import (
	"slices"
	"time"
)

const (
	remotePenaltySlots = 0.05 // for a target in another data centre
	jitterSlots        = 0.1  // random, spreads calls over equally loaded targets
)

// AssignCall chooses the least loaded target of a plain service and counts the
// call there until Release. Targets in except are left out. The second result
// is the number of calls per slot that are in flight there already; at 1 or
// more the call has to wait. The last is false if no target is available.
func (scheduler *Scheduler) AssignCall(service string, except []string) (Assignment, float64, bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := time.Now()
	var best *targetState
	bestCost := 0.0
	for _, state := range scheduler.services[service] {
		if !state.acceptsNewWork(now) || slices.Contains(except, state.ID) {
			continue
		}
		cost := (float64(state.ownLoad.InFlight+state.peerLoad.InFlight) + 1) / (slotCount(state) * state.weight)
		if state.DataCenter != scheduler.options.dataCenter {
			cost += remotePenaltySlots / slotCount(state)
		}
		cost += jitterSlots * scheduler.random.Float64() / slotCount(state)
		if best == nil || cost < bestCost {
			best, bestCost = state, cost
		}
	}
	if best == nil {
		return Assignment{}, 0, false
	}
	callsPerSlot := float64(best.ownLoad.InFlight+best.peerLoad.InFlight) / slotCount(best)
	assignment := Assignment{Target: best.Target, load: Load{InFlight: 1}, state: best}
	best.ownLoad.add(&assignment.load, 1)
	best.takeShare(now)
	return assignment, callsPerSlot, true
}

func slotCount(state *targetState) float64 {
	return float64(max(1, state.Slots))
}
