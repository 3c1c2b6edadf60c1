// Package entry assembles an entry instance from its components: the server for
// callers, the server for other instances, the forwarding of requests to targets,
// usage metering, and the control duties that one instance of the fleet performs
// at a time under a lease.
package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"mangopier.example/mangopier/internal/coordination/feed"
	"mangopier.example/mangopier/internal/coordination/gossip"
	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/once"
	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/coordination/poison"
	"mangopier.example/mangopier/internal/coordination/route"
	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/protocol/conf"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/front"
	"mangopier.example/mangopier/internal/transport/peer"
	"mangopier.example/mangopier/internal/transport/plat"
	"mangopier.example/mangopier/internal/transport/relay"
)

// Option changes an instance under construction.
type Option func(*Instance)

// WithLogger sets the logger.
func WithLogger(logger zerolog.Logger) Option {
	return func(instance *Instance) { instance.logger = logger }
}

// WithTracer sets the tracer.
func WithTracer(tracer trace.Tracer) Option {
	return func(instance *Instance) { instance.tracer = tracer }
}

// WithRegistry sets the registry for metrics. The default is a new one.
func WithRegistry(registry *prometheus.Registry) Option {
	return func(instance *Instance) { instance.registry = registry }
}

// WithVersion sets the program version that the instance reports to operators.
func WithVersion(version string) Option {
	return func(instance *Instance) { instance.version = version }
}

// Instance is an entry instance, which forwards callers' requests to targets.
type Instance struct {
	settings conf.Settings
	logger   zerolog.Logger
	tracer   trace.Tracer
	registry *prometheus.Registry
	version  string

	platform      *plat.Client
	peerClient    *peer.Client
	targetClient  *back.Client
	noteFeed      *feed.Feed
	members       *gossip.Members
	routingTable  *route.Table
	healthTracker *health.Tracker
	poisonTracker *poison.Tracker
	deduplicator  *once.Deduplicator
	meter         *usage.Meter
	replicaStore  *usage.ReplicaStore
	admitters     admitters
	relay         *relay.Relay
	callerServer  *front.Server
	peerServer    *front.Server
	watcher       *targetWatcher
	coordinator   *coordinator

	cancel       context.CancelFunc
	components   []component
	shutdownOnce sync.Once
}

// component is a running component of the instance. Its channel receives the
// component's error once it has ended.
type component struct {
	name  string
	ended <-chan error
}

// New returns an instance that is not yet started.
func New(settings conf.Settings, opts ...Option) *Instance {
	instance := &Instance{
		settings: settings,
		logger:   zerolog.Nop(),
		tracer:   noop.NewTracerProvider().Tracer(""),
		registry: prometheus.NewRegistry(),
		version:  "development",
	}
	for _, opt := range opts {
		opt(instance)
	}
	instance.build()
	return instance
}

// Start opens the servers and starts all components. They run until Stop or Kill,
// also after ctx has ended. The error is that of a server that cannot listen.
func (instance *Instance) Start(ctx context.Context) error {
	if err := instance.peerServer.Start(); err != nil {
		return err
	}
	if err := instance.callerServer.Start(); err != nil {
		return err
	}
	ctx, instance.cancel = context.WithCancel(context.WithoutCancel(ctx))
	instance.components = []component{
		{"feed", instance.noteFeed.Start(ctx)},
		{"members", instance.members.Start(ctx)},
		{"meter", instance.meter.Start(ctx)},
		{"once", instance.deduplicator.Start(ctx)},
		{"relay", instance.relay.StartProbing(ctx)},
		{"watcher", instance.watcher.Start(ctx)},
		{"control", instance.coordinator.Start(ctx)},
	}
	instance.logger.Info().Str("part", "entry").Str("listen", instance.callerServer.Address()).Msg("instance started")
	return nil
}

// CallerAddress returns the IP:port that listens for callers. It is valid after
// Start.
func (instance *Instance) CallerAddress() string {
	return instance.callerServer.Address()
}

// PeerAddress returns the IP:port that listens for other instances and also serves
// metrics. It is valid after Start.
func (instance *Instance) PeerAddress() string {
	return instance.peerServer.Address()
}

// ActiveRequests returns the number of callers' requests in flight.
func (instance *Instance) ActiveRequests() int64 {
	return instance.callerServer.ActiveRequests()
}

// CheckReady returns nil if the instance should get new requests, and the reason as
// an error if not.
func (instance *Instance) CheckReady() error {
	return instance.relay.CheckReady()
}

// Stop shuts the instance down gracefully. It reports not ready but keeps serving
// for the drain grace, so that load balancers can stop sending to it. It then
// refuses new requests as not run, waits for those in flight, hands its usage
// figures over to another instance and closes. Stop returns the number of requests
// that were cut because ctx or the drain timeout ended first.
func (instance *Instance) Stop(ctx context.Context) int64 {
	timeouts := instance.settings.Timeouts
	instance.relay.SetNotReady()
	instance.members.Leave()
	pause.For(ctx, conf.Milliseconds(timeouts.DrainGraceMS))
	instance.relay.StopAccepting()
	drainCtx, cancel := context.WithTimeout(ctx, conf.Milliseconds(timeouts.DrainMS))
	defer cancel()
	cut := instance.callerServer.Stop(drainCtx)
	instance.handOffUsage(ctx)
	instance.shutdown()
	return cut
}

// Kill ends the instance at once, as if its process had been killed: requests in
// flight are cut and usage figures are not handed over.
func (instance *Instance) Kill() {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	instance.callerServer.Stop(canceled)
	instance.shutdown()
}

func (instance *Instance) handOffUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoffTimeout)
	defer cancel()
	if err := instance.meter.Handoff(ctx); err != nil {
		instance.logger.Warn().Str("part", "entry").Err(err).Msg("usage figures were not handed over")
	}
}

func (instance *Instance) shutdown() {
	instance.shutdownOnce.Do(instance.shutdownComponents)
}

func (instance *Instance) shutdownComponents() {
	instance.cancel()
	for _, component := range instance.components {
		if err := <-component.ended; err != nil && !errors.Is(err, context.Canceled) {
			instance.logger.Error().Str("part", component.name).Err(err).Msg("component failed")
		}
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), peerServerStopTimeout)
	defer cancel()
	instance.peerServer.Stop(stopCtx)
	instance.targetClient.Close()
	instance.peerClient.Close()
}

const (
	handoffTimeout        = 5 * time.Second
	peerServerStopTimeout = time.Second
)

// TargetCount returns the number of targets that the instance knows, as of the last
// update of its routing table.
func (instance *Instance) TargetCount() int {
	return int(instance.watcher.targetCount.Load())
}
