// Package lab runs a complete system on loopback in one process: entry instances,
// a fake platform, and fake engines and services as targets. The demo, the
// experiments and the tests use it.
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

// Config describes the components of a system.
type Config struct {
	DataCenters             []string
	EntryCount              int // number of entry instances, spread over the data centres
	Engines                 []fakes.EngineConfig
	EngineDataCenters       []string // data centre of each engine, in the order of Engines
	SpotIDs                 map[string]bool
	MaxTargetsPerDataCenter int // limit for ordering targets; 0 for no orders
	Services                []ServiceConfig
	Routes                  []note.Route
	Teams                   []note.Team
	ListenAddress           string // IP:port of the first entry instance for callers; a free port if empty
	AdjustSettings          func(*conf.Settings)
	Logger                  zerolog.Logger
}

// ServiceConfig describes a target of a plain service.
type ServiceConfig struct {
	ID           string
	Service      string
	DataCenter   string
	CallDuration time.Duration
}

// System is a running system.
type System struct {
	Platform *fakes.Platform
	Engines  map[string]*fakes.Engine
	Services map[string]*fakes.Service
	Entries  []*entry.Instance
	APIKeys  map[string]string // API key by team

	config         Config
	platformServer *fakes.Server
	mu             sync.Mutex
	targetServers  map[string]*fakes.Server
	initialNote    note.Note
	orderedCount   int

	orderedEngines map[string]*fakes.Engine
}

// Start starts a system and waits until all entry instances are ready and know all
// targets. It returns an error if that does not happen before ctx ends.
func Start(ctx context.Context, config Config) (*System, error) {
	system := &System{
		Platform:      fakes.NewPlatform(),
		Engines:       map[string]*fakes.Engine{},
		Services:      map[string]*fakes.Service{},
		APIKeys:       map[string]string{},
		targetServers: map[string]*fakes.Server{},

		orderedEngines: map[string]*fakes.Engine{},

		config: config,
	}
	if err := system.start(ctx); err != nil {
		system.Close()
		return nil, err
	}
	return system, nil
}

func (system *System) start(ctx context.Context) error {
	var err error
	system.Platform.StartTarget, system.Platform.StopTarget = system.startOrderedEngine, system.stopTarget
	if system.platformServer, err = fakes.Listen(loopbackAnyPort, system.Platform.Handler()); err != nil {
		return err
	}
	if err := system.startTargets(); err != nil {
		return err
	}
	system.addTeams()
	if _, err := feed.Publish(ctx, system.Platform.Store.Client("operator"), &system.initialNote); err != nil {
		return err
	}
	for index := range system.config.EntryCount {
		if err := system.startEntry(ctx, index); err != nil {
			return err
		}
	}
	return system.awaitReady(ctx)
}

const loopbackAnyPort = "127.0.0.1:0"

func (system *System) startTargets() error {
	for _, name := range system.config.DataCenters {
		system.initialNote.DataCenters.Set = append(system.initialNote.DataCenters.Set, note.DataCenter{Name: name, MaxTargets: system.config.MaxTargetsPerDataCenter})
	}
	models := map[string]string{}
	for i, config := range system.config.Engines {
		fake := fakes.NewEngine(config)
		server, err := fakes.Listen(loopbackAnyPort, fake.Handler())
		if err != nil {
			return err
		}
		system.Engines[config.ID], system.targetServers[config.ID] = fake, server
		system.addTarget(engineTarget(config, server.Address(), system.config.EngineDataCenters[i], system.config.SpotIDs[config.ID]))
		for _, model := range config.Models {
			models[model.Name] = model.Version
		}
	}
	for name, version := range models {
		system.initialNote.Models.Set = append(system.initialNote.Models.Set, note.Model{Name: name, Version: version})
	}
	return system.startServices()
}

func (system *System) startServices() error {
	for _, config := range system.config.Services {
		fake := &fakes.Service{CallDuration: config.CallDuration}
		server, err := fakes.Listen(loopbackAnyPort, fake.Handler())
		if err != nil {
			return err
		}
		system.Services[config.ID], system.targetServers[config.ID] = fake, server
		system.addTarget(note.Target{
			ID: config.ID, Address: server.Address(), DataCenter: config.DataCenter,
			Kind: note.KindService, Service: config.Service,
		})
	}
	system.initialNote.Routes.Set = system.config.Routes
	return nil
}

func (system *System) addTarget(target note.Target) {
	system.initialNote.Targets.Set = append(system.initialNote.Targets.Set, target)
	system.Platform.SetTarget(infra.Target{Target: target, Lifecycle: infra.LifecycleLive})
}

func engineTarget(config fakes.EngineConfig, address, dataCenter string, spot bool) note.Target {
	target := note.Target{
		ID: config.ID, Address: address, DataCenter: dataCenter, Kind: note.KindEngine,
		Role: config.Role, ChecksFencingToken: !config.IgnoresFencingToken, Spot: spot,
		PrefillTPS: config.PrefillTPS, DecodeTPS: config.DecodeTPS, Slots: config.Slots,
	}
	for _, model := range config.Models {
		target.Models = append(target.Models, model.Name)
	}
	return target
}

func (system *System) addTeams() {
	for i, team := range system.config.Teams {
		key := fmt.Sprintf("demo-key-%s-%d", team.Name, i)
		system.APIKeys[team.Name] = key
		system.initialNote.Teams.Set = append(system.initialNote.Teams.Set, team)
		system.initialNote.Keys.Set = append(system.initialNote.Keys.Set, note.Key{Digest: note.KeyDigest(key), Team: team.Name})
	}
}

// PublishNote publishes a release note that follows the one in force, and returns
// the number of the new note.
func (system *System) PublishNote(ctx context.Context, change note.Note) (uint64, error) {
	return feed.Publish(ctx, system.Platform.Store.Client("operator"), &change)
}

// PlatformAddress returns the IP:port at which the platform listens.
func (system *System) PlatformAddress() string {
	return system.platformServer.Address()
}

func (system *System) startEntry(ctx context.Context, index int) error {
	settings, err := system.entrySettings(index)
	if err != nil {
		return err
	}
	system.Platform.SetInstance(infra.Instance{
		ID: settings.Instance, DataCenter: settings.DataCenter, PeerAddress: settings.PeerListenAddress, Lifecycle: infra.LifecycleLive,
	})
	instance := entry.New(settings, entry.WithLogger(system.config.Logger.With().Str("instance", settings.Instance).Logger()))
	if err := instance.Start(ctx); err != nil {
		return err
	}
	system.Entries = append(system.Entries, instance)
	return nil
}

func (system *System) entrySettings(index int) (conf.Settings, error) {
	settings := conf.Default()
	settings.Instance = fmt.Sprintf("entry-%d", index+1)
	settings.DataCenter = system.config.DataCenters[index%len(system.config.DataCenters)]
	settings.PlatformAddress = system.platformServer.Address()
	settings.ListenAddress = loopbackAnyPort
	if index == 0 && system.config.ListenAddress != "" {
		settings.ListenAddress = system.config.ListenAddress
	}
	settings.DataCenterDelaysMS = map[string]float64{}
	for _, name := range system.config.DataCenters {
		if name != settings.DataCenter {
			settings.DataCenterDelaysMS[name] = dataCenterDelayMS
		}
	}
	peerListen, err := freeAddress()
	if err != nil {
		return settings, err
	}
	settings.PeerListenAddress = peerListen
	if system.config.AdjustSettings != nil {
		system.config.AdjustSettings(&settings)
	}
	return settings, settings.Validate()
}

const dataCenterDelayMS = 1

// freeAddress returns an address with a port that was free when it was checked. An
// instance needs a known peer address before it listens, so port 0 cannot be used.
func freeAddress() (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", loopbackAnyPort)
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

const readyPollInterval = 10 * time.Millisecond

func (system *System) awaitReady(ctx context.Context) error {
	for _, instance := range system.Entries {
		for {
			err := instance.CheckReady()
			if err == nil && instance.TargetCount() >= len(system.targetServers) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("entry instance not ready: %w", err)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// KillEntry stops an entry instance at once, without draining. The platform's list
// still shows it as live, as it does for a while after a process is killed.
func (system *System) KillEntry(index int) {
	system.Entries[index].Kill()
}

// Shutdown drains and stops the entry instances: requests in flight may complete
// until ctx ends. It returns the number of requests that were aborted. Close must
// still be called afterwards.
func (system *System) Shutdown(ctx context.Context) int64 {
	var aborted atomic.Int64
	var group sync.WaitGroup
	for _, instance := range system.Entries {
		group.Go(func() { aborted.Add(instance.Stop(ctx)) })
	}
	group.Wait()
	return aborted.Load()
}

// Close stops all components at once, without draining.
func (system *System) Close() {
	var group sync.WaitGroup
	for _, instance := range system.Entries {
		group.Go(instance.Kill)
	}
	group.Wait()
	system.mu.Lock()
	defer system.mu.Unlock()
	for _, server := range system.targetServers {
		server.Close()
	}
	if system.platformServer != nil {
		system.platformServer.Close()
	}
}

// LoadedModels returns a list with one loaded model, in the form that engines
// report.
func LoadedModels(name, version string) []engine.LoadedModel {
	return []engine.LoadedModel{{Name: name, Version: version}}
}
