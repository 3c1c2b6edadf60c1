package entry

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/fleet"
	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/protocol/note"
)

const (
	// capacityInterval is the time between capacity decisions. It gives ordered
	// targets time to appear in the platform's list.
	capacityInterval = 10 * time.Second
	// refusalBackoff is how long no target of a class, spot or on-demand, is
	// ordered after the platform refused one.
	refusalBackoff = time.Minute
	// defaultSlots stands in for targets whose number of slots is not known.
	defaultSlots = 32
)

// capacityPlanner applies the capacity policy of one data centre.
type capacityPlanner struct {
	policy       fleet.Policy
	nextDecision time.Time
	refusedAt    map[bool]time.Time // time of the last refusal, by Spot of the order
}

func newCapacityPlanner(policy string) *capacityPlanner {
	planner := &capacityPlanner{nextDecision: time.Now().Add(capacityInterval), refusedAt: map[bool]time.Time{}}
	if policy == "adaptive" {
		planner.policy = fleet.NewPlanner()
	}
	return planner
}

// adjustCapacity starts, drains and releases targets as the capacity policy
// decides. Targets that release notes list belong to the operator: they count as
// capacity, but are neither drained nor released.
func (controller *orderController) adjustCapacity(ctx context.Context, catalog *note.Catalog, snapshot *snapshot) {
	now := time.Now()
	dataCenter := catalog.DataCenters[controller.dataCenter]
	if controller.capacityPlanner.policy == nil || dataCenter.MaxTargets == 0 || now.Before(controller.capacityPlanner.nextDecision) {
		return
	}
	controller.capacityPlanner.nextDecision = now.Add(capacityInterval)
	state := fleet.State{DataCenters: []fleet.DataCenter{controller.capacityState(dataCenter, snapshot)}}
	for _, decision := range controller.capacityPlanner.policy.PlanOrders(now, state) {
		controller.issueCapacityOrder(ctx, decision, snapshot)
	}
}

func (controller *orderController) issueCapacityOrder(ctx context.Context, decision fleet.Order, snapshot *snapshot) {
	target := snapshot.targets[decision.TargetID]
	var result order.Result
	switch decision.Action {
	case fleet.Start:
		result = controller.issuer.IssuePlatform(ctx, order.PlatformOrder{
			Kind: order.PlatformStart, Count: 1, Spot: decision.Spot, Pool: string(decision.Pool),
		})
		if code.Is(result.Err, code.OrderRefused) {
			controller.capacityPlanner.refusedAt[decision.Spot] = time.Now()
		}
	case fleet.Drain:
		if !target.StartedByOrder {
			return
		}
		controller.releasing[target.ID] = true
		result = controller.issuer.Issue(ctx, order.Request{Target: target.Target, Order: order.Order{Kind: order.KindDrain}})
	case fleet.Release:
		if !target.StartedByOrder {
			return
		}
		result = controller.issuer.IssuePlatform(ctx, order.PlatformOrder{Kind: order.PlatformStop, TargetIDs: []string{target.ID}})
	}
	controller.logger.Info().Str("pool", string(decision.Pool)).Str("target", decision.TargetID).Int("action", int(decision.Action)).
		Bool("cheap", decision.Spot).AnErr("error", result.Err).Msg("issued capacity order")
}

// capacityState returns the state of the data centre that the policy decides by.
func (controller *orderController) capacityState(dataCenter note.DataCenter, snapshot *snapshot) fleet.DataCenter {
	state := fleet.DataCenter{
		Name: dataCenter.Name, Region: dataCenter.Region, MinTargets: dataCenter.MinTargets, MaxTargets: dataCenter.MaxTargets,
		AvailableOnDemand: controller.availableTargets(dataCenter, false), AvailableSpot: controller.availableTargets(dataCenter, true),
	}
	poolLoads := map[fleet.Pool]float64{}
	for id, target := range snapshot.targets {
		if target.DataCenter != dataCenter.Name || target.Lifecycle == infra.LifecycleEnded {
			continue
		}
		state.Targets = append(state.Targets, controller.fleetTarget(id, target, snapshot))
		pool := fleetPool(target.Target)
		report := snapshot.readings[id].report
		slots := float64(max(1, target.Slots))
		if target.Slots == 0 {
			slots = defaultSlots
		}
		poolLoads[pool] += float64(report.RunningRequests+report.QueuedRequests) / slots
	}
	for pool, load := range poolLoads {
		state.Demand = append(state.Demand, fleet.Demand{Pool: pool, Load: load})
	}
	return state
}

// availableTargets returns how many targets of a class the platform is assumed to
// have: none for the refusal backoff, and otherwise up to the data centre's limit.
func (controller *orderController) availableTargets(dataCenter note.DataCenter, spot bool) int {
	if refusedAt, ok := controller.capacityPlanner.refusedAt[spot]; ok && time.Since(refusedAt) < refusalBackoff {
		return 0
	}
	return dataCenter.MaxTargets
}

func (controller *orderController) fleetTarget(id string, target infra.Target, snapshot *snapshot) fleet.Target {
	reading, reported := snapshot.readings[id]
	fleetTarget := fleet.Target{
		ID: id, Pool: fleetPool(target.Target), Spot: target.Spot, Phase: fleet.Serving,
		InFlight: reading.report.RunningRequests + reading.report.QueuedRequests,
	}
	switch {
	case target.Lifecycle == infra.LifecycleLeaving || reading.report.Draining:
		fleetTarget.Phase = fleet.Draining
	case !reported:
		fleetTarget.Phase = fleet.Starting
	}
	return fleetTarget
}

func fleetPool(target note.Target) fleet.Pool {
	if target.Kind == note.KindService {
		return fleet.Pool("service/" + target.Service)
	}
	if len(target.Models) == 0 {
		return ""
	}
	return fleet.Pool(target.Models[0])
}
