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
	// capacityPause leaves the platform's list time to show what was ordered.
	capacityPause = 10 * time.Second
	// refusalPause is how long a class that the platform refused is not
	// ordered again.
	refusalPause = time.Minute
	defaultSlots = 32
)

// capacity decides how many targets run in a data center.
type capacity struct {
	policy  fleet.Policy
	next    time.Time
	refused map[bool]time.Time // by whether cheap targets were refused
}

func newCapacity(policy string) *capacity {
	capacity := &capacity{next: time.Now().Add(capacityPause), refused: map[bool]time.Time{}}
	if policy == "adaptive" {
		capacity.policy = fleet.New()
	}
	return capacity
}

// balance orders, drains and releases targets. Targets of release notes are
// the operator's: they count, and are neither drained nor released.
func (steward *steward) balance(ctx context.Context, catalog *note.Catalog, seen *snapshot) {
	now := time.Now()
	site := catalog.DataCenters[steward.dataCenter]
	if steward.capacity.policy == nil || site.MaxTargets == 0 || now.Before(steward.capacity.next) {
		return
	}
	steward.capacity.next = now.Add(capacityPause)
	state := fleet.State{DataCenters: []fleet.DataCenter{steward.siteOf(site, seen)}}
	for _, wanted := range steward.capacity.policy.Decide(now, state) {
		steward.carryOut(ctx, wanted, seen)
	}
}

func (steward *steward) carryOut(ctx context.Context, wanted fleet.Order, seen *snapshot) {
	target := seen.targets[wanted.Target]
	var result order.Result
	switch wanted.Action {
	case fleet.Start:
		result = steward.issuer.IssuePlatform(ctx, order.PlatformOrder{
			Kind: order.PlatformStart, Count: 1, Cheap: wanted.Cheap, Pool: string(wanted.Pool),
		})
		if code.Is(result.Err, code.OrderRefused) {
			steward.capacity.refused[wanted.Cheap] = time.Now()
		}
	case fleet.Drain:
		if !target.Ordered {
			return
		}
		steward.retiring[target.ID] = true
		result = steward.issuer.Issue(ctx, order.Request{Target: target.Target, Order: order.Order{Kind: order.KindDrain}})
	case fleet.Release:
		if !target.Ordered {
			return
		}
		result = steward.issuer.IssuePlatform(ctx, order.PlatformOrder{Kind: order.PlatformStop, TargetIDs: []string{target.ID}})
	}
	steward.logger.Info().Str("pool", string(wanted.Pool)).Str("target", wanted.Target).Int("action", int(wanted.Action)).
		Bool("cheap", wanted.Cheap).AnErr("error", result.Err).Msg("capacity was ordered")
}

// siteOf returns what the policy has to know of the data center.
func (steward *steward) siteOf(site note.DataCenter, seen *snapshot) fleet.DataCenter {
	state := fleet.DataCenter{
		Name: site.Name, Region: site.Region, MinTargets: site.MinTargets, MaxTargets: site.MaxTargets,
		OnDemand: steward.supply(site, false), Cheap: steward.supply(site, true),
	}
	loads := map[fleet.Pool]float64{}
	for id, target := range seen.targets {
		if target.DataCenter != site.Name || target.Life == infra.Ended {
			continue
		}
		state.Targets = append(state.Targets, steward.memberOf(id, target, seen))
		pool := poolOf(target.Target)
		load := seen.loads[id].load
		slots := float64(max(1, target.Slots))
		if target.Slots == 0 {
			slots = defaultSlots
		}
		loads[pool] += float64(load.Running+load.Queued) / slots
	}
	for pool, load := range loads {
		state.Demand = append(state.Demand, fleet.Demand{Pool: pool, Load: load})
	}
	return state
}

// supply is what the platform may still have, as far as it has not refused.
func (steward *steward) supply(site note.DataCenter, cheap bool) int {
	if at, ok := steward.capacity.refused[cheap]; ok && time.Since(at) < refusalPause {
		return 0
	}
	return site.MaxTargets
}

func (steward *steward) memberOf(id string, target infra.Target, seen *snapshot) fleet.Target {
	reading, known := seen.loads[id]
	member := fleet.Target{
		ID: id, Pool: poolOf(target.Target), Cheap: target.Cheap, Phase: fleet.Serving,
		InFlight: reading.load.Running + reading.load.Queued,
	}
	switch {
	case target.Life == infra.Leaving || reading.load.Draining:
		member.Phase = fleet.Draining
	case !known:
		member.Phase = fleet.Starting
	}
	return member
}

func poolOf(target note.Target) fleet.Pool {
	if target.Kind == note.KindService {
		return fleet.Pool("service/" + target.Service)
	}
	if len(target.Models) == 0 {
		return ""
	}
	return fleet.Pool(target.Models[0])
}
