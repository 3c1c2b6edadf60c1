package lab

import (
	"fmt"
	"time"

	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/transport/fakes"
)

// DemoConfig returns the configuration of the demo: two data centres, three entry
// instances, four engines that serve one model, and two plain services. Calls to
// /conditions may be repeated, calls to /print-orders may not.
func DemoConfig() Config {
	dataCenters := []string{"kosice-1", "kosice-2"}
	config := Config{
		DataCenters:             dataCenters,
		EntryCount:              3,
		MaxTargetsPerDataCenter: 6,
		Teams: []note.Team{
			{Name: "press", Weight: 2}, {Name: "council", Weight: 1}, {Name: "guides", Weight: 1},
		},
		Services: []ServiceConfig{
			{ID: "order-desk-1", Service: "order-desk", DataCenter: dataCenters[0], CallDuration: 2 * time.Millisecond},
			{ID: "conditions-1", Service: "conditions", DataCenter: dataCenters[1], CallDuration: time.Millisecond},
		},
		Routes: []note.Route{
			{Path: "/print-orders", Service: "order-desk"},
			{Path: "/conditions", Service: "conditions", Repeatable: true, Public: true},
		},
	}
	const engineCount = 4
	for i := range engineCount {
		config.Engines = append(config.Engines, StandardEngineConfig(fmt.Sprintf("layout-%d", i+1), "layout"))
		config.EngineDataCenters = append(config.EngineDataCenters, dataCenters[i%len(dataCenters)])
	}
	return config
}

// StandardEngineConfig returns the engine configuration of the demo and the
// experiments: the mixed role, one model, and standard rates.
func StandardEngineConfig(id, model string) fakes.EngineConfig {
	return fakes.EngineConfig{
		ID: id, Models: LoadedModels(model, "v1"), Role: note.RoleMixed,
		PrefillTPS: 20_000, DecodeTPS: 2_000, Slots: 32, CacheBlocks: 4096,
		LoadReportAge: 200 * time.Millisecond, OrderDuration: 2 * time.Second, RestartDuration: 2 * time.Second,
		DropEveryNthEvent: 10,
	}
}
