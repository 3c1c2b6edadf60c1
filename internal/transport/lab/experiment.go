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

// Experiments starts the system that a variant of an experiment asks for.
type Experiments struct{}

const (
	experimentEntries = 3
	experimentEngines = 4
	// experimentStart bounds the start of a system.
	experimentStart = 30 * time.Second
)

// Start returns the endpoint of a system for a variant, and what stops it.
func (Experiments) Start(ctx context.Context, variant bench.Variant) (bench.Endpoint, func(), error) {
	plan := Demo()
	plan.Entries = cmp.Or(variant.Setup.Entries, experimentEntries)
	plan.Engines, plan.EngineSites = nil, nil
	for i := range cmp.Or(variant.Setup.Engines, experimentEngines) {
		engine := StandardEngine(engineID(i), "layout")
		engine.CacheBlocks = cmp.Or(variant.Setup.Blocks, engine.CacheBlocks)
		plan.Engines = append(plan.Engines, engine)
		plan.EngineSites = append(plan.EngineSites, plan.DataCenters[i%len(plan.DataCenters)])
	}
	plan.MaxTargets = 0
	plan.Adjust = func(settings *conf.Settings) { adjust(settings, variant.Setup) }
	ctx, cancel := context.WithTimeout(ctx, experimentStart)
	defer cancel()
	running, err := Start(ctx, plan)
	if err != nil {
		return bench.Endpoint{}, nil, err
	}
	endpoint := running.Endpoint()
	endpoint.Inject = running.inject
	return endpoint, running.Close, nil
}

func engineID(index int) string {
	return fmt.Sprintf("layout-%d", index+1)
}

func adjust(settings *conf.Settings, setup bench.Setup) {
	policy := &settings.Policy
	policy.Routing = cmp.Or(string(setup.Routing), policy.Routing)
	policy.Admission = cmp.Or(string(setup.Admission), policy.Admission)
	policy.Retries = cmp.Or(string(setup.Retries), policy.Retries)
}

// Endpoint returns where the lab takes requests.
func (lab *Lab) Endpoint() bench.Endpoint {
	endpoint := bench.Endpoint{Keys: lab.Keys}
	for _, instance := range lab.Entries {
		endpoint.Entries = append(endpoint.Entries, "http://"+instance.CallerAddress())
		endpoint.Metrics = append(endpoint.Metrics, "http://"+instance.PeerAddress()+"/metrics")
	}
	return endpoint
}

// inject carries out a fault and ends it after its time.
func (lab *Lab) inject(_ context.Context, fault bench.Fault) error {
	switch fault.Kind {
	case bench.EngineCrash, bench.EngineSilent:
		return lab.injectEngine(fault)
	case bench.StoreOutage:
		lab.Platform.Store.SetFault(func(memory.Call) memory.Fault { return memory.Fault{Unavailable: true} })
		after(fault.For, func() { lab.Platform.Store.SetFault(nil) })
		return nil
	default:
		return code.Errorf(code.CommandInvalid, "fault %s cannot be injected", fault.Kind)
	}
}

func (lab *Lab) injectEngine(fault bench.Fault) error {
	engine, ok := lab.Engines[engineID(fault.Target)]
	if !ok {
		return code.Errorf(code.CommandInvalid, "no engine %d", fault.Target)
	}
	if fault.Kind == bench.EngineSilent {
		engine.SetSilent(true)
		after(fault.For, func() { engine.SetSilent(false) })
		return nil
	}
	engine.SetDown(true)
	after(fault.For, func() { engine.SetDown(false) })
	return nil
}

func after(delay time.Duration, end func()) {
	if delay > 0 {
		time.AfterFunc(delay, end)
	}
}
