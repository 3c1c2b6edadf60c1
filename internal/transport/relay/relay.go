// Package relay is the HTTP handler that forwards callers' requests to targets and
// the responses back.
//
// It authenticates API keys, admits requests, picks targets, and retries failed
// requests or resumes interrupted responses at other targets. Usage is recorded
// before the end of a response is sent. Chat requests are forwarded to engines, and
// requests to paths outside the chat API to plain services.
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

// NoteFeed provides the catalog of the release note in force.
type NoteFeed interface {
	// Catalog returns the catalog in force, or nil before the first one.
	Catalog() *note.Catalog
	// CheckServing returns an error if requests with a key must be refused because
	// the catalog may be out of date.
	CheckServing() error
}

// UsageRecorder records the usage of teams.
type UsageRecorder interface {
	// Record adds a line to the usage. It returns once the line would survive the
	// loss of this instance, or after a bounded wait.
	Record(ctx context.Context, line usage.Line) error
}

// Deduplicator ensures that calls which may not be repeated run at most once.
type Deduplicator interface {
	// Begin returns a ticket for a call that may be sent, or the stored outcome
	// of an earlier call with the same idempotency key.
	Begin(ctx context.Context, call once.Call) (*once.Ticket, *once.Outcome, error)
}

// Relay is the HTTP handler for callers. It is safe for concurrent use.
type Relay struct {
	noteFeed        NoteFeed
	client          *back.Client
	routingTable    *route.Table
	picker          route.Picker
	predictor       route.OutputPredictor
	engineAdmitter  admit.Admitter
	serviceAdmitter admit.Admitter
	retryPolicy     *retry.Policy
	healthTracker   *health.Tracker
	poisonTracker   *poison.Tracker
	deduplicator    Deduplicator
	usageRecorder   UsageRecorder
	requestTimeout  time.Duration
	silenceTimeout  time.Duration
	logger          zerolog.Logger
	tracer          trace.Tracer
	metrics         *metrics

	targetInfo        atomic.Pointer[targetInfo]
	cancelFuncs       sync.Map // attempt number (uint64) to context.CancelCauseFunc
	lastFailures      sync.Map // target ID to time.Time of the last failure counted as a crash
	lastAttemptNumber atomic.Uint64
	attemptIDPrefix   string
	notReady          atomic.Bool
	rejectsRequests   atomic.Bool
}

// Option configures a Relay.
type Option func(*Relay)

// WithPicker sets the picker of targets.
func WithPicker(picker route.Picker) Option {
	return func(relay *Relay) { relay.picker = picker }
}

// WithAdmission sets the admission of requests to engines and to plain services.
func WithAdmission(engines, services admit.Admitter) Option {
	return func(relay *Relay) { relay.engineAdmitter, relay.serviceAdmitter = engines, services }
}

// WithRetryPolicy sets the retry policy.
func WithRetryPolicy(policy *retry.Policy) Option {
	return func(relay *Relay) { relay.retryPolicy = policy }
}

// WithHealthTracker sets the health tracker of targets.
func WithHealthTracker(tracker *health.Tracker) Option {
	return func(relay *Relay) { relay.healthTracker = tracker }
}

// WithPoisonTracker sets the tracker that detects requests which crash targets.
func WithPoisonTracker(tracker *poison.Tracker) Option {
	return func(relay *Relay) { relay.poisonTracker = tracker }
}

// WithDeduplicator sets the deduplicator for calls that may not be repeated.
// Without one, they are sent without deduplication.
func WithDeduplicator(deduplicator Deduplicator) Option {
	return func(relay *Relay) { relay.deduplicator = deduplicator }
}

// WithUsageRecorder sets the recorder of usage. Without one, usage is not recorded.
func WithUsageRecorder(recorder UsageRecorder) Option {
	return func(relay *Relay) { relay.usageRecorder = recorder }
}

// WithRequestTimeout sets the timeout of requests that have no deadline, which is
// also the longest deadline that a request can have.
func WithRequestTimeout(timeout time.Duration) Option {
	return func(relay *Relay) { relay.requestTimeout = timeout }
}

// WithSilenceTimeout sets the silence timeout, which has no effect at present: the
// health tracker decides when a silent target is probed.
func WithSilenceTimeout(timeout time.Duration) Option {
	return func(relay *Relay) { relay.silenceTimeout = timeout }
}

// WithLogger sets the logger.
func WithLogger(logger zerolog.Logger) Option {
	return func(relay *Relay) { relay.logger = logger.With().Str("part", "relay").Logger() }
}

// WithTracer sets the tracer.
func WithTracer(tracer trace.Tracer) Option {
	return func(relay *Relay) { relay.tracer = tracer }
}

// WithRegisterer sets the registerer of the relay's metrics.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(relay *Relay) { relay.metrics.register(registerer) }
}

const (
	defaultRequestTimeout = 2 * time.Minute
	defaultSilenceTimeout = 5 * time.Second
)

// New returns a relay that forwards requests to the targets in the table. The
// attempt IDs that it sends to targets begin with the given instance ID.
func New(instance string, noteFeed NoteFeed, routingTable *route.Table, client *back.Client, opts ...Option) *Relay {
	relay := &Relay{
		attemptIDPrefix: instance + "-" + time.Now().UTC().Format("150405.000") + "-",
		noteFeed:        noteFeed,
		client:          client,
		routingTable:    routingTable,
		picker:          route.NewCostPicker(),
		engineAdmitter:  admit.New(),
		serviceAdmitter: admit.New(),
		retryPolicy:     retry.New(),
		healthTracker:   health.New(),
		poisonTracker:   poison.New(),
		requestTimeout:  defaultRequestTimeout,
		silenceTimeout:  defaultSilenceTimeout,
		logger:          zerolog.Nop(),
		tracer:          noop.NewTracerProvider().Tracer(""),
		metrics:         newMetrics(),
	}
	for _, opt := range opts {
		opt(relay)
	}
	return relay
}

// SetNotReady makes the readiness check fail. Requests are still served.
func (relay *Relay) SetNotReady() {
	relay.notReady.Store(true)
}

// StopAccepting makes the relay refuse new requests, with code.ShuttingDown.
// Requests in flight continue.
func (relay *Relay) StopAccepting() {
	relay.rejectsRequests.Store(true)
}

// ServeHTTP serves a caller's request, or a liveness or readiness check.
func (relay *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		writeOK(w, "text/plain", []byte("ok\n"))
		return
	case "/readyz":
		relay.serveReadiness(w)
		return
	}
	started := time.Now()
	ctx, span := relay.startSpan(r)
	defer span.End()
	err := relay.serve(ctx, w, r)
	relay.metrics.recordRequest(r.URL.Path, err, time.Since(started))
	endSpan(span, err)
}

// serve handles a request. It writes the error response, unless the caller has
// disconnected or the response has already started. The error is returned for the
// metrics.
func (relay *Relay) serve(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	err := relay.dispatch(ctx, w, r)
	if err == nil || code.Is(err, code.CallerGone) || hasResponseStarted(err) {
		return err
	}
	front.WriteError(w, err)
	return err
}

func (relay *Relay) dispatch(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	if relay.rejectsRequests.Load() {
		front.CloseConnection(w)
		return code.Errorf(code.ShuttingDown, "instance is shutting down")
	}
	catalog := relay.noteFeed.Catalog()
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

func (relay *Relay) serveReadiness(w http.ResponseWriter) {
	err := relay.CheckReady()
	if err != nil {
		front.WriteError(w, err)
		return
	}
	writeOK(w, "text/plain", []byte("ready\n"))
}

// CheckReady returns nil if the instance should get new requests, and the reason
// as an error if not.
func (relay *Relay) CheckReady() error {
	if relay.notReady.Load() {
		return code.Errorf(code.ShuttingDown, "instance is shutting down")
	}
	if relay.noteFeed.Catalog() == nil {
		return code.Errorf(code.NotReady, "no release note is in force yet")
	}
	return relay.noteFeed.CheckServing()
}
