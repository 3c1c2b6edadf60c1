package usage

import (
	"slices"
	"time"
)

// Member is an origin that may have counted in a window.
type Member struct {
	Origin
	Seen time.Time // last sign of life, as peers or the platform's list tell
}

// Missing returns the instances whose figures of a window may be short: those
// without final figures whose copies end more than slack before the end of the
// window or their last sign of life, whichever is earlier. A Source uses it to
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
		if final[member.Origin] || member.Seen.Before(schedule.Start(window)) {
			continue
		}
		until := member.Seen
		if end := schedule.End(window); end.Before(until) {
			until = end
		}
		if copied[member.Origin] < until.Add(-slack).UnixMilli() {
			missing = append(missing, member.Instance)
		}
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}
