// Package proxy carries callers' requests to targets: it finds the route and
// the team of a request, chooses targets, sends, tries again where that is
// allowed and room is left in the budget, and gives the answer back as it
// comes. Each request ends with one log line that names what decided it.
package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/coordination/retry"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
)

// Wire translates requests and answers between the platform and package site.
type Wire interface {
	// Request reads what a caller's request says.
	Request(r *http.Request, body []byte) (*site.Request, error)
	// Header returns the headers of a call to a target.
	Header(request *site.Request, call *site.Call) http.Header
	// Reply reads the headers of a target's answer.
	Reply(status int, header http.Header) site.Reply
	// AnswerHeader returns the headers of an answer that go on to the caller.
	AnswerHeader(header http.Header) http.Header
	// Handle reads the answer of an engine that has read a prompt.
	Handle(address string, body []byte) (*site.Handle, error)
	// HandlePath returns the path that frees a prompt that was read.
	HandlePath(handle string) string
	// AttemptHeader names the header that matches answers to requests.
	AttemptHeader() string
}

// Meter counts the requests of teams that began to run.
type Meter interface {
	Began(team string)
}

// Option changes a proxy under construction.
type Option func(*Proxy)

// WithLogger sets where requests are logged.
func WithLogger(logger zerolog.Logger) Option {
	return func(proxy *Proxy) { proxy.logger = logger.With().Str("part", "proxy").Logger() }
}

// WithRegisterer sets where the metrics are registered.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(proxy *Proxy) { proxy.metrics = newMetrics(registerer) }
}

// WithBounds sets the shares and times that the site's rules name.
func WithBounds(bounds site.Bounds) Option {
	return func(proxy *Proxy) { proxy.bounds = bounds }
}

// WithMembers sets how the number of instances is learned among which the slack
// of the budget of extra calls is divided. While it is 0 there is no slack.
func WithMembers(members func() int) Option {
	return func(proxy *Proxy) { proxy.members = members }
}

// Proxy is the handler of callers' requests.
type Proxy struct {
	wire    Wire
	client  *back.Client
	book    *place.Book
	health  *health.Tracker
	meter   Meter
	bounds  site.Bounds
	members func() int
	logger  zerolog.Logger
	metrics *metrics

	manifest atomic.Pointer[site.Manifest]
	draining atomic.Bool
	budgets  sync.Map // service to *retry.Allowance
	cleanups sync.WaitGroup
	cleaning chan struct{} // bounds the clean-ups under way
}

// New returns a proxy without a manifest, which refuses all requests.
func New(wire Wire, client *back.Client, book *place.Book, tracker *health.Tracker, meter Meter, opts ...Option) *Proxy {
	proxy := &Proxy{
		wire: wire, client: client, book: book, health: tracker, meter: meter,
		members:  func() int { return 1 },
		logger:   zerolog.Nop(),
		cleaning: make(chan struct{}, mostCleanups),
	}
	for _, opt := range opts {
		opt(proxy)
	}
	if proxy.metrics == nil {
		proxy.metrics = newMetrics(nil)
	}
	return proxy
}

// SetManifest puts a manifest in force, unless a newer one is.
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

// Drain makes the proxy end each connection with the next answer on it.
func (proxy *Proxy) Drain() { proxy.draining.Store(true) }

// Wait returns when the clean-ups after requests have ended.
func (proxy *Proxy) Wait() { proxy.cleanups.Wait() }

// ServeHTTP handles one request.
func (proxy *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	exchange := &exchange{proxy: proxy, w: w, begun: time.Now()}
	exchange.status = "open"
	defer exchange.finish()
	if err := exchange.accept(r); err != nil {
		exchange.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), exchange.deadline)
	defer cancel()
	if exchange.request.Prompt != nil && exchange.service.Engine != nil {
		exchange.generate(ctx)
		return
	}
	exchange.call(ctx)
}

// budgetShare is the part of the site's allowance of extra calls that is used:
// instances learn of changes among them late.
const budgetShare = 0.8

// leastMembers is how many instances there are taken to be at least: one that
// has just started does not know the others yet. The smallest site has six.
const leastMembers = 6

// budget returns the allowance of extra calls to a service.
func (proxy *Proxy) budget(service string) *retry.Allowance {
	if budget, ok := proxy.budgets.Load(service); ok {
		return budget.(*retry.Allowance) //nolint:forcetypeassert // the map holds allowances only
	}
	fresh := retry.NewAllowance(budgetShare*proxy.bounds.RetryRatio, proxy.bounds.RetryWindow)
	budget, _ := proxy.budgets.LoadOrStore(service, fresh)
	return budget.(*retry.Allowance) //nolint:forcetypeassert // the map holds allowances only
}

// slack returns this instance's part of the extra calls that are allowed beside
// the share of requests.
func (proxy *Proxy) slack() float64 {
	members := proxy.members()
	if members <= 0 {
		return 0
	}
	return budgetShare * proxy.bounds.RetrySlack / float64(max(leastMembers, members))
}

// observe tells the health of targets how a request at one ended.
func (proxy *Proxy) observe(event health.Event) {
	if proxy.health.Observe(event) {
		proxy.book.SetWeights(proxy.health.Weights())
	}
}

// choose returns a service of a route by the weights.
func choose(shares []site.Share) string {
	total := 0.0
	for _, share := range shares {
		total += share.Weight
	}
	point := rand.Float64() * total
	for _, share := range shares {
		point -= share.Weight
		if point < 0 && share.Weight > 0 {
			return share.Service
		}
	}
	return ""
}

// printable returns text without what could break a log line's reader.
func printable(text string) string {
	const longest = 64
	if len(text) > longest {
		text = text[:longest]
	}
	return strings.ToValidUTF8(text, "?")
}
