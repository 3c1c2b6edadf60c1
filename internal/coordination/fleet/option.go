package fleet

import "time"

// Option changes a setting of a Planner.
type Option func(*settings)

type settings struct {
	startTime       time.Duration
	holdTime        time.Duration
	normal          float64
	limit           float64
	cheapShare      float64
	cheapBackoff    time.Duration
	cheapBackoffMax time.Duration
}

func defaults() settings {
	return settings{
		startTime:       3 * time.Minute,
		holdTime:        10 * time.Minute,
		normal:          0.7,
		limit:           0.9,
		cheapShare:      0.5,
		cheapBackoff:    time.Minute,
		cheapBackoffMax: 30 * time.Minute,
	}
}

// WithStartTime sets how long a target takes from its order to its first
// request. The default is 3 min.
func WithStartTime(start time.Duration) Option {
	return func(settings *settings) { settings.startTime = start }
}

// WithHoldTime sets for how long a target has to be superfluous before it is
// drained. The default is 10 min.
func WithHoldTime(hold time.Duration) Option {
	return func(settings *settings) { settings.holdTime = hold }
}

// WithUtilisation sets the utilisation that targets are ordered for, and the
// largest one that is within limits while a zone's cheap targets are lost. The
// defaults are 0.7 and 0.9.
func WithUtilisation(normal, limit float64) Option {
	return func(settings *settings) { settings.normal, settings.limit = normal, limit }
}

// WithCheapShare sets the largest share of cheap targets in a pool and data
// centre. The default is 0.5; 0 orders none.
func WithCheapShare(share float64) Option {
	return func(settings *settings) { settings.cheapShare = share }
}

// WithCheapBackoff sets how long no cheap targets are ordered in a data centre
// after it lost or lacked some. The time doubles up to longest with each
// further loss. The defaults are 1 min and 30 min.
func WithCheapBackoff(first, longest time.Duration) Option {
	return func(settings *settings) { settings.cheapBackoff, settings.cheapBackoffMax = first, longest }
}
