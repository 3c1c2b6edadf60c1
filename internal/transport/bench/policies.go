package bench

import (
	"math/rand/v2"
	"time"

	"mangopier.example/mangopier/internal/coordination/fleet"
	"mangopier.example/mangopier/internal/coordination/loader"
	"mangopier.example/mangopier/internal/coordination/roles"
	"mangopier.example/mangopier/internal/protocol/note"
)

// modelStream is the second word of the seeds of models.
const modelStream = 1

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, modelStream)) }

// thresholdFactor is that of the threshold baseline: the best of 1.2, 1.5 and
// 2 in goodput.
const thresholdFactor = 2

// roleScenario compares role policies in one regime.
func roleScenario(name, description string, regime regime) Scenario {
	model := func(policy func() roles.Policy) func(uint64) Sample {
		return func(seed uint64) Sample {
			engines := newEngines(regime.prefills, regime.decodes, note.RoleDecode)
			model := &roleModel{regime: regime, random: newRandom(seed), policy: policy(), engines: engines}
			return model.run().sample()
		}
	}
	return Scenario{Name: name, Description: description, Variants: []Variant{
		{Name: "persistence", Model: model(func() roles.Policy { return roles.NewPersistencePolicy() })},
		{Name: "never", Baseline: true, Model: model(func() roles.Policy { return roles.StaticPolicy{} })},
		{Name: "threshold", Baseline: true, Model: model(func() roles.Policy { return roles.NewThresholdPolicy(thresholdFactor) })},
		{Name: "mixed", Baseline: true, Model: mixedModel(regime)},
	}}
}

// mixedModel runs engines that are all mixed.
func mixedModel(regime regime) func(uint64) Sample {
	return func(seed uint64) Sample {
		engines := newEngines(0, regime.prefills+regime.decodes, note.RoleMixed)
		model := &roleModel{regime: regime, random: newRandom(seed), policy: roles.StaticPolicy{}, engines: engines}
		return model.run().sample()
	}
}

// large is the regime of twelve engines under a shift.
func large(shift shift, load float64) regime {
	return regime{shift: shift, load: load, overhead: 1.5, prefills: 4, decodes: 8}
}

// small is the regime of three engines under a steady mix, in which a chunk of
// a prompt costs no more for being mixed.
func small(losses bool) regime {
	return regime{shift: steadyShift, load: 0.4, overhead: 1, prefills: 1, decodes: 2, losses: losses}
}

func (result roleResult) sample() Sample {
	return Sample{
		Measures: []Measure{
			{"goodput", "%", 100 * result.goodput()},
			{"changes", "", float64(result.changes)},
		},
		Timeline: timelineOf(result.steps, roleStep),
	}
}

// fleetScenario compares capacity policies.
func fleetScenario(name, description string, faults, surge bool) Scenario {
	model := func(policy func() fleet.Policy) func(uint64) Sample {
		return func(seed uint64) Sample {
			model := &fleetModel{random: newRandom(seed), policy: policy(), faults: faults, surge: surge}
			return model.run().sample()
		}
	}
	return Scenario{Name: name, Description: description, Variants: []Variant{
		{Name: "planner", Model: model(func() fleet.Policy { return fleet.NewPlanner() })},
		{Name: "planner, none cheap", Baseline: true, Model: model(func() fleet.Policy { return fleet.NewPlanner(fleet.WithMaxSpotShare(0)) })},
		{Name: "fixed", Baseline: true, Model: model(func() fleet.Policy { return fleet.NewFixedPolicy(peakCounts()) })},
	}}
}

func (result fleetResult) sample() Sample {
	return Sample{Measures: []Measure{
		{"goodput", "%", 100 * result.served / result.offered},
		{"worst tick", "%", 100 * result.worst},
		{"target time", "h", result.time / time.Hour.Seconds()},
		{"paid", "on-demand h", result.paid / time.Hour.Seconds()},
		{"on cheap targets", "%", 100 * result.cheap / result.served},
		{"cut calls", "", float64(result.cutCalls)},
		{"refused calls", "", float64(result.lostCalls)},
		{"ordered", "targets", float64(result.ordered)},
		{"reclaimed", "targets", float64(result.reclaimed)},
	}}
}

// weightScenario compares orders of weight loads.
func weightScenario() Scenario {
	model := func(policy loader.Policy) func(uint64) Sample {
		return func(seed uint64) Sample {
			return newLoadModel(newRandom(seed), policy).run().sample()
		}
	}
	return Scenario{
		Name:        "weights",
		Description: "Three models change version at once on 36 targets in 3 data centres, from a weight store of 2 GB/s.",
		Variants: []Variant{
			{Name: "shortest remaining", Model: model(loader.New())},
			{Name: "all at once", Baseline: true, Model: model(loader.AllAtOnce{})},
			{Name: "one at a time", Baseline: true, Model: model(loader.OneAtATime{})},
		},
	}
}

func (result loadResult) sample() Sample {
	return Sample{Measures: []Measure{
		{"mean end of changes", "s", result.meanEnd.Seconds()},
		{"last end", "s", result.lastEnd.Seconds()},
		{"out of service", "target s", result.gone.Seconds()},
		{"below 70% served", "s", result.starved.Seconds()},
		{"not served", "s", result.unserved.Seconds()},
		{"from the store", "GB", result.fetched / 1e9},
	}}
}
