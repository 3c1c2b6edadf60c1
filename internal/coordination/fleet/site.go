package fleet

import "slices"

// site is a data centre while orders for it are worked out.
type site struct {
	dataCenter  DataCenter
	orders      []Order
	paid        int // targets paid for after the orders
	staying     int // of those, the ones that are not draining
	lackedCheap bool
}

func newSite(dataCenter DataCenter) *site {
	site := &site{dataCenter: dataCenter, paid: len(dataCenter.Targets)}
	for _, target := range dataCenter.Targets {
		if target.stays() {
			site.staying++
		}
	}
	return site
}

// release gives back the targets that have drained.
func (site *site) release() {
	for _, target := range site.dataCenter.Targets {
		if target.Phase == Draining && target.InFlight == 0 {
			site.give(Release, target)
			site.paid--
		}
	}
}

// grow orders what a pool lacks: cheap targets up to a bound, where an
// on-demand one serves already, and on-demand targets for the rest.
func (site *site) grow(pool Pool, need need, bound cheapBound) {
	tally := tallyOf(site.dataCenter.Targets, pool)
	cheap := bound.wanted(tally.cheap)
	onDemand := max(need.order-cheap, need.least)
	if tally.onDemand > onDemand && tally.total() <= need.retain {
		onDemand = tally.onDemand - 1 // one cheap target takes its place
	}
	for tally.servingDemand > 0 && tally.cheap < cheap && tally.cheap+max(tally.onDemand, onDemand) <= need.retain {
		if !site.start(pool, true) {
			site.lackedCheap = site.dataCenter.Cheap == 0
			break
		}
		tally.cheap++
	}
	for tally.onDemand < need.least || tally.onDemand+min(tally.cheap, bound.most) < need.order {
		if !site.start(pool, false) {
			break
		}
		tally.onDemand++
	}
}

// fill orders on-demand targets of a pool up to the fewest of the data centre.
func (site *site) fill(pool Pool) {
	for site.staying < site.dataCenter.MinTargets && site.start(pool, false) {
		continue
	}
}

// shrink drains one target of a pool of which more serve than it retains.
func (site *site) shrink(pool Pool, need need, bound cheapBound) {
	tally := tallyOf(site.dataCenter.Targets, pool)
	if tally.serving <= need.retain || site.staying <= site.dataCenter.MinTargets {
		return
	}
	onDemand := tally.cheap <= bound.most && tally.onDemand > max(need.least, need.retain-bound.most)
	site.drain(pool, !onDemand)
}

// clear drains the targets of pools other than those listed.
func (site *site) clear(pools []Pool) {
	for _, target := range site.dataCenter.Targets {
		if target.stays() && !slices.Contains(pools, target.Pool) {
			site.give(Drain, target)
			site.staying--
		}
	}
}

// drain drains the target of a class that holds the fewest requests.
func (site *site) drain(pool Pool, cheap bool) {
	var candidates []Target
	for _, target := range site.dataCenter.Targets {
		if target.Pool == pool && target.Cheap == cheap && target.stays() {
			candidates = append(candidates, target)
		}
	}
	if len(candidates) == 0 {
		return
	}
	site.give(Drain, slices.MinFunc(candidates, func(a, b Target) int { return a.InFlight - b.InFlight }))
	site.staying--
}

// start orders a target, if the platform can supply it and the data centre
// has a place for it.
func (site *site) start(pool Pool, cheap bool) bool {
	supply := &site.dataCenter.OnDemand
	if cheap {
		supply = &site.dataCenter.Cheap
	}
	full := site.dataCenter.MaxTargets > 0 && site.paid >= site.dataCenter.MaxTargets
	if full || *supply <= 0 {
		return false
	}
	*supply--
	site.paid++
	site.staying++
	site.orders = append(site.orders, Order{Action: Start, DataCenter: site.dataCenter.Name, Pool: pool, Cheap: cheap})
	return true
}

func (site *site) give(action Action, target Target) {
	site.orders = append(site.orders, Order{
		Action:     action,
		DataCenter: site.dataCenter.Name,
		Pool:       target.Pool,
		Cheap:      target.Cheap,
		Target:     target.ID,
	})
}
