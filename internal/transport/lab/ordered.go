package lab

import (
	"errors"
	"fmt"

	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/transport/fakes"
)

// startOrderedEngine starts an engine for an order to the platform. Ordered engines
// have the configuration of the first engine, so only its model can be ordered.
func (system *System) startOrderedEngine(order infra.TargetOrder) (infra.Target, error) {
	if len(system.config.Engines) == 0 || system.config.Engines[0].Models[0].Name != order.Pool {
		return infra.Target{}, errors.New("no such engines can be supplied")
	}
	system.mu.Lock()
	defer system.mu.Unlock()
	system.orderedCount++
	config := system.config.Engines[0]
	config.ID = fmt.Sprintf("ordered-%d", system.orderedCount)
	fake := fakes.NewEngine(config)
	server, err := fakes.Listen(loopbackAnyPort, fake.Handler())
	if err != nil {
		return infra.Target{}, err
	}
	system.orderedEngines[config.ID], system.targetServers[config.ID] = fake, server
	target := engineTarget(config, server.Address(), order.DataCenter, order.Spot)
	return infra.Target{Target: target, Lifecycle: infra.LifecycleLive}, nil
}

// OrderedEngines returns the engines that were started by orders, by target ID.
func (system *System) OrderedEngines() map[string]*fakes.Engine {
	system.mu.Lock()
	defer system.mu.Unlock()
	engines := map[string]*fakes.Engine{}
	for id, fake := range system.orderedEngines {
		engines[id] = fake
	}
	return engines
}

// stopTarget closes the server of a target in the background.
func (system *System) stopTarget(id string) {
	system.mu.Lock()
	defer system.mu.Unlock()
	if server, ok := system.targetServers[id]; ok {
		go server.Close()
	}
}

// TargetAddress returns the IP:port at which a target listens.
func (system *System) TargetAddress(id string) string {
	system.mu.Lock()
	defer system.mu.Unlock()
	return system.targetServers[id].Address()
}
