package fleet

import "slices"

// orderBuilder collects the orders for one data centre and keeps the counts of its
// targets up to date with them.
type orderBuilder struct {
	dataCenter    DataCenter
	orders        []Order
	paidTargets   int // paid for once the orders are carried out
	activeTargets int // of those, not draining or being reclaimed
	spotExhausted bool
}

func newOrderBuilder(dataCenter DataCenter) *orderBuilder {
	builder := &orderBuilder{dataCenter: dataCenter, paidTargets: len(dataCenter.Targets)}
	for _, target := range dataCenter.Targets {
		if target.isActive() {
			builder.activeTargets++
		}
	}
	return builder
}

// releaseDrained releases draining targets that have no requests in flight.
func (builder *orderBuilder) releaseDrained() {
	for _, target := range builder.dataCenter.Targets {
		if target.Phase == Draining && target.InFlight == 0 {
			builder.addTargetOrder(Release, target)
			builder.paidTargets--
		}
	}
}

// scaleUp starts the targets that a pool lacks: spot targets up to the limit, once
// an on-demand target serves, and on-demand targets for the rest.
func (builder *orderBuilder) scaleUp(pool Pool, size poolSize, limit spotLimit) {
	counts := countTargets(builder.dataCenter.Targets, pool)
	spot := limit.desiredTargets(counts.spot)
	onDemand := max(size.minTotal-spot, size.minOnDemand)
	if counts.onDemand > onDemand && counts.total() <= size.maxTotal {
		onDemand = counts.onDemand - 1 // replace on-demand targets by spot ones, one at a time
	}
	for counts.servingOnDemand > 0 && counts.spot < spot && counts.spot+max(counts.onDemand, onDemand) <= size.maxTotal {
		if !builder.startTarget(pool, true) {
			builder.spotExhausted = builder.dataCenter.AvailableSpot == 0
			break
		}
		counts.spot++
	}
	for counts.onDemand < size.minOnDemand || counts.onDemand+min(counts.spot, limit.maxTargets) < size.minTotal {
		if !builder.startTarget(pool, false) {
			break
		}
		counts.onDemand++
	}
}

// fillToMinimum starts on-demand targets of a pool until the data centre has its
// minimum of targets.
func (builder *orderBuilder) fillToMinimum(pool Pool) {
	for builder.activeTargets < builder.dataCenter.MinTargets && builder.startTarget(pool, false) {
		continue
	}
}

// scaleDown drains one target of a pool if more than its maximum serve and the data
// centre stays at or above its minimum.
func (builder *orderBuilder) scaleDown(pool Pool, size poolSize, limit spotLimit) {
	counts := countTargets(builder.dataCenter.Targets, pool)
	if counts.serving <= size.maxTotal || builder.activeTargets <= builder.dataCenter.MinTargets {
		return
	}
	onDemand := counts.spot <= limit.maxTargets && counts.onDemand > max(size.minOnDemand, size.maxTotal-limit.maxTargets)
	builder.drainLeastLoaded(pool, !onDemand)
}

// drainOtherPools drains all targets of pools that are not listed.
func (builder *orderBuilder) drainOtherPools(pools []Pool) {
	for _, target := range builder.dataCenter.Targets {
		if target.isActive() && !slices.Contains(pools, target.Pool) {
			builder.addTargetOrder(Drain, target)
			builder.activeTargets--
		}
	}
}

// drainLeastLoaded drains the active target of a pool and price class that has the
// fewest requests in flight.
func (builder *orderBuilder) drainLeastLoaded(pool Pool, spot bool) {
	var candidates []Target
	for _, target := range builder.dataCenter.Targets {
		if target.Pool == pool && target.Spot == spot && target.isActive() {
			candidates = append(candidates, target)
		}
	}
	if len(candidates) == 0 {
		return
	}
	builder.addTargetOrder(Drain, slices.MinFunc(candidates, func(a, b Target) int { return a.InFlight - b.InFlight }))
	builder.activeTargets--
}

// startTarget orders a new target. It returns false if the platform cannot supply
// one or the data centre has reached its maximum.
func (builder *orderBuilder) startTarget(pool Pool, spot bool) bool {
	supply := &builder.dataCenter.AvailableOnDemand
	if spot {
		supply = &builder.dataCenter.AvailableSpot
	}
	full := builder.dataCenter.MaxTargets > 0 && builder.paidTargets >= builder.dataCenter.MaxTargets
	if full || *supply <= 0 {
		return false
	}
	*supply--
	builder.paidTargets++
	builder.activeTargets++
	builder.orders = append(builder.orders, Order{Action: Start, DataCenter: builder.dataCenter.Name, Pool: pool, Spot: spot})
	return true
}

func (builder *orderBuilder) addTargetOrder(action Action, target Target) {
	builder.orders = append(builder.orders, Order{
		Action:     action,
		DataCenter: builder.dataCenter.Name,
		Pool:       target.Pool,
		Spot:       target.Spot,
		TargetID:   target.ID,
	})
}
