package bench

import (
	"cmp"
	"time"
)

// Scenarios returns all scenarios in a fixed order.
func Scenarios() []Scenario {
	scenarios := []Scenario{steadyScenario(), routingScenario(), smallCacheScenario(), floodScenario(), engineLossScenario(), mixShiftScenario()}
	return append(scenarios, policyScenarios()...)
}

// FindScenario returns the scenario with a name, and whether there is one.
func FindScenario(name string) (Scenario, bool) {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario, true
		}
	}
	return Scenario{}, false
}

// policyScenarios returns the scenarios that simulate single policies.
func policyScenarios() []Scenario {
	return []Scenario{
		roleScenario("roles-steady", "Role changes under a steady mix, 12 engines at 75% load.", largeRoleConfig(steadyShare, 0.75)),
		roleScenario("roles-step", "Role changes when the prefill share steps from 0.27 to 0.405, 0.135 and back.", largeRoleConfig(stepShare, 0.75)),
		roleScenario("roles-ramp", "Role changes when the prefill share ramps to 0.405 and then to 0.135.", largeRoleConfig(rampShare, 0.75)),
		roleScenario("roles-swing", "Role changes when the prefill share swings between 0.405 and 0.135 every 10 s.", largeRoleConfig(swingShare, 0.75)),
		roleScenario("roles-step-90", "As roles-step, at 90% load.", largeRoleConfig(stepShare, 0.9)),
		roleScenario("roles-ramp-90", "As roles-ramp, at 90% load.", largeRoleConfig(rampShare, 0.9)),
		roleScenario("roles-swing-90", "As roles-swing, at 90% load.", largeRoleConfig(swingShare, 0.9)),
		roleScenario("roles-step-mixing", "As roles-step, at 60% load, with mixing that costs nothing.", roleConfig{prefillShare: stepShare, utilization: 0.6, mixedOverhead: 1, prefillEngines: 4, decodeEngines: 8}),
		roleScenario("roles-small", "Roles of 3 engines at 40% load under a steady mix, with mixing that costs nothing.", smallRoleConfig(false)),
		roleScenario("roles-small-loss", "As roles-small, with one engine after another lost for 40 s.", smallRoleConfig(true)),
		fleetScenario("fleet-calm", "Capacity over two cycles of load in 3 data centres, cheap targets always there.", false, false),
		fleetScenario("fleet-reclaim", "As fleet-calm, with zones reclaimed four times and no cheap targets for half an hour.", true, false),
		fleetScenario("fleet-surge", "As fleet-reclaim, with the load half as high again within seconds for 20 min.", true, true),
		weightScenario(),
	}
}

// Model and teams that launchers and the demo configure.
const workloadModel = "layout"

var workloadTeams = []string{"press", "council", "guides"}

// workloadLimits are the latency limits of a response that counts as good.
var workloadLimits = LatencyLimits{MaxTTFT: maxTTFT, MaxMeanTokenGap: maxMeanTokenGap}

// newWorkload returns a workload with the requests per second of each team,
// in the order of workloadTeams.
func newWorkload(rates ...float64) Workload {
	workload := Workload{
		Model:    workloadModel,
		Duration: 20 * time.Second,
		Mixes:    []Mix{{MeanPromptTokens: 200, MeanOutputTokens: 40, PrefixCount: 16, PrefixTokens: 1024}},
		Limits:   workloadLimits,
	}
	for index, rate := range rates {
		workload.Teams = append(workload.Teams, TeamLoad{Team: workloadTeams[index], RequestsPerSecond: rate})
	}
	return workload
}

func steadyScenario() Scenario {
	return Scenario{
		Name:        "steady",
		Description: "A steady load of three teams at about half of the stand-ins' capacity.",
		Variants:    []Variant{{Name: "defaults", Workload: newWorkload(40, 20, 20)}},
	}
}

// mixShiftScenario shifts from long prompts to long outputs.
func mixShiftScenario() Scenario {
	workload := newWorkload(30, 15, 15)
	workload.Mixes = []Mix{
		{MeanPromptTokens: 400, MeanOutputTokens: 40},
		{Start: 7 * time.Second, MeanPromptTokens: 1600, MeanOutputTokens: 10},
		{Start: 14 * time.Second, MeanPromptTokens: 100, MeanOutputTokens: 80},
	}
	return Scenario{
		Name:        "mix-shift",
		Description: "The mix shifts to long prompts after 7 s and to long answers after 14 s.",
		Variants:    []Variant{{Name: "defaults", Workload: workload}},
	}
}

func routingScenario() Scenario {
	return newRoutingScenario("routing", "Choice of targets under a load with 16 shared prompt beginnings.", 0)
}

// smallCacheBlocks is a prefix cache that holds less than half of the shared
// prefixes.
const smallCacheBlocks = 64

func smallCacheScenario() Scenario {
	return newRoutingScenario("routing-small-cache", "As routing, with engines whose caches hold less than half of the beginnings.", smallCacheBlocks)
}

func newRoutingScenario(name, description string, cacheBlocks int) Scenario {
	scenario := Scenario{Name: name, Description: description}
	for _, routing := range []Routing{"", RoundRobin, Random, LeastOutstanding} {
		scenario.Variants = append(scenario.Variants, Variant{
			Name: cmp.Or(string(routing), "prefix"), Baseline: routing != "",
			Setup: Setup{Routing: routing, CacheBlocks: cacheBlocks}, Workload: newWorkload(60, 30, 30),
		})
	}
	return scenario
}

// floodScenario lets one team send a multiple of its rate for a while.
func floodScenario() Scenario {
	workload := newWorkload(40, 15, 15)
	workload.Teams[0].Surge = Surge{Start: 5 * time.Second, End: 15 * time.Second, RateFactor: 6}
	scenario := Scenario{
		Name:        "flood",
		Description: "One of three teams sends six times its load for 10 s.",
	}
	for _, admission := range []Admission{"", FirstComeFirstServed, TokenBucket} {
		scenario.Variants = append(scenario.Variants, Variant{
			Name: cmp.Or(string(admission), "fair"), Baseline: admission != "",
			Setup: Setup{Admission: admission}, Workload: workload,
		})
	}
	return scenario
}

func engineLossScenario() Scenario {
	faults := []Fault{
		{At: 6 * time.Second, Kind: EngineCrash, TargetIndex: 0, Duration: 6 * time.Second},
		{At: 6 * time.Second, Kind: EngineCrash, TargetIndex: 1, Duration: 6 * time.Second},
	}
	scenario := Scenario{
		Name:        "engine-loss",
		Description: "Two of six engines crash at once and return after 6 s.",
	}
	for _, retries := range []Retries{"", UnboundedRetries, NoRetries} {
		scenario.Variants = append(scenario.Variants, Variant{
			Name: cmp.Or(string(retries), "budget"), Baseline: retries != "",
			Setup: Setup{EngineCount: 6, Retries: retries}, Workload: newWorkload(60, 30, 30), Faults: faults,
		})
	}
	return scenario
}
