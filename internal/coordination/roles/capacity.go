package roles

import "mangopier.example/mangopier/internal/protocol/note"

// fullUtilisation is the utilisation above which answers miss their limits.
const fullUtilisation = 0.85

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

// serves reports whether an engine is left for each phase.
func (split split) serves() bool {
	return split.prefill+split.mixed > 0 && split.decode+split.mixed > 0
}

// utilisation returns the load of the busiest phase, or of all engines
// together, for a demand in engines.
func (split split) utilisation(demand mix, mixedEfficiency float64) float64 {
	flexible := float64(split.mixed) * mixedEfficiency
	prefill, decode := float64(split.prefill), float64(split.decode)
	return max(
		ratio(demand.prefill, prefill+flexible),
		ratio(demand.decode, decode+flexible),
		ratio(demand.prefill+demand.decode, prefill+decode+flexible),
	)
}

// served returns the share of a demand that is answered within its limits.
func (split split) served(demand mix, mixedEfficiency float64) float64 {
	utilisation := split.utilisation(demand, mixedEfficiency)
	if utilisation <= fullUtilisation {
		return 1
	}
	return fullUtilisation / utilisation
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
	engines []EngineState
	ready   split
	rates   mix // mean tokens per second of one engine, by phase
	unready bool
}

func newFleet(engines []EngineState) fleet {
	fleet := fleet{engines: engines}
	for _, engine := range engines {
		fleet.rates.prefill += engine.PrefillTPS / float64(len(engines))
		fleet.rates.decode += engine.DecodeTPS / float64(len(engines))
		if engine.Unready {
			fleet.unready = true
			continue
		}
		fleet.ready = fleet.ready.with(roleOf(engine), 1)
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
		if engine.Unready || roleOf(engine) != role {
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

func roleOf(engine EngineState) note.Role {
	if engine.Role == "" {
		return note.RoleMixed
	}
	return engine.Role
}
