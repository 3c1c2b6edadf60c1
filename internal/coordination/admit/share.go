package admit

import (
	"cmp"
	"slices"
	"time"
)

const (
	maxPeerAge           = 3 * time.Second // a peer with an older demand counts as unreachable
	minEvenShareFraction = 0.25            // of an even share, kept by an instance and by a team at each instance
)

// TeamDemand is the cost of a team's requests at one instance, in flight and
// waiting.
type TeamDemand struct {
	Team   string
	Weight float64
	Cost   float64 // cost units
}

// PeerDemand is the demand of another instance by team.
type PeerDemand struct {
	Instance   string
	ReportedAt time.Time // when the demand was reported, by the local clock
	Demands    []TeamDemand
}

// allocation is the part of the fleet's capacity that this instance may use
// until the next exchange.
type allocation struct {
	limitCost       float64            // cost units in flight
	weightFractions map[string]float64 // by team, fraction of its weight that applies here; 1 if absent
}

func (allocation *allocation) weightFraction(team string) float64 {
	if fraction, ok := allocation.weightFractions[team]; ok {
		return fraction
	}
	return 1
}

// Demands returns this instance's demand by team, sorted by team.
func (scheduler *Scheduler) Demands() []TeamDemand {
	var demands []TeamDemand
	for _, team := range scheduler.teams {
		if cost := team.inFlightCost + team.waitingCost; cost > 0 {
			demands = append(demands, TeamDemand{team.name, team.weight, cost})
		}
	}
	slices.SortFunc(demands, func(a, b TeamDemand) int { return cmp.Compare(a.Team, b.Team) })
	return demands
}

// SetCapacity sets the cost units that all instances together may have in
// flight. It takes effect at the next call of Rebalance.
func (scheduler *Scheduler) SetCapacity(units float64) {
	scheduler.config.capacity = units
}

// Rebalance recomputes how the fleet's capacity is divided among teams and
// instances. The instance count includes this instance. Instances that are not
// among the peers, or whose demand is older than three seconds, keep an even
// share of the capacity.
func (scheduler *Scheduler) Rebalance(now time.Time, instanceCount int, peers []PeerDemand) {
	scheduler.applyAllocation(allocate(now, scheduler.config.capacity, instanceCount, scheduler.Demands(), peers))
}

func (scheduler *Scheduler) applyAllocation(allocation allocation) {
	scheduler.allocation = allocation
	for name, team := range scheduler.teams {
		scheduler.setWeight(team, team.weight, allocation.weightFraction(name))
	}
}

// allocate computes this instance's allocation from its own demand and that of
// the peers heard from within maxPeerAge.
func allocate(now time.Time, capacity float64, instanceCount int, local []TeamDemand, peers []PeerDemand) allocation {
	peerDemands := make([][]TeamDemand, 0, len(peers))
	for _, peer := range peers {
		if now.Sub(peer.ReportedAt) <= maxPeerAge {
			peerDemands = append(peerDemands, peer.Demands)
		}
	}
	instanceCount = max(instanceCount, len(peerDemands)+1)
	evenShare := capacity / float64(instanceCount)
	pool := evenShare * float64(len(peerDemands)+1)
	return divideCapacity(pool, evenShare, local, peerDemands)
}

// divideCapacity gives each team its weighted max-min fair share of the pool,
// and this instance a part of that share in proportion to its own demand of the
// team. Capacity that no team demands is divided evenly among the instances.
//
// An instance whose teams all have what they demand may use its even share, so
// that requests which arrive between two exchanges need not wait. Other
// instances get only the part of that even share that was unused.
//
// The weight of a team that demands more than its share is divided among the
// instances in proportion to its demand there. A team that demands less keeps
// its full weight at every instance.
func divideCapacity(pool, evenShare float64, local []TeamDemand, peers [][]TeamDemand) allocation {
	total := totalDemands(local, peers)
	shares, unused := maxMinShares(pool, total)
	result := allocation{limitCost: unused / float64(len(peers)+1), weightFractions: map[string]float64{}}
	for team, demand := range total {
		if shares[team] < demand.Cost {
			result.weightFractions[team] = minEvenShareFraction / float64(len(peers)+1)
		}
	}
	minLimit := evenShare
	for _, demand := range local {
		fraction := demand.Cost / total[demand.Team].Cost
		result.limitCost += fraction * shares[demand.Team]
		if minFraction, ok := result.weightFractions[demand.Team]; ok {
			result.weightFractions[demand.Team] = max(minFraction, fraction)
			minLimit = evenShare * minEvenShareFraction
		}
	}
	result.limitCost = max(result.limitCost, minLimit)
	return result
}

func totalDemands(local []TeamDemand, peers [][]TeamDemand) map[string]TeamDemand {
	total := make(map[string]TeamDemand, len(local))
	add := func(demands []TeamDemand) {
		for _, demand := range demands {
			sum := total[demand.Team]
			sum.Team = demand.Team
			sum.Cost += clampCost(demand.Cost, minCost)
			sum.Weight = max(sum.Weight, clampCost(demand.Weight, 0))
			total[demand.Team] = sum
		}
	}
	add(local)
	for _, demands := range peers {
		add(demands)
	}
	return total
}

// maxMinShares returns the weighted max-min fair share of each team, and the
// part of the pool that no team demands.
func maxMinShares(pool float64, total map[string]TeamDemand) (map[string]float64, float64) {
	demands, weights := make([]TeamDemand, 0, len(total)), 0.0
	for _, demand := range total {
		if demand.Weight <= 0 {
			demand.Weight = 1
		}
		demands = append(demands, demand)
		weights += demand.Weight
	}
	slices.SortFunc(demands, func(a, b TeamDemand) int {
		return cmp.Or(cmp.Compare(a.Cost/a.Weight, b.Cost/b.Weight), cmp.Compare(a.Team, b.Team))
	})
	shares := make(map[string]float64, len(demands))
	for _, demand := range demands {
		share := min(demand.Cost, pool*demand.Weight/weights)
		shares[demand.Team] = share
		pool -= share
		weights -= demand.Weight
	}
	return shares, max(0, pool)
}
