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
	dryWait = 2 * time.Second
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
// Refused.
func (capacity *Capacity) Orders(service site.Service, targets []site.Target, now time.Time) []site.CapacityOrder {
	if service.Scaling == nil {
		return nil
	}
	counts := countTargets(service, targets)
	var orders []site.CapacityOrder
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if order, ok := capacity.orderAt(service, name, *counts[name], now); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

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

// orderAt returns the next order for one data centre: cheap targets first, and
// fewer regular ones once these run.
func (capacity *Capacity) orderAt(service site.Service, name string, have tallyOf, now time.Time) (site.CapacityOrder, bool) {
	at, ok := capacity.places[name]
	if !ok {
		at = &place{atFirst: max(have.regular, service.Scaling.Min)}
		capacity.places[name] = at
	}
	scaling := service.Scaling
	regular := max(scaling.Min, regularLeast)
	cheap := max(0, scaling.Max-regular)
	if scaling.CheapPrice <= 0 || scaling.CheapPrice >= 1 {
		return site.CapacityOrder{}, false
	}
	order := site.CapacityOrder{Service: service.Name, DataCenter: name}
	if now.Before(at.dryUntil) && have.cheap < cheap/2 {
		order.Count = min(scaling.Max-have.cheap, max(at.atFirst, regular))
		return order, at.regular.wants(order.Count, have.regular, scaling.Boot, now)
	}
	allowed := min(cheap, scaling.Max-have.regular)
	if !now.Before(at.dryUntil) && at.cheap.wants(allowed, have.cheap, scaling.Boot, now) {
		order.Cheap, order.Count = true, allowed
		return order, true
	}
	if have.cheap*2 < cheap {
		return order, false
	}
	order.Count = regular
	return order, at.regular.wants(regular, have.regular, scaling.Boot, now)
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
// most urgent first.
func Stages(service site.Service, targets []site.Target) []StageChange {
	engines := enginesOf(service, targets)
	if service.Engine == nil || len(engines) < 2 {
		return nil
	}
	decode := max(min(leastDecode, len(engines)/2), int(float64(len(engines))/enginesPerDecode+0.5))
	wanted := wantedDecode(engines, decode)
	var changes []StageChange
	for _, target := range engines {
		stage := site.Prefill
		if wanted[target.ID] {
			stage = site.Decode
		}
		if target.Stage != stage {
			changes = append(changes, StageChange{Target: target, Stage: stage})
		}
	}
	slices.SortStableFunc(changes, func(a, b StageChange) int { return cmp.Compare(b.Stage, a.Stage) })
	return changes
}

func enginesOf(service site.Service, targets []site.Target) []site.Target {
	var engines []site.Target
	for _, target := range targets {
		if target.Service == service.Name && !target.Leaving && target.Stage != site.NoStage {
			engines = append(engines, target)
		}
	}
	slices.SortFunc(engines, func(a, b site.Target) int { return cmp.Compare(a.ID, b.ID) })
	return engines
}

// wantedDecode chooses the engines that make tokens: those that cannot be
// taken away first, in turn over the data centres, and among equals those that
// do so already.
func wantedDecode(engines []site.Target, count int) map[string]bool {
	wanted := map[string]bool{}
	perPlace := map[string]int{}
	for len(wanted) < count {
		best := -1
		for i, target := range engines {
			if !wanted[target.ID] && (best < 0 || before(target, engines[best], perPlace)) {
				best = i
			}
		}
		wanted[engines[best].ID] = true
		perPlace[engines[best].DataCenter]++
	}
	return wanted
}

func before(a, b site.Target, perPlace map[string]int) bool {
	if a.Cheap != b.Cheap {
		return !a.Cheap
	}
	if perPlace[a.DataCenter] != perPlace[b.DataCenter] {
		return perPlace[a.DataCenter] < perPlace[b.DataCenter]
	}
	return a.Stage == site.Decode && b.Stage != site.Decode
}
