// Package relay carries callers' requests to targets and the answers back: it
// checks keys, admits, chooses targets, retries or resumes what failed, and
// counts usage before an answer ends.
package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"mangopier.example/mangopier/internal/coordination/admit"
	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/once"
	"mangopier.example/mangopier/internal/coordination/poison"
	"mangopier.example/mangopier/internal/coordination/retry"
	"mangopier.example/mangopier/internal/coordination/route"
	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/front"
)

// Notes gives the catalog in force.
type Notes interface {
	// Current returns the catalog in force, nil before the first one.
	Current() *note.Catalog
	// Serving returns an error if keyed requests must be refused, since the
	// catalog may be out of date.
	Serving() error
}

// Meter counts usage.
type Meter interface {
	// Record returns when the line is safe from the loss of this instance,
	// or after a bounded wait.
	Record(ctx context.Context, line usage.Line) error
}

// Guard lets calls run at most once.
type Guard interface {
	Begin(ctx context.Context, call once.Call) (*once.Ticket, *once.Outcome, error)
}

// Relay is the HTTP handler towards callers.
type Relay struct {
	notes     Notes
	client    *back.Client
	targets   *route.Table
	picker    route.Picker
	predictor route.Predictor
	engines   admit.Admitter
	services  admit.Admitter
	policy    *retry.Policy
	health    *health.Tracker
	poison    *poison.Tracker
	guard     Guard
	meter     Meter
	timeout   time.Duration
	silence   time.Duration
	logger    zerolog.Logger
	tracer    trace.Tracer
	metrics   *metrics

	rates    atomic.Pointer[rates]
	attempts sync.Map // uint64 to context.CancelCauseFunc
	crashes  sync.Map // target ID to time.Time of the last failure there
	sequence atomic.Uint64
	prefix   string
	stopping atomic.Bool
	hasLeft  atomic.Bool
}

// Option changes a relay under construction.
type Option func(*Relay)

// WithPicker replaces the choice of targets.
func WithPicker(picker route.Picker) Option {
	return func(relay *Relay) { relay.picker = picker }
}

// WithAdmission replaces the admission of requests for engines and services.
func WithAdmission(engines, services admit.Admitter) Option {
	return func(relay *Relay) { relay.engines, relay.services = engines, services }
}

// WithPolicy replaces the decisions after failed attempts.
func WithPolicy(policy *retry.Policy) Option {
	return func(relay *Relay) { relay.policy = policy }
}

// WithHealth replaces the health of targets.
func WithHealth(tracker *health.Tracker) Option {
	return func(relay *Relay) { relay.health = tracker }
}

// WithPoison replaces the detection of requests that crash targets.
func WithPoison(tracker *poison.Tracker) Option {
	return func(relay *Relay) { relay.poison = tracker }
}

// WithGuard gives calls with an idempotency key a guard.
func WithGuard(guard Guard) Option {
	return func(relay *Relay) { relay.guard = guard }
}

// WithMeter counts usage.
func WithMeter(meter Meter) Option {
	return func(relay *Relay) { relay.meter = meter }
}

// WithTimeout bounds requests that bring no deadline of their own.
func WithTimeout(timeout time.Duration) Option {
	return func(relay *Relay) { relay.timeout = timeout }
}

// WithSilence sets how long a target may send nothing before it is probed.
func WithSilence(silence time.Duration) Option {
	return func(relay *Relay) { relay.silence = silence }
}

// WithLogger sets the logger.
func WithLogger(logger zerolog.Logger) Option {
	return func(relay *Relay) { relay.logger = logger.With().Str("part", "relay").Logger() }
}

// WithTracer sets the tracer.
func WithTracer(tracer trace.Tracer) Option {
	return func(relay *Relay) { relay.tracer = tracer }
}

// WithRegisterer registers the relay's metrics.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(relay *Relay) { relay.metrics.register(registerer) }
}

const (
	defaultTimeout = 2 * time.Minute
	defaultSilence = 5 * time.Second
)

// New returns a relay of the instance with the given ID to the targets in the
// table.
func New(instance string, notes Notes, targets *route.Table, client *back.Client, opts ...Option) *Relay {
	relay := &Relay{
		prefix:   instance + "-" + time.Now().UTC().Format("150405.000") + "-",
		notes:    notes,
		client:   client,
		targets:  targets,
		picker:   route.New(),
		engines:  admit.New(),
		services: admit.New(),
		policy:   retry.New(),
		health:   health.New(),
		poison:   poison.New(),
		timeout:  defaultTimeout,
		silence:  defaultSilence,
		logger:   zerolog.Nop(),
		tracer:   noop.NewTracerProvider().Tracer(""),
		metrics:  newMetrics(),
	}
	for _, opt := range opts {
		opt(relay)
	}
	return relay
}

// Stopping makes the instance not ready; requests are still served.
func (relay *Relay) Stopping() {
	relay.stopping.Store(true)
}

// Leave refuses new requests as not run, while those in flight go on.
func (relay *Relay) Leave() {
	relay.hasLeft.Store(true)
}

// ServeHTTP serves one request of a caller.
func (relay *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		reply(w, "text/plain", []byte("ok\n"))
		return
	case "/readyz":
		relay.serveReady(w)
		return
	}
	started := time.Now()
	ctx, span := relay.startSpan(r)
	defer span.End()
	err := relay.serve(ctx, w, r)
	relay.metrics.ended(r.URL.Path, err, time.Since(started))
	endSpan(span, err)
}

// serve answers a request, with a refusal where it returns an error. An error
// whose answer has begun already is marked as such.
func (relay *Relay) serve(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	err := relay.dispatch(ctx, w, r)
	if err == nil || code.Is(err, code.CallerGone) || begun(err) {
		return err
	}
	front.WriteError(w, err)
	return err
}

func (relay *Relay) dispatch(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	if relay.hasLeft.Load() {
		w.Header().Set("Connection", "close")
		return code.Errorf(code.ShuttingDown, "instance is shutting down")
	}
	catalog := relay.notes.Current()
	if catalog == nil {
		return code.Errorf(code.NotReady, "no release note is in force yet")
	}
	switch r.URL.Path {
	case "/v1/chat/completions":
		return relay.serveChat(ctx, w, r, catalog)
	case "/v1/models":
		return relay.serveModels(w, r, catalog)
	default:
		return relay.serveRoute(ctx, w, r, catalog)
	}
}

func (relay *Relay) serveReady(w http.ResponseWriter) {
	err := relay.Ready()
	if err != nil {
		front.WriteError(w, err)
		return
	}
	reply(w, "text/plain", []byte("ready\n"))
}

// Ready returns why the instance should get no new requests, nil if it should.
func (relay *Relay) Ready() error {
	if relay.stopping.Load() {
		return code.Errorf(code.ShuttingDown, "instance is shutting down")
	}
	if relay.notes.Current() == nil {
		return code.Errorf(code.NotReady, "no release note is in force yet")
	}
	return relay.notes.Serving()
}
