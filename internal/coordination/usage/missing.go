package usage

import (
	"slices"
	"time"
)

// Member is an origin that may have counted in a window.
type Member struct {
	Origin
	Since time.Time // first sign of life, zero if not known
	Seen  time.Time // last sign of life, as peers or the platform's list tell
}

// in reports whether the member may have counted in a window.
func (member Member) in(schedule Schedule, window Window) bool {
	return member.Since.Before(schedule.End(window)) && !member.Seen.Before(schedule.Start(window))
}

// Missing returns the instances whose figures of a window may be short: those
// without final figures whose copies end before the end of the window, and more
// than slack before their last sign of life. A Source uses it to
// tell which copies stand in for their origins.
//
// A Meter delivers an answer without a copy only after the copy timeout, so a
// slack below that timeout finds every such answer. A larger slack misses those
// of an instance that ended within the slack after its replicas were lost.
func Missing(schedule Schedule, window Window, batches []Batch, members []Member, slack time.Duration) []string {
	final := map[Origin]bool{}
	copied := map[Origin]int64{}
	for _, batch := range batches {
		final[batch.Origin] = final[batch.Origin] || batch.Final && batch.Window >= window
		copied[batch.Origin] = max(copied[batch.Origin], batch.AtMS)
	}
	var missing []string
	for _, member := range members {
		if final[member.Origin] || !member.in(schedule, window) {
			continue
		}
		until := member.Seen.Add(-slack)
		if end := schedule.End(window); end.Before(until) {
			until = end
		}
		if copied[member.Origin] < until.UnixMilli() {
			missing = append(missing, member.Instance)
		}
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}
