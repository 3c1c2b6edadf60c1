package admit

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// Scheduler grants requests by start-time fair queueing. Each team has a
// virtual clock that advances by the cost of its work over its weight; the
// team whose clock is the furthest behind goes first. It is not safe for use
// by several goroutines.
type Scheduler struct {
	config   config
	exchange exchange
	teams    map[string]*team
	active   teams // those with waiting requests
	weights  float64
	virtual  float64
	latest   float64 // greatest finish of any team
	running  float64 // cost units in flight
	inFlight int     // requests
	waiting  int
	sequence uint64
	sweepAt  int
	drain    drain
}

// NewScheduler returns a scheduler without requests.
func NewScheduler(opts ...Option) *Scheduler {
	config := newConfig(opts)
	scheduler := &Scheduler{
		config:  config,
		teams:   map[string]*team{},
		sweepAt: teamsSweepMinimum,
		drain:   drain{rate: config.rate},
	}
	scheduler.exchange.limit = config.capacity / float64(max(1, config.members))
	return scheduler
}

// Offer takes a request in. The ticket is granted or waits; a refusal has the
// code TeamOverloaded or DeadlineTooShort.
func (scheduler *Scheduler) Offer(now time.Time, request Request) (*Ticket, error) {
	request.Cost = bounded(request.Cost, costMin)
	team := scheduler.teamOf(&request)
	ticket := &Ticket{Request: request, team: team, index: -1}
	if scheduler.waiting == 0 && scheduler.fits(request.Cost) {
		if request.tooLate(now) {
			return nil, tooShort(&request)
		}
		team.start = max(scheduler.virtual, team.finish)
		scheduler.grant(now, ticket)
		return ticket, nil
	}
	scheduler.sequence++
	ticket.sequence = scheduler.sequence
	if err := scheduler.refuse(now, ticket); err != nil {
		return nil, err
	}
	scheduler.wait(ticket)
	return ticket, nil
}

// Next grants the next waiting request that fits, or returns nil. A request
// whose deadline has become impossible is returned ungranted, to be refused.
func (scheduler *Scheduler) Next(now time.Time) *Ticket {
	if len(scheduler.active) == 0 {
		return nil
	}
	team := scheduler.active[0]
	ticket := team.waiting[0]
	if ticket.Request.tooLate(now) {
		scheduler.Cancel(ticket)
		return ticket
	}
	if !scheduler.fits(ticket.Request.Cost) {
		return nil
	}
	scheduler.unqueue(ticket)
	scheduler.grant(now, ticket)
	team.start = team.finish
	scheduler.reorder(team)
	return ticket
}

// Cancel takes a waiting request out. It returns false when the request no
// longer waits.
func (scheduler *Scheduler) Cancel(ticket *Ticket) bool {
	if ticket.index < 0 {
		return false
	}
	scheduler.unqueue(ticket)
	scheduler.reorder(ticket.team)
	return true
}

// Expire takes out and returns the waiting requests that can't start before
// their deadlines at the measured rate, with a margin for its error.
func (scheduler *Scheduler) Expire(now time.Time) []*Ticket {
	var expired []*Ticket
	for _, team := range scheduler.teams {
		for _, ticket := range slices.Clone(team.waiting) {
			wait := scheduler.expectedWait(team, ticket) / expireMargin
			if ticket.Request.tooLate(now.Add(wait)) && scheduler.Cancel(ticket) {
				expired = append(expired, ticket)
			}
		}
	}
	return expired
}

// Finish ends a granted request. The team is charged what it really cost.
func (scheduler *Scheduler) Finish(now time.Time, ticket *Ticket, actualCost float64) {
	if !ticket.granted || ticket.released {
		return
	}
	ticket.released = true
	team := ticket.team
	scheduler.land(ticket)
	difference := (bounded(actualCost, 0) - ticket.Request.Cost) / team.share()
	team.finish += difference
	if team.index >= 0 {
		team.start += difference
		heap.Fix(&scheduler.active, team.index)
	}
	scheduler.latest = max(scheduler.latest, team.finish)
	if scheduler.inFlight == 0 && scheduler.waiting == 0 {
		scheduler.virtual = scheduler.latest
	}
	scheduler.drain.finished(now, ticket.Request.Cost, scheduler.waiting > 0)
}

// Waiting returns how many requests wait.
func (scheduler *Scheduler) Waiting() int {
	return scheduler.waiting
}

// Running returns the cost units in flight.
func (scheduler *Scheduler) Running() float64 {
	return scheduler.running
}

// fits reports whether the cost may be added to what is in flight. A request
// larger than the whole capacity runs alone.
func (scheduler *Scheduler) fits(cost float64) bool {
	return scheduler.inFlight == 0 || scheduler.running+cost <= scheduler.exchange.limit
}

func (scheduler *Scheduler) grant(now time.Time, ticket *Ticket) {
	team, cost := ticket.team, ticket.Request.Cost
	scheduler.virtual = max(scheduler.virtual, team.start)
	team.finish = team.start + cost/team.share()
	scheduler.latest = max(scheduler.latest, team.finish)
	team.running += cost
	team.inFlight++
	scheduler.running += cost
	scheduler.inFlight++
	ticket.granted = true
	scheduler.drain.granted(now)
}

// land takes a request out of what is in flight. Sums of nothing are set to
// zero, so that errors of rounding don't add up.
func (scheduler *Scheduler) land(ticket *Ticket) {
	team := ticket.team
	team.inFlight--
	team.running -= ticket.Request.Cost
	if team.inFlight == 0 {
		team.running = 0
	}
	scheduler.inFlight--
	scheduler.running -= ticket.Request.Cost
	if scheduler.inFlight == 0 {
		scheduler.running = 0
	}
}

func (scheduler *Scheduler) wait(ticket *Ticket) {
	team := ticket.team
	team.push(ticket)
	scheduler.waiting++
	if team.index < 0 {
		team.start = max(scheduler.virtual, team.finish)
		heap.Push(&scheduler.active, team)
		scheduler.weights += team.share()
	}
}

func (scheduler *Scheduler) unqueue(ticket *Ticket) {
	ticket.team.remove(ticket)
	scheduler.waiting--
}

// reorder puts a team whose queue changed in its place.
func (scheduler *Scheduler) reorder(team *team) {
	if len(team.waiting) > 0 {
		heap.Fix(&scheduler.active, team.index)
		return
	}
	heap.Remove(&scheduler.active, team.index)
	scheduler.weights -= team.share()
}

// refuse returns why a request that would have to wait can't be taken in.
func (scheduler *Scheduler) refuse(now time.Time, ticket *Ticket) error {
	team, request := ticket.team, &ticket.Request
	wait := scheduler.expectedWait(team, ticket)
	if request.tooLate(now.Add(wait)) {
		return code.WithRetry(tooShort(request), retrySeconds(wait))
	}
	full := len(team.waiting) >= scheduler.config.queue
	if full || (len(team.waiting) > 0 && team.queued+request.Cost > scheduler.config.queueCost) {
		err := code.Errorf(code.TeamOverloaded, "%d requests of team %q wait", len(team.waiting), request.Team)
		return code.WithRetry(err, retrySeconds(wait))
	}
	return nil
}

// expectedWait returns how long what goes before a request of the team takes
// at the team's share of the measured rate.
func (scheduler *Scheduler) expectedWait(team *team, request *Ticket) time.Duration {
	ahead := 0.0
	for _, ticket := range team.waiting {
		if ticket.goesBefore(request) {
			ahead += ticket.Request.Cost
		}
	}
	weights := scheduler.weights
	if team.index < 0 {
		weights += team.share()
	}
	rate := scheduler.drain.rate * team.share() / weights
	seconds := min(waitMaxSeconds, ahead/max(rate, rateMin))
	return time.Duration(seconds * float64(time.Second))
}

func (scheduler *Scheduler) teamOf(request *Request) *team {
	if known, ok := scheduler.teams[request.Team]; ok {
		scheduler.reweigh(known, request.weight(), known.part)
		return known
	}
	scheduler.sweep()
	part := scheduler.exchange.fraction(request.Team)
	fresh := &team{name: request.Team, weight: request.weight(), part: part, index: -1}
	scheduler.teams[request.Team] = fresh
	return fresh
}

func (scheduler *Scheduler) reweigh(team *team, weight, part float64) {
	before := team.share()
	team.weight, team.part = weight, part
	if team.index >= 0 {
		scheduler.weights += team.share() - before
	}
}

// sweep forgets teams that have no work and owe nothing.
func (scheduler *Scheduler) sweep() {
	if len(scheduler.teams) < scheduler.sweepAt {
		return
	}
	for name, team := range scheduler.teams {
		if team.index < 0 && team.inFlight == 0 && team.finish <= scheduler.virtual {
			delete(scheduler.teams, name)
		}
	}
	scheduler.sweepAt = max(teamsSweepMinimum, 2*len(scheduler.teams))
}

func retrySeconds(wait time.Duration) int {
	seconds := int(math.Ceil(wait.Seconds()))
	return min(retryMaxSeconds, max(retryMinSeconds, seconds))
}

func tooShort(request *Request) error {
	return code.Errorf(code.DeadlineTooShort, "a request of team %q cannot start before its deadline", request.Team)
}
