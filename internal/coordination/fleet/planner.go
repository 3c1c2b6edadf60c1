package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Planner starts targets for the load expected by the time they are ready, and
// drains targets that were superfluous for the whole stabilisation window. It
// runs as many spot targets as may be lost at once. It is not safe for concurrent
// use.
type Planner struct {
	settings          settings
	forecasts         map[poolKey]*loadForecast
	onDemandForecasts map[poolKey]*loadForecast
	forecastPeaks     map[poolKey]*slidingMax
	firstObserved     map[poolKey]time.Time // time of the first observation
	spotTrackers      map[string]*spotTracker
}

// NewPlanner returns a planner without observations.
func NewPlanner(opts ...Option) *Planner {
	planner := &Planner{
		settings:          defaultSettings(),
		forecasts:         map[poolKey]*loadForecast{},
		onDemandForecasts: map[poolKey]*loadForecast{},
		forecastPeaks:     map[poolKey]*slidingMax{},
		firstObserved:     map[poolKey]time.Time{},
		spotTrackers:      map[string]*spotTracker{},
	}
	for _, opt := range opts {
		opt(&planner.settings)
	}
	return planner
}

// PlanOrders returns the orders to carry out now. In each data centre, drained
// targets are released first, which makes room below the maximum, and pools
// follow in order of the targets that they lack, most first.
func (planner *Planner) PlanOrders(now time.Time, state State) []Order {
	var orders []Order
	tolerable := planner.tolerableSpotLosses(now, state)
	for _, dataCenter := range state.DataCenters {
		orders = append(orders, planner.planDataCenter(now, dataCenter, tolerable)...)
	}
	return orders
}

func (planner *Planner) planDataCenter(now time.Time, dataCenter DataCenter, tolerable map[poolKey]int) []Order {
	tracker := planner.spotTracker(dataCenter.Name)
	tracker.observe(now, dataCenter.Targets, planner.settings)
	builder := newOrderBuilder(dataCenter)
	builder.releaseDrained()
	pools := planner.poolsByShortage(dataCenter)
	for _, pool := range pools {
		size := planner.poolSize(poolKey{dataCenter.Name, pool})
		limit := planner.spotLimit(size, tolerable[poolKey{dataCenter.Name, pool}], tracker.inBackoff(now))
		builder.scaleUp(pool, size, limit)
		if planner.windowCovered(now, poolKey{dataCenter.Name, pool}) {
			builder.scaleDown(pool, size, limit)
		}
	}
	if len(pools) > 0 {
		builder.fillToMinimum(pools[0])
	}
	builder.drainOtherPools(pools)
	if builder.spotExhausted {
		tracker.startBackoff(now, planner.settings)
	}
	return builder.orders
}

// tolerableSpotLosses observes all demand and returns how many spot targets each
// pool may lose in each data centre so that the rest of its region stays within
// the maximum utilisation.
func (planner *Planner) tolerableSpotLosses(now time.Time, state State) map[poolKey]int {
	type regionPool struct {
		region string
		pool   Pool
	}
	regionTargets, expectedLoad := map[regionPool]int{}, map[regionPool]float64{}
	for _, dataCenter := range state.DataCenters {
		for _, demand := range dataCenter.Demand {
			key := poolKey{dataCenter.Name, demand.Pool}
			planner.observe(now, key, demand)
			inRegion := regionPool{regionName(dataCenter), demand.Pool}
			regionTargets[inRegion] += planner.poolSize(key).minTotal
			expectedLoad[inRegion] += planner.forecasts[key].predict(0)
		}
	}
	tolerable := map[poolKey]int{}
	for _, dataCenter := range state.DataCenters {
		for _, demand := range dataCenter.Demand {
			inRegion := regionPool{regionName(dataCenter), demand.Pool}
			tolerable[poolKey{dataCenter.Name, demand.Pool}] = max(regionTargets[inRegion]-targetsForLoad(expectedLoad[inRegion], planner.settings.maxUtilisation), 0)
		}
	}
	return tolerable
}

func (planner *Planner) observe(now time.Time, key poolKey, demand Demand) {
	if planner.forecasts[key] == nil {
		planner.forecasts[key] = newLoadForecast(now, demand.Load)
		planner.onDemandForecasts[key] = newLoadForecast(now, demand.OnDemandLoad)
		planner.forecastPeaks[key] = &slidingMax{}
		planner.firstObserved[key] = now
	}
	planner.forecasts[key].observe(now, demand.Load)
	planner.onDemandForecasts[key].observe(now, demand.OnDemandLoad)
	planner.forecastPeaks[key].add(now, planner.forecasts[key].predict(planner.settings.startupTime), planner.settings.stabilisationWindow)
}

// windowCovered reports whether a pool was observed for a whole stabilisation
// window. This is not so after the lease has moved to another instance, which then
// must not drain targets on too short a history.
func (planner *Planner) windowCovered(now time.Time, key poolKey) bool {
	return now.Sub(planner.firstObserved[key]) >= planner.settings.stabilisationWindow
}

func (planner *Planner) poolSize(key poolKey) poolSize {
	ahead := planner.settings.startupTime
	return planner.settings.poolSize(planner.forecasts[key].predict(ahead), planner.onDemandForecasts[key].predict(ahead), planner.forecastPeaks[key].value())
}

func (planner *Planner) spotLimit(size poolSize, tolerable int, inBackoff bool) spotLimit {
	share := int(planner.settings.maxSpotShare * float64(size.minTotal))
	return spotLimit{
		maxTargets: max(min(share, tolerable, size.minTotal-size.minOnDemand), 0),
		inBackoff:  inBackoff,
	}
}

func (planner *Planner) spotTracker(dataCenter string) *spotTracker {
	if planner.spotTrackers[dataCenter] == nil {
		planner.spotTrackers[dataCenter] = &spotTracker{}
	}
	return planner.spotTrackers[dataCenter]
}

// poolsByShortage returns the pools with demand in a data centre, those that lack
// the most targets first.
func (planner *Planner) poolsByShortage(dataCenter DataCenter) []Pool {
	shortage := map[Pool]int{}
	for _, demand := range dataCenter.Demand {
		size := planner.poolSize(poolKey{dataCenter.Name, demand.Pool})
		shortage[demand.Pool] = size.minTotal - countTargets(dataCenter.Targets, demand.Pool).total()
	}
	return slices.SortedFunc(maps.Keys(shortage), func(a, b Pool) int {
		return cmp.Or(cmp.Compare(shortage[b], shortage[a]), cmp.Compare(a, b))
	})
}

func regionName(dataCenter DataCenter) string {
	return cmp.Or(dataCenter.Region, dataCenter.Name)
}
