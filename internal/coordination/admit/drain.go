package admit

import "time"

const (
	minThroughputWindow = 500 * time.Millisecond
	maxThroughputWindow = 5 * time.Second // closes a window in which few requests finish
	minFinishedRequests = 8               // finished requests needed to close a window earlier
	throughputSmoothing = 0.3             // weight of a new window in the moving average
)

// throughput measures the cost units that finish per second while requests
// wait. It counts expected costs rather than actual ones, since only expected
// costs are known of the waiting requests that the rate is applied to.
type throughput struct {
	rate             float64   // cost units per second
	measured         bool      // rate is measured rather than configured
	windowStart      time.Time // zero if no window is open
	finishedCost     float64   // cost units finished within the window
	finishedRequests int       // requests finished within the window
}

func (throughput *throughput) openWindow(now time.Time) {
	if throughput.windowStart.IsZero() {
		throughput.windowStart = now
	}
}

// recordFinished counts a finished request of the given cost. A window is
// discarded if no requests wait, as the rate is then limited by the arrivals
// and not by the capacity.
func (throughput *throughput) recordFinished(now time.Time, cost float64, backlogged bool) {
	if !backlogged {
		throughput.windowStart, throughput.finishedCost, throughput.finishedRequests = time.Time{}, 0, 0
		return
	}
	throughput.openWindow(now)
	throughput.finishedCost += cost
	throughput.finishedRequests++
	elapsed := now.Sub(throughput.windowStart)
	if elapsed < minThroughputWindow || (elapsed < maxThroughputWindow && throughput.finishedRequests < minFinishedRequests) {
		return
	}
	throughput.updateRate(throughput.finishedCost / elapsed.Seconds())
	throughput.windowStart, throughput.finishedCost, throughput.finishedRequests = now, 0, 0
}

func (throughput *throughput) updateRate(rate float64) {
	if !throughput.measured {
		throughput.rate, throughput.measured = rate, true
		return
	}
	throughput.rate += throughputSmoothing * (rate - throughput.rate)
}
