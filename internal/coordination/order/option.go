package order

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Default values of the options.
const (
	DefaultBatchSize      = 50
	DefaultConcurrency    = 64
	DefaultSendTimeout    = 30 * time.Second
	DefaultOutcomeTimeout = 60 * time.Second
)

const (
	storeTimeout        = 2 * time.Second
	queryTimeout        = 2 * time.Second
	flushInterval       = 50 * time.Millisecond
	initialBackoff      = 50 * time.Millisecond
	maxBackoffDoublings = 6
	listPageSize        = 500
)

// Option configures an Issuer.
type Option func(*options)

type options struct {
	batchSize          int
	concurrency        int
	sendTimeout        time.Duration
	outcomeTimeout     time.Duration
	idempotentPlatform bool
	randSource         rand.Source
	logger             zerolog.Logger
	registerer         prometheus.Registerer

	mu      sync.Mutex
	random  *rand.Rand
	metrics *metrics
}

// WithBatchSize sets the maximum number of tickets that one transaction opens or
// closes.
func WithBatchSize(tickets int) Option {
	return func(options *options) { options.batchSize = tickets }
}

// WithConcurrency sets the maximum number of targets that are called at the same
// time.
func WithConcurrency(targets int) Option {
	return func(options *options) { options.concurrency = targets }
}

// WithSendTimeout sets how long an order waits for its acknowledgement.
func WithSendTimeout(timeout time.Duration) Option {
	return func(options *options) { options.sendTimeout = timeout }
}

// WithOutcomeTimeout sets how long the outcome of an order to a target without
// fencing may stay unknown before the target is abandoned. The next lease holder
// waits equally long for the writer to close its ticket, unless the writer has
// ended.
func WithOutcomeTimeout(timeout time.Duration) Option {
	return func(options *options) { options.outcomeTimeout = timeout }
}

// WithIdempotentPlatform states that platform orders are idempotent: the platform
// executes an order with a given data centre and number once, and gives a
// repetition the same answer. An order of unknown outcome is then sent again,
// byte for byte the same.
func WithIdempotentPlatform() Option {
	return func(options *options) { options.idempotentPlatform = true }
}

// WithRandSource sets the source of random numbers for the jitter of retries.
func WithRandSource(source rand.Source) Option {
	return func(options *options) { options.randSource = source }
}

// WithLogger sets the logger for unknown outcomes, abandoned targets and other
// unusual events.
func WithLogger(logger zerolog.Logger) Option {
	return func(options *options) { options.logger = logger }
}

// WithRegisterer sets the registerer of the issuer's metrics.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(options *options) { options.registerer = registerer }
}

func defaultOptions() options {
	return options{
		batchSize:      DefaultBatchSize,
		concurrency:    DefaultConcurrency,
		sendTimeout:    DefaultSendTimeout,
		outcomeTimeout: DefaultOutcomeTimeout,
		logger:         zerolog.Nop(),
	}
}

func (options *options) initialize(dataCenter string) {
	if options.randSource == nil {
		options.randSource = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	options.random = rand.New(options.randSource)
	options.logger = options.logger.With().Str("part", "order").Str("data-center", dataCenter).Logger()
	options.metrics = newMetrics(options.registerer, dataCenter)
}

func (options *options) backoffDelay(failures int) time.Duration {
	maxDelay := initialBackoff << min(failures, maxBackoffDoublings)
	options.mu.Lock()
	defer options.mu.Unlock()
	return maxDelay/2 + time.Duration(options.random.Int64N(int64(maxDelay/2)))
}
