package admit

import "math"

const (
	defaultCapacity      = 64.0 // cost units
	defaultQueueRequests = 256  // requests
	defaultQueueCost     = 1024 // cost units
	defaultInstanceCount = 1
	defaultRate          = 64.0 // cost units per second
	minCost              = 1e-6 // cost units
	maxCost              = 1e6  // cost units
	minRate              = 1e-6 // cost units per second
	maxWaitSeconds       = 3600.0
	minRetrySeconds      = 1
	maxRetrySeconds      = 60
	minSweepTeams        = 64 // known teams before idle ones are evicted
	expectedWaitMargin   = 2  // factor by which expectedWait may overestimate
)

type config struct {
	capacity      float64
	queueRequests int
	queueCost     float64
	instanceCount int
	rate          float64
}

// Option configures a Queue, FIFO or Scheduler.
type Option func(*config)

// WithCapacity sets the cost units that all instances together may have in
// flight. The default is 64.
func WithCapacity(units float64) Option {
	return func(config *config) { config.capacity = units }
}

// WithQueueLimits sets the maximum number of waiting requests and their maximum total
// cost, per team. The defaults are 256 requests and 1024 cost units.
func WithQueueLimits(requests int, units float64) Option {
	return func(config *config) { config.queueRequests, config.queueCost = requests, units }
}

// WithInstanceCount sets the number of instances that share the capacity until
// the first exchange. The default is 1.
func WithInstanceCount(count int) Option {
	return func(config *config) { config.instanceCount = count }
}

// WithRate sets the throughput of this instance, in cost units per second, that
// is assumed until it has been measured. The default is 64.
func WithRate(unitsPerSecond float64) Option {
	return func(config *config) { config.rate = unitsPerSecond }
}

func newConfig(opts []Option) config {
	config := config{
		capacity:      defaultCapacity,
		queueRequests: defaultQueueRequests,
		queueCost:     defaultQueueCost,
		instanceCount: defaultInstanceCount,
		rate:          defaultRate,
	}
	for _, opt := range opts {
		opt(&config)
	}
	return config
}

// clampCost returns cost limited to the range from minimum to maxCost, and
// minimum if cost is NaN.
func clampCost(cost, minimum float64) float64 {
	if math.IsNaN(cost) {
		return minimum
	}
	return min(maxCost, max(minimum, cost))
}
