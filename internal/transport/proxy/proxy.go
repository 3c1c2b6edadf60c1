// Package proxy offers the HTTP handler that forwards callers' requests to
// targets. For each request it finds the route, the team and the service,
// chooses targets, retries on another target where the route and the retry
// budget allow it, and streams the response back. A request to a model engine
// is first prefilled at one engine and then decoded at another. Each request
// ends with one log line that holds the figures behind its outcome.
package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/crash"
	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/origin"
	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/coordination/reach"
	"mangopier.example/mangopier/internal/coordination/retry"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/logs"
)

// Codec converts between the platform's HTTP messages and the types of package
// site.
type Codec interface {
	// ParseRequest parses a caller's request.
	ParseRequest(r *http.Request, body []byte) (*site.Request, error)
	// RequestHeader returns the headers of a call to a target.
	RequestHeader(request *site.Request, call *site.Call) http.Header
	// ParseResponse parses the status and the headers of a target's response.
	ParseResponse(status int, header http.Header) site.ResponseInfo
	// ResponseHeader returns the headers of a target's response that are
	// forwarded to the caller.
	ResponseHeader(header http.Header) http.Header
	// ParseKVHandle parses the body with which the engine at address answers a
	// prefill.
	ParseKVHandle(address string, body []byte) (*site.KVHandle, error)
	// KVHandlePath returns the path on which a DELETE releases a KV handle.
	KVHandlePath(handle string) string
	// AttemptHeader returns the name of the header in which a target echoes
	// the request's identifier.
	AttemptHeader() string
}

// UsageMeter counts requests per team for the usage report.
type UsageMeter interface {
	// CountRequest counts a request that a target may have run.
	CountRequest(team string)
}

// Option configures a Proxy.
type Option func(*Proxy)

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger zerolog.Logger) Option {
	return func(proxy *Proxy) { proxy.logger = logger.With().Str("part", "proxy").Logger() }
}

// WithRegisterer sets the registry of the metrics. By default they are not
// registered.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(proxy *Proxy) { proxy.metrics = newMetrics(registerer) }
}

// WithBounds sets the limits of the site's rules, such as the retry budget.
func WithBounds(bounds site.Bounds) Option {
	return func(proxy *Proxy) { proxy.bounds = bounds }
}

// WithInstanceCount sets the function that returns the number of instances,
// among which the extra retries of the retry budget are divided. While it
// returns 0, this instance has no extra retries. The default returns 1.
func WithInstanceCount(instanceCount func() int) Option {
	return func(proxy *Proxy) { proxy.instanceCount = instanceCount }
}

// WithCrashTracker sets the tracker of requests that crash targets. It has to be told
// the list of targets. By default no target is listed, and no request is suspected.
func WithCrashTracker(tracker *crash.Tracker) Option {
	return func(proxy *Proxy) { proxy.crashes = tracker }
}

// WithOrigins sets the tracker of the software versions at which streams began. It has to
// be told the list of targets and the manifest. By default no version is listed.
func WithOrigins(origins *origin.Tracker) Option {
	return func(proxy *Proxy) { proxy.origins = origins }
}

// Boots tells whether targets still run since the start that their entries name.
type Boots interface {
	// Check asks a target. It returns false if it was started again or does not answer.
	Check(ctx context.Context, target site.Target) bool
	// Restarted reports whether a target was found to have been started again.
	Restarted(target site.Target) bool
}

// WithBoots sets what checks the targets at which streams go on. By default no target is
// started again.
func WithBoots(boots Boots) Option {
	return func(proxy *Proxy) { proxy.boots = boots }
}

// noBoots takes each entry for that of the running target.
type noBoots struct{}

// Check returns true.
func (noBoots) Check(context.Context, site.Target) bool { return true }

// Restarted returns false.
func (noBoots) Restarted(site.Target) bool { return false }

// WithManifestAge sets the function that returns how long the manifest has been in force and
// how long ago the store was last heard, for the log lines of requests that the manifest does
// not allow. By default these lines have no such fields.
func WithManifestAge(age func() (inForce, sinceContact time.Duration)) Option {
	return func(proxy *Proxy) { proxy.manifestAge = age }
}

// Proxy is the http.Handler of callers' requests. Its methods may be called by
// several goroutines.
type Proxy struct {
	codec         Codec
	client        *back.Client
	scheduler     *place.Scheduler
	health        *health.Tracker
	meter         UsageMeter
	peers         Peers
	reach         *reach.Tracker
	crashes       *crash.Tracker
	origins       *origin.Tracker
	boots         Boots
	memory        responseMemory
	bounds        site.Bounds
	instanceCount func() int
	logger        zerolog.Logger
	metrics       *metrics

	manifestAge  func() (inForce, sinceContact time.Duration) // nil if it is not known
	manifest     atomic.Pointer[site.Manifest]
	draining     atomic.Bool
	ended        context.Context //nolint:containedctx // ends when no request may run any longer
	end          context.CancelFunc
	retryBudgets sync.Map // service to retry budget
	cleanups     sync.WaitGroup
	// invalidHeaders holds the pairs of target and header whose unusable value was logged.
	invalidHeaders sync.Map
	cleanupSlots   chan struct{} // semaphore of the clean-ups under way
}

// New returns a proxy without a manifest, which refuses all requests until
// SetManifest.
func New(codec Codec, client *back.Client, scheduler *place.Scheduler, tracker *health.Tracker, meter UsageMeter, opts ...Option) *Proxy {
	proxy := &Proxy{
		codec: codec, client: client, scheduler: scheduler, health: tracker, meter: meter,
		peers: noPeers{}, boots: noBoots{}, reach: reach.New(), crashes: crash.New(),
		origins:       origin.New(origin.WithFirstStart()),
		memory:        responseMemory{limit: defaultResponseMemory},
		instanceCount: func() int { return 1 },
		logger:        zerolog.Nop(),
		cleanupSlots:  make(chan struct{}, maxCleanups),
	}
	proxy.ended, proxy.end = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(proxy)
	}
	if proxy.metrics == nil {
		proxy.metrics = newMetrics(nil)
	}
	return proxy
}

// SetManifest puts a manifest in force and returns true. It returns false if
// the current version is the same or higher.
func (proxy *Proxy) SetManifest(manifest *site.Manifest) bool {
	for {
		current := proxy.manifest.Load()
		if current != nil && current.Version >= manifest.Version {
			return false
		}
		if proxy.manifest.CompareAndSwap(current, manifest) {
			return true
		}
	}
}

// Manifest returns the manifest in force, nil before the first.
func (proxy *Proxy) Manifest() *site.Manifest { return proxy.manifest.Load() }

// Drain makes each further response close its caller's connection. Requests are
// still served.
func (proxy *Proxy) Drain() { proxy.draining.Store(true) }

// End ends all requests in flight, as if their deadlines had passed. Their callers
// get an error that says whether they may have run.
func (proxy *Proxy) End() { proxy.end() }

// Wait blocks until the background calls that release prefilled prompts have
// ended.
func (proxy *Proxy) Wait() { proxy.cleanups.Wait() }

// ServeHTTP forwards one request. It panics with http.ErrAbortHandler if the
// response breaks off after its header was sent, or if the caller has gone.
func (proxy *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	exchange := &exchange{proxy: proxy, w: w, started: time.Now()}
	exchange.status = "open"
	exchange.id, exchange.host, exchange.path = r.Header.Get(proxy.codec.AttemptHeader()), r.Host, r.URL.Path
	defer exchange.end()
	if err := exchange.accept(r); err != nil {
		exchange.refuse(err)
		return
	}
	exchange.serve(r.Context())
}

// serve forwards an accepted request. CallerCtx ends when the caller has gone.
func (exchange *exchange) serve(callerCtx context.Context) {
	exchange.callerCtx = callerCtx
	ctx, cancel := context.WithDeadline(callerCtx, exchange.deadline)
	defer cancel()
	defer context.AfterFunc(exchange.proxy.ended, cancel)()
	exchange.features = newRequestFeatures(exchange.team.Name, exchange.request)
	exchange.admission = exchange.proxy.crashes.Admit(exchange.features.all)
	defer exchange.admission.Release()
	if err := exchange.quarantineError(); err != nil {
		exchange.refuse(err)
		return
	}
	if err := exchange.findOrigin(ctx); err != nil {
		exchange.refuse(err)
		return
	}
	if !exchange.forwarded { // the other instance has counted it
		exchange.proxy.retryBudget(exchange.service.Name).CountRequest()
	}
	if exchange.request.Prompt != nil && exchange.service.Engine != nil {
		exchange.serveGeneration(ctx)
		return
	}
	exchange.servePlain(ctx)
}

// retryBudgetShare is the part of the site's retry budget that the instances
// use: each learns late of instances that join or leave, so that their parts
// may add up to more than the whole for a while.
const retryBudgetShare = 0.8

// minInstances is the least number of instances that the retry budget is
// divided among: an instance that has just started does not know the others
// yet, and the smallest site has six.
const minInstances = 6

func (proxy *Proxy) retryBudget(service string) *retry.WindowBudget {
	if budget, ok := proxy.retryBudgets.Load(service); ok {
		return budget.(*retry.WindowBudget) //nolint:forcetypeassert // the map holds budgets only
	}
	created := retry.NewWindowBudget(retryBudgetShare*proxy.bounds.RetryRatio, proxy.bounds.RetryWindow)
	budget, _ := proxy.retryBudgets.LoadOrStore(service, created)
	return budget.(*retry.WindowBudget) //nolint:forcetypeassert // the map holds budgets only
}

// extraRetries returns this instance's part of the retries that a service is
// allowed per window in addition to a share of its requests.
func (proxy *Proxy) extraRetries() float64 {
	instances := proxy.instanceCount()
	if instances <= 0 {
		return 0
	}
	return retryBudgetShare * proxy.bounds.ExtraRetries / float64(max(minInstances, instances))
}

// reportHealth passes the result of a call to the health tracker, and new
// weights of targets to the scheduler.
func (proxy *Proxy) reportHealth(observation health.Observation) {
	if proxy.health.Observe(observation) {
		proxy.scheduler.SetWeights(proxy.health.Weights())
	}
}

// pickService returns a random service of a route, in proportion to the
// weights, or an empty string if none has a weight. Services that the manifest lacks, such
// as one that could not be decoded, leave their share to the others.
func pickService(split []site.WeightedService, services map[string]site.Service) string {
	weight := func(service site.WeightedService) float64 {
		if _, ok := services[service.Service]; !ok {
			return 0
		}
		return service.Weight
	}
	total := 0.0
	for _, service := range split {
		total += weight(service)
	}
	point := rand.Float64() * total
	for _, service := range split {
		point -= weight(service)
		if point < 0 && weight(service) > 0 {
			return service.Service
		}
	}
	return ""
}

// sanitizeForLog truncates a caller's text and replaces invalid UTF-8, which
// readers of the log could not parse.
func sanitizeForLog(text string) string {
	return logs.Sanitize(text)
}
