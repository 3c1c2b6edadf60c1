// Package shape decides how many targets of a service run in each data centre,
// how many of these are cheap ones that may be taken away, and which engines
// read prompts and which make tokens. The decisions need no network.
package shape

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
)

const (
	// dryWait is how long no cheap targets are asked for after none were to
	// be had.
	dryWait = 500 * time.Millisecond
	// orderSlack is how long after its boot time an ordered target may stay
	// missing before the order is repeated.
	orderSlack = 3 * time.Second
	// regularLeast is how many targets that cannot be taken away a data
	// centre keeps, if the bounds allow.
	regularLeast = 1
)

// Capacity decides the orders for the targets of one service.
type Capacity struct {
	places map[string]*place // by data centre
}

// place is what was ordered in one data centre.
type place struct {
	regular, cheap ordered
	dryUntil       time.Time
	atFirst        int // regular targets seen at first
}

type ordered struct {
	count int
	at    time.Time // zero if nothing was ordered
}

// NewCapacity returns a decider that has ordered nothing.
func NewCapacity() *Capacity { return &Capacity{places: map[string]*place{}} }

// tallyOf counts the targets of one data centre that stay.
type tallyOf struct{ regular, cheap int }

// Orders returns the orders to send now. Each is to be reported to Ordered or
// Refused. Idle says that no requests come yet, so that everything may be
// ordered at once.
func (capacity *Capacity) Orders(service site.Service, targets []site.Target, idle bool, now time.Time) []site.CapacityOrder {
	if service.Scaling == nil || service.Scaling.CheapPrice <= 0 || service.Scaling.CheapPrice >= 1 {
		return nil
	}
	counts := countTargets(service, targets)
	short := capacity.short(service, counts)
	var orders []site.CapacityOrder
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		orders = append(orders, capacity.ordersAt(service, name, *counts[name], idle, short, now)...)
	}
	return orders
}

// short reports whether so many targets are missing in all data centres
// together that regular ones have to take the place of cheap ones.
func (capacity *Capacity) short(service site.Service, counts map[string]*tallyOf) bool {
	have := 0
	for _, count := range counts {
		have += count.regular + count.cheap
	}
	return float64(have) < shortShare*float64(service.Scaling.Max*len(counts))
}

// shortShare is the part of the planned targets below which regular ones are
// ordered while no cheap ones are to be had.
const shortShare = 0.5

func countTargets(service site.Service, targets []site.Target) map[string]*tallyOf {
	counts := map[string]*tallyOf{}
	for name := range service.Scaling.Prices {
		counts[name] = &tallyOf{}
	}
	for _, target := range targets {
		if target.Service != service.Name || target.Leaving {
			continue
		}
		count, ok := counts[target.DataCenter]
		if !ok {
			count = &tallyOf{}
			counts[target.DataCenter] = count
		}
		if target.Cheap {
			count.cheap++
		} else {
			count.regular++
		}
	}
	return counts
}

// ordersAt returns the next orders for one data centre: cheap targets first,
// and fewer regular ones once these run.
func (capacity *Capacity) ordersAt(service site.Service, name string, have tallyOf, idle, short bool, now time.Time) []site.CapacityOrder {
	at, ok := capacity.places[name]
	if !ok {
		at = &place{atFirst: max(have.regular, service.Scaling.Min)}
		capacity.places[name] = at
	}
	scaling := service.Scaling
	dry := now.Before(at.dryUntil)
	regular := max(scaling.Min, regularLeast)
	cheap := max(0, scaling.Max-regular)
	if dry && short {
		regular = min(scaling.Max-have.cheap, max(at.atFirst, regular))
	}
	var orders []site.CapacityOrder
	if (idle || dry || have.cheap*2 >= cheap) && at.regular.wants(regular, have.regular, scaling.Boot, now) {
		orders = append(orders, site.CapacityOrder{Service: service.Name, DataCenter: name, Count: regular})
	}
	if !idle {
		cheap = min(cheap, scaling.Max-have.regular)
	}
	if !dry && at.cheap.wants(cheap, have.cheap, scaling.Boot, now) {
		orders = append(orders, site.CapacityOrder{Service: service.Name, DataCenter: name, Count: cheap, Cheap: true})
	}
	return orders
}

// Settled reports whether all that was ordered has come.
func (capacity *Capacity) Settled(service site.Service, targets []site.Target, now time.Time) bool {
	if service.Scaling == nil {
		return true
	}
	for name, have := range countTargets(service, targets) {
		at, ok := capacity.places[name]
		if ok && (at.regular.pending(have.regular, service.Scaling.Boot, now) || at.cheap.pending(have.cheap, service.Scaling.Boot, now)) {
			return false
		}
	}
	return true
}

func (ordered *ordered) pending(have int, boot time.Duration, now time.Time) bool {
	return !ordered.at.IsZero() && ordered.count != have && now.Sub(ordered.at) < boot+orderSlack
}

// wants reports whether a count has to be ordered: it is another one than was
// ordered last, or that one has not come.
func (ordered *ordered) wants(count, have int, boot time.Duration, now time.Time) bool {
	if ordered.at.IsZero() {
		return count != have
	}
	if ordered.count != count {
		return true
	}
	return have < count && now.Sub(ordered.at) > boot+orderSlack
}

// Ordered records an order that the platform accepted.
func (capacity *Capacity) Ordered(order site.CapacityOrder, now time.Time) {
	at := capacity.places[order.DataCenter]
	if order.Cheap {
		at.cheap = ordered{count: order.Count, at: now}
		return
	}
	at.regular = ordered{count: order.Count, at: now}
}

// Refused records that no cheap targets are to be had in a data centre.
func (capacity *Capacity) Refused(order site.CapacityOrder, now time.Time) {
	at := capacity.places[order.DataCenter]
	at.dryUntil = now.Add(dryWait)
	at.cheap = ordered{}
}

// StageChange is an engine that should work on another stage.
type StageChange struct {
	Target site.Target
	Stage  site.Stage
}

// enginesPerDecode is how many engines there are for each one that makes
// tokens. On the sites' sheets reading prompts is five sixths of the work.
const enginesPerDecode = 6.0

// leastDecode is how many engines make tokens at least, so that the loss of
// one does not end all streams.
const leastDecode = 2

// Stages returns the engines of a service that should change their stage, the
// best suited first. It changes as many as are missing at a stage and no more:
// a change takes an engine out for seconds. Engines in changing count as what
// they change to.
func Stages(service site.Service, targets []site.Target, changing map[string]site.Stage) []StageChange {
	engines := enginesOf(service, targets, changing)
	if service.Engine == nil || len(engines) < 2 {
		return nil
	}
	wanted := max(min(leastDecode, len(engines)/2), int(float64(len(engines))/enginesPerDecode+0.5))
	decode := 0
	perPlace := map[string]int{}
	for _, target := range engines {
		if target.Stage == site.Decode {
			decode++
			perPlace[target.DataCenter]++
		}
	}
	stage, missing := site.Decode, wanted-decode
	if missing < 0 {
		stage, missing = site.Prefill, -missing
	}
	var changes []StageChange
	for range missing {
		chosen, ok := choose(engines, changing, stage, perPlace)
		if !ok {
			break
		}
		changes = append(changes, StageChange{Target: *chosen, Stage: stage})
		chosen.Stage = stage
		if stage == site.Decode {
			perPlace[chosen.DataCenter]++
		} else {
			perPlace[chosen.DataCenter]--
		}
	}
	return changes
}

func enginesOf(service site.Service, targets []site.Target, changing map[string]site.Stage) []site.Target {
	var engines []site.Target
	for _, target := range targets {
		if target.Service != service.Name || target.Leaving || target.Stage == site.NoStage {
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

// choose returns the engine that is best suited to change to a stage. Engines
// that make tokens are spread over the data centres and, where there is a
// choice, are not those that may be taken away.
func choose(engines []site.Target, changing map[string]site.Stage, stage site.Stage, perPlace map[string]int) (*site.Target, bool) {
	var best *site.Target
	for i := range engines {
		target := &engines[i]
		if _, ok := changing[target.ID]; ok || target.Stage == stage {
			continue
		}
		if best == nil || suits(target, best, stage, perPlace) {
			best = target
		}
	}
	return best, best != nil
}

func suits(a, b *site.Target, stage site.Stage, perPlace map[string]int) bool {
	places := cmp.Compare(perPlace[a.DataCenter], perPlace[b.DataCenter])
	if stage == site.Prefill {
		places = -places
	}
	if places != 0 {
		return places < 0
	}
	return a.Cheap != b.Cheap && a.Cheap == (stage == site.Prefill)
}
