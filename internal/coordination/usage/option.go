package usage

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Option configures a Meter, ReplicaStore or WindowReporter. Each ignores the
// options that do not apply to it.
type Option func(*settings)

type settings struct {
	logger            zerolog.Logger
	registerer        prometheus.Registerer
	randSource        rand.Source
	schedule          Schedule
	fallbackReplicas  []Replica
	replicaStore      *ReplicaStore
	copyTimeout       time.Duration
	heartbeatInterval time.Duration
	copyWorkers       int
	maxLines          int
	gracePeriod       time.Duration
	missingTimeout    time.Duration
	retryInterval     time.Duration
	reportTimeout     time.Duration
	allowedLateness   Window
	retention         Window
	maxInlineBytes    int
	writerEnded       func(ctx context.Context, writer string) (bool, error)
}

func newSettings(opts []Option) settings {
	settings := settings{
		logger:            zerolog.Nop(),
		randSource:        rand.NewPCG(rand.Uint64(), rand.Uint64()),
		schedule:          Schedule{Length: time.Minute},
		copyTimeout:       100 * time.Millisecond,
		heartbeatInterval: time.Second,
		copyWorkers:       4,
		maxLines:          1 << 20,
		gracePeriod:       5 * time.Second,
		missingTimeout:    20 * time.Second,
		retryInterval:     time.Second,
		reportTimeout:     10 * time.Second,
		allowedLateness:   60,
		retention:         1440,
		maxInlineBytes:    32 << 10,
	}
	for _, opt := range opts {
		opt(&settings)
	}
	return settings
}

// WithLogger sets the logger. Log entries have the part "usage".
func WithLogger(logger zerolog.Logger) Option {
	return func(settings *settings) { settings.logger = logger.With().Str("part", "usage").Logger() }
}

// WithRegisterer sets where metrics are registered. Without it they are not
// exported.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(settings *settings) { settings.registerer = registerer }
}

// WithRandSource sets the random source of incarnations and jitter. Every Meter,
// ReplicaStore and WindowReporter needs its own.
func WithRandSource(source rand.Source) Option {
	return func(settings *settings) { settings.randSource = source }
}

// WithWindowLength sets the length of a window, 1 minute by default. It must be the
// same in all instances.
func WithWindowLength(length time.Duration) Option {
	return func(settings *settings) { settings.schedule.Length = length }
}

// WithFallbackReplicas adds replicas to a Meter that are tried in order when the
// previous ones fail. They must lead to other instances than the previous ones.
func WithFallbackReplicas(replicas ...Replica) Option {
	return func(settings *settings) { settings.fallbackReplicas = replicas }
}

// WithReplicaStore makes Meter.Handoff also send the copies that store has of other
// instances.
func WithReplicaStore(store *ReplicaStore) Option {
	return func(settings *settings) { settings.replicaStore = store }
}

// WithCopyTimeout sets how long Record waits for a copy, 100 ms by default.
func WithCopyTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.copyTimeout = timeout }
}

// WithHeartbeatInterval sets the interval after which an idle Meter sends an empty
// copy, 1 s by default.
func WithHeartbeatInterval(interval time.Duration) Option {
	return func(settings *settings) { settings.heartbeatInterval = interval }
}

// WithCopyWorkers sets the number of copies a Meter may have in flight, 4 by
// default.
func WithCopyWorkers(workers int) Option {
	return func(settings *settings) { settings.copyWorkers = workers }
}

// WithMaxLines limits the lines that a ReplicaStore keeps, 1,048,576 by
// default.
func WithMaxLines(lines int) Option {
	return func(settings *settings) { settings.maxLines = lines }
}

// WithGracePeriod sets the time between the end of a window and its collection, 5 s
// by default.
func WithGracePeriod(grace time.Duration) Option {
	return func(settings *settings) { settings.gracePeriod = grace }
}

// WithMissingTimeout sets how long after the grace period a WindowReporter
// retries a collection with missing instances, 20 s by default. After it, the
// window is frozen without them.
func WithMissingTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.missingTimeout = timeout }
}

// WithRetryInterval sets the mean interval between the steps of a
// WindowReporter that failed or does not hold the lease, 1 s by default.
func WithRetryInterval(interval time.Duration) Option {
	return func(settings *settings) { settings.retryInterval = interval }
}

// WithReportTimeout limits one attempt to send a report, 10 s by default.
func WithReportTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.reportTimeout = timeout }
}

// WithAllowedLateness sets the number of windows for which late counts are still
// reported as corrections, 60 by default.
func WithAllowedLateness(windows int) Option {
	return func(settings *settings) { settings.allowedLateness = Window(windows) }
}

// WithRetention sets the number of windows for which the rows of reports are
// kept, 1440 by default.
func WithRetention(windows int) Option {
	return func(settings *settings) { settings.retention = Window(windows) }
}

// WithMaxInlineBytes sets the largest size of a report or ledger that is stored
// in its row, 32 KiB by default. Larger ones become objects.
func WithMaxInlineBytes(limit int) Option {
	return func(settings *settings) { settings.maxInlineBytes = limit }
}

// WithWriterEnded keeps a WindowReporter from taking over the open ticket of another
// writer until ended reports that the writer has ended. Without it, the frozen
// bytes are sent again at once, which needs a usage interface that is
// idempotent by the report's window and number.
func WithWriterEnded(ended func(ctx context.Context, writer string) (bool, error)) Option {
	return func(settings *settings) { settings.writerEnded = ended }
}
