package lab

import (
	"fmt"
	"time"

	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/transport/fakes"
)

// Demo returns the plan of the demo: two data centers, three entry instances,
// four engines of one model, and two plain services, one of whose routes may
// not be repeated.
func Demo() Plan {
	sites := []string{"kosice-1", "kosice-2"}
	plan := Plan{
		DataCenters: sites,
		Entries:     3,
		MaxTargets:  6,
		Teams: []note.Team{
			{Name: "press", Weight: 2}, {Name: "council", Weight: 1}, {Name: "guides", Weight: 1},
		},
		Services: []ServicePlan{
			{ID: "order-desk-1", Service: "order-desk", Site: sites[0], Delay: 2 * time.Millisecond},
			{ID: "conditions-1", Service: "conditions", Site: sites[1], Delay: time.Millisecond},
		},
		Routes: []note.Route{
			{Path: "/print-orders", Service: "order-desk"},
			{Path: "/conditions", Service: "conditions", Repeatable: true, Public: true},
		},
	}
	const engines = 4
	for i := range engines {
		plan.Engines = append(plan.Engines, StandardEngine(fmt.Sprintf("layout-%d", i+1), "layout"))
		plan.EngineSites = append(plan.EngineSites, sites[i%len(sites)])
	}
	return plan
}

// StandardEngine returns a mixed engine of one model with the rates that the
// demo and the experiments use.
func StandardEngine(id, model string) fakes.EngineConfig {
	return fakes.EngineConfig{
		ID: id, Models: Model(model, "v1"), Role: note.RoleMixed,
		PrefillTPS: 20_000, DecodeTPS: 2_000, Slots: 32, CacheBlocks: 4096,
		LoadLag: 200 * time.Millisecond, ChangeTime: 2 * time.Second, RestartTime: 2 * time.Second,
		DropEvents: 10,
	}
}
