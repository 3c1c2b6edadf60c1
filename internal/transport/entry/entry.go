// Package entry assembles an entry instance: the server towards callers, the
// server towards other instances, and the parts that they work with.
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

// WithRegistry sets the registry of metrics, a new one by default.
func WithRegistry(registry *prometheus.Registry) Option {
	return func(instance *Instance) { instance.registry = registry }
}

// WithVersion sets the version that the instance tells operators.
func WithVersion(version string) Option {
	return func(instance *Instance) { instance.version = version }
}

// Instance is an entry instance.
type Instance struct {
	settings conf.Settings
	logger   zerolog.Logger
	tracer   trace.Tracer
	registry *prometheus.Registry
	version  string

	platform *plat.Client
	peers    *peer.Client
	client   *back.Client
	feed     *feed.Feed
	members  *gossip.Members
	targets  *route.Table
	health   *health.Tracker
	poison   *poison.Tracker
	guard    *once.Guard
	meter    *usage.Meter
	holder   *usage.ReplicaStore
	queues   queues
	relay    *relay.Relay
	callers  *front.Server
	inner    *front.Server
	watcher  *watcher
	control  *control

	cancel  context.CancelFunc
	running []part
	ending  sync.Once
}

// part is a goroutine of the instance and the channel of its end.
type part struct {
	name  string
	ended <-chan error
}

// New returns an instance that is not running yet.
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

// Start opens the servers and starts all parts.
func (instance *Instance) Start(ctx context.Context) error {
	if err := instance.inner.Start(); err != nil {
		return err
	}
	if err := instance.callers.Start(); err != nil {
		return err
	}
	ctx, instance.cancel = context.WithCancel(context.WithoutCancel(ctx))
	instance.running = []part{
		{"feed", instance.feed.Start(ctx)},
		{"members", instance.members.Start(ctx)},
		{"meter", instance.meter.Start(ctx)},
		{"once", instance.guard.Start(ctx)},
		{"relay", instance.relay.Start(ctx)},
		{"watcher", instance.watcher.Start(ctx)},
		{"control", instance.control.Start(ctx)},
	}
	instance.logger.Info().Str("part", "entry").Str("listen", instance.callers.Address()).Msg("instance runs")
	return nil
}

// Callers returns the IP:port towards callers, once started.
func (instance *Instance) Callers() string {
	return instance.callers.Address()
}

// Inner returns the IP:port towards other instances, which also serves
// metrics, once started.
func (instance *Instance) Inner() string {
	return instance.inner.Address()
}

// Active returns the number of callers' requests that are being handled.
func (instance *Instance) Active() int64 {
	return instance.callers.ActiveRequests()
}

// Ready reports why the instance may not serve keyed work now.
func (instance *Instance) Ready() error {
	return instance.relay.Ready()
}

// Stop ends the instance without cutting a request: it becomes not ready,
// serves on for the drain grace while the balancer turns away, refuses what
// still comes as not run, waits for the requests in flight, hands its usage
// figures over and then closes. It returns how many requests were cut since
// ctx or the drain timeout ended before them.
func (instance *Instance) Stop(ctx context.Context) int64 {
	timeouts := instance.settings.Timeouts
	instance.relay.Stopping()
	instance.members.Leave()
	pause.For(ctx, conf.Milliseconds(timeouts.DrainGraceMS))
	instance.relay.Leave()
	drainCtx, cancel := context.WithTimeout(ctx, conf.Milliseconds(timeouts.DrainMS))
	defer cancel()
	cut := instance.callers.Stop(drainCtx)
	instance.handoff(ctx)
	instance.end()
	return cut
}

// Kill ends the instance at once, as if its process was killed.
func (instance *Instance) Kill() {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	instance.callers.Stop(gone)
	instance.end()
}

func (instance *Instance) handoff(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoffTimeout)
	defer cancel()
	if err := instance.meter.Handoff(ctx); err != nil {
		instance.logger.Warn().Str("part", "entry").Err(err).Msg("usage was not handed over")
	}
}

func (instance *Instance) end() {
	instance.ending.Do(instance.endParts)
}

func (instance *Instance) endParts() {
	instance.cancel()
	for _, part := range instance.running {
		if err := <-part.ended; err != nil && !errors.Is(err, context.Canceled) {
			instance.logger.Error().Str("part", part.name).Err(err).Msg("part ended")
		}
	}
	gone, cancel := context.WithTimeout(context.Background(), innerStopTimeout)
	defer cancel()
	instance.inner.Stop(gone)
	instance.client.Close()
	instance.peers.Close()
}

const (
	handoffTimeout   = 5 * time.Second
	innerStopTimeout = time.Second
)

// Targets returns how many targets the instance polls.
func (instance *Instance) Targets() int {
	return int(instance.watcher.count.Load())
}
