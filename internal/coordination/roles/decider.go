package roles

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/note"
)

// leastGain is the share of a second's answers that a change has to win over
// the horizon in any case.
const leastGain = 0.5

// changeRoles lists the roles that an engine may change to, in the order of
// preference among equal gains.
var changeRoles = []note.Role{note.RolePrefill, note.RoleDecode, note.RoleMixed}

// Decider changes roles when what a change wins over the expected persistence
// of the mix exceeds what it loses while the engine is gone. It is not safe
// for concurrent use.
type Decider struct {
	settings  settings
	estimates map[group]*estimate
	changed   map[group]time.Time
}

// New returns a decider that has observed nothing.
func New(opts ...Option) *Decider {
	decider := &Decider{
		settings:  defaults(),
		estimates: map[group]*estimate{},
		changed:   map[group]time.Time{},
	}
	for _, opt := range opts {
		opt(&decider.settings)
	}
	return decider
}

// Observe takes in the demand of the window that ended now.
func (decider *Decider) Observe(now time.Time, demand Demand) {
	key := group{model: demand.Model, dataCenter: demand.DataCenter}
	sample := mix{prefill: max(demand.PrefillTPS, 0), decode: max(demand.DecodeTPS, 0)}
	known, ok := decider.estimates[key]
	if !ok {
		decider.estimates[key] = newEstimate(now, sample, decider.settings.horizon)
		return
	}
	known.observe(now, sample, decider.settings.fastTime, decider.settings.slowTime)
}

// Decide returns the change with the largest gain in the first group that has
// one worth its loss.
func (decider *Decider) Decide(now time.Time, engines []EngineState) (Change, bool) {
	order, members := groups(engines)
	for _, key := range order {
		if change, ok := decider.decideGroup(now, key, newFleet(members[key])); ok {
			decider.changed[key] = now
			return change, true
		}
	}
	return Change{}, false
}

func (decider *Decider) decideGroup(now time.Time, key group, fleet fleet) (Change, bool) {
	known, observed := decider.estimates[key]
	if !observed || fleet.unready || decider.holds(now, key) {
		return Change{}, false
	}
	outlook := decider.outlook(now, known, fleet)
	var best Change
	for _, from := range changeRoles {
		engine, ok := fleet.pick(from)
		if !ok || !fleet.ready.with(from, -1).serves() {
			continue
		}
		for _, to := range changeRoles {
			gain := outlook.gain(fleet.ready, from, to)
			if to != from && gain > best.Gain {
				best = Change{engine.ID, key.model, key.dataCenter, from, to, gain}
			}
		}
	}
	return best, best.Gain > 0
}

// holds reports whether the last change of a group is too recent for another.
func (decider *Decider) holds(now time.Time, key group) bool {
	changed, ok := decider.changed[key]
	return ok && now.Sub(changed) < max(decider.settings.holdTime, decider.settings.changeTime)
}

func (decider *Decider) outlook(now time.Time, known *estimate, fleet fleet) outlook {
	horizon := decider.settings.horizon
	return outlook{
		settings: decider.settings,
		current:  fleet.normalise(known.fast),
		lasting:  fleet.normalise(known.slow),
		persists: min(known.persistence(now), horizon),
	}
}

// outlook is the demand expected over the horizon, in engines: the current
// mix while it persists, and then the lasting one.
type outlook struct {
	settings settings
	current  mix
	lasting  mix
	persists time.Duration
}

// gain returns what a change wins over the horizon less what it loses, in
// seconds of answers, or 0 if the change is not worth its loss.
func (outlook outlook) gain(ready split, from, to note.Role) float64 {
	changing := ready.with(from, -1)
	after := changing.with(to, 1)
	changeSeconds := outlook.settings.changeTime.Seconds()
	persistSeconds := outlook.persists.Seconds()
	lastSeconds := outlook.settings.horizon.Seconds() - max(persistSeconds, changeSeconds)
	won := max(persistSeconds-changeSeconds, 0)*outlook.better(ready, after, outlook.current) +
		max(lastSeconds, 0)*outlook.better(ready, after, outlook.lasting)
	lost := changeSeconds * outlook.better(changing, ready, outlook.current)
	if won < leastGain || won < outlook.settings.margin*lost {
		return 0
	}
	return won - lost
}

// better returns the share of answers that split b serves more than a.
func (outlook outlook) better(a, b split, demand mix) float64 {
	efficiency := outlook.settings.mixedEfficiency
	return b.served(demand, efficiency) - a.served(demand, efficiency)
}
