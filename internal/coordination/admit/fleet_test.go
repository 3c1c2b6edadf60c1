package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mangopier.example/mangopier/internal/coordination/admit"
)

const (
	fleetCapacity = 140.0 // cost units in flight
	serviceMean   = 1.0   // seconds that a cost unit is in flight
	deadlineMS    = 4000
	exchangeMS    = 200
)

// instance is one entry with some way of admission. Offer returns what was
// refused or started; started work ends by itself.
type instance interface {
	offer(now time.Time, arrival *arrival)
	finish(now time.Time, arrival *arrival)
}

// arrival is a request of the workload and what became of it.
type arrival struct {
	at, started time.Time
	team        string
	cost        float64
	length      time.Duration
	entry       int
	ticket      *admit.Ticket
}

// workload is a seeded list of arrivals: every team asks for half its even
// part of the fleet, but the first, which floods through some of the entries.
type workload struct {
	teams, entries int
	flood          float64 // of the flooding team, in fleets
	length         time.Duration
}

func (workload workload) draw(seed uint64, start time.Time) []*arrival {
	random := rand.New(rand.NewPCG(seed, 3))
	var arrivals []*arrival
	for team := range workload.teams {
		rate, entries := 0.5*fleetCapacity/float64(workload.teams), workload.entries
		if team == 0 {
			rate, entries = workload.flood*fleetCapacity, max(1, workload.entries/2)
		}
		for at := start; ; {
			at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			if at.Sub(start) > workload.length {
				break
			}
			cost := 0.25 + 1.5*random.Float64()
			arrivals = append(arrivals, &arrival{
				at: at, team: fmt.Sprint("team", team), cost: cost, entry: random.IntN(entries),
				length: time.Duration(random.ExpFloat64() * serviceMean * float64(time.Second)),
			})
		}
	}
	slices.SortFunc(arrivals, func(a, b *arrival) int { return a.at.Compare(b.at) })
	return arrivals
}

// fleet runs a workload through instances that share targets. Work beyond the
// capacity of the targets makes all work in flight slower.
type fleet struct {
	now       time.Time
	endings   []ending // next one first
	instances []instance
	running   float64
}

func (fleet *fleet) run(arrivals []*arrival, exchange func(time.Time)) {
	next := fleet.now
	for _, arrival := range arrivals {
		for !next.After(arrival.at) {
			fleet.advance(next)
			if exchange != nil {
				exchange(next)
			}
			next = next.Add(exchangeMS * time.Millisecond)
		}
		fleet.advance(arrival.at)
		fleet.instances[arrival.entry].offer(arrival.at, arrival)
	}
}

func (fleet *fleet) start(now time.Time, arrival *arrival) {
	fleet.running += arrival.cost
	slowdown := max(1, fleet.running/fleetCapacity)
	arrival.started = now
	end := ending{now.Add(time.Duration(slowdown * float64(arrival.length))), arrival}
	place, _ := slices.BinarySearchFunc(fleet.endings, end, func(a, b ending) int { return a.at.Compare(b.at) })
	fleet.endings = slices.Insert(fleet.endings, place, end)
}

func (fleet *fleet) advance(to time.Time) {
	for len(fleet.endings) > 0 && !fleet.endings[0].at.After(to) {
		ending := fleet.endings[0]
		fleet.endings = fleet.endings[1:]
		fleet.running -= ending.arrival.cost
		fleet.instances[ending.arrival.entry].finish(ending.at, ending.arrival)
	}
}

// queued is an instance with a scheduler.
type queued struct {
	fleet     *fleet
	scheduler *admit.Scheduler
	firstCome bool
	waiting   map[*admit.Ticket]*arrival
}

func (queued *queued) offer(now time.Time, arrival *arrival) {
	request := admit.Request{Team: arrival.team, Cost: arrival.cost, Deadline: now.Add(deadlineMS * time.Millisecond)}
	if queued.firstCome {
		request.Team = ""
	}
	ticket, err := queued.scheduler.Offer(now, request)
	if err != nil {
		return
	}
	arrival.ticket = ticket
	if ticket.Granted() {
		queued.fleet.start(now, arrival)
		return
	}
	queued.waiting[ticket] = arrival
}

func (queued *queued) finish(now time.Time, arrival *arrival) {
	queued.scheduler.Finish(now, arrival.ticket, arrival.cost)
	queued.dispatch(now)
}

func (queued *queued) dispatch(now time.Time) {
	for ticket := queued.scheduler.Next(now); ticket != nil; ticket = queued.scheduler.Next(now) {
		if ticket.Granted() {
			queued.fleet.start(now, queued.waiting[ticket])
		}
		delete(queued.waiting, ticket)
	}
}

// bucketed is an instance with token buckets.
type bucketed struct {
	fleet  *fleet
	bucket *admit.TokenBucket
}

func (bucketed *bucketed) offer(now time.Time, arrival *arrival) {
	if bucketed.bucket.Take(now, admit.Request{Team: arrival.team, Cost: arrival.cost}) == nil {
		bucketed.fleet.start(now, arrival)
	}
}

func (*bucketed) finish(time.Time, *arrival) {}

// ending is the time at which an arrival's work is done.
type ending struct {
	at      time.Time
	arrival *arrival
}
