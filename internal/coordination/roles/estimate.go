package roles

import (
	"math"
	"time"
)

// minRunStandardErrors is the minimum deviation of the fast average from the slow
// one at which a run begins, in standard errors of the fast average.
const minRunStandardErrors = 2.5

// minRunDeviation is the minimum deviation of the logarithm of the ratio of
// prefill to decode at which a run begins.
const minRunDeviation = 0.1

// newestRunWeight is the weight of the newest run in the averages over runs.
const newestRunWeight = 0.25

// initialRunLength is the assumed length of runs before the first one has ended.
const initialRunLength = time.Minute

// ratioFloor keeps ratios with a denominator near zero finite.
const ratioFloor = 1e-3

// phaseDemand is the demand for each phase, in tokens per second or in engines.
type phaseDemand struct {
	prefill float64
	decode  float64
}

// movedToward returns the demand moved toward sample by a weight between 0 and 1.
func (demand phaseDemand) movedToward(sample phaseDemand, weight float64) phaseDemand {
	demand.prefill += weight * (sample.prefill - demand.prefill)
	demand.decode += weight * (sample.decode - demand.decode)
	return demand
}

// withLogRatioShift returns the demand with shift added to the logarithm of its
// ratio of prefill to decode.
func (demand phaseDemand) withLogRatioShift(shift float64) phaseDemand {
	return phaseDemand{
		prefill: demand.prefill * math.Exp(shift/2),
		decode:  demand.decode * math.Exp(-shift/2),
	}
}

func (demand phaseDemand) logRatio() float64 {
	return math.Log((demand.prefill + ratioFloor) / (demand.decode + ratioFloor))
}

// demandEstimate tracks the demand of one group with a fast and a slow average,
// and the lengths of the runs in which the ratio of prefill to decode of the fast
// one stays on one side of the slow one.
type demandEstimate struct {
	fastAverage           phaseDemand
	slowAverage           phaseDemand
	firstObservedAt       time.Time
	lastObservedAt        time.Time
	runSign               int // sign of the deviation in the current run, 0 outside a run
	runStartedAt          time.Time
	lastSample            phaseDemand // demand of the last window
	sampleVariance        float64     // of the logarithm of the ratio in one window
	deviationVariance     float64     // mean squared deviation of the fast average from the slow one
	meanRunSeconds        float64
	meanSquaredRunSeconds float64 // in square seconds
}

// newDemandEstimate returns an estimate that expects runs of initialRunLength.
func newDemandEstimate(now time.Time, sample phaseDemand) *demandEstimate {
	seconds := initialRunLength.Seconds()
	return &demandEstimate{
		fastAverage: sample, slowAverage: sample, lastSample: sample,
		firstObservedAt: now, lastObservedAt: now, runStartedAt: now,
		meanRunSeconds: seconds, meanSquaredRunSeconds: seconds * seconds,
	}
}

func (demandEstimate *demandEstimate) observe(now time.Time, sample phaseDemand, fastTimeConstant, slowTimeConstant time.Duration) {
	elapsed := now.Sub(demandEstimate.lastObservedAt)
	if elapsed <= 0 {
		return
	}
	demandEstimate.lastObservedAt = now
	// Until an average has covered its time constant, all samples weigh equally.
	equalWeight := elapsed.Seconds() / (now.Sub(demandEstimate.firstObservedAt) + elapsed).Seconds()
	fastWeight := max(sampleWeight(elapsed, fastTimeConstant), equalWeight)
	slowWeight := max(sampleWeight(elapsed, slowTimeConstant), equalWeight)
	difference := sample.logRatio() - demandEstimate.lastSample.logRatio()
	demandEstimate.sampleVariance += slowWeight * (difference*difference/2 - demandEstimate.sampleVariance)
	demandEstimate.lastSample = sample
	demandEstimate.fastAverage = demandEstimate.fastAverage.movedToward(sample, fastWeight)
	demandEstimate.slowAverage = demandEstimate.slowAverage.movedToward(sample, slowWeight)
	deviation := demandEstimate.deviation()
	demandEstimate.deviationVariance += slowWeight * (deviation*deviation - demandEstimate.deviationVariance)
	demandEstimate.updateRun(now, math.Sqrt(demandEstimate.sampleVariance*fastWeight/(2-fastWeight)))
}

// usable reports whether the averages cover at least two fast time constants and
// the last window is at most one old.
func (demandEstimate *demandEstimate) usable(now time.Time, fastTimeConstant time.Duration) bool {
	return demandEstimate.lastObservedAt.Sub(demandEstimate.firstObservedAt) >= 2*fastTimeConstant && now.Sub(demandEstimate.lastObservedAt) <= fastTimeConstant
}

// updateRun ends the current run when the fast average crosses the slow one, and
// begins another when it deviates by more than its standard error explains.
func (demandEstimate *demandEstimate) updateRun(now time.Time, standardError float64) {
	deviation := demandEstimate.deviation()
	if demandEstimate.runSign != 0 && deviation*float64(demandEstimate.runSign) <= 0 {
		demandEstimate.recordRun(now.Sub(demandEstimate.runStartedAt))
		demandEstimate.runSign = 0
	}
	if demandEstimate.runSign == 0 && math.Abs(deviation) > max(minRunStandardErrors*standardError, minRunDeviation) {
		demandEstimate.runSign = int(math.Copysign(1, deviation))
		demandEstimate.runStartedAt = now
	}
}

// deviation returns the deviation of the fast average from the slow one, as the
// difference of the logarithms of their ratios of prefill to decode.
func (demandEstimate *demandEstimate) deviation() float64 {
	return demandEstimate.fastAverage.logRatio() - demandEstimate.slowAverage.logRatio()
}

// deviationStdDev returns the standard deviation of the fast average from the
// slow one.
func (demandEstimate *demandEstimate) deviationStdDev() float64 {
	return math.Sqrt(demandEstimate.deviationVariance)
}

func (demandEstimate *demandEstimate) recordRun(length time.Duration) {
	seconds := length.Seconds()
	demandEstimate.meanRunSeconds += newestRunWeight * (seconds - demandEstimate.meanRunSeconds)
	demandEstimate.meanSquaredRunSeconds += newestRunWeight * (seconds*seconds - demandEstimate.meanSquaredRunSeconds)
}

// expectedPersistence returns how long the deviation of the fast average from the
// slow one is expected to last: the mean residual life of a run, or the age of the
// current run if that is longer.
func (demandEstimate *demandEstimate) expectedPersistence(now time.Time) time.Duration {
	seconds := demandEstimate.meanSquaredRunSeconds / (2 * max(demandEstimate.meanRunSeconds, ratioFloor))
	if demandEstimate.runSign != 0 {
		seconds = max(seconds, now.Sub(demandEstimate.runStartedAt).Seconds())
	}
	return time.Duration(seconds * float64(time.Second))
}

// sampleWeight returns the weight, in an exponential average with a time constant,
// of a sample that covers elapsed.
func sampleWeight(elapsed, timeConstant time.Duration) float64 {
	if timeConstant <= 0 {
		return 1
	}
	return 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}
