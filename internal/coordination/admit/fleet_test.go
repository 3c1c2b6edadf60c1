package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mangopier.example/mangopier/internal/coordination/admit"
)

const (
	fleetCapacity      = 140.0 // cost units in flight
	meanServiceSeconds = 1.0   // seconds that a cost unit is in flight
	deadlineMS         = 4000
	rebalanceMS        = 200
)

// admitInstance simulates an entry instance with one admission policy. Requests
// that submit or finish grant are started in the fleet, which ends them.
type admitInstance interface {
	submit(now time.Time, arrival *arrival)
	finish(now time.Time, arrival *arrival)
}

// arrival is a request of the workload and its result.
type arrival struct {
	arrivedAt, startedAt time.Time // startedAt is zero if the request was not started
	team                 string
	cost                 float64
	duration             time.Duration
	instance             int
	ticket               *admit.Ticket
}

// workload describes seeded arrivals. Every team demands half its even share of
// the fleet, except the first, which floods through half of the instances, or the
// only one.
type workload struct {
	teams, instances int
	floodFactor      float64 // demand of the flooding team, as a multiple of the fleet's capacity
	duration         time.Duration
}

func (workload workload) generate(seed uint64, start time.Time) []*arrival {
	rng := rand.New(rand.NewPCG(seed, 3))
	var arrivals []*arrival
	for team := range workload.teams {
		rate, instances := 0.5*fleetCapacity/float64(workload.teams), workload.instances
		if team == 0 {
			rate, instances = workload.floodFactor*fleetCapacity, max(1, workload.instances/2)
		}
		for at := start; ; {
			at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			if at.Sub(start) > workload.duration {
				break
			}
			cost := 0.25 + 1.5*rng.Float64()
			arrivals = append(arrivals, &arrival{
				arrivedAt: at, team: fmt.Sprint("team", team), cost: cost, instance: rng.IntN(instances),
				duration: time.Duration(rng.ExpFloat64() * meanServiceSeconds * float64(time.Second)),
			})
		}
	}
	slices.SortFunc(arrivals, func(a, b *arrival) int { return a.arrivedAt.Compare(b.arrivedAt) })
	return arrivals
}

// fleet simulates instances that share targets. A request that starts beyond the
// capacity of the targets takes proportionally longer.
type fleet struct {
	now          time.Time
	completions  []completion // in order of time
	instances    []admitInstance
	inFlightCost float64
}

func (fleet *fleet) run(arrivals []*arrival, rebalance func(time.Time)) {
	next := fleet.now
	for _, arrival := range arrivals {
		for !next.After(arrival.arrivedAt) {
			fleet.advance(next)
			if rebalance != nil {
				rebalance(next)
			}
			next = next.Add(rebalanceMS * time.Millisecond)
		}
		fleet.advance(arrival.arrivedAt)
		fleet.instances[arrival.instance].submit(arrival.arrivedAt, arrival)
	}
}

func (fleet *fleet) start(now time.Time, arrival *arrival) {
	fleet.inFlightCost += arrival.cost
	slowdown := max(1, fleet.inFlightCost/fleetCapacity)
	arrival.startedAt = now
	end := completion{now.Add(time.Duration(slowdown * float64(arrival.duration))), arrival}
	index, _ := slices.BinarySearchFunc(fleet.completions, end, func(a, b completion) int { return a.at.Compare(b.at) })
	fleet.completions = slices.Insert(fleet.completions, index, end)
}

func (fleet *fleet) advance(to time.Time) {
	for len(fleet.completions) > 0 && !fleet.completions[0].at.After(to) {
		completed := fleet.completions[0]
		fleet.completions = fleet.completions[1:]
		fleet.inFlightCost -= completed.arrival.cost
		fleet.instances[completed.arrival.instance].finish(completed.at, completed.arrival)
	}
}

// schedulerInstance is an instance with a Scheduler.
type schedulerInstance struct {
	fleet     *fleet
	scheduler *admit.Scheduler
	fifo      bool
	waiting   map[*admit.Ticket]*arrival
}

func (instance *schedulerInstance) submit(now time.Time, arrival *arrival) {
	request := admit.Request{Team: arrival.team, Cost: arrival.cost, Deadline: now.Add(deadlineMS * time.Millisecond)}
	if instance.fifo {
		request.Team = ""
	}
	ticket, err := instance.scheduler.Submit(now, request)
	if err != nil {
		return
	}
	arrival.ticket = ticket
	if ticket.Granted() {
		instance.fleet.start(now, arrival)
		return
	}
	instance.waiting[ticket] = arrival
}

func (instance *schedulerInstance) finish(now time.Time, arrival *arrival) {
	instance.scheduler.Finish(now, arrival.ticket, arrival.cost)
	instance.dispatch(now)
}

func (instance *schedulerInstance) dispatch(now time.Time) {
	for ticket := instance.scheduler.Dequeue(now); ticket != nil; ticket = instance.scheduler.Dequeue(now) {
		if ticket.Granted() {
			instance.fleet.start(now, instance.waiting[ticket])
		}
		delete(instance.waiting, ticket)
	}
}

// bucketInstance is an instance with a TokenBucket.
type bucketInstance struct {
	fleet  *fleet
	bucket *admit.TokenBucket
}

func (instance *bucketInstance) submit(now time.Time, arrival *arrival) {
	if instance.bucket.AdmitAt(now, admit.Request{Team: arrival.team, Cost: arrival.cost}) == nil {
		instance.fleet.start(now, arrival)
	}
}

func (*bucketInstance) finish(time.Time, *arrival) {}

// completion is the end of a started request.
type completion struct {
	at      time.Time
	arrival *arrival
}
