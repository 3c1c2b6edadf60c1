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

// fleet is an oracle of targets that carry out orders at once, except that a
// drain takes a step and that they may crash in between.
type fleet struct {
	input plan.Input
	known []note.Target
}

func draw(t *rapid.T) *fleet {
	catalog := note.Empty()
	catalog.DataCenters["kosice-1"] = note.DataCenter{Name: "kosice-1"}
	for _, name := range []string{"layout", "caption"} {
		adapter := name + "-adapter"
		catalog.Adapters[adapter] = note.Adapter{Name: adapter, Model: name, Version: "v2"}
		catalog.Models[name] = note.Model{Name: name, Version: "v2", Adapters: []string{adapter}}
	}
	fleet := &fleet{input: plan.Input{
		Catalog: catalog, DataCenter: "kosice-1",
		Reports: map[string]order.Report{}, Lives: map[string]plan.Life{}, Roles: map[string]note.Role{},
		Blocked: map[string]bool{}, MaxDraining: rapid.IntRange(1, 3).Draw(t, "limit"),
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
	report := order.Report{Phase: order.PhaseServing, Role: roles.Draw(t, "role"), Models: map[string]string{}, Adapters: map[string]string{}}
	for _, model := range target.Models {
		report.Models[model] = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	}
	if rapid.Bool().Draw(t, "has-role") {
		fleet.input.Roles[id] = roles.Draw(t, "wanted-role")
	}
	if rapid.IntRange(0, 4).Draw(t, "withdrawn") == 0 {
		fleet.input.Withdrawn = append(fleet.input.Withdrawn, target)
	} else {
		fleet.input.Catalog.Targets[id] = target
	}
	fleet.input.Reports[id] = report
	fleet.known = append(fleet.known, target)
}

// service is a phase of the requests for a model.
type service struct {
	model string
	phase note.Role
}

// served counts the serving targets of each wanted model and phase.
func (fleet *fleet) served() map[service]int {
	counts := map[service]int{}
	for _, target := range fleet.known {
		report := fleet.input.Reports[target.ID]
		if report.Phase != order.PhaseServing || fleet.input.Lives[target.ID] == plan.Leaving {
			continue
		}
		for model := range report.Models {
			if report.Role != note.RoleDecode {
				counts[service{model, note.RolePrefill}]++
			}
			if report.Role != note.RolePrefill {
				counts[service{model, note.RoleDecode}]++
			}
		}
	}
	return counts
}

func (fleet *fleet) wants(model string) bool {
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
		t.Fatalf("%s to %s while %s", kind, request.Target.ID, report.Phase)
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
		t.Fatalf("planned %s", kind)
	}
	fleet.input.Reports[request.Target.ID] = report
}

func (fleet *fleet) outOfService() int {
	out := 0
	for _, target := range fleet.known {
		report := fleet.input.Reports[target.ID]
		if report.Phase == order.PhaseDraining || report.Phase == order.PhaseDrained {
			out++
		}
	}
	return out
}

// step makes a plan, applies it and checks what it did to service.
func (fleet *fleet) step(t *rapid.T) plan.Plan {
	before, outBefore := fleet.served(), fleet.outOfService()
	next := plan.Next(fleet.input)
	for _, request := range next.Requests {
		fleet.apply(t, request)
	}
	after := fleet.served()
	for service, count := range before {
		if count > 0 && after[service] == 0 && fleet.wants(service.model) {
			t.Fatalf("nobody serves %v after %+v", service, next.Requests)
		}
	}
	if out := fleet.outOfService(); out > max(outBefore, fleet.input.MaxDraining) {
		t.Fatalf("%d targets are out of service", out)
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

func TestPlansAreSafeAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := draw(t)
		for range rapid.IntRange(0, 6).Draw(t, "disturbed steps") {
			fleet.step(t)
			fleet.disturb(t)
		}
		for range 200 {
			fleet.finishDrains()
			next := fleet.step(t)
			if len(next.Requests) == 0 {
				fleet.checkEnd(t, next)
				return
			}
		}
		t.Fatal("plans never end")
	})
}

// disturb lets drains finish, crashes a target mid-change, or changes what is
// wanted.
func (fleet *fleet) disturb(t *rapid.T) {
	target := rapid.SampledFrom(fleet.known).Draw(t, "disturbed")
	report := fleet.input.Reports[target.ID]
	switch rapid.IntRange(0, 3).Draw(t, "disturbance") {
	case 0:
		fleet.finishDrains()
	case 1:
		if report.Phase == order.PhaseDrained {
			report.Phase = order.PhaseServing
			report.Adapters = map[string]string{}
			fleet.input.Reports[target.ID] = report
		}
	case 2:
		delete(fleet.input.Roles, target.ID)
	case 3:
		if report.Phase == order.PhaseServing {
			model := fleet.input.Catalog.Models["layout"]
			model.Version = "v3"
			fleet.input.Catalog.Models["layout"] = model
		}
	}
}

// checkEnd checks that only targets that nobody can stand in for wait, and that
// the others are as wanted.
func (fleet *fleet) checkEnd(t *rapid.T, last plan.Plan) {
	waits := map[string]bool{}
	for _, waiting := range last.Waiting {
		if waiting.Reason != plan.ReasonLastTarget && waiting.Reason != plan.ReasonHandedOver {
			t.Fatalf("%s waits for %s for ever", waiting.Target, waiting.Reason)
		}
		waits[waiting.Target] = true
	}
	for id, target := range fleet.input.Catalog.Targets {
		report, role := fleet.input.Reports[id], fleet.input.Roles[id]
		ready := waits[id] || role == "" || role == report.Role
		for _, name := range target.Models {
			model := fleet.input.Catalog.Models[name]
			ready = ready && (waits[id] || report.Models[name] == model.Version && report.Adapters[model.Adapters[0]] == "v2")
		}
		if !ready {
			t.Fatalf("%s is left with %+v, wanted role %q", id, report, role)
		}
	}
	if fleet.outOfService() > 0 {
		t.Fatal("a target stays out of service")
	}
}

func TestLeavingTargetIsDrainedThoughItIsTheLast(t *testing.T) {
	catalog := note.Empty()
	catalog.Models["layout"] = note.Model{Name: "layout", Version: "v1"}
	catalog.Targets["t1"] = note.Target{ID: "t1", DataCenter: "kosice-1", Kind: note.KindEngine, Models: []string{"layout"}}
	input := plan.Input{
		Catalog: catalog, DataCenter: "kosice-1", Lives: map[string]plan.Life{"t1": plan.Leaving},
		Reports: map[string]order.Report{"t1": {Phase: order.PhaseServing, Models: map[string]string{"layout": "v1"}}},
	}
	if next := plan.Next(input); len(next.Requests) != 1 || next.Requests[0].Order.Kind != order.KindDrain {
		t.Fatalf("got %+v", next)
	}
	input.Blocked = map[string]bool{"t1": true}
	if next := plan.Next(input); len(next.Requests) != 0 || next.Waiting[0].Reason != plan.ReasonBlocked {
		t.Fatalf("an order to a target with an open ticket: %+v", next)
	}
}
