package health

import "time"

const (
	failuresDefault  = 3   // failures in a row
	errorRateDefault = 0.5 // smoothed share of failures
	slownessDefault  = 4.0 // factor on the median of the group
	ejectedDefault   = 0.5 // share of a group
	ejectionDefault  = 5 * time.Second
	ejectionMax      = 5 * time.Minute
	rampDefault      = 10 * time.Second
	silenceDefault   = 2 * time.Second
	probeDefault     = time.Second
	gain             = 0.1
	observationsMin  = 10                     // before rates count
	weightFirst      = 0.1                    // weight at the begin of the return
	refresh          = 250 * time.Millisecond // between weights while some change
	slowFloor        = 50 * time.Millisecond
	nominalTPS       = 8000.0 // prompt tokens per second, to compare unlike prompts
)

type config struct {
	failures  int
	errorRate float64
	slowness  float64
	ejected   float64
	ejection  time.Duration
	ramp      time.Duration
	silence   time.Duration
	probe     time.Duration
}

// Option changes a setting of a tracker.
type Option func(*config)

// WithFailures sets how many failures in a row eject a target.
func WithFailures(count int) Option {
	return func(config *config) { config.failures = count }
}

// WithEjection sets how long the first ejection lasts, and how long the
// return to full weight takes after it.
func WithEjection(ejection, ramp time.Duration) Option {
	return func(config *config) { config.ejection, config.ramp = ejection, ramp }
}

// WithSilence sets how long nothing may come while something is outstanding,
// and how long the answer to a probe may take.
func WithSilence(silence, probe time.Duration) Option {
	return func(config *config) { config.silence, config.probe = silence, probe }
}

// WithEjected sets the greatest share of a group that may be ejected.
func WithEjected(share float64) Option {
	return func(config *config) { config.ejected = share }
}

func newConfig(opts []Option) config {
	config := config{
		failures:  failuresDefault,
		errorRate: errorRateDefault,
		slowness:  slownessDefault,
		ejected:   ejectedDefault,
		ejection:  ejectionDefault,
		ramp:      rampDefault,
		silence:   silenceDefault,
		probe:     probeDefault,
	}
	for _, opt := range opts {
		opt(&config)
	}
	return config
}
