package place

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
)

// LeavingTarget identifies one run of a target that takes no new requests.
type LeavingTarget struct {
	ID        string `cbor:"1,keyasint"`
	StartedMS int64  `cbor:"2,keyasint,omitempty"` // Unix time of the start, 0 if unknown
}

// NewLeavingTarget returns the identity of a target's current run.
func NewLeavingTarget(target site.Target) LeavingTarget {
	return LeavingTarget{ID: target.ID, StartedMS: startedMS(target.Started)}
}

func startedMS(started time.Time) int64 {
	if started.IsZero() {
		return 0
	}
	return started.UnixMilli()
}

// MarkLeaving keeps new work from a target until it is restarted. It returns true
// if the target was not known to leave, and false for a run that is not listed.
func (scheduler *Scheduler) MarkLeaving(leaving LeavingTarget) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state, ok := scheduler.stated(leaving.ID)
	if !ok || state.leaving || startedMS(state.Started) != leaving.StartedMS {
		return false
	}
	state.leaving = true
	reserveForSmallPrompts(scheduler.services[state.Service])
	return true
}

// IsLeaving reports whether the listed run of a target is known to leave.
func (scheduler *Scheduler) IsLeaving(leaving LeavingTarget) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state, ok := scheduler.targets[leaving.ID]
	return ok && state.leaving && startedMS(state.Started) == leaving.StartedMS
}

// maxLeaving limits the targets of one report, so that a heartbeat fits into a
// datagram.
const maxLeaving = 64

// LeavingTargets returns the listed targets that are known to leave, a random
// choice of maxLeaving if there are more.
func (scheduler *Scheduler) LeavingTargets() []LeavingTarget {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	var leaving []LeavingTarget
	for _, state := range scheduler.targets {
		if state.leaving {
			leaving = append(leaving, NewLeavingTarget(state.Target))
		}
	}
	scheduler.random.Shuffle(len(leaving), func(i, j int) { leaving[i], leaving[j] = leaving[j], leaving[i] })
	return leaving[:min(len(leaving), maxLeaving)]
}
