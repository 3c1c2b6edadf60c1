package roles

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/note"
)

// minGainSeconds is the minimum gain of a change, in seconds' worth of the group's
// responses.
const minGainSeconds = 1.5

// changeableRoles lists the roles that an engine may change from.
var changeableRoles = []note.Role{note.RolePrefill, note.RoleDecode, note.RoleMixed}

// PersistencePolicy changes a role when the gain of the change, while the current
// ratio of prefill to decode demand is expected to persist, exceeds the loss while
// the engine is unavailable. It is not safe for concurrent use.
//
// Engines change to prefill or decode; an engine becomes mixed only if it is the
// last available one. A group whose engines are all mixed stays so.
type PersistencePolicy struct {
	settings   settings
	estimates  map[groupKey]*demandEstimate
	lastChange map[groupKey]time.Time
}

// NewPersistencePolicy returns a PersistencePolicy without observations.
func NewPersistencePolicy(opts ...Option) *PersistencePolicy {
	persistencePolicy := &PersistencePolicy{
		settings:   defaultSettings(),
		estimates:  map[groupKey]*demandEstimate{},
		lastChange: map[groupKey]time.Time{},
	}
	for _, opt := range opts {
		opt(&persistencePolicy.settings)
	}
	return persistencePolicy
}

// ObserveDemand records the demand of the window that just ended.
func (persistencePolicy *PersistencePolicy) ObserveDemand(now time.Time, demand Demand) {
	groupKey := groupKey{model: demand.Model, dataCenter: demand.DataCenter}
	sample := phaseDemand{prefill: max(demand.PrefillTPS, 0), decode: max(demand.DecodeTPS, 0)}
	estimate, ok := persistencePolicy.estimates[groupKey]
	if !ok {
		persistencePolicy.estimates[groupKey] = newDemandEstimate(now, sample)
		return
	}
	estimate.observe(now, sample, persistencePolicy.settings.fastTimeConstant, persistencePolicy.settings.slowTimeConstant)
}

// PlanChange returns the change with the largest net gain in the first group that has
// a worthwhile one, or a change that restores a phase that no engine runs. It
// returns false if there is none.
func (persistencePolicy *PersistencePolicy) PlanChange(now time.Time, engines []EngineState) (Change, bool) {
	groupKeys, enginesByGroup := groupEngines(engines)
	for _, groupKey := range groupKeys {
		if change, ok := persistencePolicy.planGroupChange(now, groupKey, newEngineGroup(enginesByGroup[groupKey])); ok {
			persistencePolicy.lastChange[groupKey] = now
			return change, true
		}
	}
	return Change{}, false
}

func (persistencePolicy *PersistencePolicy) planGroupChange(now time.Time, groupKey groupKey, engineGroup engineGroup) (Change, bool) {
	if engineGroup.changePending || !engineGroup.available.hasSpecialised() || persistencePolicy.changedWithin(now, groupKey, persistencePolicy.settings.changeDuration) {
		return Change{}, false
	}
	if !engineGroup.available.coversBothPhases() {
		return engineGroup.restorePhase(groupKey)
	}
	if persistencePolicy.changedWithin(now, groupKey, persistencePolicy.settings.minChangeInterval) {
		return Change{}, false
	}
	estimate, observed := persistencePolicy.estimates[groupKey]
	if !observed || !estimate.usable(now, persistencePolicy.settings.fastTimeConstant) {
		return Change{}, false
	}
	return persistencePolicy.forecast(now, estimate, engineGroup).bestChange(groupKey, engineGroup)
}

// changedWithin reports whether the last change of a group is less than interval
// ago.
func (persistencePolicy *PersistencePolicy) changedWithin(now time.Time, groupKey groupKey, interval time.Duration) bool {
	lastChange, ok := persistencePolicy.lastChange[groupKey]
	return ok && now.Sub(lastChange) < interval
}

func (persistencePolicy *PersistencePolicy) forecast(now time.Time, estimate *demandEstimate, engineGroup engineGroup) demandForecast {
	longTerm := engineGroup.demandInEngines(estimate.slowAverage)
	demandForecast := demandForecast{
		settings: persistencePolicy.settings,
		current:  longTerm,
		longTerm: []phaseDemand{longTerm.withLogRatioShift(estimate.deviationStdDev()), longTerm.withLogRatioShift(-estimate.deviationStdDev())},
	}
	if estimate.runSign != 0 {
		demandForecast.current = engineGroup.demandInEngines(estimate.fastAverage)
		demandForecast.persistence = min(estimate.expectedPersistence(now), persistencePolicy.settings.horizon)
	}
	return demandForecast
}

// demandForecast is the demand expected over the horizon, in engines: the current
// demand while it persists, and the demands between which it varies in the long
// term.
type demandForecast struct {
	settings    settings
	current     phaseDemand
	longTerm    []phaseDemand
	persistence time.Duration // of current; 0 while it does not deviate from the long term
}

// bestChange returns the change with the largest positive net gain.
func (demandForecast demandForecast) bestChange(groupKey groupKey, engineGroup engineGroup) (Change, bool) {
	var best Change
	for _, from := range changeableRoles {
		engine, ok := engineGroup.leastBusy(from)
		if !ok || !engineGroup.available.add(from, -1).coversBothPhases() {
			continue
		}
		for _, to := range []note.Role{note.RolePrefill, note.RoleDecode} {
			gain := demandForecast.netGainSeconds(engineGroup.available, from, to)
			if to != from && gain > best.GainSeconds {
				best = groupKey.newChange(engine, to, gain)
			}
		}
	}
	return best, best.GainSeconds > 0
}

// netGainSeconds returns the gain of a change less its loss, in seconds' worth of
// the group's responses, or 0 if the change is not worthwhile. A change pays off
// either while the current demand persists, with the cost of changing back
// counted as a loss, or over the whole horizon for the long-term demand, if it
// does not reduce the served share under the current one.
func (demandForecast demandForecast) netGainSeconds(before roleCounts, from, to note.Role) float64 {
	during := before.add(from, -1)
	after := during.add(to, 1)
	changeSeconds := demandForecast.settings.changeDuration.Seconds()
	currentGain := demandForecast.servedShareGain(before, after, demandForecast.current)
	loss := changeSeconds * demandForecast.servedShareGain(during, before, demandForecast.current)
	gain := max(demandForecast.persistence.Seconds()-changeSeconds, 0) * currentGain
	best := demandForecast.worthwhileGain(gain, loss+changeSeconds*demandForecast.servedShareGain(during, after, demandForecast.longTerm...))
	if currentGain >= 0 {
		gain = (demandForecast.settings.horizon.Seconds() - changeSeconds) * demandForecast.servedShareGain(before, after, demandForecast.longTerm...)
		best = max(best, demandForecast.worthwhileGain(gain, loss))
	}
	return best
}

func (demandForecast demandForecast) worthwhileGain(gain, loss float64) float64 {
	if gain < minGainSeconds || gain < demandForecast.settings.minGainLossRatio*loss {
		return 0
	}
	return gain - loss
}

// servedShareGain returns how much larger the served share is with the counts
// after than with those before, as the mean over demands.
func (demandForecast demandForecast) servedShareGain(before, after roleCounts, demands ...phaseDemand) float64 {
	efficiency := demandForecast.settings.mixedEfficiency
	sum := 0.0
	for _, demand := range demands {
		sum += after.servedShare(demand, efficiency) - before.servedShare(demand, efficiency)
	}
	return sum / float64(len(demands))
}
