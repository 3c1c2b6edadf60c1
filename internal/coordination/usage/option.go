package usage

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Option changes a setting of a Meter, Holder or Freezer. Options that a part
// has no use for are ignored by it.
type Option func(*settings)

type settings struct {
	logger        zerolog.Logger
	registerer    prometheus.Registerer
	source        rand.Source
	schedule      Schedule
	fallbacks     []Replica
	holder        *Holder
	copyTimeout   time.Duration
	heartbeat     time.Duration
	workers       int
	maxLines      int
	grace         time.Duration
	patience      time.Duration
	poll          time.Duration
	reportTimeout time.Duration
	horizon       Window
	keep          Window
	inlineBytes   int
	writerGone    func(ctx context.Context, writer string) (bool, error)
}

func newSettings(opts []Option) settings {
	settings := settings{
		logger:        zerolog.Nop(),
		source:        rand.NewPCG(rand.Uint64(), rand.Uint64()),
		schedule:      Schedule{Length: time.Minute},
		copyTimeout:   100 * time.Millisecond,
		heartbeat:     time.Second,
		workers:       4,
		maxLines:      1 << 20,
		grace:         5 * time.Second,
		patience:      20 * time.Second,
		poll:          time.Second,
		reportTimeout: 10 * time.Second,
		horizon:       60,
		keep:          1440,
		inlineBytes:   32 << 10,
	}
	for _, opt := range opts {
		opt(&settings)
	}
	return settings
}

// WithLogger sends log lines to logger, in the part "usage".
func WithLogger(logger zerolog.Logger) Option {
	return func(settings *settings) { settings.logger = logger.With().Str("part", "usage").Logger() }
}

// WithRegisterer registers the metrics of the part.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(settings *settings) { settings.registerer = registerer }
}

// WithRandom takes incarnations and jitter from source. Each part needs a
// source of its own.
func WithRandom(source rand.Source) Option {
	return func(settings *settings) { settings.source = source }
}

// WithWindow sets the length of a window, which all parts of all instances
// share.
func WithWindow(length time.Duration) Option {
	return func(settings *settings) { settings.schedule.Length = length }
}

// WithFallbacks gives a Meter more replicas, which have to lead to other
// instances than the ones before them. They are tried in order when one before
// them fails.
func WithFallbacks(replicas ...Replica) Option {
	return func(settings *settings) { settings.fallbacks = replicas }
}

// WithHolder makes the hand-off of a Meter pass on the copies that the instance
// holds for others.
func WithHolder(holder *Holder) Option {
	return func(settings *settings) { settings.holder = holder }
}

// WithCopyTimeout bounds the time that Record waits for a copy.
func WithCopyTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.copyTimeout = timeout }
}

// WithHeartbeat sets the time after which an idle Meter sends an empty copy.
func WithHeartbeat(heartbeat time.Duration) Option {
	return func(settings *settings) { settings.heartbeat = heartbeat }
}

// WithWorkers sets how many copies a Meter may have on their way at once.
func WithWorkers(workers int) Option {
	return func(settings *settings) { settings.workers = workers }
}

// WithMaxLines bounds the lines that a Holder keeps.
func WithMaxLines(lines int) Option {
	return func(settings *settings) { settings.maxLines = lines }
}

// WithGrace sets the time between the end of a window and its collection.
func WithGrace(grace time.Duration) Option {
	return func(settings *settings) { settings.grace = grace }
}

// WithPatience sets how long after the grace a Freezer collects again while
// instances are missing. The window is frozen without them after it.
func WithPatience(patience time.Duration) Option {
	return func(settings *settings) { settings.patience = patience }
}

// WithPoll sets the time between two steps of a Freezer that has something to
// do and failed at it, or that does not hold the duty.
func WithPoll(poll time.Duration) Option {
	return func(settings *settings) { settings.poll = poll }
}

// WithReportTimeout bounds one attempt to send a report.
func WithReportTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.reportTimeout = timeout }
}

// WithHorizon sets for how many windows late figures are still reported as
// corrections.
func WithHorizon(windows int) Option {
	return func(settings *settings) { settings.horizon = Window(windows) }
}

// WithKeep sets for how many windows the rows of reports are kept.
func WithKeep(windows int) Option {
	return func(settings *settings) { settings.keep = Window(windows) }
}

// WithInlineBytes sets up to which size a frozen report lies in its row. A
// larger one becomes an object.
func WithInlineBytes(limit int) Option {
	return func(settings *settings) { settings.inlineBytes = limit }
}

// WithWriterGone makes a Freezer leave the open ticket of another writer alone
// until gone says that the writer has ended. Without it the frozen bytes are
// sent again, which needs a usage interface that is idempotent by the report's
// window and number.
func WithWriterGone(gone func(ctx context.Context, writer string) (bool, error)) Option {
	return func(settings *settings) { settings.writerGone = gone }
}
