package roles

import "mangopier.example/mangopier/internal/protocol/note"

// restore returns a change to the phase that no engine takes, by the least
// busy engine of the other phase. The last engine becomes mixed.
func (fleet fleet) restore(key group) (Change, bool) {
	from, to := note.RoleDecode, note.RolePrefill
	if fleet.ready.prefill > 0 {
		from, to = to, from
	}
	engine, ok := fleet.pick(from)
	if !ok {
		return Change{}, false
	}
	if !fleet.ready.with(from, -1).with(to, 1).serves() {
		to = note.RoleMixed
	}
	return key.change(engine, to, 0), true
}

func (key group) change(engine EngineState, to note.Role, gain float64) Change {
	return Change{
		Engine:     engine.ID,
		Model:      key.model,
		DataCenter: key.dataCenter,
		From:       engine.role(),
		To:         to,
		Gain:       gain,
	}
}
