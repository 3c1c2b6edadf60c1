package roles

import "time"

// Option sets an option of a PersistencePolicy.
type Option func(*settings)

type settings struct {
	changeDuration    time.Duration
	fastTimeConstant  time.Duration
	slowTimeConstant  time.Duration
	horizon           time.Duration
	minChangeInterval time.Duration
	mixedEfficiency   float64
	minGainLossRatio  float64
}

func defaultSettings() settings {
	return settings{
		changeDuration:    5 * time.Second,
		fastTimeConstant:  12 * time.Second,
		slowTimeConstant:  120 * time.Second,
		horizon:           60 * time.Second,
		minChangeInterval: 20 * time.Second,
		mixedEfficiency:   0.5,
		minGainLossRatio:  1.5,
	}
}

// WithChangeDuration sets how long an engine is unavailable during a change,
// including its drain. The default is 5 s.
func WithChangeDuration(changeDuration time.Duration) Option {
	return func(settings *settings) { settings.changeDuration = changeDuration }
}

// WithTimeConstants sets the time constants of the fast and the slow average of
// demand. The defaults are 12 s and 120 s.
func WithTimeConstants(fast, slow time.Duration) Option {
	return func(settings *settings) { settings.fastTimeConstant, settings.slowTimeConstant = fast, slow }
}

// WithHorizon sets the time within which a change has to pay off. The default is
// 60 s.
func WithHorizon(horizon time.Duration) Option {
	return func(settings *settings) { settings.horizon = horizon }
}

// WithMinChangeInterval sets the minimum time between two changes of a model in a
// data centre. The default is 20 s.
func WithMinChangeInterval(interval time.Duration) Option {
	return func(settings *settings) { settings.minChangeInterval = interval }
}

// WithMixedEfficiency sets the share of its capacity that an engine keeps while
// it runs both phases. The default is 0.5.
func WithMixedEfficiency(share float64) Option {
	return func(settings *settings) { settings.mixedEfficiency = share }
}

// WithMinGainLossRatio sets the minimum ratio of the gain of a change to its
// loss. The default is 1.5.
func WithMinGainLossRatio(ratio float64) Option {
	return func(settings *settings) { settings.minGainLossRatio = ratio }
}
