package admit

import (
	"context"
	"sync"
	"time"
)

// Queue is the admitter by weighted fair queueing.
type Queue struct {
	mutex     sync.Mutex
	scheduler *Scheduler
	waiters   map[*Ticket]chan error
}

// New returns a queue without requests.
func New(opts ...Option) *Queue {
	return &Queue{
		scheduler: NewScheduler(opts...),
		waiters:   map[*Ticket]chan error{},
	}
}

// Admit waits until the request may run. A request whose deadline becomes
// impossible while it waits is refused at that moment.
func (queue *Queue) Admit(ctx context.Context, request Request) (Release, error) {
	ticket, answer, err := queue.offer(request)
	if err != nil {
		return nil, err
	}
	if answer == nil {
		return queue.release(ticket), nil
	}
	expired, stop := expiry(&request)
	defer stop()
	select {
	case err = <-answer:
	case <-ctx.Done():
		err = queue.abandon(ticket, answer, ctx.Err())
	case <-expired:
		err = queue.abandon(ticket, answer, tooShort(&request))
	}
	if err != nil {
		return nil, err
	}
	return queue.release(ticket), nil
}

// Demand returns what this instance's peers have to know for an exchange.
func (queue *Queue) Demand() []Demand {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.scheduler.Demand()
}

// Exchange divides the fleet's capacity anew among teams and instances, see
// Scheduler.Exchange. It also refuses waiting requests that can no longer
// start in time at the measured rate. It is to be called about once a second,
// by one goroutine.
func (queue *Queue) Exchange(members int, peers []Peer) {
	now := time.Now()
	own, capacity := queue.ownState()
	agreed := negotiate(now, capacity, members, own, peers)
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.scheduler.apply(agreed)
	for _, ticket := range queue.scheduler.Expire(now) {
		queue.answer(ticket)
	}
	queue.dispatch()
}

func (queue *Queue) ownState() ([]Demand, float64) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.scheduler.Demand(), queue.scheduler.config.capacity
}

// SetCapacity sets the cost units that the whole fleet may have in flight.
// It takes effect with the next exchange.
func (queue *Queue) SetCapacity(units float64) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.scheduler.SetCapacity(units)
}

// Waiting returns how many requests wait.
func (queue *Queue) Waiting() int {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.scheduler.Waiting()
}

// Running returns the cost units in flight.
func (queue *Queue) Running() float64 {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.scheduler.Running()
}

// offer returns a channel for the answer when the request has to wait.
func (queue *Queue) offer(request Request) (*Ticket, chan error, error) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	ticket, err := queue.scheduler.Offer(time.Now(), request)
	if err != nil || ticket.Granted() {
		return ticket, nil, err
	}
	answer := make(chan error, 1)
	queue.waiters[ticket] = answer
	return ticket, answer, nil
}

// abandon ends the wait with a reason, unless the answer came first. A grant
// that came first is given back.
func (queue *Queue) abandon(ticket *Ticket, answer chan error, reason error) error {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if queue.scheduler.Cancel(ticket) {
		delete(queue.waiters, ticket)
		queue.dispatch()
		return reason
	}
	if err := <-answer; err != nil {
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

// dispatch answers all waiting requests that may run now or never will.
func (queue *Queue) dispatch() {
	now := time.Now()
	for ticket := queue.scheduler.Next(now); ticket != nil; ticket = queue.scheduler.Next(now) {
		queue.answer(ticket)
	}
}

// answer tells the goroutine that waits with the ticket what became of it.
func (queue *Queue) answer(ticket *Ticket) {
	answer := queue.waiters[ticket]
	delete(queue.waiters, ticket)
	if ticket.Granted() {
		answer <- nil
		return
	}
	answer <- tooShort(&ticket.Request)
}

// expiry returns a channel that is ready when the request's start would be of
// no more use.
func expiry(request *Request) (<-chan time.Time, func()) {
	if request.Deadline.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(request.latest()))
	return timer.C, func() { timer.Stop() }
}
