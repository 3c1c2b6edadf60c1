package once

import (
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Option changes a setting of a Deduplicator.
type Option func(*settings)

type settings struct {
	objectStore    ObjectStore
	logger         zerolog.Logger
	registerer     prometheus.Registerer
	randSource     rand.Source
	retention      time.Duration
	claimTimeout   time.Duration
	sendTimeout    time.Duration
	flushTimeout   time.Duration
	outcomeTimeout time.Duration
	maxInlineBytes int
	maxBodyBytes   int
	maxQueueBytes  int
	workers        int
}

func defaults() settings {
	return settings{
		logger:         zerolog.Nop(),
		randSource:     rand.NewPCG(rand.Uint64(), rand.Uint64()),
		retention:      48 * time.Hour,
		claimTimeout:   5 * time.Second,
		sendTimeout:    time.Minute,
		flushTimeout:   5 * time.Second,
		outcomeTimeout: 2 * time.Second,
		maxInlineBytes: 16 << 10,
		maxBodyBytes:   1 << 20,
		maxQueueBytes:  16 << 20,
		workers:        4,
	}
}

// WithObjectStore stores response bodies that are too large for a row in objectStore.
// Without it, such bodies are not stored.
func WithObjectStore(objectStore ObjectStore) Option {
	return func(settings *settings) { settings.objectStore = objectStore }
}

// WithLogger sets the logger. Log entries have the part "once".
func WithLogger(logger zerolog.Logger) Option {
	return func(settings *settings) { settings.logger = logger.With().Str("part", "once").Logger() }
}

// WithRegisterer registers the metrics of the Deduplicator.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(settings *settings) { settings.registerer = registerer }
}

// WithRandSource sets the source of nonces and jitter. Each instance needs a source
// of its own, since nonces distinguish the claims of different instances.
func WithRandSource(randSource rand.Source) Option {
	return func(settings *settings) { settings.randSource = randSource }
}

// WithRetention sets how long a row is kept after its claim. A key that is used
// again after that counts as new.
func WithRetention(retention time.Duration) Option {
	return func(settings *settings) { settings.retention = retention }
}

// WithClaimTimeout sets the maximum duration of Begin.
func WithClaimTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.claimTimeout = timeout }
}

// WithSendTimeout sets the maximum time between the claim of a call and its
// send. It must be far below the retention, so that no call is sent under a row
// that may have been deleted.
func WithSendTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.sendTimeout = timeout }
}

// WithFlushTimeout sets how long queued writes continue after the context of
// Start has ended.
func WithFlushTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.flushTimeout = timeout }
}

// WithOutcomeTimeout sets how long a repeat waits for the outcome of a call that
// is still running.
func WithOutcomeTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.outcomeTimeout = timeout }
}

// WithBodyLimits stores response bodies of up to maxInline bytes in the row, and
// of up to maxBody bytes in the object store. Larger bodies are not stored.
func WithBodyLimits(maxInline, maxBody int) Option {
	return func(settings *settings) { settings.maxInlineBytes, settings.maxBodyBytes = maxInline, maxBody }
}

// WithQueueBytes sets the maximum total size of the bodies that wait for the
// store. A body that would exceed it is not stored.
func WithQueueBytes(maxBytes int) Option {
	return func(settings *settings) { settings.maxQueueBytes = maxBytes }
}
