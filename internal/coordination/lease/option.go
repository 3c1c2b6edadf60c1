package lease

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// DefaultDuration is the duration of a lease without WithDuration.
const DefaultDuration = 6 * time.Second

// Each divisor gives a part of the lease duration.
const (
	safetyMarginDivisor   = 6  // margin before the expiry, covers the drift between two clocks
	renewalDivisor        = 3  // interval between renewals and between reads of a standby
	idleReadFactor        = 10 // lease durations between reads of an instance that is not a standby
	callTimeoutDivisor    = 4  // timeout of one store call
	backoffDivisor        = 24 // first backoff after a failed store call
	jitterFraction        = 0.2
	takeoverSpreadDivisor = 12 // random delay of a takeover after the expiry
	maxStandbyDoublings   = 3  // limits the backoff of a standby to a third of the lease duration
	maxIdleDoublings      = 7  // limits the backoff of the others to about five lease durations
)

// Option changes how a lease behaves.
type Option func(*options)

type options struct {
	duration   time.Duration
	wallClock  func() time.Time
	standby    func() bool
	era        func() uint64
	firstStart bool
	randSource rand.Source
	logger     zerolog.Logger
	registerer prometheus.Registerer

	mu      sync.Mutex
	random  *rand.Rand
	metrics *metrics
}

// WithDuration sets the duration of the lease: how long a heartbeat must stay
// unchanged before another process takes the lease over.
func WithDuration(duration time.Duration) Option {
	return func(options *options) { options.duration = duration }
}

// WithWallClock sets the clock that the monotonic clock is compared with.
func WithWallClock(wallClock func() time.Time) Option {
	return func(options *options) { options.wallClock = wallClock }
}

// WithStandby sets the function that reports whether this instance is a
// standby, one of the few that read the heartbeat several times per lease
// duration. The others read it every ten lease durations. Without this option
// every instance is a standby.
func WithStandby(standby func() bool) Option {
	return func(options *options) { options.standby = standby }
}

// WithEra sets the function that returns the number of the table's history, which rises
// when the table is restored from a copy. Without this option it stays 0.
func WithEra(era func() uint64) Option {
	return func(options *options) { options.era = era }
}

// WithFirstStart sets whether all processes start for the first time, as they do without
// this option. Otherwise there may be a holder although the table has no rows of the lease.
func WithFirstStart(firstStart bool) Option {
	return func(options *options) { options.firstStart = firstStart }
}

// WithRandSource sets the source of the random numbers that spread renewals and
// retries.
func WithRandSource(randSource rand.Source) Option {
	return func(options *options) { options.randSource = randSource }
}

// WithLogger sets the logger for takeovers, losses and errors of the lease.
func WithLogger(logger zerolog.Logger) Option {
	return func(options *options) { options.logger = logger }
}

// WithRegisterer sets the registerer for the metrics of the lease. Without this
// option they are not registered.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(options *options) { options.registerer = registerer }
}

func defaults() options {
	return options{
		duration:  DefaultDuration,
		wallClock: func() time.Time { return time.Now().Round(0) },
		standby:   func() bool { return true },
		era:       func() uint64 { return 0 },

		firstStart: true,
		logger:     zerolog.Nop(),
	}
}

// complete sets the fields that depend on the options given.
func (options *options) complete(duty string) {
	if options.randSource == nil {
		options.randSource = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	options.random = rand.New(options.randSource)
	options.logger = options.logger.With().Str("part", "lease").Str("duty", duty).Logger()
	options.metrics = newMetrics(options.registerer, duty)
}

func (options *options) safetyMargin() time.Duration {
	return options.duration / safetyMarginDivisor
}

func (options *options) renewalInterval() time.Duration {
	return options.jitter(options.duration / renewalDivisor)
}

func (options *options) idleReadInterval() time.Duration {
	return options.jitter(options.duration * idleReadFactor)
}

// backoff returns the delay after a failed store call. It doubles with each
// failure, up to a limit that is shorter for the holder and the standbys.
func (options *options) backoff(failures int, isHolderOrStandby bool) time.Duration {
	maxDoublings := maxIdleDoublings
	if isHolderOrStandby {
		maxDoublings = maxStandbyDoublings
	}
	maxDelay := options.duration / backoffDivisor << min(failures, maxDoublings)
	return maxDelay/2 + options.randomBelow(maxDelay/2)
}

func (options *options) jitter(interval time.Duration) time.Duration {
	spread := time.Duration(float64(interval) * jitterFraction)
	return interval - spread + options.randomBelow(2*spread)
}

// randomBelow returns a random duration in [0, limit), 0 if limit is not
// positive.
func (options *options) randomBelow(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	options.mu.Lock()
	defer options.mu.Unlock()
	return time.Duration(options.random.Int64N(int64(limit)))
}
