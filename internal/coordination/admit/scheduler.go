package admit

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// Scheduler grants requests by start-time fair queueing. Each team has a
// virtual time that advances by the cost of its granted requests divided by its
// weight; the backlogged team with the smallest virtual start is served first.
// A Scheduler is not safe for concurrent use.
type Scheduler struct {
	config           config
	allocation       allocation
	teams            map[string]*team
	backlogged       teamHeap // teams with waiting requests
	backloggedWeight float64  // sum of the local weights of the backlogged teams
	virtualTime      float64
	maxVirtualFinish float64 // over all teams
	inFlightCost     float64 // cost units
	inFlightRequests int
	waitingRequests  int
	lastSequence     uint64
	sweepThreshold   int // number of teams at which idle ones are evicted
	throughput       throughput
}

// NewScheduler returns an empty Scheduler.
func NewScheduler(opts ...Option) *Scheduler {
	config := newConfig(opts)
	scheduler := &Scheduler{
		config:         config,
		teams:          map[string]*team{},
		sweepThreshold: minSweepTeams,
		throughput:     throughput{rate: config.rate},
	}
	scheduler.allocation.limitCost = config.capacity / float64(max(1, config.instanceCount))
	return scheduler
}

// Submit grants the request if it can run at once, or else enqueues it;
// Ticket.Granted reports which. If the request is refused, the error has the code
// TeamOverloaded or DeadlineTooShort.
func (scheduler *Scheduler) Submit(now time.Time, request Request) (*Ticket, error) {
	request.Cost = clampCost(request.Cost, minCost)
	team := scheduler.lookupTeam(&request)
	ticket := &Ticket{Request: request, team: team, heapIndex: -1}
	if scheduler.waitingRequests == 0 && scheduler.hasCapacity(request.Cost) {
		if request.missesDeadline(now) {
			return nil, deadlineTooShort(&request)
		}
		team.virtualStart = max(scheduler.virtualTime, team.virtualFinish)
		scheduler.grant(now, ticket)
		return ticket, nil
	}
	scheduler.lastSequence++
	ticket.sequence = scheduler.lastSequence
	if err := scheduler.checkEnqueue(now, ticket); err != nil {
		return nil, err
	}
	scheduler.addWaiting(ticket)
	return ticket, nil
}

// Dequeue removes the next waiting request and grants it. It returns nil if no
// request waits or the next one does not fit into the capacity. A request that
// can no longer meet its deadline is returned without a grant; the caller has
// to refuse it.
func (scheduler *Scheduler) Dequeue(now time.Time) *Ticket {
	if len(scheduler.backlogged) == 0 {
		return nil
	}
	team := scheduler.backlogged[0]
	ticket := team.waiting[0]
	if ticket.Request.missesDeadline(now) {
		scheduler.Cancel(ticket)
		return ticket
	}
	if !scheduler.hasCapacity(ticket.Request.Cost) {
		return nil
	}
	scheduler.removeWaiting(ticket)
	scheduler.grant(now, ticket)
	team.virtualStart = team.virtualFinish
	scheduler.updateBacklogged(team)
	return ticket
}

// Cancel removes a waiting request. It returns false if the request is not
// waiting.
func (scheduler *Scheduler) Cancel(ticket *Ticket) bool {
	if ticket.heapIndex < 0 {
		return false
	}
	scheduler.removeWaiting(ticket)
	scheduler.updateBacklogged(ticket.team)
	return true
}

// RemoveExpired removes and returns the waiting requests that can't meet their
// deadlines at the measured throughput. The expected wait is first divided by
// expectedWaitMargin, so that an error of the estimate refuses no request that
// could still start in time.
func (scheduler *Scheduler) RemoveExpired(now time.Time) []*Ticket {
	var expired []*Ticket
	for _, team := range scheduler.teams {
		for _, ticket := range slices.Clone(team.waiting) {
			wait := scheduler.expectedWait(team, ticket) / expectedWaitMargin
			if ticket.Request.missesDeadline(now.Add(wait)) && scheduler.Cancel(ticket) {
				expired = append(expired, ticket)
			}
		}
	}
	return expired
}

// Finish ends a granted request and charges its actual cost to the team. Calls
// after the first have no effect.
func (scheduler *Scheduler) Finish(now time.Time, ticket *Ticket, actualCost float64) {
	if !ticket.granted || ticket.released {
		return
	}
	ticket.released = true
	team := ticket.team
	scheduler.removeInFlight(ticket)
	correction := (clampCost(actualCost, 0) - ticket.Request.Cost) / team.localWeight()
	team.virtualFinish += correction
	if team.heapIndex >= 0 {
		team.virtualStart += correction
		heap.Fix(&scheduler.backlogged, team.heapIndex)
	}
	scheduler.maxVirtualFinish = max(scheduler.maxVirtualFinish, team.virtualFinish)
	if scheduler.inFlightRequests == 0 && scheduler.waitingRequests == 0 {
		scheduler.virtualTime = scheduler.maxVirtualFinish
	}
	scheduler.throughput.recordFinished(now, ticket.Request.Cost, scheduler.waitingRequests > 0)
}

// WaitingRequests returns the number of waiting requests.
func (scheduler *Scheduler) WaitingRequests() int {
	return scheduler.waitingRequests
}

// InFlightCost returns the cost units in flight.
func (scheduler *Scheduler) InFlightCost() float64 {
	return scheduler.inFlightCost
}

// hasCapacity reports whether a request of the given cost fits beside those in
// flight. A request larger than the limit is granted when nothing is in flight.
func (scheduler *Scheduler) hasCapacity(cost float64) bool {
	return scheduler.inFlightRequests == 0 || scheduler.inFlightCost+cost <= scheduler.allocation.limitCost
}

func (scheduler *Scheduler) grant(now time.Time, ticket *Ticket) {
	team, cost := ticket.team, ticket.Request.Cost
	scheduler.virtualTime = max(scheduler.virtualTime, team.virtualStart)
	team.virtualFinish = team.virtualStart + cost/team.localWeight()
	scheduler.maxVirtualFinish = max(scheduler.maxVirtualFinish, team.virtualFinish)
	team.inFlightCost += cost
	team.inFlightRequests++
	scheduler.inFlightCost += cost
	scheduler.inFlightRequests++
	ticket.granted = true
	scheduler.throughput.openWindow(now)
}

// removeInFlight subtracts a request from the in-flight totals. A total of no
// requests is set to zero, so that rounding errors don't accumulate.
func (scheduler *Scheduler) removeInFlight(ticket *Ticket) {
	team := ticket.team
	team.inFlightRequests--
	team.inFlightCost -= ticket.Request.Cost
	if team.inFlightRequests == 0 {
		team.inFlightCost = 0
	}
	scheduler.inFlightRequests--
	scheduler.inFlightCost -= ticket.Request.Cost
	if scheduler.inFlightRequests == 0 {
		scheduler.inFlightCost = 0
	}
}

func (scheduler *Scheduler) addWaiting(ticket *Ticket) {
	team := ticket.team
	team.push(ticket)
	scheduler.waitingRequests++
	if team.heapIndex < 0 {
		team.virtualStart = max(scheduler.virtualTime, team.virtualFinish)
		heap.Push(&scheduler.backlogged, team)
		scheduler.backloggedWeight += team.localWeight()
	}
}

func (scheduler *Scheduler) removeWaiting(ticket *Ticket) {
	ticket.team.remove(ticket)
	scheduler.waitingRequests--
}

// updateBacklogged restores the heap order after a team's queue has changed, and
// removes the team if its queue is empty.
func (scheduler *Scheduler) updateBacklogged(team *team) {
	if len(team.waiting) > 0 {
		heap.Fix(&scheduler.backlogged, team.heapIndex)
		return
	}
	heap.Remove(&scheduler.backlogged, team.heapIndex)
	scheduler.backloggedWeight -= team.localWeight()
}

// checkEnqueue returns an error if the request would miss its deadline while it
// waits, or if the team's queue is full. An empty queue accepts a request of any
// cost.
func (scheduler *Scheduler) checkEnqueue(now time.Time, ticket *Ticket) error {
	team, request := ticket.team, &ticket.Request
	wait := scheduler.expectedWait(team, ticket)
	if request.missesDeadline(now.Add(wait)) {
		return code.WithRetryAfterSeconds(deadlineTooShort(request), retryAfterSeconds(wait))
	}
	full := len(team.waiting) >= scheduler.config.queueRequests
	if full || (len(team.waiting) > 0 && team.waitingCost+request.Cost > scheduler.config.queueCost) {
		err := code.Errorf(code.TeamOverloaded, "%d requests of team %q wait", len(team.waiting), request.Team)
		return code.WithRetryAfterSeconds(err, retryAfterSeconds(wait))
	}
	return nil
}

// expectedWait returns the time that the team's requests ahead of the given one
// take at the team's weighted share of the measured throughput.
func (scheduler *Scheduler) expectedWait(team *team, ticket *Ticket) time.Duration {
	ahead := 0.0
	for _, waiting := range team.waiting {
		if waiting.precedes(ticket) {
			ahead += waiting.Request.Cost
		}
	}
	weights := scheduler.backloggedWeight
	if team.heapIndex < 0 {
		weights += team.localWeight()
	}
	rate := scheduler.throughput.rate * team.localWeight() / weights
	seconds := min(maxWaitSeconds, ahead/max(rate, minRate))
	return time.Duration(seconds * float64(time.Second))
}

func (scheduler *Scheduler) lookupTeam(request *Request) *team {
	if known, ok := scheduler.teams[request.Team]; ok {
		scheduler.setWeight(known, request.weight(), known.weightFraction)
		return known
	}
	scheduler.evictIdleTeams()
	fraction := scheduler.allocation.weightFraction(request.Team)
	added := &team{name: request.Team, weight: request.weight(), weightFraction: fraction, heapIndex: -1}
	scheduler.teams[request.Team] = added
	return added
}

func (scheduler *Scheduler) setWeight(team *team, weight, fraction float64) {
	before := team.localWeight()
	team.weight, team.weightFraction = weight, fraction
	if team.heapIndex >= 0 {
		scheduler.backloggedWeight += team.localWeight() - before
	}
}

// evictIdleTeams removes teams without requests whose virtual time is not ahead
// of the scheduler's. Teams that are ahead still have past work charged to them
// and are kept.
func (scheduler *Scheduler) evictIdleTeams() {
	if len(scheduler.teams) < scheduler.sweepThreshold {
		return
	}
	for name, team := range scheduler.teams {
		if team.heapIndex < 0 && team.inFlightRequests == 0 && team.virtualFinish <= scheduler.virtualTime {
			delete(scheduler.teams, name)
		}
	}
	scheduler.sweepThreshold = max(minSweepTeams, 2*len(scheduler.teams))
}

func retryAfterSeconds(wait time.Duration) int {
	seconds := int(math.Ceil(wait.Seconds()))
	return min(maxRetrySeconds, max(minRetrySeconds, seconds))
}

func deadlineTooShort(request *Request) error {
	return code.Errorf(code.DeadlineTooShort, "a request of team %q cannot start before its deadline", request.Team)
}
