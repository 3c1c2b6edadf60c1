package fleet

import "time"

// cheapState follows the cheap targets of one data centre, to tell when some
// were reclaimed or were not supplied.
type cheapState struct {
	known map[string]bool // cheap targets of the last state that were not draining
	until time.Time       // no cheap targets are ordered before
	delay time.Duration   // of the next pause
}

// watch takes in the targets of a state and pauses orders of cheap targets
// when one leaves, or is gone, without a drain.
func (cheap *cheapState) watch(now time.Time, targets []Target, settings settings) {
	known := map[string]bool{}
	present := map[string]bool{}
	for _, target := range targets {
		present[target.ID] = target.Phase != Leaving
		if target.Cheap && target.stays() {
			known[target.ID] = true
		}
	}
	for id := range cheap.known {
		if !present[id] {
			cheap.pause(now, settings)
			break
		}
	}
	cheap.known = known
}

// pause keeps cheap targets from being ordered for a while that doubles from
// pause to pause, unless one is in progress. A quiet time as long as the
// longest pause starts from the first again.
func (cheap *cheapState) pause(now time.Time, settings settings) {
	if now.Before(cheap.until) {
		return
	}
	if cheap.delay == 0 || now.Sub(cheap.until) > settings.cheapBackoffMax {
		cheap.delay = settings.cheapBackoff
	}
	cheap.until = now.Add(cheap.delay)
	cheap.delay = min(2*cheap.delay, settings.cheapBackoffMax)
}

func (cheap *cheapState) paused(now time.Time) bool {
	return now.Before(cheap.until)
}
