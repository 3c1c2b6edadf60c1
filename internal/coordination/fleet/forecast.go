package fleet

import (
	"math"
	"time"
)

// Time constants of the exponential smoothing.
const (
	levelTimeConstant = 30 * time.Second
	trendTimeConstant = 4 * time.Minute
)

// loadForecast predicts a load by Holt's double exponential smoothing.
type loadForecast struct {
	level          float64
	trendPerSecond float64
	observedAt     time.Time
}

func newLoadForecast(now time.Time, load float64) *loadForecast {
	return &loadForecast{level: load, observedAt: now}
}

func (forecast *loadForecast) observe(now time.Time, load float64) {
	elapsed := now.Sub(forecast.observedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	forecast.observedAt = now
	expected := forecast.level + forecast.trendPerSecond*elapsed
	deviation := load - expected
	level := expected + smoothingFactor(elapsed, levelTimeConstant)*deviation
	slope := (level - forecast.level) / elapsed
	forecast.trendPerSecond += smoothingFactor(elapsed, trendTimeConstant) * (slope - forecast.trendPerSecond)
	forecast.level = level
}

// predict returns the load expected after a time ahead. Falling trends are
// ignored, so the result is never below the current level.
func (forecast *loadForecast) predict(ahead time.Duration) float64 {
	return forecast.level + max(forecast.trendPerSecond, 0)*ahead.Seconds()
}

func smoothingFactor(elapsedSeconds float64, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsedSeconds/timeConstant.Seconds())
}

// slidingMax is the maximum of a sliding time window. It keeps only samples
// that are larger than all later ones, so that the first is the maximum.
type slidingMax struct {
	samples []sample
}

type sample struct {
	at    time.Time
	value float64
}

// add records a value and drops samples older than the window.
func (maximum *slidingMax) add(now time.Time, value float64, window time.Duration) {
	for len(maximum.samples) > 0 && maximum.samples[len(maximum.samples)-1].value <= value {
		maximum.samples = maximum.samples[:len(maximum.samples)-1]
	}
	maximum.samples = append(maximum.samples, sample{now, value})
	for now.Sub(maximum.samples[0].at) > window {
		maximum.samples = maximum.samples[1:]
	}
}

func (maximum *slidingMax) value() float64 {
	return maximum.samples[0].value
}
