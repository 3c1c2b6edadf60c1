package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Planner orders targets for the load expected when they will have started,
// as many cheap ones as can be lost at once, and drains what was superfluous
// for a while. It is not safe for concurrent use.
type Planner struct {
	settings  settings
	forecasts map[key]*forecast
	pinned    map[key]*forecast
	peaks     map[key]*peak
	began     map[key]time.Time // when the first load was observed
	cheap     map[string]*cheapState
}

// New returns a planner that has seen no state.
func New(opts ...Option) *Planner {
	planner := &Planner{
		settings:  defaults(),
		forecasts: map[key]*forecast{},
		pinned:    map[key]*forecast{},
		peaks:     map[key]*peak{},
		began:     map[key]time.Time{},
		cheap:     map[string]*cheapState{},
	}
	for _, opt := range opts {
		opt(&planner.settings)
	}
	return planner
}

// Decide returns the orders to carry out now. Targets that have drained come
// first, so that their places are free; among pools the one that lacks the
// most targets comes first.
func (planner *Planner) Decide(now time.Time, state State) []Order {
	var orders []Order
	spare := planner.spares(now, state)
	for _, dataCenter := range state.DataCenters {
		orders = append(orders, planner.decide(now, dataCenter, spare)...)
	}
	return orders
}

func (planner *Planner) decide(now time.Time, dataCenter DataCenter, spare map[key]int) []Order {
	cheap := planner.cheapOf(dataCenter.Name)
	cheap.watch(now, dataCenter.Targets, planner.settings)
	site := newSite(dataCenter)
	site.release()
	pools := planner.byShortage(dataCenter)
	for _, pool := range pools {
		need := planner.need(key{dataCenter.Name, pool})
		bound := planner.cheapBound(need, spare[key{dataCenter.Name, pool}], cheap.paused(now))
		site.grow(pool, need, bound)
		if planner.knows(now, key{dataCenter.Name, pool}) {
			site.shrink(pool, need, bound)
		}
	}
	if len(pools) > 0 {
		site.fill(pools[0])
	}
	site.clear(pools)
	if site.lackedCheap {
		cheap.pause(now, planner.settings)
	}
	return site.orders
}

// spares observes all demand and returns how many cheap targets each pool may
// lose in each data centre with the rest of its region within limits.
func (planner *Planner) spares(now time.Time, state State) map[key]int {
	type regional struct {
		region string
		pool   Pool
	}
	targets, needed := map[regional]int{}, map[regional]float64{}
	for _, dataCenter := range state.DataCenters {
		for _, demand := range dataCenter.Demand {
			key := key{dataCenter.Name, demand.Pool}
			planner.observe(now, key, demand)
			in := regional{regionOf(dataCenter), demand.Pool}
			targets[in] += planner.need(key).order
			needed[in] += planner.forecasts[key].at(0)
		}
	}
	spare := map[key]int{}
	for _, dataCenter := range state.DataCenters {
		for _, demand := range dataCenter.Demand {
			in := regional{regionOf(dataCenter), demand.Pool}
			spare[key{dataCenter.Name, demand.Pool}] = max(targets[in]-count(needed[in], planner.settings.limit), 0)
		}
	}
	return spare
}

func (planner *Planner) observe(now time.Time, key key, demand Demand) {
	if planner.forecasts[key] == nil {
		planner.forecasts[key] = newForecast(now, demand.Load)
		planner.pinned[key] = newForecast(now, demand.Pinned)
		planner.peaks[key] = &peak{}
		planner.began[key] = now
	}
	planner.forecasts[key].observe(now, demand.Load)
	planner.pinned[key].observe(now, demand.Pinned)
	planner.peaks[key].add(now, planner.forecasts[key].at(planner.settings.startTime), planner.settings.holdTime)
}

// knows reports whether the peak of a pool covers the hold time, which it does
// not after the duty has passed to another instance.
func (planner *Planner) knows(now time.Time, key key) bool {
	return now.Sub(planner.began[key]) >= planner.settings.holdTime
}

func (planner *Planner) need(key key) need {
	ahead := planner.settings.startTime
	return planner.settings.needs(planner.forecasts[key].at(ahead), planner.pinned[key].at(ahead), planner.peaks[key].value())
}

func (planner *Planner) cheapBound(need need, spare int, paused bool) cheapBound {
	share := int(planner.settings.cheapShare * float64(need.order))
	return cheapBound{
		most:   max(min(share, spare, need.order-need.least), 0),
		paused: paused,
	}
}

func (planner *Planner) cheapOf(dataCenter string) *cheapState {
	if planner.cheap[dataCenter] == nil {
		planner.cheap[dataCenter] = &cheapState{}
	}
	return planner.cheap[dataCenter]
}

// byShortage returns the pools with demand in a data centre, the one that
// lacks the most targets first.
func (planner *Planner) byShortage(dataCenter DataCenter) []Pool {
	lack := map[Pool]int{}
	for _, demand := range dataCenter.Demand {
		need := planner.need(key{dataCenter.Name, demand.Pool})
		lack[demand.Pool] = need.order - tallyOf(dataCenter.Targets, demand.Pool).total()
	}
	return slices.SortedFunc(maps.Keys(lack), func(a, b Pool) int {
		return cmp.Or(cmp.Compare(lack[b], lack[a]), cmp.Compare(a, b))
	})
}

func regionOf(dataCenter DataCenter) string {
	return cmp.Or(dataCenter.Region, dataCenter.Name)
}
