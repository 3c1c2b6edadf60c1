package plan_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/coordination/plan"
	"mangopier.example/mangopier/internal/protocol/note"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// fleet models targets that carry out orders at once, except that a drain ends
// in a later step. They may crash during a change.
type fleet struct {
	input   plan.Input
	targets []note.Target
}

func drawFleet(t *rapid.T) *fleet {
	catalog := note.EmptyCatalog()
	catalog.DataCenters["kosice-1"] = note.DataCenter{Name: "kosice-1"}
	for _, name := range []string{"layout", "caption"} {
		adapter := name + "-adapter"
		catalog.Adapters[adapter] = note.Adapter{Name: adapter, Model: name, Version: "v2"}
		catalog.Models[name] = note.Model{Name: name, Version: "v2", Adapters: []string{adapter}}
	}
	fleet := &fleet{input: plan.Input{
		Catalog: catalog, DataCenter: "kosice-1",
		Reports: map[string]order.TargetReport{}, Lifecycles: map[string]plan.Lifecycle{}, DesiredRoles: map[string]note.Role{},
		Blocked: map[string]bool{}, MaxUnavailable: rapid.IntRange(1, 3).Draw(t, "limit"),
	}}
	for i := range rapid.IntRange(1, 8).Draw(t, "targets") {
		fleet.add(t, fmt.Sprintf("t%d", i))
	}
	return fleet
}

func (fleet *fleet) add(t *rapid.T, id string) {
	target := note.Target{ID: id, DataCenter: "kosice-1", Kind: note.KindEngine}
	target.Models = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"layout", "caption"}), 1, 2, rapid.ID).Draw(t, "models")
	roles := rapid.SampledFrom([]note.Role{note.RoleMixed, note.RolePrefill, note.RoleDecode})
	report := order.TargetReport{Phase: order.PhaseServing, Role: roles.Draw(t, "role"), Models: map[string]string{}, Adapters: map[string]string{}}
	for _, model := range target.Models {
		report.Models[model] = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	}
	if rapid.Bool().Draw(t, "has-role") {
		fleet.input.DesiredRoles[id] = roles.Draw(t, "wanted-role")
	}
	if rapid.IntRange(0, 4).Draw(t, "withdrawn") == 0 {
		fleet.input.Withdrawn = append(fleet.input.Withdrawn, target)
	} else {
		fleet.input.Catalog.Targets[id] = target
	}
	fleet.input.Reports[id] = report
	fleet.targets = append(fleet.targets, target)
}

// capability is one phase of the requests for a model.
type capability struct {
	model string
	phase note.Role
}

// servingCounts returns the number of serving targets by model and phase.
func (fleet *fleet) servingCounts() map[capability]int {
	counts := map[capability]int{}
	for _, target := range fleet.targets {
		report := fleet.input.Reports[target.ID]
		if report.Phase != order.PhaseServing || fleet.input.Lifecycles[target.ID] == plan.LifecycleLeaving {
			continue
		}
		for model := range report.Models {
			if report.Role != note.RoleDecode {
				counts[capability{model, note.RolePrefill}]++
			}
			if report.Role != note.RolePrefill {
				counts[capability{model, note.RoleDecode}]++
			}
		}
	}
	return counts
}

func (fleet *fleet) isRequired(model string) bool {
	for _, target := range fleet.input.Catalog.Targets {
		for _, name := range target.Models {
			if name == model {
				return true
			}
		}
	}
	return false
}

func (fleet *fleet) apply(t *rapid.T, request order.Request) {
	report := fleet.input.Reports[request.Target.ID]
	report.Models, report.Adapters = maps.Clone(report.Models), maps.Clone(report.Adapters)
	kind := request.Order.Kind
	if kind != order.KindDrain && kind != order.KindServe && kind != order.KindLoadAdapter && report.Phase != order.PhaseDrained {
		t.Fatalf("%s ordered to %s in phase %s, want phase drained", kind, request.Target.ID, report.Phase)
	}
	switch kind {
	case order.KindDrain:
		report.Phase = order.PhaseDraining
	case order.KindServe:
		report.Phase = order.PhaseServing
	case order.KindStop:
		report.Phase = order.PhaseStopped
	case order.KindChangeRole:
		report.Role = request.Order.Role
	case order.KindLoadModel:
		report.Models[request.Order.Model] = request.Order.Version
	case order.KindLoadAdapter:
		report.Adapters[request.Order.Adapter] = request.Order.Version
	default:
		t.Fatalf("plan has an order of kind %s", kind)
	}
	fleet.input.Reports[request.Target.ID] = report
}

func (fleet *fleet) outOfService() int {
	count := 0
	for _, target := range fleet.targets {
		report := fleet.input.Reports[target.ID]
		if report.Phase == order.PhaseDraining || report.Phase == order.PhaseDrained {
			count++
		}
	}
	return count
}

// step makes a plan and applies it. It checks that a required capability does
// not lose its last serving target, and that no more targets are out of service
// than MaxUnavailable or than before.
func (fleet *fleet) step(t *rapid.T) plan.Plan {
	before, outOfServiceBefore := fleet.servingCounts(), fleet.outOfService()
	next := plan.Next(fleet.input)
	for _, request := range next.Orders {
		fleet.apply(t, request)
	}
	after := fleet.servingCounts()
	for capability, count := range before {
		if count > 0 && after[capability] == 0 && fleet.isRequired(capability.model) {
			t.Fatalf("no target serves %v after the orders %+v", capability, next.Orders)
		}
	}
	if count := fleet.outOfService(); count > max(outOfServiceBefore, fleet.input.MaxUnavailable) {
		t.Fatalf("%d targets are out of service, want at most %d", count, max(outOfServiceBefore, fleet.input.MaxUnavailable))
	}
	return next
}

func (fleet *fleet) finishDrains() {
	for id, report := range fleet.input.Reports {
		if report.Phase == order.PhaseDraining {
			report.Phase = order.PhaseDrained
			fleet.input.Reports[id] = report
		}
	}
}

// Plans for any fleet and any sequence of faults keep each required capability
// served, respect MaxUnavailable, and reach the desired state in 200 steps.
func TestPlansAreSafeAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := drawFleet(t)
		for range rapid.IntRange(0, 6).Draw(t, "steps with faults") {
			fleet.step(t)
			fleet.injectFault(t)
		}
		for range 200 {
			fleet.finishDrains()
			next := fleet.step(t)
			if len(next.Orders) == 0 {
				fleet.checkFinalState(t, next)
				return
			}
		}
		t.Fatal("plans still have orders after 200 steps without faults")
	})
}

// injectFault lets drains finish, restarts a drained target without its
// adapters, removes a desired role, or publishes a new version of a model.
func (fleet *fleet) injectFault(t *rapid.T) {
	target := rapid.SampledFrom(fleet.targets).Draw(t, "target")
	report := fleet.input.Reports[target.ID]
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		fleet.finishDrains()
	case 1:
		if report.Phase == order.PhaseDrained {
			report.Phase = order.PhaseServing
			report.Adapters = map[string]string{}
			fleet.input.Reports[target.ID] = report
		}
	case 2:
		delete(fleet.input.DesiredRoles, target.ID)
	case 3:
		if report.Phase == order.PhaseServing {
			model := fleet.input.Catalog.Models["layout"]
			model.Version = "v3"
			fleet.input.Catalog.Models["layout"] = model
		}
	}
}

// checkFinalState checks that changes stay deferred only for targets that are the
// last to serve something or that have stopped, and that the other targets are
// in the desired state.
func (fleet *fleet) checkFinalState(t *rapid.T, last plan.Plan) {
	deferred := map[string]bool{}
	for _, deferral := range last.Deferred {
		if deferral.Reason != plan.ReasonLastTarget && deferral.Reason != plan.ReasonAwaitingRemoval {
			t.Fatalf("%s stays deferred with reason %s", deferral.Target, deferral.Reason)
		}
		deferred[deferral.Target] = true
	}
	for id, target := range fleet.input.Catalog.Targets {
		report, role := fleet.input.Reports[id], fleet.input.DesiredRoles[id]
		ready := deferred[id] || role == "" || role == report.Role
		for _, name := range target.Models {
			model := fleet.input.Catalog.Models[name]
			ready = ready && (deferred[id] || report.Models[name] == model.Version && report.Adapters[model.Adapters[0]] == "v2")
		}
		if !ready {
			t.Fatalf("final state of %s = %+v, want role %q and the versions in force", id, report, role)
		}
	}
	if fleet.outOfService() > 0 {
		t.Fatal("a target is out of service in the final state")
	}
}

// A leaving target ends anyway, so it is drained even as the last one, but not
// while it has an open ticket.
func TestLeavingTargetIsDrainedEvenAsLast(t *testing.T) {
	catalog := note.EmptyCatalog()
	catalog.Models["layout"] = note.Model{Name: "layout", Version: "v1"}
	catalog.Targets["t1"] = note.Target{ID: "t1", DataCenter: "kosice-1", Kind: note.KindEngine, Models: []string{"layout"}}
	input := plan.Input{
		Catalog: catalog, DataCenter: "kosice-1", Lifecycles: map[string]plan.Lifecycle{"t1": plan.LifecycleLeaving},
		Reports: map[string]order.TargetReport{"t1": {Phase: order.PhaseServing, Models: map[string]string{"layout": "v1"}}},
	}
	if next := plan.Next(input); len(next.Orders) != 1 || next.Orders[0].Order.Kind != order.KindDrain {
		t.Fatalf("plan.Next() = %+v, want one drain", next)
	}
	input.Blocked = map[string]bool{"t1": true}
	if next := plan.Next(input); len(next.Orders) != 0 || next.Deferred[0].Reason != plan.ReasonBlocked {
		t.Fatalf("plan.Next() with an open ticket = %+v, want the target deferred as blocked", next)
	}
}
