package roles

import (
	"math"

	"mangopier.example/mangopier/internal/protocol/note"
)

// Utilisation at which a phase loses answers, and how sharply it does.
const (
	prefillKnee      = 0.93
	prefillSharpness = 8
	decodeKnee       = 1.0
	decodeSharpness  = 12
)

// split counts the engines of a group that take work, by role.
type split struct {
	prefill int
	decode  int
	mixed   int
}

func (split split) with(role note.Role, count int) split {
	switch role {
	case note.RolePrefill:
		split.prefill += count
	case note.RoleDecode:
		split.decode += count
	case note.RoleMixed:
		split.mixed += count
	}
	return split
}

// specialised reports whether any engine takes one phase only.
func (split split) specialised() bool { return split.prefill+split.decode > 0 }

// serves reports whether an engine is left for each phase.
func (split split) serves() bool {
	return split.prefill+split.mixed > 0 && split.decode+split.mixed > 0
}

// served returns the share of a demand, in engines, that is answered within
// its limits. An answer needs both phases, and mixed engines are shared by
// both.
func (split split) served(demand mix, mixedEfficiency float64) float64 {
	flexible := float64(split.mixed) * mixedEfficiency
	prefill := ratio(demand.prefill, float64(split.prefill)+flexible)
	decode := ratio(demand.decode, float64(split.decode)+flexible)
	both := ratio(demand.prefill+demand.decode, float64(split.prefill+split.decode)+flexible)
	return min(
		within(prefill, prefillKnee, prefillSharpness)*within(decode, decodeKnee, decodeSharpness),
		within(both, decodeKnee, decodeSharpness),
	)
}

// within returns the share of work that is done within limits at a
// utilisation: all of it far below the knee, and what capacity is left for far
// above.
func within(utilisation, knee, sharpness float64) float64 {
	return math.Pow(1+math.Pow(utilisation/knee, sharpness), -1/sharpness)
}

// ratio returns a load over a capacity, and a large number for a load on
// nothing.
func ratio(load, capacity float64) float64 {
	if load <= 0 {
		return 0
	}
	return load / max(capacity, 1e-6)
}

// fleet is the engines of one group, in the order given.
type fleet struct {
	engines  []EngineState
	ready    split
	rates    mix // mean tokens per second of one engine, by phase
	changing bool
}

func newFleet(engines []EngineState) fleet {
	fleet := fleet{engines: engines}
	for _, engine := range engines {
		fleet.rates.prefill += engine.PrefillTPS / float64(len(engines))
		fleet.rates.decode += engine.DecodeTPS / float64(len(engines))
		fleet.changing = fleet.changing || engine.Changing
		if engine.takesWork() {
			fleet.ready = fleet.ready.with(engine.role(), 1)
		}
	}
	return fleet
}

// normalise returns a demand in tokens per second as one in engines.
func (fleet fleet) normalise(demand mix) mix {
	return mix{
		prefill: ratio(demand.prefill, fleet.rates.prefill),
		decode:  ratio(demand.decode, fleet.rates.decode),
	}
}

// pick returns the engine of a role that holds the fewest requests.
func (fleet fleet) pick(role note.Role) (EngineState, bool) {
	var best EngineState
	found := false
	for _, engine := range fleet.engines {
		if !engine.takesWork() || engine.role() != role {
			continue
		}
		if !found || engine.InFlight < best.InFlight {
			best, found = engine, true
		}
	}
	return best, found
}

// groups returns the engines by group, and the groups in the order in which
// they first appear.
func groups(engines []EngineState) ([]group, map[group][]EngineState) {
	var order []group
	members := map[group][]EngineState{}
	for _, engine := range engines {
		key := groupOf(engine)
		if _, ok := members[key]; !ok {
			order = append(order, key)
		}
		members[key] = append(members[key], engine)
	}
	return order, members
}

func (engine EngineState) takesWork() bool { return !engine.Unready && !engine.Changing }

func (engine EngineState) role() note.Role {
	if engine.Role == "" {
		return note.RoleMixed
	}
	return engine.Role
}
