package fleet

import "math"

// poolSize is the desired number of targets of a pool in a data centre.
type poolSize struct {
	minOnDemand int // on-demand targets that are always kept
	minTotal    int // with fewer targets, more are started
	maxTotal    int // with more serving targets, one is drained
}

// poolSize returns the desired size of a pool from its expected load, the part of
// it that needs on-demand targets, and the largest load expected during the
// stabilisation window.
func (settings settings) poolSize(load, onDemandLoad, recentPeak float64) poolSize {
	minOnDemand := max(targetsForLoad(onDemandLoad, settings.targetUtilisation), 1)
	return poolSize{
		minOnDemand: minOnDemand,
		minTotal:    max(targetsForLoad(load, settings.targetUtilisation), minOnDemand),
		maxTotal:    max(targetsForLoad(max(load, recentPeak), settings.targetUtilisation), minOnDemand),
	}
}

// targetsForLoad returns how many targets keep a load at or below a utilisation.
// The small constant keeps floating-point error from adding a target.
func targetsForLoad(load, utilisation float64) int {
	return int(math.Ceil(load/utilisation - 1e-9))
}

// targetCounts are the active targets of a pool in a data centre, by price class.
type targetCounts struct {
	onDemand        int // starting and serving
	spot            int // starting and serving
	serving         int // of both classes, already serving
	servingOnDemand int // on-demand, already serving
}

func (counts targetCounts) total() int { return counts.onDemand + counts.spot }

func countTargets(targets []Target, pool Pool) targetCounts {
	var counts targetCounts
	for _, target := range targets {
		if target.Pool != pool || !target.isActive() {
			continue
		}
		counts.add(target)
	}
	return counts
}

func (counts *targetCounts) add(target Target) {
	serving := 0
	if target.Phase == Serving {
		serving = 1
	}
	counts.serving += serving
	if target.Spot {
		counts.spot++
		return
	}
	counts.onDemand++
	counts.servingOnDemand += serving
}

// spotLimit limits the spot targets of a pool in a data centre.
type spotLimit struct {
	maxTargets int  // targets that may be reclaimed at once
	inBackoff  bool // no spot targets are ordered for now
}

// desiredTargets returns how many spot targets a pool should have, given how many
// it has now. During a backoff the number does not grow.
func (limit spotLimit) desiredTargets(current int) int {
	if limit.inBackoff {
		return min(current, limit.maxTargets)
	}
	return limit.maxTargets
}
