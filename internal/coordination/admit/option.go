package admit

import "math"

const (
	capacityDefault   = 64.0
	queueDefault      = 256  // requests
	queueCostDefault  = 1024 // cost units
	membersDefault    = 1
	rateDefault       = 64.0 // cost units per second
	costMin           = 1e-6 // cost units
	costMax           = 1e6  // cost units
	rateMin           = 1e-6 // cost units per second
	waitMaxSeconds    = 3600.0
	retryMinSeconds   = 1
	retryMaxSeconds   = 60
	teamsSweepMinimum = 64
	expireMargin      = 2 // factor by which the expected wait may be wrong
)

type config struct {
	capacity  float64
	queue     int
	queueCost float64
	members   int
	rate      float64
}

// Option changes a setting of a queue or scheduler.
type Option func(*config)

// WithCapacity sets the cost units that the whole fleet may have in flight.
func WithCapacity(units float64) Option {
	return func(config *config) { config.capacity = units }
}

// WithQueue bounds the requests and the cost units that wait per team.
func WithQueue(requests int, units float64) Option {
	return func(config *config) { config.queue, config.queueCost = requests, units }
}

// WithMembers sets how many instances share the capacity.
func WithMembers(count int) Option {
	return func(config *config) { config.members = count }
}

// WithRate sets the cost units per second that this instance is expected to
// finish before it has measured that.
func WithRate(units float64) Option {
	return func(config *config) { config.rate = units }
}

func newConfig(opts []Option) config {
	config := config{
		capacity:  capacityDefault,
		queue:     queueDefault,
		queueCost: queueCostDefault,
		members:   membersDefault,
		rate:      rateDefault,
	}
	for _, opt := range opts {
		opt(&config)
	}
	return config
}

// bounded returns a cost between a least one and costMax, also for what is no
// number.
func bounded(cost, least float64) float64 {
	if math.IsNaN(cost) {
		return least
	}
	return min(costMax, max(least, cost))
}
