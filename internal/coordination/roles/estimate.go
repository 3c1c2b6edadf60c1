package roles

import (
	"math"
	"time"
)

// runErrors is the deviation of the fast average from the slow one at which a
// run begins, in standard errors of the fast average.
const runErrors = 2.5

// leastDeviation is the least deviation of the logarithm of the ratio of
// prefill to decode at which a run begins.
const leastDeviation = 0.1

// runWeight is the weight of the newest run in the averages over runs.
const runWeight = 0.25

// firstRun is the length that runs are taken to have before one has ended.
const firstRun = time.Minute

// ratioFloorTPS keeps the ratio of two rates finite.
const ratioFloorTPS = 1e-3

// mix is a demand for both phases, in tokens per second or in engines.
type mix struct {
	prefill float64
	decode  float64
}

// toward returns the mix moved to sample by a weight between 0 and 1.
func (m mix) toward(sample mix, weight float64) mix {
	m.prefill += weight * (sample.prefill - m.prefill)
	m.decode += weight * (sample.decode - m.decode)
	return m
}

// skewed returns the mix with the logarithm of its ratio moved.
func (m mix) skewed(deviation float64) mix {
	return mix{
		prefill: m.prefill * math.Exp(deviation/2),
		decode:  m.decode * math.Exp(-deviation/2),
	}
}

func (m mix) logRatio() float64 {
	return math.Log((m.prefill + ratioFloorTPS) / (m.decode + ratioFloorTPS))
}

// estimate follows the demand of one group by a fast and a slow average, and
// by the lengths of the runs in which the fast one lies on one side of the
// slow one.
type estimate struct {
	fast       mix
	slow       mix
	began      time.Time
	observed   time.Time
	side       int // -1, 0 or 1: where the run in progress lies
	since      time.Time
	last       mix     // of the last window
	variance   float64 // of the logarithm of the ratio in one window
	square     float64 // mean of the squared deviation of the fast average
	meanLength float64 // seconds
	meanSquare float64 // square seconds
}

// newEstimate returns an estimate that expects runs of firstRun.
func newEstimate(now time.Time, sample mix) *estimate {
	length := firstRun.Seconds()
	return &estimate{
		fast: sample, slow: sample, last: sample,
		began: now, observed: now, since: now,
		meanLength: length, meanSquare: length * length,
	}
}

func (estimate *estimate) observe(now time.Time, sample mix, fast, slow time.Duration) {
	elapsed := now.Sub(estimate.observed)
	if elapsed <= 0 {
		return
	}
	estimate.observed = now
	// Until an average has seen its time constant, all samples weigh alike.
	even := elapsed.Seconds() / (now.Sub(estimate.began) + elapsed).Seconds()
	fastWeight := max(weightOf(elapsed, fast), even)
	slowWeight := max(weightOf(elapsed, slow), even)
	difference := sample.logRatio() - estimate.last.logRatio()
	estimate.variance += slowWeight * (difference*difference/2 - estimate.variance)
	estimate.last = sample
	estimate.fast = estimate.fast.toward(sample, fastWeight)
	estimate.slow = estimate.slow.toward(sample, slowWeight)
	deviation := estimate.deviation()
	estimate.square += slowWeight * (deviation*deviation - estimate.square)
	estimate.follow(now, math.Sqrt(estimate.variance*fastWeight/(2-fastWeight)))
}

// usable reports whether the averages have seen enough to decide by, and
// whether the last window is recent.
func (estimate *estimate) usable(now time.Time, fast time.Duration) bool {
	return estimate.observed.Sub(estimate.began) >= 2*fast && now.Sub(estimate.observed) <= fast
}

// follow ends the run in progress when the fast average crosses the slow one,
// and begins another when it deviates by more than its error explains.
func (estimate *estimate) follow(now time.Time, standardError float64) {
	deviation := estimate.deviation()
	if estimate.side != 0 && deviation*float64(estimate.side) <= 0 {
		estimate.record(now.Sub(estimate.since))
		estimate.side = 0
	}
	if estimate.side == 0 && math.Abs(deviation) > max(runErrors*standardError, leastDeviation) {
		estimate.side = int(math.Copysign(1, deviation))
		estimate.since = now
	}
}

// deviation returns that of the fast average from the slow one, as the
// difference of the logarithms of their ratios.
func (estimate *estimate) deviation() float64 {
	return estimate.fast.logRatio() - estimate.slow.logRatio()
}

// spread returns the standard deviation of the fast average from the slow one.
func (estimate *estimate) spread() float64 { return math.Sqrt(estimate.square) }

func (estimate *estimate) record(run time.Duration) {
	length := run.Seconds()
	estimate.meanLength += runWeight * (length - estimate.meanLength)
	estimate.meanSquare += runWeight * (length*length - estimate.meanSquare)
}

// persistence returns how long the deviation of the fast average from the
// slow one is expected to last. It is the mean residual life of a run, or the
// age of the run in progress where that is longer.
func (estimate *estimate) persistence(now time.Time) time.Duration {
	seconds := estimate.meanSquare / (2 * max(estimate.meanLength, ratioFloorTPS))
	if estimate.side != 0 {
		seconds = max(seconds, now.Sub(estimate.since).Seconds())
	}
	return time.Duration(seconds * float64(time.Second))
}

// weightOf returns the weight of a sample that stands for elapsed in an
// exponential average with a time constant.
func weightOf(elapsed, constant time.Duration) float64 {
	if constant <= 0 {
		return 1
	}
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}
