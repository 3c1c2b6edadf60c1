package plan

import (
	"slices"

	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/note"
)

// planner makes one plan. A capability is a service, or one phase (prefill or
// decode) of the requests for a model.
type planner struct {
	input         Input
	targets       []targetState
	servingCounts map[string]int  // number of serving targets by capability
	required      map[string]bool // capabilities that the catalog assigns to targets
	unavailable   int             // targets that count towards MaxUnavailable
	plan          Plan
}

// count adds a target to the figures that the plan is based on.
func (planner *planner) count(state targetState) {
	if !state.withdrawn {
		for _, capability := range requiredCapabilities(state.target) {
			planner.required[capability] = true
		}
	}
	if state.isServing() {
		for _, capability := range capabilities(state.target, state.report) {
			planner.servingCounts[capability]++
		}
		return
	}
	if state.hasReport && !state.leaving && state.report.Phase != order.PhaseStopped && !state.isEmpty() {
		planner.unavailable++
	}
}

// planOutOfService plans the next order to a target that is out of service.
func (planner *planner) planOutOfService(state targetState) {
	phase := state.report.Phase
	if !state.hasReport || phase == order.PhaseServing {
		return
	}
	switch {
	case state.blocked:
		planner.deferChange(state, ReasonBlocked)
	case phase == order.PhaseStopped:
		planner.deferChange(state, ReasonAwaitingRemoval)
	case phase == order.PhaseDrained:
		planner.addOrder(state, planner.nextOrderWhenDrained(state))
	case phase == order.PhaseDraining && !planner.needsDrain(state):
		planner.addOrder(state, order.Order{Kind: order.KindServe})
	default:
		planner.deferChange(state, ReasonBusy)
	}
}

func (planner *planner) nextOrderWhenDrained(state targetState) order.Order {
	if state.withdrawn || state.leaving {
		return order.Order{Kind: order.KindStop}
	}
	if role, ok := planner.roleChange(state); ok {
		return order.Order{Kind: order.KindChangeRole, Role: role}
	}
	if model, ok := planner.modelChange(state); ok {
		return order.Order{Kind: order.KindLoadModel, Model: model.Name, Version: model.Version}
	}
	if adapter, ok := planner.adapterChange(state); ok {
		return order.Order{Kind: order.KindLoadAdapter, Adapter: adapter.Name, Version: adapter.Version}
	}
	return order.Order{Kind: order.KindServe}
}

// planServing plans the next order to a target that serves.
func (planner *planner) planServing(state targetState) {
	if !state.hasReport {
		planner.deferChange(state, ReasonNoReport)
		return
	}
	if state.report.Phase != order.PhaseServing {
		return
	}
	if planner.needsDrain(state) {
		planner.planDrain(state)
		return
	}
	adapter, ok := planner.adapterChange(state)
	switch {
	case !ok:
	case state.blocked:
		planner.deferChange(state, ReasonBlocked)
	default:
		planner.addOrder(state, order.Order{Kind: order.KindLoadAdapter, Adapter: adapter.Name, Version: adapter.Version})
	}
}

func (planner *planner) needsDrain(state targetState) bool {
	if state.withdrawn || state.leaving {
		return true
	}
	_, roleChanges := planner.roleChange(state)
	_, modelChanges := planner.modelChange(state)
	return roleChanges || modelChanges
}

// planDrain plans the drain of a serving target unless that would end the
// serving of a required capability or exceed MaxUnavailable.
func (planner *planner) planDrain(state targetState) {
	switch {
	case state.blocked:
		planner.deferChange(state, ReasonBlocked)
	case state.leaving:
		planner.addOrder(state, order.Order{Kind: order.KindDrain})
	case planner.isLastServing(state):
		planner.deferChange(state, ReasonLastTarget)
	case state.isEmpty():
		planner.addOrder(state, order.Order{Kind: order.KindDrain})
	case planner.unavailable >= max(planner.input.MaxUnavailable, 1):
		planner.deferChange(state, ReasonDrainLimit)
	default:
		planner.unavailable++
		for _, capability := range capabilities(state.target, state.report) {
			planner.servingCounts[capability]--
		}
		planner.addOrder(state, order.Order{Kind: order.KindDrain})
	}
}

func (planner *planner) isLastServing(state targetState) bool {
	return slices.ContainsFunc(capabilities(state.target, state.report), func(capability string) bool {
		return planner.required[capability] && planner.servingCounts[capability] <= 1
	})
}

func (planner *planner) roleChange(state targetState) (note.Role, bool) {
	desired, ok := planner.input.DesiredRoles[state.target.ID]
	if !ok || state.target.Kind != note.KindEngine || desired == state.report.Role {
		return "", false
	}
	return desired, true
}

// modelChange returns the first of the target's models whose version in force is
// not loaded.
func (planner *planner) modelChange(state targetState) (note.Model, bool) {
	for _, name := range state.target.Models {
		model, ok := planner.input.Catalog.Models[name]
		if ok && state.report.Models[name] != model.Version {
			return model, true
		}
	}
	return note.Model{}, false
}

// adapterChange returns the first adapter of the target's models whose version
// in force is not loaded.
func (planner *planner) adapterChange(state targetState) (note.Adapter, bool) {
	if state.withdrawn || state.leaving {
		return note.Adapter{}, false
	}
	for _, model := range state.target.Models {
		for _, name := range planner.input.Catalog.Models[model].Adapters {
			adapter, ok := planner.input.Catalog.Adapters[name]
			if ok && state.report.Adapters[name] != adapter.Version {
				return adapter, true
			}
		}
	}
	return note.Adapter{}, false
}

func (planner *planner) addOrder(state targetState, next order.Order) {
	planner.plan.Orders = append(planner.plan.Orders, order.Request{Target: state.target, Order: next})
}

func (planner *planner) deferChange(state targetState, reason Reason) {
	planner.plan.Deferred = append(planner.plan.Deferred, Deferral{Target: state.target.ID, Reason: reason})
}

// capabilities returns the capabilities of a target. Those of an engine are its
// loaded models, each in the phases that its role allows.
func capabilities(target note.Target, report order.TargetReport) []string {
	if target.Kind == note.KindService {
		return []string{"service/" + target.Service}
	}
	var names []string
	for model := range report.Models {
		names = append(names, phaseCapabilities(model, report.Role)...)
	}
	return names
}

// requiredCapabilities returns the capabilities that the catalog assigns to a
// target, whatever its role.
func requiredCapabilities(target note.Target) []string {
	if target.Kind == note.KindService {
		return []string{"service/" + target.Service}
	}
	var names []string
	for _, model := range target.Models {
		names = append(names, phaseCapabilities(model, note.RoleMixed)...)
	}
	return names
}

func phaseCapabilities(model string, role note.Role) []string {
	switch role {
	case note.RolePrefill:
		return []string{"prefill/" + model}
	case note.RoleDecode:
		return []string{"decode/" + model}
	default:
		return []string{"prefill/" + model, "decode/" + model}
	}
}
