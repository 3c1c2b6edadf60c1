package health

import "time"

const (
	defaultFailureThreshold = 3   // consecutive failures
	defaultMaxErrorRate     = 0.5 // smoothed share of failures
	defaultSlownessFactor   = 4.0 // multiple of the group's median
	defaultMaxEjectedShare  = 0.5 // share of a group
	defaultEjectionTime     = 5 * time.Second
	maxEjectionTime         = 5 * time.Minute
	defaultRampTime         = 10 * time.Second
	defaultSilenceTimeout   = 2 * time.Second
	defaultProbeTimeout     = time.Second
	smoothingFactor         = 0.1                    // weight of the newest observation in moving averages
	minObservations         = 10                     // before averages are used
	initialWeight           = 0.1                    // weight right after an ejection
	weightRefreshInterval   = 250 * time.Millisecond // between reads of the weights while some change
	minExpectedTTFB         = 50 * time.Millisecond
	nominalPrefillTPS       = 8000.0 // prompt tokens per second, makes prompts of different lengths comparable
)

type config struct {
	failureThreshold int
	maxErrorRate     float64
	slownessFactor   float64
	maxEjectedShare  float64
	ejectionTime     time.Duration
	rampTime         time.Duration
	silenceTimeout   time.Duration
	probeTimeout     time.Duration
}

// Option changes a setting of a tracker.
type Option func(*config)

// WithConsecutiveFailures sets after how many consecutive failures a target is
// ejected.
func WithConsecutiveFailures(count int) Option {
	return func(config *config) { config.failureThreshold = count }
}

// WithEjection sets how long the first ejection lasts, and how long the weight
// then takes to return to 1.
func WithEjection(ejectionTime, rampTime time.Duration) Option {
	return func(config *config) { config.ejectionTime, config.rampTime = ejectionTime, rampTime }
}

// WithSilenceTimeout sets how long a connection with requests in flight may receive
// nothing before its target is probed, and how long a probe may take.
func WithSilenceTimeout(silenceTimeout, probeTimeout time.Duration) Option {
	return func(config *config) { config.silenceTimeout, config.probeTimeout = silenceTimeout, probeTimeout }
}

// WithMaxEjectedShare sets the largest share of a group that may be ejected at
// the same time.
func WithMaxEjectedShare(share float64) Option {
	return func(config *config) { config.maxEjectedShare = share }
}

func newConfig(opts []Option) config {
	config := config{
		failureThreshold: defaultFailureThreshold,
		maxErrorRate:     defaultMaxErrorRate,
		slownessFactor:   defaultSlownessFactor,
		maxEjectedShare:  defaultMaxEjectedShare,
		ejectionTime:     defaultEjectionTime,
		rampTime:         defaultRampTime,
		silenceTimeout:   defaultSilenceTimeout,
		probeTimeout:     defaultProbeTimeout,
	}
	for _, opt := range opts {
		opt(&config)
	}
	return config
}
