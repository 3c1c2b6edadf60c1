package admit

import (
	"context"
	"sync"
	"time"
)

// Queue is an Admitter with weighted fair queueing among teams.
type Queue struct {
	mutex     sync.Mutex
	scheduler *Scheduler
	waiters   map[*Ticket]chan error
}

// New returns an empty Queue.
func New(opts ...Option) *Queue {
	return &Queue{
		scheduler: NewScheduler(opts...),
		waiters:   map[*Ticket]chan error{},
	}
}

// Admit blocks until the request may run, see Admitter. A waiting request is
// refused as soon as it can no longer meet its deadline.
func (queue *Queue) Admit(ctx context.Context, request Request) (Release, error) {
	ticket, result, err := queue.submit(request)
	if err != nil {
		return nil, err
	}
	if result == nil {
		return queue.release(ticket), nil
	}
	expired, stop := deadlineTimer(&request)
	defer stop()
	select {
	case err = <-result:
	case <-ctx.Done():
		err = queue.cancel(ticket, result, ctx.Err())
	case <-expired:
		err = queue.cancel(ticket, result, deadlineTooShort(&request))
	}
	if err != nil {
		return nil, err
	}
	return queue.release(ticket), nil
}

// Demands returns this instance's demand by team, to be sent to its peers.
func (queue *Queue) Demands() []TeamDemand {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.scheduler.Demands()
}

// Rebalance recomputes how the fleet's capacity is divided among teams and
// instances, see Scheduler.Rebalance. It also refuses waiting requests that
// can't start in time at the measured throughput. One goroutine should call it
// about once a second.
func (queue *Queue) Rebalance(instanceCount int, peers []PeerDemand) {
	now := time.Now()
	local, capacity := queue.localDemands()
	allocation := allocate(now, capacity, instanceCount, local, peers)
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.scheduler.applyAllocation(allocation)
	for _, ticket := range queue.scheduler.RemoveExpired(now) {
		queue.notify(ticket)
	}
	queue.dispatch()
}

func (queue *Queue) localDemands() ([]TeamDemand, float64) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.scheduler.Demands(), queue.scheduler.config.capacity
}

// SetCapacity sets the cost units that all instances together may have in
// flight. It takes effect at the next call of Rebalance.
func (queue *Queue) SetCapacity(units float64) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.scheduler.SetCapacity(units)
}

// WaitingRequests returns the number of waiting requests.
func (queue *Queue) WaitingRequests() int {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.scheduler.WaitingRequests()
}

// InFlightCost returns the cost units in flight.
func (queue *Queue) InFlightCost() float64 {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.scheduler.InFlightCost()
}

// submit returns a ticket, and a channel for the result if the request has to
// wait.
func (queue *Queue) submit(request Request) (*Ticket, chan error, error) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	ticket, err := queue.scheduler.Submit(time.Now(), request)
	if err != nil || ticket.Granted() {
		return ticket, nil, err
	}
	result := make(chan error, 1)
	queue.waiters[ticket] = result
	return ticket, result, nil
}

// cancel removes a waiting request and returns reason. If the request was
// refused in the meantime, it returns that error; if it was granted, it
// releases the grant and returns reason.
func (queue *Queue) cancel(ticket *Ticket, result chan error, reason error) error {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if queue.scheduler.Cancel(ticket) {
		delete(queue.waiters, ticket)
		queue.dispatch()
		return reason
	}
	if err := <-result; err != nil {
		return err
	}
	queue.scheduler.Finish(time.Now(), ticket, 0)
	queue.dispatch()
	return reason
}

func (queue *Queue) release(ticket *Ticket) Release {
	return func(actualCost float64) {
		queue.mutex.Lock()
		defer queue.mutex.Unlock()
		queue.scheduler.Finish(time.Now(), ticket, actualCost)
		queue.dispatch()
	}
}

// dispatch grants the waiting requests that fit into the capacity and refuses
// those that it finds past their latest start.
func (queue *Queue) dispatch() {
	now := time.Now()
	for ticket := queue.scheduler.Dequeue(now); ticket != nil; ticket = queue.scheduler.Dequeue(now) {
		queue.notify(ticket)
	}
}

// notify sends the result to the goroutine that waits for the ticket.
func (queue *Queue) notify(ticket *Ticket) {
	result := queue.waiters[ticket]
	delete(queue.waiters, ticket)
	if ticket.Granted() {
		result <- nil
		return
	}
	result <- deadlineTooShort(&ticket.Request)
}

// deadlineTimer returns a channel that receives at the latest start of the
// request, and a function that stops the timer. The channel is nil if the
// request has no deadline.
func deadlineTimer(request *Request) (<-chan time.Time, func()) {
	if request.Deadline.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(request.latestStart()))
	return timer.C, func() { timer.Stop() }
}
