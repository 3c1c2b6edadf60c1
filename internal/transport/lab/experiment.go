package lab

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/conf"
	"mangopier.example/mangopier/internal/state/memory"
	"mangopier.example/mangopier/internal/transport/bench"
)

// Launcher starts systems for the variants of an experiment.
type Launcher struct{}

const (
	defaultEntryCount      = 3
	defaultEngineCount     = 4
	experimentStartTimeout = 30 * time.Second
)

// Start starts a system for a variant. It returns the system's endpoint and a
// function that stops the system. The number of targets is fixed: none are
// ordered.
func (Launcher) Start(ctx context.Context, variant bench.Variant) (bench.Endpoint, func(), error) {
	config := DemoConfig()
	config.EntryCount = cmp.Or(variant.Setup.EntryCount, defaultEntryCount)
	config.Engines, config.EngineDataCenters = nil, nil
	for i := range cmp.Or(variant.Setup.EngineCount, defaultEngineCount) {
		engineConfig := StandardEngineConfig(engineID(i), "layout")
		engineConfig.CacheBlocks = cmp.Or(variant.Setup.CacheBlocks, engineConfig.CacheBlocks)
		config.Engines = append(config.Engines, engineConfig)
		config.EngineDataCenters = append(config.EngineDataCenters, config.DataCenters[i%len(config.DataCenters)])
	}
	config.MaxTargetsPerDataCenter = 0
	config.AdjustSettings = func(settings *conf.Settings) { applyPolicy(settings, variant.Setup) }
	ctx, cancel := context.WithTimeout(ctx, experimentStartTimeout)
	defer cancel()
	system, err := Start(ctx, config)
	if err != nil {
		return bench.Endpoint{}, nil, err
	}
	endpoint := system.Endpoint()
	endpoint.InjectFault = system.injectFault
	return endpoint, system.Close, nil
}

func engineID(index int) string {
	return fmt.Sprintf("layout-%d", index+1)
}

func applyPolicy(settings *conf.Settings, setup bench.Setup) {
	policy := &settings.Policy
	policy.Routing = cmp.Or(string(setup.Routing), policy.Routing)
	policy.Admission = cmp.Or(string(setup.Admission), policy.Admission)
	policy.Retries = cmp.Or(string(setup.Retries), policy.Retries)
}

// Endpoint returns the URLs at which the system accepts requests and serves
// metrics, and the API keys of its teams.
func (system *System) Endpoint() bench.Endpoint {
	endpoint := bench.Endpoint{APIKeys: system.APIKeys}
	for _, instance := range system.Entries {
		endpoint.EntryURLs = append(endpoint.EntryURLs, "http://"+instance.CallerAddress())
		endpoint.MetricsURLs = append(endpoint.MetricsURLs, "http://"+instance.PeerAddress()+"/metrics")
	}
	return endpoint
}

// injectFault starts a fault, which ends after its duration, or never if that is 0.
func (system *System) injectFault(_ context.Context, fault bench.Fault) error {
	switch fault.Kind {
	case bench.EngineCrash, bench.EngineStall:
		return system.injectEngineFault(fault)
	case bench.StoreOutage:
		system.Platform.Store.SetFault(func(memory.Call) memory.Fault { return memory.Fault{Unavailable: true} })
		afterDelay(fault.Duration, func() { system.Platform.Store.SetFault(nil) })
		return nil
	default:
		return code.Errorf(code.CommandInvalid, "unsupported fault kind %s", fault.Kind)
	}
}

func (system *System) injectEngineFault(fault bench.Fault) error {
	engine, ok := system.Engines[engineID(fault.TargetIndex)]
	if !ok {
		return code.Errorf(code.CommandInvalid, "no engine with index %d to inject a fault into", fault.TargetIndex)
	}
	if fault.Kind == bench.EngineStall {
		engine.SetStalled(true)
		afterDelay(fault.Duration, func() { engine.SetStalled(false) })
		return nil
	}
	engine.SetDown(true)
	afterDelay(fault.Duration, func() { engine.SetDown(false) })
	return nil
}

func afterDelay(delay time.Duration, endFault func()) {
	if delay > 0 {
		time.AfterFunc(delay, endFault)
	}
}
