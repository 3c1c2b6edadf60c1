// Package shape decides how many targets of a service to order in each data
// centre, how many of these should be spot targets (see site.Target), and which
// engines do prefill and which decode. It only computes the decisions and needs
// no network.
package shape

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
)

const (
	// spotRetryInterval is how long no spot targets are ordered in a data
	// centre after the platform had none there.
	spotRetryInterval = 500 * time.Millisecond
	// bootTimeMargin is how long after its boot time an ordered target may be
	// missing before the order is repeated.
	bootTimeMargin = 3 * time.Second
	// minRegular is the number of regular targets, which cannot be reclaimed,
	// that a data centre keeps if the bounds of the service allow.
	minRegular = 1
)

// CapacityPlanner decides the capacity orders for the targets of one service.
// It is not safe for concurrent use.
type CapacityPlanner struct {
	orders map[string]*dataCenterOrders // by data centre
}

// dataCenterOrders is what was ordered in one data centre.
type dataCenterOrders struct {
	regular, spot  lastOrder
	noSpotUntil    time.Time
	initialRegular int // regular targets when the data centre was first seen, at least the minimum
}

type lastOrder struct {
	count int
	at    time.Time // zero if nothing was ordered
}

// NewCapacityPlanner returns a CapacityPlanner that has ordered nothing.
func NewCapacityPlanner() *CapacityPlanner {
	return &CapacityPlanner{orders: map[string]*dataCenterOrders{}}
}

// targetCount counts the targets of one data centre that are not draining.
type targetCount struct{ regular, spot int }

// PlanOrders returns the orders to send now. The result of each has to be
// reported to RecordAccepted or RecordRefused. Idle means that no requests
// arrive yet, so that regular and spot targets may be ordered at the same
// time.
func (planner *CapacityPlanner) PlanOrders(service site.Service, targets []site.Target, idle bool, now time.Time) []site.CapacityOrder {
	if service.Scaling == nil || service.Scaling.SpotPrice <= 0 || service.Scaling.SpotPrice >= 1 {
		return nil
	}
	counts := countTargets(service, targets)
	shortage := planner.hasShortage(service, counts)
	var orders []site.CapacityOrder
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		orders = append(orders, planner.ordersFor(service, name, *counts[name], idle, shortage, now)...)
	}
	return orders
}

// hasShortage reports whether so many targets are missing in all data centres
// together that regular ones have to replace spot ones.
func (planner *CapacityPlanner) hasShortage(service site.Service, counts map[string]*targetCount) bool {
	running := 0
	for _, count := range counts {
		running += count.regular + count.spot
	}
	return float64(running) < shortageShare*float64(service.Scaling.Max*len(counts))
}

// shortageShare is the share of the planned targets below which regular targets
// are ordered while no spot ones are available.
const shortageShare = 0.5

func countTargets(service site.Service, targets []site.Target) map[string]*targetCount {
	counts := map[string]*targetCount{}
	for name := range service.Scaling.Prices {
		counts[name] = &targetCount{}
	}
	for _, target := range targets {
		if target.Service != service.Name || target.Draining {
			continue
		}
		count, ok := counts[target.DataCenter]
		if !ok {
			count = &targetCount{}
			counts[target.DataCenter] = count
		}
		if target.Spot {
			count.spot++
		} else {
			count.regular++
		}
	}
	return counts
}

// ordersFor returns the next orders for one data centre: spot targets first,
// and fewer regular ones once half of the spot ones run.
func (planner *CapacityPlanner) ordersFor(service site.Service, name string, running targetCount, idle, shortage bool, now time.Time) []site.CapacityOrder {
	last, ok := planner.orders[name]
	if !ok {
		last = &dataCenterOrders{initialRegular: max(running.regular, service.Scaling.Min)}
		planner.orders[name] = last
	}
	scaling := service.Scaling
	noSpot := now.Before(last.noSpotUntil)
	regular := max(scaling.Min, minRegular)
	spot := max(0, scaling.Max-regular)
	if noSpot && shortage {
		regular = min(scaling.Max-running.spot, max(last.initialRegular, regular))
	}
	var orders []site.CapacityOrder
	if (idle || noSpot || running.spot*2 >= spot) && last.regular.isDue(regular, running.regular, scaling.BootTime, now) {
		orders = append(orders, site.CapacityOrder{Service: service.Name, DataCenter: name, Count: regular})
	}
	if !idle {
		spot = min(spot, scaling.Max-running.regular)
	}
	if !noSpot && last.spot.isDue(spot, running.spot, scaling.BootTime, now) {
		orders = append(orders, site.CapacityOrder{Service: service.Name, DataCenter: name, Count: spot, Spot: true})
	}
	return orders
}

// IsSettled reports whether no order is pending: the targets run as ordered, or
// an order was not carried out in time.
func (planner *CapacityPlanner) IsSettled(service site.Service, targets []site.Target, now time.Time) bool {
	if service.Scaling == nil {
		return true
	}
	for name, running := range countTargets(service, targets) {
		last, ok := planner.orders[name]
		if ok && (last.regular.isPending(running.regular, service.Scaling.BootTime, now) || last.spot.isPending(running.spot, service.Scaling.BootTime, now)) {
			return false
		}
	}
	return true
}

func (order *lastOrder) isPending(running int, bootTime time.Duration, now time.Time) bool {
	return !order.at.IsZero() && order.count != running && now.Sub(order.at) < bootTime+bootTimeMargin
}

// isDue reports whether a count has to be ordered: it differs from the count
// that was ordered last, or the targets of that order did not appear in time.
func (order *lastOrder) isDue(count, running int, bootTime time.Duration, now time.Time) bool {
	if order.at.IsZero() {
		return count != running
	}
	if order.count != count {
		return true
	}
	return running < count && now.Sub(order.at) > bootTime+bootTimeMargin
}

// RecordAccepted records an order that the platform accepted.
func (planner *CapacityPlanner) RecordAccepted(order site.CapacityOrder, now time.Time) {
	last := planner.orders[order.DataCenter]
	if order.Spot {
		last.spot = lastOrder{count: order.Count, at: now}
		return
	}
	last.regular = lastOrder{count: order.Count, at: now}
}

// RecordRefused records that the platform has no spot targets in a data
// centre.
func (planner *CapacityPlanner) RecordRefused(order site.CapacityOrder, now time.Time) {
	last := planner.orders[order.DataCenter]
	last.noSpotUntil = now.Add(spotRetryInterval)
	last.spot = lastOrder{}
}

// enginesPerDecode is the number of engines for each decode engine, unless the
// demand needs more. With long prompts, prefill is five sixths of the work.
const enginesPerDecode = 6.0

// minDecodeEngines is the least number of decode engines, so that the loss of
// one does not end all streams.
const minDecodeEngines = 2

// PlanStageChanges returns the engines of a service that should change their
// stage, the best suited first. It returns only as many as a stage lacks,
// because a change takes an engine out of service for seconds. Engines in
// changing, by target ID, count for the stage that they change to. Demand is the
// number of engines that the requests being decoded fill.
func PlanStageChanges(service site.Service, targets []site.Target, changing map[string]site.Stage, demand float64) []StageChange {
	engines := listEngines(service, targets, changing)
	if service.Engine == nil || len(engines) < 2 {
		return nil
	}
	decode := 0
	decodeByDataCenter := map[string]int{}
	for _, target := range engines {
		if target.Stage == site.Decode {
			decode++
			decodeByDataCenter[target.DataCenter]++
		}
	}
	lowest, highest := decodeEngineRange(len(engines), demand)
	stage, missing := site.Decode, lowest-decode
	if decode > highest {
		stage, missing = site.Prefill, decode-highest
	}
	var changes []StageChange
	for range max(0, missing) {
		chosen, ok := chooseEngine(engines, changing, stage, decodeByDataCenter)
		if !ok {
			break
		}
		changes = append(changes, StageChange{Target: *chosen, Stage: stage})
		chosen.Stage = stage
		if stage == site.Decode {
			decodeByDataCenter[chosen.DataCenter]++
		} else {
			decodeByDataCenter[chosen.DataCenter]--
		}
	}
	return changes
}

// listEngines returns the engines of a service that are not draining, sorted by
// ID. Engines in changing have the stage that they change to.
func listEngines(service site.Service, targets []site.Target, changing map[string]site.Stage) []site.Target {
	var engines []site.Target
	for _, target := range targets {
		if target.Service != service.Name || target.Draining || target.Stage == site.NoStage {
			continue
		}
		if stage, ok := changing[target.ID]; ok {
			target.Stage = stage
		}
		engines = append(engines, target)
	}
	slices.SortFunc(engines, func(a, b site.Target) int { return cmp.Compare(a.ID, b.ID) })
	return engines
}

// chooseEngine returns the engine that is best suited to change to a stage.
// Decode engines are spread over the data centres, and regular ones are
// preferred for decode because they cannot be reclaimed.
func chooseEngine(engines []site.Target, changing map[string]site.Stage, stage site.Stage, decodeByDataCenter map[string]int) (*site.Target, bool) {
	var best *site.Target
	for i := range engines {
		target := &engines[i]
		if _, ok := changing[target.ID]; ok || target.Stage == stage {
			continue
		}
		if best == nil || isBetterSuited(target, best, stage, decodeByDataCenter) {
			best = target
		}
	}
	return best, best != nil
}

func isBetterSuited(a, b *site.Target, stage site.Stage, decodeByDataCenter map[string]int) bool {
	order := cmp.Compare(decodeByDataCenter[a.DataCenter], decodeByDataCenter[b.DataCenter])
	if stage == site.Prefill {
		order = -order
	}
	if order != 0 {
		return order < 0
	}
	return a.Spot != b.Spot && a.Spot == (stage == site.Prefill)
}
