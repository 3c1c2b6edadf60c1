package roles

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/note"
)

// StaticPolicy is a policy that never changes a role.
type StaticPolicy struct{}

// ObserveDemand does nothing.
func (StaticPolicy) ObserveDemand(time.Time, Demand) {}

// PlanChange returns no change.
func (StaticPolicy) PlanChange(time.Time, []EngineState) (Change, bool) { return Change{}, false }

// ThresholdPolicy changes a role as soon as the utilisation of one phase in the
// last window exceeds that of the other by a factor. It is not safe for
// concurrent use.
type ThresholdPolicy struct {
	factor     float64
	lastDemand map[groupKey]phaseDemand
}

// NewThresholdPolicy returns a ThresholdPolicy. A factor of 1.2 means that a
// phase has to be 20% busier than the other.
func NewThresholdPolicy(factor float64) *ThresholdPolicy {
	return &ThresholdPolicy{factor: factor, lastDemand: map[groupKey]phaseDemand{}}
}

// ObserveDemand records the demand of the window that just ended.
func (thresholdPolicy *ThresholdPolicy) ObserveDemand(_ time.Time, demand Demand) {
	groupKey := groupKey{model: demand.Model, dataCenter: demand.DataCenter}
	thresholdPolicy.lastDemand[groupKey] = phaseDemand{prefill: demand.PrefillTPS, decode: demand.DecodeTPS}
}

// PlanChange returns a change for the first group whose phases are out of balance, or
// false if there is none.
func (thresholdPolicy *ThresholdPolicy) PlanChange(_ time.Time, engines []EngineState) (Change, bool) {
	groupKeys, enginesByGroup := groupEngines(engines)
	for _, groupKey := range groupKeys {
		if change, ok := thresholdPolicy.planGroupChange(groupKey, newEngineGroup(enginesByGroup[groupKey])); ok {
			return change, true
		}
	}
	return Change{}, false
}

func (thresholdPolicy *ThresholdPolicy) planGroupChange(groupKey groupKey, engineGroup engineGroup) (Change, bool) {
	lastDemand, observed := thresholdPolicy.lastDemand[groupKey]
	if !observed || engineGroup.changePending {
		return Change{}, false
	}
	demand := engineGroup.demandInEngines(lastDemand)
	busier := utilisation(demand.prefill, float64(engineGroup.available.prefill+engineGroup.available.mixed))
	other := utilisation(demand.decode, float64(engineGroup.available.decode+engineGroup.available.mixed))
	from, to := note.RoleDecode, note.RolePrefill
	if other > busier {
		from, to = to, from
		busier, other = other, busier
	}
	engine, ok := engineGroup.leastBusy(from)
	if !ok || busier <= thresholdPolicy.factor*other || !engineGroup.available.add(from, -1).coversBothPhases() {
		return Change{}, false
	}
	return Change{EngineID: engine.ID, Model: groupKey.model, DataCenter: groupKey.dataCenter, From: from, To: to}, true
}
