package roles

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/note"
)

// leastGain is what a change has to win in any case, in seconds of answers.
const leastGain = 1.5

// changeRoles lists the roles that an engine may change from.
var changeRoles = []note.Role{note.RolePrefill, note.RoleDecode, note.RoleMixed}

// Decider changes roles when what a change wins over the expected persistence
// of the mix exceeds what it loses while the engine is gone. It is not safe
// for concurrent use.
//
// Engines change to prefill or decode; one becomes mixed only as the last that
// takes work. A group whose engines are all mixed stays so.
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
		decider.estimates[key] = newEstimate(now, sample)
		return
	}
	known.observe(now, sample, decider.settings.fastTime, decider.settings.slowTime)
}

// Decide returns the change with the largest gain in the first group that has
// one worth its loss, or one that restores a phase which no engine takes.
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
	if fleet.changing || !fleet.ready.specialised() || decider.holds(now, key, decider.settings.changeTime) {
		return Change{}, false
	}
	if !fleet.ready.serves() {
		return fleet.restore(key)
	}
	if decider.holds(now, key, decider.settings.holdTime) {
		return Change{}, false
	}
	known, observed := decider.estimates[key]
	if !observed || !known.usable(now, decider.settings.fastTime) {
		return Change{}, false
	}
	return decider.outlook(now, known, fleet).best(key, fleet)
}

// holds reports whether a group changed less than a time ago.
func (decider *Decider) holds(now time.Time, key group, hold time.Duration) bool {
	changed, ok := decider.changed[key]
	return ok && now.Sub(changed) < hold
}

func (decider *Decider) outlook(now time.Time, known *estimate, fleet fleet) outlook {
	lasting := fleet.normalise(known.slow)
	outlook := outlook{
		settings: decider.settings,
		current:  lasting,
		lasting:  []mix{lasting.skewed(known.spread()), lasting.skewed(-known.spread())},
	}
	if known.side != 0 {
		outlook.current = fleet.normalise(known.fast)
		outlook.persists = min(known.persistence(now), decider.settings.horizon)
	}
	return outlook
}

// outlook is the demand expected over the horizon, in engines: the current
// mix while it persists, and the mixes between which it moves in the long run.
type outlook struct {
	settings settings
	current  mix
	lasting  []mix
	persists time.Duration // 0 while the mix does not deviate
}

// best returns the change with the largest gain.
func (outlook outlook) best(key group, fleet fleet) (Change, bool) {
	var best Change
	for _, from := range changeRoles {
		engine, ok := fleet.pick(from)
		if !ok || !fleet.ready.with(from, -1).serves() {
			continue
		}
		for _, to := range []note.Role{note.RolePrefill, note.RoleDecode} {
			gain := outlook.gain(fleet.ready, from, to)
			if to != from && gain > best.Gain {
				best = key.change(engine, to, gain)
			}
		}
	}
	return best, best.Gain > 0
}

// gain returns what a change wins less what it loses, in seconds of answers,
// or 0 if the change is not worth its loss. A change pays either while the
// current mix persists, with the way back counted as a loss, or over the whole
// horizon for the lasting mix, if it does no harm now.
func (outlook outlook) gain(ready split, from, to note.Role) float64 {
	changing := ready.with(from, -1)
	after := changing.with(to, 1)
	changeSeconds := outlook.settings.changeTime.Seconds()
	current := outlook.better(ready, after, outlook.current)
	lost := changeSeconds * outlook.better(changing, ready, outlook.current)
	won := max(outlook.persists.Seconds()-changeSeconds, 0) * current
	best := outlook.worth(won, lost+changeSeconds*outlook.better(changing, after, outlook.lasting...))
	if current >= 0 {
		won = (outlook.settings.horizon.Seconds() - changeSeconds) * outlook.better(ready, after, outlook.lasting...)
		best = max(best, outlook.worth(won, lost))
	}
	return best
}

func (outlook outlook) worth(won, lost float64) float64 {
	if won < leastGain || won < outlook.settings.margin*lost {
		return 0
	}
	return won - lost
}

// better returns the share of answers that split b serves more than a, as the
// mean over demands.
func (outlook outlook) better(a, b split, demands ...mix) float64 {
	efficiency := outlook.settings.mixedEfficiency
	sum := 0.0
	for _, demand := range demands {
		sum += b.served(demand, efficiency) - a.served(demand, efficiency)
	}
	return sum / float64(len(demands))
}
