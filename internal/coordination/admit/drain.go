package admit

import "time"

const (
	drainWindow   = 500 * time.Millisecond
	drainLongest  = 5 * time.Second // window when little finishes
	drainFinishes = 8               // requests that a shorter window has to see finish
	drainGain     = 0.3
)

// drain measures the cost units finished per second while requests wait, by the
// costs that were expected, as those of the waiting requests are.
type drain struct {
	rate     float64
	measured bool      // the rate is no longer the one that was set
	since    time.Time // begin of the window, zero when none is open
	units    float64   // finished within the window
	finishes int       // requests finished within the window
}

func (drain *drain) granted(now time.Time) {
	if drain.since.IsZero() {
		drain.since = now
	}
}

// finished counts finished units. Only windows in which the instance had
// more work than it could run say something of its rate.
func (drain *drain) finished(now time.Time, units float64, busy bool) {
	if !busy {
		drain.since, drain.units, drain.finishes = time.Time{}, 0, 0
		return
	}
	drain.granted(now)
	drain.units += units
	drain.finishes++
	passed := now.Sub(drain.since)
	if passed < drainWindow || (passed < drainLongest && drain.finishes < drainFinishes) {
		return
	}
	drain.learn(drain.units / passed.Seconds())
	drain.since, drain.units, drain.finishes = now, 0, 0
}

func (drain *drain) learn(rate float64) {
	if !drain.measured {
		drain.rate, drain.measured = rate, true
		return
	}
	drain.rate += drainGain * (rate - drain.rate)
}
