package roles

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/note"
)

// Never is the policy that changes no role.
type Never struct{}

// Observe does nothing.
func (Never) Observe(time.Time, Demand) {}

// Decide returns no change.
func (Never) Decide(time.Time, []EngineState) (Change, bool) { return Change{}, false }

// Threshold is the policy that changes a role as soon as the load of one
// phase in the last window exceeds that of the other by a factor.
type Threshold struct {
	factor float64
	last   map[group]mix
}

// NewThreshold returns a threshold policy. A factor of 1.2 stands for a phase
// that is a fifth busier than the other.
func NewThreshold(factor float64) *Threshold {
	return &Threshold{factor: factor, last: map[group]mix{}}
}

// Observe takes in the demand of the window that ended now.
func (threshold *Threshold) Observe(_ time.Time, demand Demand) {
	key := group{model: demand.Model, dataCenter: demand.DataCenter}
	threshold.last[key] = mix{prefill: demand.PrefillTPS, decode: demand.DecodeTPS}
}

// Decide returns a change for the first group out of balance.
func (threshold *Threshold) Decide(_ time.Time, engines []EngineState) (Change, bool) {
	order, members := groups(engines)
	for _, key := range order {
		if change, ok := threshold.decideGroup(key, newFleet(members[key])); ok {
			return change, true
		}
	}
	return Change{}, false
}

func (threshold *Threshold) decideGroup(key group, fleet fleet) (Change, bool) {
	last, observed := threshold.last[key]
	if !observed || fleet.changing {
		return Change{}, false
	}
	demand := fleet.normalise(last)
	prefill := ratio(demand.prefill, float64(fleet.ready.prefill+fleet.ready.mixed))
	decode := ratio(demand.decode, float64(fleet.ready.decode+fleet.ready.mixed))
	from, to := note.RoleDecode, note.RolePrefill
	if decode > prefill {
		from, to = to, from
		prefill, decode = decode, prefill
	}
	engine, ok := fleet.pick(from)
	if !ok || prefill <= threshold.factor*decode || !fleet.ready.with(from, -1).serves() {
		return Change{}, false
	}
	return Change{Engine: engine.ID, Model: key.model, DataCenter: key.dataCenter, From: from, To: to}, true
}
