package fleet

import "time"

// FixedPolicy is the policy that keeps a constant number of on-demand
// targets.
type FixedPolicy struct {
	counts map[string]map[Pool]int
}

// NewFixedPolicy returns a policy that keeps the given number of on-demand targets
// for each data centre and pool.
func NewFixedPolicy(counts map[string]map[Pool]int) *FixedPolicy {
	return &FixedPolicy{counts: counts}
}

// PlanOrders returns orders that release drained targets and start missing ones. It
// never drains.
func (policy *FixedPolicy) PlanOrders(_ time.Time, state State) []Order {
	var orders []Order
	for _, dataCenter := range state.DataCenters {
		builder := newOrderBuilder(dataCenter)
		builder.releaseDrained()
		for _, demand := range dataCenter.Demand {
			active := countTargets(dataCenter.Targets, demand.Pool).onDemand
			for ; active < policy.counts[dataCenter.Name][demand.Pool]; active++ {
				builder.startTarget(demand.Pool, false)
			}
		}
		orders = append(orders, builder.orders...)
	}
	return orders
}
