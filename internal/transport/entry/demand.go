package entry

import (
	"time"

	"mangopier.example/mangopier/internal/coordination/roles"
	"mangopier.example/mangopier/internal/protocol/note"
)

// tokenTotal holds the token counts of a target since its start, as last reported.
type tokenTotal struct {
	incarnation   string
	prefillTokens int64
	decodeTokens  int64
}

// planRoleChange derives the demand from the targets' reports and records the role
// change that the policy decides, if any. The first call under a grant only sets
// the baseline for the rates.
func (controller *orderController) planRoleChange(snapshot *snapshot) {
	now := time.Now()
	if now.Sub(controller.observedAt) < demandInterval {
		return
	}
	elapsed := now.Sub(controller.observedAt).Seconds()
	first := controller.observedAt.IsZero()
	controller.observedAt = now
	for model, total := range controller.measureDemand(snapshot) {
		if !first {
			controller.rolePolicy.ObserveDemand(now, roles.Demand{
				Model: model, DataCenter: controller.dataCenter,
				PrefillTPS: float64(total.prefillTokens) / elapsed, DecodeTPS: float64(total.decodeTokens) / elapsed,
			})
		}
	}
	change, ok := controller.rolePolicy.PlanChange(now, controller.engineStates(snapshot))
	if ok {
		controller.desiredRoles[change.EngineID] = change.To
		controller.logger.Info().Str("target", change.EngineID).Str("from", string(change.From)).
			Str("to", string(change.To)).Msg("planned role change")
	}
}

// measureDemand returns the tokens of the requests that targets accepted since the
// last call, by model. A target that restarted in between, and so counts from zero,
// is left out.
func (controller *orderController) measureDemand(snapshot *snapshot) map[string]tokenTotal {
	totals := map[string]tokenTotal{}
	for id, reading := range snapshot.readings {
		target := snapshot.targets[id]
		if target.DataCenter != controller.dataCenter || len(reading.report.Models) == 0 {
			continue
		}
		current := tokenTotal{incarnation: reading.report.Incarnation, prefillTokens: reading.report.TotalPrefillTokens, decodeTokens: reading.report.TotalDecodeTokens}
		last := controller.tokenTotals[id]
		controller.tokenTotals[id] = current
		if last.incarnation != current.incarnation {
			continue
		}
		model := reading.report.Models[0].Name
		total := totals[model]
		total.prefillTokens += max(0, current.prefillTokens-last.prefillTokens)
		total.decodeTokens += max(0, current.decodeTokens-last.decodeTokens)
		totals[model] = total
	}
	return totals
}

func (controller *orderController) engineStates(snapshot *snapshot) []roles.EngineState {
	var engines []roles.EngineState
	for id, reading := range snapshot.readings {
		target := snapshot.targets[id]
		if target.Kind != note.KindEngine || target.DataCenter != controller.dataCenter || len(reading.report.Models) == 0 {
			continue
		}
		desired, pending := controller.desiredRoles[id]
		pending = pending && desired != reading.report.Role
		engines = append(engines, roles.EngineState{
			ID: id, Model: reading.report.Models[0].Name, DataCenter: controller.dataCenter, Role: reading.report.Role,
			Unready: reading.report.Draining || reading.report.OrderInProgress, ChangePending: pending,
			InFlight:   reading.report.RunningRequests + reading.report.QueuedRequests,
			PrefillTPS: target.PrefillTPS, DecodeTPS: target.DecodeTPS,
		})
	}
	return engines
}
