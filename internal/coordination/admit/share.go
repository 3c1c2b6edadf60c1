package admit

import (
	"cmp"
	"slices"
	"time"
)

const (
	peerSilence = 3 * time.Second // after which a peer counts as silent
	fractionMin = 0.25            // part of an even share that an instance or a team at it has at least
)

// Demand is the work that a team has at one instance, in flight and waiting.
type Demand struct {
	Team   string
	Weight float64
	Units  float64
}

// Peer is what another instance told of its demand.
type Peer struct {
	Name    string
	At      time.Time // when it was heard
	Demands []Demand
}

// exchange is what this instance may use, by the newest exchange.
type exchange struct {
	limit     float64            // cost units in flight
	fractions map[string]float64 // part of its weight that a team has here, 1 if absent
}

func (exchange *exchange) fraction(team string) float64 {
	if fraction, ok := exchange.fractions[team]; ok {
		return fraction
	}
	return 1
}

// Demand returns what this instance's peers have to know.
func (scheduler *Scheduler) Demand() []Demand {
	var demands []Demand
	for _, team := range scheduler.teams {
		if units := team.running + team.queued; units > 0 {
			demands = append(demands, Demand{team.name, team.weight, units})
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Team, b.Team) })
	return demands
}

// SetCapacity sets the cost units that the whole fleet may have in flight.
// It takes effect with the next exchange.
func (scheduler *Scheduler) SetCapacity(units float64) {
	scheduler.config.capacity = units
}

// Exchange divides the fleet's capacity anew among teams and instances.
// Members counts the live instances with this one. Members that are not among
// peers, or are silent, keep an even part of the capacity for themselves.
func (scheduler *Scheduler) Exchange(now time.Time, members int, peers []Peer) {
	scheduler.apply(negotiate(now, scheduler.config.capacity, members, scheduler.Demand(), peers))
}

func (scheduler *Scheduler) apply(exchange exchange) {
	scheduler.exchange = exchange
	for name, team := range scheduler.teams {
		scheduler.reweigh(team, team.weight, exchange.fraction(name))
	}
}

// negotiate works out an exchange from this instance's demand and its peers'.
func negotiate(now time.Time, capacity float64, members int, own []Demand, peers []Peer) exchange {
	heard := make([][]Demand, 0, len(peers))
	for _, peer := range peers {
		if now.Sub(peer.At) <= peerSilence {
			heard = append(heard, peer.Demands)
		}
	}
	members = max(members, len(heard)+1)
	even := capacity / float64(members)
	pool := even * float64(len(heard)+1)
	return divide(pool, even, own, heard)
}

// divide gives each team a weighted max-min fair part of the pool, and this
// instance its part of that in proportion to its own demand of the team. What
// no team asks for is divided evenly. An instance all of whose teams have what
// they ask for may use its even part, so that work which arrives between two
// exchanges need not wait; others use that part only as far as it was unused.
//
// A team that asks for more than its part shares it among the instances by
// its weight there. One that asks for less has its whole weight everywhere.
func divide(pool, even float64, own []Demand, peers [][]Demand) exchange {
	total := sum(own, peers)
	parts, rest := maxMin(pool, total)
	result := exchange{limit: rest / float64(len(peers)+1), fractions: map[string]float64{}}
	for team, demand := range total {
		if parts[team] < demand.Units {
			result.fractions[team] = fractionMin / float64(len(peers)+1)
		}
	}
	least := even
	for _, demand := range own {
		fraction := demand.Units / total[demand.Team].Units
		result.limit += fraction * parts[demand.Team]
		if floor, ok := result.fractions[demand.Team]; ok {
			result.fractions[demand.Team] = max(floor, fraction)
			least = even * fractionMin
		}
	}
	result.limit = max(result.limit, least)
	return result
}

func sum(own []Demand, peers [][]Demand) map[string]Demand {
	total := make(map[string]Demand, len(own))
	add := func(demands []Demand) {
		for _, demand := range demands {
			entry := total[demand.Team]
			entry.Team = demand.Team
			entry.Units += bounded(demand.Units, costMin)
			entry.Weight = max(entry.Weight, bounded(demand.Weight, 0))
			total[demand.Team] = entry
		}
	}
	add(own)
	for _, demands := range peers {
		add(demands)
	}
	return total
}

// maxMin returns the weighted max-min fair part of each team, and what is
// left when all have what they ask for.
func maxMin(pool float64, total map[string]Demand) (map[string]float64, float64) {
	demands, weights := make([]Demand, 0, len(total)), 0.0
	for _, demand := range total {
		if demand.Weight <= 0 {
			demand.Weight = 1
		}
		demands = append(demands, demand)
		weights += demand.Weight
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Units/a.Weight, b.Units/b.Weight), cmp.Compare(a.Team, b.Team))
	})
	parts := make(map[string]float64, len(demands))
	for _, demand := range demands {
		part := min(demand.Units, pool*demand.Weight/weights)
		parts[demand.Team] = part
		pool -= part
		weights -= demand.Weight
	}
	return parts, max(0, pool)
}
