package fleet

import "math"

// need is how many targets a pool wants in a data centre.
type need struct {
	least  int // on-demand targets that stay
	order  int // targets below which more are ordered
	retain int // targets above which some are drained
}

// needs works out the targets of a pool from its load, the pinned part of it,
// and the largest load of the time before.
func (settings settings) needs(load, pinned, recent float64) need {
	least := max(count(pinned, settings.normal), 1)
	return need{
		least:  least,
		order:  max(count(load, settings.normal), least),
		retain: max(count(max(load, recent), settings.normal), least),
	}
}

// count returns how many targets keep a load at or below a utilisation.
func count(load, utilisation float64) int {
	return int(math.Ceil(load/utilisation - 1e-9))
}

// tally counts the targets of a pool in a data centre.
type tally struct {
	onDemand      int // starting and serving
	cheap         int // starting and serving
	serving       int // of all, the ones that serve
	servingDemand int // of the on-demand ones, the ones that serve
}

func (tally tally) total() int { return tally.onDemand + tally.cheap }

func tallyOf(targets []Target, pool Pool) tally {
	var tally tally
	for _, target := range targets {
		if target.Pool != pool || !target.stays() {
			continue
		}
		tally.add(target)
	}
	return tally
}

func (tally *tally) add(target Target) {
	serves := 0
	if target.Phase == Serving {
		serves = 1
	}
	tally.serving += serves
	if target.Cheap {
		tally.cheap++
		return
	}
	tally.onDemand++
	tally.servingDemand += serves
}

// cheapBound limits the cheap targets of a pool in a data centre.
type cheapBound struct {
	most   int  // targets that may be lost at once
	paused bool // none are ordered for now
}

// wanted returns how many cheap targets a pool that has some should have.
func (bound cheapBound) wanted(have int) int {
	if bound.paused {
		return min(have, bound.most)
	}
	return bound.most
}
