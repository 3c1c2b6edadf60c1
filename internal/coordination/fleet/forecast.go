package fleet

import (
	"math"
	"time"
)

// Time constants of the forecast.
const (
	levelTime = 30 * time.Second
	trendTime = 4 * time.Minute
)

// forecast follows a load by its level and trend, after Holt.
type forecast struct {
	level    float64
	trend    float64 // per second
	observed time.Time
}

func newForecast(now time.Time, load float64) *forecast {
	return &forecast{level: load, observed: now}
}

func (forecast *forecast) observe(now time.Time, load float64) {
	elapsed := now.Sub(forecast.observed).Seconds()
	if elapsed <= 0 {
		return
	}
	forecast.observed = now
	expected := forecast.level + forecast.trend*elapsed
	deviation := load - expected
	level := expected + weightOf(elapsed, levelTime)*deviation
	slope := (level - forecast.level) / elapsed
	forecast.trend += weightOf(elapsed, trendTime) * (slope - forecast.trend)
	forecast.level = level
}

// at returns the load expected after a time ahead, never below the level.
func (forecast *forecast) at(ahead time.Duration) float64 {
	return forecast.level + max(forecast.trend, 0)*ahead.Seconds()
}

func weightOf(elapsedSeconds float64, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsedSeconds/constant.Seconds())
}

// peak is the largest of the values of the last while.
type peak struct {
	samples []sample
}

type sample struct {
	at    time.Time
	value float64
}

// add takes in a value and drops those older than keep.
func (peak *peak) add(now time.Time, value float64, keep time.Duration) {
	for len(peak.samples) > 0 && peak.samples[len(peak.samples)-1].value <= value {
		peak.samples = peak.samples[:len(peak.samples)-1]
	}
	peak.samples = append(peak.samples, sample{now, value})
	for now.Sub(peak.samples[0].at) > keep {
		peak.samples = peak.samples[1:]
	}
}

func (peak *peak) value() float64 {
	return peak.samples[0].value
}
