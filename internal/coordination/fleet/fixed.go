package fleet

import "time"

// Fixed is the policy that keeps the same number of on-demand targets.
type Fixed struct {
	counts map[string]map[Pool]int
}

// NewFixed returns a policy that keeps counts of targets by data centre and
// pool.
func NewFixed(counts map[string]map[Pool]int) *Fixed {
	return &Fixed{counts: counts}
}

// Decide orders the targets that are missing.
func (fixed *Fixed) Decide(_ time.Time, state State) []Order {
	var orders []Order
	for _, dataCenter := range state.DataCenters {
		site := newSite(dataCenter)
		site.release()
		for _, demand := range dataCenter.Demand {
			have := tallyOf(dataCenter.Targets, demand.Pool).onDemand
			for ; have < fixed.counts[dataCenter.Name][demand.Pool]; have++ {
				site.start(demand.Pool, false)
			}
		}
		orders = append(orders, site.orders...)
	}
	return orders
}
