package order

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Defaults of the options.
const (
	DefaultBatch          = 50
	DefaultParallel       = 64
	DefaultSendTimeout    = 30 * time.Second
	DefaultOutcomeTimeout = 60 * time.Second
)

const (
	storeTimeout   = 2 * time.Second
	reportTimeout  = 2 * time.Second
	flushInterval  = 50 * time.Millisecond
	backoffBase    = 50 * time.Millisecond
	backoffDoubles = 6
	listPage       = 500
)

// Option changes how an issuer behaves.
type Option func(*options)

type options struct {
	batch          int
	parallel       int
	sendTimeout    time.Duration
	outcomeTimeout time.Duration
	repeats        bool
	source         rand.Source
	logger         zerolog.Logger
	registerer     prometheus.Registerer

	mu      sync.Mutex
	random  *rand.Rand
	metrics *metrics
}

// WithBatch sets how many tickets one transaction opens or closes at most.
func WithBatch(tickets int) Option {
	return func(options *options) { options.batch = tickets }
}

// WithParallel sets how many targets are talked to at a time.
func WithParallel(targets int) Option {
	return func(options *options) { options.parallel = targets }
}

// WithSendTimeout sets how long an order waits for its acknowledgement.
func WithSendTimeout(timeout time.Duration) Option {
	return func(options *options) { options.sendTimeout = timeout }
}

// WithOutcomeTimeout sets how long the outcome of an order to a target that
// does not fence may stay unknown before the target is abandoned. A successor
// waits as long for the writer to close its ticket, unless the writer has
// ended.
func WithOutcomeTimeout(timeout time.Duration) Option {
	return func(options *options) { options.outcomeTimeout = timeout }
}

// WithPlatformRepeats states that the platform answers an order whose data
// centre and number it has seen as it did the first time and does nothing, so
// that an order of unknown outcome may be repeated byte by byte.
func WithPlatformRepeats() Option {
	return func(options *options) { options.repeats = true }
}

// WithSource sets the source of the random numbers that spread retries.
func WithSource(source rand.Source) Option {
	return func(options *options) { options.source = source }
}

// WithLogger sets where unusual outcomes are logged.
func WithLogger(logger zerolog.Logger) Option {
	return func(options *options) { options.logger = logger }
}

// WithRegisterer sets where the metrics of the issuer are registered.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(options *options) { options.registerer = registerer }
}

func defaults() options {
	return options{
		batch:          DefaultBatch,
		parallel:       DefaultParallel,
		sendTimeout:    DefaultSendTimeout,
		outcomeTimeout: DefaultOutcomeTimeout,
		logger:         zerolog.Nop(),
	}
}

func (options *options) complete(dataCenter string) {
	if options.source == nil {
		options.source = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	options.random = rand.New(options.source)
	options.logger = options.logger.With().Str("part", "order").Str("data-center", dataCenter).Logger()
	options.metrics = newMetrics(options.registerer, dataCenter)
}

func (options *options) backoff(failures int) time.Duration {
	most := backoffBase << min(failures, backoffDoubles)
	options.mu.Lock()
	defer options.mu.Unlock()
	return most/2 + time.Duration(options.random.Int64N(int64(most/2)))
}
