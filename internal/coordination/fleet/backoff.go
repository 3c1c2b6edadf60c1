package fleet

import "time"

// spotTracker detects reclaimed spot targets of one data centre and holds the
// backoff of its orders for spot targets.
type spotTracker struct {
	active       map[string]bool // IDs of the active spot targets in the last state
	backoffUntil time.Time       // no spot targets are ordered before
	nextBackoff  time.Duration   // duration of the next backoff
}

// observe records the targets of a state and starts a backoff if a spot target
// is being reclaimed, or has disappeared without having been drained.
func (tracker *spotTracker) observe(now time.Time, targets []Target, settings settings) {
	active := map[string]bool{}
	present := map[string]bool{}
	for _, target := range targets {
		present[target.ID] = target.Phase != Reclaiming
		if target.Spot && target.isActive() {
			active[target.ID] = true
		}
	}
	for id := range tracker.active {
		if !present[id] {
			tracker.startBackoff(now, settings)
			break
		}
	}
	tracker.active = active
}

// startBackoff starts a backoff unless one is in progress. Each backoff is twice
// as long as the one before, up to the maximum. If more than the maximum has
// passed since the last backoff ended, the duration starts over.
func (tracker *spotTracker) startBackoff(now time.Time, settings settings) {
	if now.Before(tracker.backoffUntil) {
		return
	}
	if tracker.nextBackoff == 0 || now.Sub(tracker.backoffUntil) > settings.maxSpotBackoff {
		tracker.nextBackoff = settings.initialSpotBackoff
	}
	tracker.backoffUntil = now.Add(tracker.nextBackoff)
	tracker.nextBackoff = min(2*tracker.nextBackoff, settings.maxSpotBackoff)
}

func (tracker *spotTracker) inBackoff(now time.Time) bool {
	return now.Before(tracker.backoffUntil)
}
