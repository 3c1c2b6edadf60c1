package node

import "time"

// now returns the true time, or the local time of day while that is unknown.
func (node *Node) now() time.Time {
	now, _ := node.trueTime()
	return now
}

// trueTime returns the true time: the store's monotonic clock plus the median
// of the offsets that the instances measure from it to their time of day. It
// returns the local time of day and false before both are known.
func (node *Node) trueTime() (time.Time, bool) {
	monotonic, ok := node.storeClock()
	if !ok {
		return time.Now(), false
	}
	offset, ok := node.meter.MedianClockOffset()
	if !ok {
		return time.Now(), false
	}
	return time.Unix(0, int64(monotonic+offset)), true
}

// storeClock returns the store's monotonic clock, extrapolated from its newest
// reading.
func (node *Node) storeClock() (time.Duration, bool) {
	reading := node.store.Clock()
	if reading == nil {
		return 0, false
	}
	return reading.Monotonic + time.Since(reading.ReadAt), true
}
