package node

import "time"

// now returns true time as far as it is known.
func (node *Node) now() time.Time {
	now, _ := node.trueTime()
	return now
}

func (node *Node) trueTime() (time.Time, bool) {
	steady, ok := node.steady()
	if !ok {
		return time.Now(), false
	}
	offset, ok := node.meter.Offset()
	if !ok {
		return time.Now(), false
	}
	return time.Unix(0, int64(steady+offset)), true
}

// steady returns the store's steady clock.
func (node *Node) steady() (time.Duration, bool) {
	reading := node.store.Clock()
	if reading == nil {
		return 0, false
	}
	return reading.Steady + time.Since(reading.Read), true
}
