// Package lab offers a whole system on loopback in one process: a stand-in
// platform, stand-in targets and entry instances. It serves the demo, the
// experiments and the tests.
package lab

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/feed"
	"mangopier.example/mangopier/internal/protocol/conf"
	"mangopier.example/mangopier/internal/protocol/engine"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/transport/entry"
	"mangopier.example/mangopier/internal/transport/fakes"
)

// Plan says what a lab consists of.
type Plan struct {
	DataCenters []string
	Entries     int // spread over the data centers
	Engines     []fakes.EngineConfig
	EngineSites []string // data center of each engine
	SpotIDs     map[string]bool
	MaxTargets  int // most targets in a data center; 0 orders none
	Services    []ServicePlan
	Routes      []note.Route
	Teams       []note.Team
	Listen      string // IP:port of the first entry towards callers, any port if empty
	Adjust      func(*conf.Settings)
	Logger      zerolog.Logger
}

// ServicePlan is one plain service target.
type ServicePlan struct {
	ID      string
	Service string
	Site    string
	Delay   time.Duration
}

// Lab is a running system.
type Lab struct {
	Platform *fakes.Platform
	Engines  map[string]*fakes.Engine
	Services map[string]*fakes.Service
	Entries  []*entry.Instance
	Keys     map[string]string // key by team

	plan     Plan
	platform *fakes.Server
	mu       sync.Mutex
	servers  map[string]*fakes.Server
	first    note.Note
	ordered  int

	orderedEngines map[string]*fakes.Engine
}

// Start brings a lab up and waits until all entry instances are ready.
func Start(ctx context.Context, plan Plan) (*Lab, error) {
	lab := &Lab{
		Platform: fakes.NewPlatform(),
		Engines:  map[string]*fakes.Engine{},
		Services: map[string]*fakes.Service{},
		Keys:     map[string]string{},
		servers:  map[string]*fakes.Server{},

		orderedEngines: map[string]*fakes.Engine{},

		plan: plan,
	}
	if err := lab.start(ctx); err != nil {
		lab.Close()
		return nil, err
	}
	return lab, nil
}

func (lab *Lab) start(ctx context.Context) error {
	var err error
	lab.Platform.Start, lab.Platform.Stop = lab.startOrdered, lab.stopTarget
	if lab.platform, err = fakes.Listen(anyPort, lab.Platform.Handler()); err != nil {
		return err
	}
	if err := lab.startTargets(); err != nil {
		return err
	}
	lab.addTeams()
	if _, err := feed.Publish(ctx, lab.Platform.Store.Client("operator"), &lab.first); err != nil {
		return err
	}
	for number := range lab.plan.Entries {
		if err := lab.startEntry(ctx, number); err != nil {
			return err
		}
	}
	return lab.awaitReady(ctx)
}

const anyPort = "127.0.0.1:0"

func (lab *Lab) startTargets() error {
	for _, name := range lab.plan.DataCenters {
		lab.first.DataCenters.Set = append(lab.first.DataCenters.Set, note.DataCenter{Name: name, MaxTargets: lab.plan.MaxTargets})
	}
	models := map[string]string{}
	for i, config := range lab.plan.Engines {
		fake := fakes.NewEngine(config)
		server, err := fakes.Listen(anyPort, fake.Handler())
		if err != nil {
			return err
		}
		lab.Engines[config.ID], lab.servers[config.ID] = fake, server
		lab.addTarget(engineTarget(config, server.Address(), lab.plan.EngineSites[i], lab.plan.SpotIDs[config.ID]))
		for _, model := range config.Models {
			models[model.Name] = model.Version
		}
	}
	for name, version := range models {
		lab.first.Models.Set = append(lab.first.Models.Set, note.Model{Name: name, Version: version})
	}
	return lab.startServices()
}

func (lab *Lab) startServices() error {
	for _, plan := range lab.plan.Services {
		fake := &fakes.Service{Delay: plan.Delay}
		server, err := fakes.Listen(anyPort, fake.Handler())
		if err != nil {
			return err
		}
		lab.Services[plan.ID], lab.servers[plan.ID] = fake, server
		lab.addTarget(note.Target{
			ID: plan.ID, Address: server.Address(), DataCenter: plan.Site,
			Kind: note.KindService, Service: plan.Service,
		})
	}
	lab.first.Routes.Set = lab.plan.Routes
	return nil
}

func (lab *Lab) addTarget(target note.Target) {
	lab.first.Targets.Set = append(lab.first.Targets.Set, target)
	lab.Platform.SetTarget(infra.Target{Target: target, Lifecycle: infra.LifecycleLive})
}

func engineTarget(config fakes.EngineConfig, address, site string, cheap bool) note.Target {
	target := note.Target{
		ID: config.ID, Address: address, DataCenter: site, Kind: note.KindEngine,
		Role: config.Role, ChecksFencingToken: !config.IgnoresFence, Spot: cheap,
		PrefillTPS: config.PrefillTPS, DecodeTPS: config.DecodeTPS, Slots: config.Slots,
	}
	for _, model := range config.Models {
		target.Models = append(target.Models, model.Name)
	}
	return target
}

func (lab *Lab) addTeams() {
	for i, team := range lab.plan.Teams {
		key := fmt.Sprintf("demo-key-%s-%d", team.Name, i)
		lab.Keys[team.Name] = key
		lab.first.Teams.Set = append(lab.first.Teams.Set, team)
		lab.first.Keys.Set = append(lab.first.Keys.Set, note.Key{Digest: note.KeyDigest(key), Team: team.Name})
	}
}

// Publish publishes a release note that follows the one in force.
func (lab *Lab) Publish(ctx context.Context, change note.Note) (uint64, error) {
	return feed.Publish(ctx, lab.Platform.Store.Client("operator"), &change)
}

// PlatformAddress returns the IP:port of the platform's interfaces.
func (lab *Lab) PlatformAddress() string {
	return lab.platform.Address()
}

func (lab *Lab) startEntry(ctx context.Context, number int) error {
	settings, err := lab.settings(number)
	if err != nil {
		return err
	}
	lab.Platform.SetInstance(infra.Instance{
		ID: settings.Instance, DataCenter: settings.DataCenter, PeerAddress: settings.PeerListenAddress, Lifecycle: infra.LifecycleLive,
	})
	instance := entry.New(settings, entry.WithLogger(lab.plan.Logger.With().Str("instance", settings.Instance).Logger()))
	if err := instance.Start(ctx); err != nil {
		return err
	}
	lab.Entries = append(lab.Entries, instance)
	return nil
}

func (lab *Lab) settings(number int) (conf.Settings, error) {
	settings := conf.Default()
	settings.Instance = fmt.Sprintf("entry-%d", number+1)
	settings.DataCenter = lab.plan.DataCenters[number%len(lab.plan.DataCenters)]
	settings.PlatformAddress = lab.platform.Address()
	settings.ListenAddress = anyPort
	if number == 0 && lab.plan.Listen != "" {
		settings.ListenAddress = lab.plan.Listen
	}
	settings.DataCenterDelaysMS = map[string]float64{}
	for _, name := range lab.plan.DataCenters {
		if name != settings.DataCenter {
			settings.DataCenterDelaysMS[name] = distanceMS
		}
	}
	peerListen, err := freeAddress()
	if err != nil {
		return settings, err
	}
	settings.PeerListenAddress = peerListen
	if lab.plan.Adjust != nil {
		lab.plan.Adjust(&settings)
	}
	return settings, settings.Validate()
}

const distanceMS = 1

// freeAddress returns an address that was free a moment ago: an instance has
// to know its own address for its peers before it listens.
func freeAddress() (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", anyPort)
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// readyPoll is the time between two looks at instances that start.
const readyPoll = 10 * time.Millisecond

func (lab *Lab) awaitReady(ctx context.Context) error {
	for _, instance := range lab.Entries {
		for {
			err := instance.CheckReady()
			if err == nil && instance.TargetCount() >= len(lab.servers) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("an instance is not ready: %w", err)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// Kill ends an entry instance at once. The platform's list keeps it as live,
// as it does for a while when a process is killed.
func (lab *Lab) Kill(number int) {
	lab.Entries[number].Kill()
}

// Shutdown stops the entry instances as an operator would: requests in flight
// end whole until ctx ends. It returns how many were cut. Close is still to be
// called.
func (lab *Lab) Shutdown(ctx context.Context) int64 {
	var cut atomic.Int64
	var group sync.WaitGroup
	for _, instance := range lab.Entries {
		group.Go(func() { cut.Add(instance.Stop(ctx)) })
	}
	group.Wait()
	return cut.Load()
}

// Close ends everything at once.
func (lab *Lab) Close() {
	var group sync.WaitGroup
	for _, instance := range lab.Entries {
		group.Go(instance.Kill)
	}
	group.Wait()
	lab.mu.Lock()
	defer lab.mu.Unlock()
	for _, server := range lab.servers {
		server.Close()
	}
	if lab.platform != nil {
		lab.platform.Close()
	}
}

// Model returns a model as engines report it.
func Model(name, version string) []engine.LoadedModel {
	return []engine.LoadedModel{{Name: name, Version: version}}
}
