package lab

import (
	"errors"
	"fmt"

	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/transport/fakes"
)

// startOrdered brings up an engine that the platform was ordered to start.
func (lab *Lab) startOrdered(order infra.TargetOrder) (infra.Target, error) {
	if len(lab.plan.Engines) == 0 || lab.plan.Engines[0].Models[0].Name != order.Pool {
		return infra.Target{}, errors.New("no such engines can be supplied")
	}
	lab.mu.Lock()
	defer lab.mu.Unlock()
	lab.ordered++
	config := lab.plan.Engines[0]
	config.ID = fmt.Sprintf("ordered-%d", lab.ordered)
	fake := fakes.NewEngine(config)
	server, err := fakes.Listen(anyPort, fake.Handler())
	if err != nil {
		return infra.Target{}, err
	}
	lab.orderedEngines[config.ID], lab.servers[config.ID] = fake, server
	target := engineTarget(config, server.Address(), order.DataCenter, order.Spot)
	return infra.Target{Target: target, Lifecycle: infra.LifecycleLive}, nil
}

// Ordered returns the engines that were started by orders.
func (lab *Lab) Ordered() map[string]*fakes.Engine {
	lab.mu.Lock()
	defer lab.mu.Unlock()
	engines := map[string]*fakes.Engine{}
	for id, fake := range lab.orderedEngines {
		engines[id] = fake
	}
	return engines
}

// stopTarget takes a target down that the platform was ordered to stop.
func (lab *Lab) stopTarget(id string) {
	lab.mu.Lock()
	defer lab.mu.Unlock()
	if server, ok := lab.servers[id]; ok {
		go server.Close()
	}
}

// TargetAddress returns the IP:port of a target.
func (lab *Lab) TargetAddress(id string) string {
	lab.mu.Lock()
	defer lab.mu.Unlock()
	return lab.servers[id].Address()
}
