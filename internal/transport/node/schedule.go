package node

import "time"

// StopSchedule tells what a stopping instance does when, in times from the signal to stop.
type StopSchedule struct {
	TakeUntil   time.Duration // requests that are complete later are refused as not run
	ListenUntil time.Duration // then the listener and idle connections are closed
	EndRequests time.Duration // requests still in flight are ended, and their callers told
	AnswerUntil time.Duration // then the process ends, also with answers on their way
	Exit        time.Duration // the process has ended
}

const (
	// minDrainTime is the time for which the load balancer may still send connections: it
	// takes the instance out of rotation after two failed checks, a second apart. Requests
	// that are taken later than 3 s would have to be answered however long they take.
	minDrainTime = 2900 * time.Millisecond
	// stopReserve is kept for answers and for ending the process. The rules let requests be
	// ended only in the last sixth of the grace period, so it is less in a short one.
	stopReserve        = 900 * time.Millisecond
	stopReserveDivisor = 6
	// minStopReserve is what it takes to answer at all.
	minStopReserve = 150 * time.Millisecond
	// stopWorkTime is the time that most requests need at their targets.
	stopWorkTime = time.Second
)

// NewStopSchedule returns the schedule for a grace period.
//
// A short grace period has no time for all. The time in which requests are taken goes first,
// while the load balancer may still send some: those are refused as not run, and their
// callers go elsewhere. The work on requests goes next, since a request that is ended may
// have run.
func NewStopSchedule(grace time.Duration) StopSchedule {
	reserve := min(max(min(stopReserve, grace/stopReserveDivisor), minStopReserve), grace)
	end := grace - reserve
	return StopSchedule{
		TakeUntil:   min(minDrainTime, end-min(stopWorkTime, end/2)),
		ListenUntil: min(minDrainTime, end),
		EndRequests: end,
		AnswerUntil: end + reserve/3,
		Exit:        grace - reserve/6,
	}
}
