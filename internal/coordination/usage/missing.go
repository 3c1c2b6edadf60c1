package usage

import (
	"slices"
	"time"
)

// Member is an origin that may have counted usage in a window.
type Member struct {
	Origin
	FirstSeen time.Time // zero if not known
	LastSeen  time.Time // last contact, as reported by peers or the platform's list
}

// mayHaveCounted reports whether the member was running during a part of a
// window.
func (member Member) mayHaveCounted(schedule Schedule, window Window) bool {
	return member.FirstSeen.Before(schedule.WindowEnd(window)) && !member.LastSeen.Before(schedule.WindowStart(window))
}

// MissingInstances returns the sorted instances whose counts of a window may be
// too low. These are the members without final counts whose copies are complete
// only up to a time before the end of the window, and more than slack before
// they were last seen. A Collector uses it to find out for which
// unreachable instances the copies suffice.
//
// A Meter delivers a response without a confirmed copy only after the copy
// timeout, so a slack below that timeout detects every such response. A larger
// slack does not detect those of an instance that ended within the slack after
// it lost its replicas.
func MissingInstances(schedule Schedule, window Window, batches []Batch, members []Member, slack time.Duration) []string {
	final := map[Origin]bool{}
	completeUntilMS := map[Origin]int64{}
	for _, batch := range batches {
		final[batch.Origin] = final[batch.Origin] || batch.Final && batch.Window >= window
		completeUntilMS[batch.Origin] = max(completeUntilMS[batch.Origin], batch.CompleteUntilMS)
	}
	var missing []string
	for _, member := range members {
		if final[member.Origin] || !member.mayHaveCounted(schedule, window) {
			continue
		}
		until := member.LastSeen.Add(-slack)
		if end := schedule.WindowEnd(window); end.Before(until) {
			until = end
		}
		if completeUntilMS[member.Origin] < until.UnixMilli() {
			missing = append(missing, member.Instance)
		}
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}
