package roles

import (
	"math"

	"mangopier.example/mangopier/internal/protocol/note"
)

// Utilisation above which a phase misses its latency limits (knee), and how
// steeply the share of responses within them falls there (sharpness).
const (
	prefillKnee      = 0.93
	prefillSharpness = 8
	decodeKnee       = 1.0
	decodeSharpness  = 12
)

// roleCounts counts the available engines of a group by role.
type roleCounts struct {
	prefill int
	decode  int
	mixed   int
}

func (roleCounts roleCounts) add(role note.Role, count int) roleCounts {
	switch role {
	case note.RolePrefill:
		roleCounts.prefill += count
	case note.RoleDecode:
		roleCounts.decode += count
	case note.RoleMixed:
		roleCounts.mixed += count
	}
	return roleCounts
}

// hasSpecialised reports whether any engine runs only one phase.
func (roleCounts roleCounts) hasSpecialised() bool { return roleCounts.prefill+roleCounts.decode > 0 }

// coversBothPhases reports whether at least one engine runs each phase.
func (roleCounts roleCounts) coversBothPhases() bool {
	return roleCounts.prefill+roleCounts.mixed > 0 && roleCounts.decode+roleCounts.mixed > 0
}

// servedShare returns the share of a demand, in engines, that is served within
// its latency limits. A response needs both phases, and mixed engines run both.
func (roleCounts roleCounts) servedShare(demand phaseDemand, mixedEfficiency float64) float64 {
	mixedCapacity := float64(roleCounts.mixed) * mixedEfficiency
	prefill := utilisation(demand.prefill, float64(roleCounts.prefill)+mixedCapacity)
	decode := utilisation(demand.decode, float64(roleCounts.decode)+mixedCapacity)
	both := utilisation(demand.prefill+demand.decode, float64(roleCounts.prefill+roleCounts.decode)+mixedCapacity)
	return min(
		shareWithinLimits(prefill, prefillKnee, prefillSharpness)*shareWithinLimits(decode, decodeKnee, decodeSharpness),
		shareWithinLimits(both, decodeKnee, decodeSharpness),
	)
}

// shareWithinLimits returns the share of work that is done within its limits at a
// utilisation: all of it far below the knee, and knee/utilisation far above.
func shareWithinLimits(utilisation, knee, sharpness float64) float64 {
	return math.Pow(1+math.Pow(utilisation/knee, sharpness), -1/sharpness)
}

// utilisation returns load / capacity, and a large finite number if there is load
// but no capacity.
func utilisation(load, capacity float64) float64 {
	if load <= 0 {
		return 0
	}
	return load / max(capacity, 1e-6)
}

// engineGroup holds the engines of one model in one data centre, in the order
// given.
type engineGroup struct {
	engines       []EngineState
	available     roleCounts
	meanTPS       phaseDemand // mean of one engine, by phase
	changePending bool
}

func newEngineGroup(engines []EngineState) engineGroup {
	engineGroup := engineGroup{engines: engines}
	for _, engine := range engines {
		engineGroup.meanTPS.prefill += engine.PrefillTPS / float64(len(engines))
		engineGroup.meanTPS.decode += engine.DecodeTPS / float64(len(engines))
		engineGroup.changePending = engineGroup.changePending || engine.ChangePending
		if engine.acceptsWork() {
			engineGroup.available = engineGroup.available.add(engine.effectiveRole(), 1)
		}
	}
	return engineGroup
}

// demandInEngines converts a demand from tokens per second to engines.
func (engineGroup engineGroup) demandInEngines(demand phaseDemand) phaseDemand {
	return phaseDemand{
		prefill: utilisation(demand.prefill, engineGroup.meanTPS.prefill),
		decode:  utilisation(demand.decode, engineGroup.meanTPS.decode),
	}
}

// leastBusy returns the available engine of a role with the fewest in-flight
// requests, or false if there is none.
func (engineGroup engineGroup) leastBusy(role note.Role) (EngineState, bool) {
	var best EngineState
	found := false
	for _, engine := range engineGroup.engines {
		if !engine.acceptsWork() || engine.effectiveRole() != role {
			continue
		}
		if !found || engine.InFlight < best.InFlight {
			best, found = engine, true
		}
	}
	return best, found
}

// groupEngines returns the groups in order of first appearance, and the engines
// of each.
func groupEngines(engines []EngineState) ([]groupKey, map[groupKey][]EngineState) {
	var groupKeys []groupKey
	enginesByGroup := map[groupKey][]EngineState{}
	for _, engine := range engines {
		groupKey := groupKeyOf(engine)
		if _, ok := enginesByGroup[groupKey]; !ok {
			groupKeys = append(groupKeys, groupKey)
		}
		enginesByGroup[groupKey] = append(enginesByGroup[groupKey], engine)
	}
	return groupKeys, enginesByGroup
}

func (engine EngineState) acceptsWork() bool { return !engine.Unready && !engine.ChangePending }

func (engine EngineState) effectiveRole() note.Role {
	if engine.Role == "" {
		return note.RoleMixed
	}
	return engine.Role
}
