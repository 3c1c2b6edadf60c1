package admit

import "time"

const (
	drainWindow = 500 * time.Millisecond
	drainGain   = 0.3
)

// drain measures the cost units finished per second while requests wait.
type drain struct {
	rate  float64
	since time.Time // begin of the window, zero when none is open
	units float64   // finished within the window
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
		drain.since, drain.units = time.Time{}, 0
		return
	}
	drain.granted(now)
	drain.units += units
	passed := now.Sub(drain.since)
	if passed < drainWindow {
		return
	}
	measured := drain.units / passed.Seconds()
	drain.rate += drainGain * (measured - drain.rate)
	drain.since, drain.units = now, 0
}
