package reach

import "github.com/rs/zerolog"

// Option changes a setting of a tracker.
type Option func(*Tracker)

// WithLogger sets the logger for services that are suspected, lost or reachable
// again. The default discards.
func WithLogger(logger zerolog.Logger) Option {
	return func(tracker *Tracker) { tracker.logger = logger.With().Str("part", "reach").Logger() }
}
