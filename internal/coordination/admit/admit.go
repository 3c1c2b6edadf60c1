// Package admit implements admission control with weighted fair queueing among
// teams, and two baselines: a FIFO queue and a token bucket per team.
//
// A Scheduler holds the queueing state. It is deterministic: the caller passes
// the current time and receives grants and refusals. A Queue adds a lock and
// the runtime's clock. Costs are in units that the caller chooses, such as
// target-seconds; requests and capacity must use the same unit.
package admit

import (
	"context"
	"time"
)

// Request describes a request to admission control.
type Request struct {
	Team        string
	Weight      float64       // the team's fair-queueing weight; 1 if not positive
	Cost        float64       // expected cost in cost units
	Deadline    time.Time     // zero for none
	ServiceTime time.Duration // expected time from admission until the response is useful
	Priority    int           // higher values are granted first within the team
}

// Release ends an admitted request and reports its actual cost in cost units.
// Calls after the first have no effect.
type Release func(actualCost float64)

// Admitter decides when a request may run. Implementations are safe for
// concurrent use.
type Admitter interface {
	// Admit blocks until the request may run. It returns an error with code
	// TeamOverloaded at once if the team's queue or rate is exhausted, one with
	// code DeadlineTooShort as soon as the deadline can't be met, and ctx.Err()
	// if ctx ends first.
	Admit(ctx context.Context, request Request) (Release, error)
}

func (request *Request) weight() float64 {
	if request.Weight > 0 {
		return min(maxCost, request.Weight)
	}
	return 1
}

// latestStart returns the last time at which the request can start and still
// meet its deadline.
func (request *Request) latestStart() time.Time {
	return request.Deadline.Add(-request.ServiceTime)
}

// missesDeadline reports whether the request misses its deadline if it starts
// at the given time.
func (request *Request) missesDeadline(start time.Time) bool {
	return !request.Deadline.IsZero() && start.After(request.latestStart())
}
