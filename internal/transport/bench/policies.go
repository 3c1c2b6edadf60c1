package bench

import (
	"math/rand/v2"
	"time"

	"mangopier.example/mangopier/internal/coordination/fleet"
	"mangopier.example/mangopier/internal/coordination/loader"
	"mangopier.example/mangopier/internal/coordination/roles"
	"mangopier.example/mangopier/internal/protocol/note"
)

// simulationStream is the second word of the PCG seed of every simulation.
const simulationStream = 1

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, simulationStream)) }

// thresholdFactor is the factor of the threshold baseline. 2 gives the
// highest goodput of 1.2, 1.5 and 2.
const thresholdFactor = 2

// roleScenario compares role policies under one configuration.
func roleScenario(name, description string, config roleConfig) Scenario {
	simulate := func(policy func() roles.Policy) func(uint64) Sample {
		return func(seed uint64) Sample {
			engines := newEngines(config.prefillEngines, config.decodeEngines, note.RoleDecode)
			simulation := &roleSimulation{roleConfig: config, random: newRand(seed), policy: policy(), engines: engines}
			return simulation.run().sample()
		}
	}
	return Scenario{Name: name, Description: description, Variants: []Variant{
		{Name: "persistence", Simulate: simulate(func() roles.Policy { return roles.NewPersistencePolicy() })},
		{Name: "never", Baseline: true, Simulate: simulate(func() roles.Policy { return roles.StaticPolicy{} })},
		{Name: "threshold", Baseline: true, Simulate: simulate(func() roles.Policy { return roles.NewThresholdPolicy(thresholdFactor) })},
		{Name: "mixed", Baseline: true, Simulate: simulateMixed(config)},
	}}
}

// simulateMixed simulates engines that all prefill and decode.
func simulateMixed(config roleConfig) func(uint64) Sample {
	return func(seed uint64) Sample {
		engines := newEngines(0, config.prefillEngines+config.decodeEngines, note.RoleMixed)
		simulation := &roleSimulation{roleConfig: config, random: newRand(seed), policy: roles.StaticPolicy{}, engines: engines}
		return simulation.run().sample()
	}
}

// largeRoleConfig returns a configuration of twelve engines.
func largeRoleConfig(share prefillShareFunc, utilization float64) roleConfig {
	return roleConfig{prefillShare: share, utilization: utilization, mixedOverhead: 1.5, prefillEngines: 4, decodeEngines: 8}
}

// smallRoleConfig returns a configuration of three engines under a steady
// prefill share, where prefill in a mixed step costs no more than alone.
func smallRoleConfig(engineLosses bool) roleConfig {
	return roleConfig{prefillShare: steadyShare, utilization: 0.4, mixedOverhead: 1, prefillEngines: 1, decodeEngines: 2, engineLosses: engineLosses}
}

func (result roleResult) sample() Sample {
	return Sample{
		Measures: []Measure{
			{"goodput", "%", 100 * result.goodput()},
			{"changes", "", float64(result.changes)},
		},
		Timeline: newTimeline(result.intervals, roleTimelineInterval),
	}
}

// fleetScenario compares capacity policies.
func fleetScenario(name, description string, spotFaults, surge bool) Scenario {
	simulate := func(policy func() fleet.Policy) func(uint64) Sample {
		return func(seed uint64) Sample {
			simulation := &fleetSimulation{random: newRand(seed), policy: policy(), spotFaults: spotFaults, surge: surge}
			return simulation.run().sample()
		}
	}
	return Scenario{Name: name, Description: description, Variants: []Variant{
		{Name: "planner", Simulate: simulate(func() fleet.Policy { return fleet.NewPlanner() })},
		{Name: "planner, none cheap", Baseline: true, Simulate: simulate(func() fleet.Policy { return fleet.NewPlanner(fleet.WithMaxSpotShare(0)) })},
		{Name: "fixed", Baseline: true, Simulate: simulate(func() fleet.Policy { return fleet.NewFixedPolicy(peakTargets()) })},
	}}
}

func (result fleetResult) sample() Sample {
	return Sample{Measures: []Measure{
		{"goodput", "%", 100 * result.served / result.offered},
		{"worst tick", "%", 100 * result.minServedShare},
		{"target time", "h", result.targetTime / time.Hour.Seconds()},
		{"paid", "on-demand h", result.paid / time.Hour.Seconds()},
		{"on cheap targets", "%", 100 * result.servedOnSpot / result.served},
		{"cut calls", "", float64(result.interrupted)},
		{"refused calls", "", float64(result.refused)},
		{"ordered", "targets", float64(result.ordered)},
		{"reclaimed", "targets", float64(result.reclaimed)},
	}}
}

// weightScenario compares the orders in which weights are loaded.
func weightScenario() Scenario {
	simulate := func(policy loader.Policy) func(uint64) Sample {
		return func(seed uint64) Sample {
			return newWeightSimulation(newRand(seed), policy).run().sample()
		}
	}
	return Scenario{
		Name:        "weights",
		Description: "Three models change version at once on 36 targets in 3 data centres, from a weight store of 2 GB/s.",
		Variants: []Variant{
			{Name: "shortest remaining", Simulate: simulate(loader.New())},
			{Name: "all at once", Baseline: true, Simulate: simulate(loader.AllAtOnce{})},
			{Name: "one at a time", Baseline: true, Simulate: simulate(loader.OneAtATime{})},
		},
	}
}

func (result weightResult) sample() Sample {
	return Sample{Measures: []Measure{
		{"mean end of changes", "s", result.meanFinish.Seconds()},
		{"last end", "s", result.lastFinish.Seconds()},
		{"out of service", "target s", result.downtime.Seconds()},
		{"below 70% served", "s", result.belowMinServing.Seconds()},
		{"not served", "s", result.unservedTime.Seconds()},
		{"from the store", "GB", result.storeBytes / 1e9},
	}}
}
