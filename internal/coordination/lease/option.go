package lease

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// DefaultTerm is the term of a lease without WithTerm.
const DefaultTerm = 6 * time.Second

const (
	marginDivisor   = 6  // of the term, covers the drift between two clocks
	renewalDivisor  = 3  // of the term, between renewals and between standby reads
	watchFactor     = 10 // terms between the reads of an instance that is no standby
	callDivisor     = 4  // of the term, timeout of one store call
	backoffDivisor  = 24 // of the term, first wait after a failed store call
	jitterShare     = 0.2
	takeoverDivisor = 12 // of the term, spread of takeovers after a lapse
	standbyDoubles  = 3  // longest backoff of a standby, a third of the term
	watchDoubles    = 7  // longest backoff of the others, about five terms
)

// Option changes how a lease behaves.
type Option func(*options)

type options struct {
	term       time.Duration
	wall       func() time.Time
	standby    func() bool
	source     rand.Source
	logger     zerolog.Logger
	registerer prometheus.Registerer

	mu      sync.Mutex
	random  *rand.Rand
	metrics *metrics
}

// WithTerm sets for how long a heartbeat has to stay unchanged before another
// process takes the lease.
func WithTerm(term time.Duration) Option {
	return func(options *options) { options.term = term }
}

// WithWallClock sets the clock that the monotonic clock is compared with.
func WithWallClock(wall func() time.Time) Option {
	return func(options *options) { options.wall = wall }
}

// WithStandby sets how an instance learns whether it is among the few that
// watch the lease closely. The others read it every tenth term. Without the
// option each instance watches closely.
func WithStandby(standby func() bool) Option {
	return func(options *options) { options.standby = standby }
}

// WithSource sets the source of the random numbers that spread renewals and
// retries.
func WithSource(source rand.Source) Option {
	return func(options *options) { options.source = source }
}

// WithLogger sets where changes of the lease are logged.
func WithLogger(logger zerolog.Logger) Option {
	return func(options *options) { options.logger = logger }
}

// WithRegisterer sets where the metrics of the lease are registered.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(options *options) { options.registerer = registerer }
}

func defaults() options {
	return options{
		term:    DefaultTerm,
		wall:    func() time.Time { return time.Now().Round(0) },
		standby: func() bool { return true },
		logger:  zerolog.Nop(),
	}
}

func (options *options) complete(duty string) {
	if options.source == nil {
		options.source = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	options.random = rand.New(options.source)
	options.logger = options.logger.With().Str("part", "lease").Str("duty", duty).Logger()
	options.metrics = newMetrics(options.registerer, duty)
}

func (options *options) margin() time.Duration {
	return options.term / marginDivisor
}

func (options *options) renewal() time.Duration {
	return options.jitter(options.term / renewalDivisor)
}

func (options *options) watch() time.Duration {
	return options.jitter(options.term * watchFactor)
}

// backoff doubles with each failure, up to a limit that is short for the holder
// and those that watch it closely.
func (options *options) backoff(failures int, closely bool) time.Duration {
	limit := watchDoubles
	if closely {
		limit = standbyDoubles
	}
	most := options.term / backoffDivisor << min(failures, limit)
	return most/2 + options.upTo(most/2)
}

func (options *options) jitter(wait time.Duration) time.Duration {
	spread := time.Duration(float64(wait) * jitterShare)
	return wait - spread + options.upTo(2*spread)
}

func (options *options) upTo(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	options.mu.Lock()
	defer options.mu.Unlock()
	return time.Duration(options.random.Int64N(int64(limit)))
}
