package place

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
)

// MarkQuiet keeps new work from a target for the time that it has asked for. Only
// that time or a restart ends this pause.
func (scheduler *Scheduler) MarkQuiet(id string, length time.Duration) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if state, ok := scheduler.stated(id); ok {
		state.quietUntil = maxTime(state.quietUntil, time.Now().Add(length))
	}
}

// QuietTime returns the time until a target of a service and stage gets new work
// again, if none gets any now and at least one has asked for that or names a limit.
// Targets that drain, leave or are ejected do not count.
func (scheduler *Scheduler) QuietTime(service string, stage site.Stage) (time.Duration, bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := time.Now()
	var earliest time.Time
	quiet := false
	for _, state := range scheduler.services[service] {
		if state.Stage != stage || state.Draining || state.leaving || state.weight <= 0 {
			continue
		}
		end := maxTime(maxTime(state.quietUntil, state.shareAt(now)), maxTime(state.pausedUntil, state.stageChangeUntil))
		if !now.Before(end) {
			return 0, false
		}
		quiet = quiet || now.Before(state.quietUntil) || !state.hasShare(now)
		if earliest.IsZero() || end.Before(earliest) {
			earliest = end
		}
	}
	return earliest.Sub(now), quiet
}
