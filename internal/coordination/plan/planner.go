package plan

import (
	"slices"

	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/note"
)

// planner makes one plan.
type planner struct {
	input   Input
	members []member
	serving map[string]int  // serving targets by what they serve
	wanted  map[string]bool // what the catalog's targets are to serve
	out     int             // targets out of service for changes
	plan    Plan
}

func (planner *planner) count(member member) {
	if !member.withdrawn {
		for _, service := range wantedServices(member.target) {
			planner.wanted[service] = true
		}
	}
	if member.serves() {
		for _, service := range services(member.target, member.report) {
			planner.serving[service]++
		}
		return
	}
	if member.known && !member.leaving && member.report.Phase != order.PhaseStopped && !member.empty() {
		planner.out++
	}
}

// finish plans the next order to a target that is out of service.
func (planner *planner) finish(member member) {
	phase := member.report.Phase
	if !member.known || phase == order.PhaseServing {
		return
	}
	switch {
	case member.blocked:
		planner.wait(member, ReasonBlocked)
	case phase == order.PhaseStopped:
		planner.wait(member, ReasonHandedOver)
	case phase == order.PhaseDrained:
		planner.request(member, planner.whenDrained(member))
	case phase == order.PhaseDraining && !planner.needsDrain(member):
		planner.request(member, order.Order{Kind: order.KindServe})
	default:
		planner.wait(member, ReasonBusy)
	}
}

// whenDrained returns the next order to a drained target.
func (planner *planner) whenDrained(member member) order.Order {
	if member.withdrawn || member.leaving {
		return order.Order{Kind: order.KindStop}
	}
	if role, ok := planner.roleChange(member); ok {
		return order.Order{Kind: order.KindChangeRole, Role: role}
	}
	if model, ok := planner.modelChange(member); ok {
		return order.Order{Kind: order.KindLoadModel, Model: model.Name, Version: model.Version}
	}
	if adapter, ok := planner.adapterChange(member); ok {
		return order.Order{Kind: order.KindLoadAdapter, Adapter: adapter.Name, Version: adapter.Version}
	}
	return order.Order{Kind: order.KindServe}
}

// begin plans the next order to a serving target.
func (planner *planner) begin(member member) {
	if !member.known {
		planner.wait(member, ReasonNoReport)
		return
	}
	if member.report.Phase != order.PhaseServing {
		return
	}
	if planner.needsDrain(member) {
		planner.drain(member)
		return
	}
	adapter, ok := planner.adapterChange(member)
	switch {
	case !ok:
	case member.blocked:
		planner.wait(member, ReasonBlocked)
	default:
		planner.request(member, order.Order{Kind: order.KindLoadAdapter, Adapter: adapter.Name, Version: adapter.Version})
	}
}

func (planner *planner) needsDrain(member member) bool {
	if member.withdrawn || member.leaving {
		return true
	}
	_, role := planner.roleChange(member)
	_, model := planner.modelChange(member)
	return role || model
}

// drain plans the drain of a serving target if the others can do without it.
func (planner *planner) drain(member member) {
	switch {
	case member.blocked:
		planner.wait(member, ReasonBlocked)
	case member.leaving:
		planner.request(member, order.Order{Kind: order.KindDrain})
	case planner.isLast(member):
		planner.wait(member, ReasonLastTarget)
	case member.empty():
		planner.request(member, order.Order{Kind: order.KindDrain})
	case planner.out >= max(planner.input.MaxDraining, 1):
		planner.wait(member, ReasonLimit)
	default:
		planner.out++
		for _, service := range services(member.target, member.report) {
			planner.serving[service]--
		}
		planner.request(member, order.Order{Kind: order.KindDrain})
	}
}

func (planner *planner) isLast(member member) bool {
	return slices.ContainsFunc(services(member.target, member.report), func(service string) bool {
		return planner.wanted[service] && planner.serving[service] <= 1
	})
}

func (planner *planner) roleChange(member member) (note.Role, bool) {
	wanted, ok := planner.input.Roles[member.target.ID]
	if !ok || member.target.Kind != note.KindEngine || wanted == member.report.Role {
		return "", false
	}
	return wanted, true
}

// modelChange returns the first model of which the target has not loaded the
// version in force.
func (planner *planner) modelChange(member member) (note.Model, bool) {
	for _, name := range member.target.Models {
		model, ok := planner.input.Catalog.Models[name]
		if ok && member.report.Models[name] != model.Version {
			return model, true
		}
	}
	return note.Model{}, false
}

// adapterChange returns the first adapter of the target's models of which it
// has not loaded the version in force.
func (planner *planner) adapterChange(member member) (note.Adapter, bool) {
	if member.withdrawn || member.leaving {
		return note.Adapter{}, false
	}
	for _, model := range member.target.Models {
		for _, name := range planner.input.Catalog.Models[model].Adapters {
			adapter, ok := planner.input.Catalog.Adapters[name]
			if ok && member.report.Adapters[name] != adapter.Version {
				return adapter, true
			}
		}
	}
	return note.Adapter{}, false
}

func (planner *planner) request(member member, next order.Order) {
	planner.plan.Requests = append(planner.plan.Requests, order.Request{Target: member.target, Order: next})
}

func (planner *planner) wait(member member, reason Reason) {
	planner.plan.Waiting = append(planner.plan.Waiting, Waiting{Target: member.target.ID, Reason: reason})
}

// services names what a target serves: for engines each loaded model in each
// phase of requests that its role takes.
func services(target note.Target, report order.Report) []string {
	if target.Kind == note.KindService {
		return []string{"service/" + target.Service}
	}
	var names []string
	for model := range report.Models {
		names = append(names, phases(model, report.Role)...)
	}
	return names
}

// wantedServices names what a target is to serve, whatever its role.
func wantedServices(target note.Target) []string {
	if target.Kind == note.KindService {
		return []string{"service/" + target.Service}
	}
	var names []string
	for _, model := range target.Models {
		names = append(names, phases(model, note.RoleMixed)...)
	}
	return names
}

func phases(model string, role note.Role) []string {
	switch role {
	case note.RolePrefill:
		return []string{"prefill/" + model}
	case note.RoleDecode:
		return []string{"decode/" + model}
	default:
		return []string{"prefill/" + model, "decode/" + model}
	}
}
