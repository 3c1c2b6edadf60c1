package roles

import (
	"math"
	"time"
)

// runBand is the deviation of the logarithm of the ratio of prefill to decode
// from its slow average at which a run begins.
const runBand = 0.15

// runWeight is the weight of the newest run in the averages over runs.
const runWeight = 0.25

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

func (m mix) logRatio() float64 {
	return math.Log((m.prefill + ratioFloorTPS) / (m.decode + ratioFloorTPS))
}

// estimate follows the demand of one group by a fast and a slow average, and
// by the lengths of the runs in which the fast one lies on one side of the
// slow one.
type estimate struct {
	fast       mix
	slow       mix
	observed   time.Time
	side       int // -1, 0 or 1: where the run in progress lies
	since      time.Time
	meanLength float64 // seconds
	meanSquare float64 // square seconds
}

// newEstimate returns an estimate that expects runs to last for residual.
func newEstimate(now time.Time, sample mix, residual time.Duration) *estimate {
	length := 2 * residual.Seconds()
	return &estimate{
		fast: sample, slow: sample,
		observed: now, since: now,
		meanLength: length, meanSquare: length * length,
	}
}

func (estimate *estimate) observe(now time.Time, sample mix, fast, slow time.Duration) {
	elapsed := now.Sub(estimate.observed)
	if elapsed <= 0 {
		return
	}
	estimate.observed = now
	estimate.fast = estimate.fast.toward(sample, weightOf(elapsed, fast))
	estimate.slow = estimate.slow.toward(sample, weightOf(elapsed, slow))
	estimate.follow(now)
}

// follow ends the run in progress when the fast average crosses the slow one,
// and begins another when it leaves the band around it.
func (estimate *estimate) follow(now time.Time) {
	deviation := estimate.fast.logRatio() - estimate.slow.logRatio()
	if estimate.side != 0 && deviation*float64(estimate.side) <= 0 {
		estimate.record(now.Sub(estimate.since))
		estimate.side = 0
	}
	if estimate.side == 0 && math.Abs(deviation) > runBand {
		estimate.side = int(math.Copysign(1, deviation))
		estimate.since = now
	}
}

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
