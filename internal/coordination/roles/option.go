package roles

import "time"

// Option changes a setting of a Decider.
type Option func(*settings)

type settings struct {
	changeTime      time.Duration
	fastTime        time.Duration
	slowTime        time.Duration
	horizon         time.Duration
	holdTime        time.Duration
	mixedEfficiency float64
	margin          float64
}

func defaults() settings {
	return settings{
		changeTime:      5 * time.Second,
		fastTime:        12 * time.Second,
		slowTime:        120 * time.Second,
		horizon:         60 * time.Second,
		holdTime:        20 * time.Second,
		mixedEfficiency: 0.5,
		margin:          1.5,
	}
}

// WithChangeTime sets how long an engine is gone for a change, its drain
// included. The default is 5 s.
func WithChangeTime(changeTime time.Duration) Option {
	return func(settings *settings) { settings.changeTime = changeTime }
}

// WithAverages sets the time constants of the fast and the slow average of
// demand. The defaults are 12 s and 120 s.
func WithAverages(fast, slow time.Duration) Option {
	return func(settings *settings) { settings.fastTime, settings.slowTime = fast, slow }
}

// WithHorizon sets over which time a change has to pay. The default is 60 s.
func WithHorizon(horizon time.Duration) Option {
	return func(settings *settings) { settings.horizon = horizon }
}

// WithHoldTime sets the least time between two changes of a model in a data
// centre. The default is 20 s.
func WithHoldTime(hold time.Duration) Option {
	return func(settings *settings) { settings.holdTime = hold }
}

// WithMixedEfficiency sets which share of its capacity an engine keeps while
// it does both phases. The default is 0.5.
func WithMixedEfficiency(share float64) Option {
	return func(settings *settings) { settings.mixedEfficiency = share }
}

// WithMargin sets how many times the gain of a change has to exceed its loss.
// The default is 1.5.
func WithMargin(margin float64) Option {
	return func(settings *settings) { settings.margin = margin }
}
