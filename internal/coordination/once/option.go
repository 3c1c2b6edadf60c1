package once

import (
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Option changes a setting of a Guard.
type Option func(*settings)

type settings struct {
	objects      Objects
	logger       zerolog.Logger
	registerer   prometheus.Registerer
	source       rand.Source
	retention    time.Duration
	claimTimeout time.Duration
	sendTimeout  time.Duration
	flushTimeout time.Duration
	wait         time.Duration
	inlineBytes  int
	bodyBytes    int
	queueBytes   int
	workers      int
}

func defaults() settings {
	return settings{
		logger:       zerolog.Nop(),
		source:       rand.NewPCG(rand.Uint64(), rand.Uint64()),
		retention:    48 * time.Hour,
		claimTimeout: 5 * time.Second,
		sendTimeout:  time.Minute,
		flushTimeout: 5 * time.Second,
		wait:         2 * time.Second,
		inlineBytes:  16 << 10,
		bodyBytes:    1 << 20,
		queueBytes:   16 << 20,
		workers:      4,
	}
}

// WithObjects keeps bodies that are too large for a row in objects. Without
// it, such bodies are not kept.
func WithObjects(objects Objects) Option {
	return func(settings *settings) { settings.objects = objects }
}

// WithLogger sends log lines to logger, in the part "once".
func WithLogger(logger zerolog.Logger) Option {
	return func(settings *settings) { settings.logger = logger.With().Str("part", "once").Logger() }
}

// WithRegisterer registers the Guard's metrics.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(settings *settings) { settings.registerer = registerer }
}

// WithRandom takes nonces and jitter from source. Each instance needs a source
// of its own.
func WithRandom(source rand.Source) Option {
	return func(settings *settings) { settings.source = source }
}

// WithRetention keeps rows for the given time after the claim. A key that
// comes again later is a new key.
func WithRetention(retention time.Duration) Option {
	return func(settings *settings) { settings.retention = retention }
}

// WithClaimTimeout bounds the time that Begin takes.
func WithClaimTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.claimTimeout = timeout }
}

// WithSendTimeout bounds the time between a claim and its send. It has to be
// far below the retention.
func WithSendTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.sendTimeout = timeout }
}

// WithFlushTimeout bounds the work after the end of the context of Start.
func WithFlushTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.flushTimeout = timeout }
}

// WithWait lets a repeat wait for the outcome of a call that is still running.
func WithWait(wait time.Duration) Option {
	return func(settings *settings) { settings.wait = wait }
}

// WithBodyLimits keeps bodies up to inline bytes in the row, and up to total
// bytes in the object store. A larger body is not kept.
func WithBodyLimits(inline, total int) Option {
	return func(settings *settings) { settings.inlineBytes, settings.bodyBytes = inline, total }
}

// WithQueueBytes bounds the bodies that wait for the store. A body beyond it
// is not kept.
func WithQueueBytes(limit int) Option {
	return func(settings *settings) { settings.queueBytes = limit }
}
