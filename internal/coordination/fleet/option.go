package fleet

import "time"

// Option configures a Planner.
type Option func(*settings)

type settings struct {
	startupTime         time.Duration
	stabilisationWindow time.Duration
	targetUtilisation   float64
	maxUtilisation      float64
	maxSpotShare        float64
	initialSpotBackoff  time.Duration
	maxSpotBackoff      time.Duration
}

func defaultSettings() settings {
	return settings{
		startupTime:         3 * time.Minute,
		stabilisationWindow: 10 * time.Minute,
		targetUtilisation:   0.7,
		maxUtilisation:      0.9,
		maxSpotShare:        0.5,
		initialSpotBackoff:  time.Minute,
		maxSpotBackoff:      30 * time.Minute,
	}
}

// WithStartupTime sets how long a target takes from its order to its first
// request, which is how far ahead the load is predicted. The default is 3 min.
func WithStartupTime(startup time.Duration) Option {
	return func(settings *settings) { settings.startupTime = startup }
}

// WithStabilisationWindow sets for how long a target has to be superfluous before
// it is drained. The default is 10 min.
func WithStabilisationWindow(window time.Duration) Option {
	return func(settings *settings) { settings.stabilisationWindow = window }
}

// WithUtilisation sets the target utilisation of a pool, and the maximum that is
// accepted after a data centre has lost its spot targets. The defaults are 0.7
// and 0.9.
func WithUtilisation(target, maximum float64) Option {
	return func(settings *settings) { settings.targetUtilisation, settings.maxUtilisation = target, maximum }
}

// WithMaxSpotShare sets the maximum share of spot targets in a pool and data centre.
// The default is 0.5; with 0, no spot targets are started.
func WithMaxSpotShare(share float64) Option {
	return func(settings *settings) { settings.maxSpotShare = share }
}

// WithSpotBackoff sets for how long no spot targets are ordered in a data centre
// after some were reclaimed or could not be supplied. The time doubles with each
// further loss, up to the maximum. The defaults are 1 min and 30 min.
func WithSpotBackoff(initial, maximum time.Duration) Option {
	return func(settings *settings) { settings.initialSpotBackoff, settings.maxSpotBackoff = initial, maximum }
}
