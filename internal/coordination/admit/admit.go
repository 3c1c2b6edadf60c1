// Package admit offers admission by weighted fair queueing per team.
//
// A Scheduler is the plain state: requests go in, grants and refusals come
// out, and the caller gives the time. A Queue puts a lock and the runtime's
// clock around it. Costs are in units that the caller chooses, the same for
// requests and capacity, such as seconds of a target.
package admit

import (
	"context"
	"time"
)

// Request is what admission has to know of a request.
type Request struct {
	Team     string
	Weight   float64       // share among teams, 1 if not positive
	Cost     float64       // expected cost units
	Deadline time.Time     // zero for none
	Service  time.Duration // expected time from admission until the answer is of use
	Priority int           // higher ones go first within the team
}

// Release ends an admitted request and tells what it really cost. It is safe
// to call it more than once.
type Release func(actualCost float64)

// Admitter decides when a request may run. Its methods may be called by
// several goroutines.
type Admitter interface {
	// Admit waits until the request may run. It fails at once when the team's
	// queue is full (code TeamOverloaded) or the deadline can't be met (code
	// DeadlineTooShort), and with the context's error when that ends.
	Admit(ctx context.Context, request Request) (Release, error)
}

func (request *Request) weight() float64 {
	if request.Weight > 0 {
		return min(costMax, request.Weight)
	}
	return 1
}

// latest returns the last moment at which a start of the request is of use.
func (request *Request) latest() time.Time {
	return request.Deadline.Add(-request.Service)
}

// tooLate reports whether a start at the time misses the deadline.
func (request *Request) tooLate(start time.Time) bool {
	return !request.Deadline.IsZero() && start.After(request.latest())
}
