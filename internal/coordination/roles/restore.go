package roles

import "mangopier.example/mangopier/internal/protocol/note"

// restorePhase returns a change of the least busy engine to the phase that no
// engine runs. The last available engine becomes mixed.
func (engineGroup engineGroup) restorePhase(groupKey groupKey) (Change, bool) {
	from, to := note.RoleDecode, note.RolePrefill
	if engineGroup.available.prefill > 0 {
		from, to = to, from
	}
	engine, ok := engineGroup.leastBusy(from)
	if !ok {
		return Change{}, false
	}
	if !engineGroup.available.add(from, -1).add(to, 1).coversBothPhases() {
		to = note.RoleMixed
	}
	return groupKey.newChange(engine, to, 0), true
}

func (groupKey groupKey) newChange(engine EngineState, to note.Role, gain float64) Change {
	return Change{
		EngineID:    engine.ID,
		Model:       groupKey.model,
		DataCenter:  groupKey.dataCenter,
		From:        engine.effectiveRole(),
		To:          to,
		GainSeconds: gain,
	}
}
