// Package health offers the judgement of targets by how their requests fare.
//
// A target that fails often, or answers much later than the others of its
// group, is ejected for a while and then returns slowly. A target from which
// nothing comes while something is outstanding is to be probed on a new
// connection, which tells a dead target from dead connections.
package health

import (
	"time"
)

// Outcome tells how a request at a target ended.
type Outcome int

// Outcomes of requests. Failures caused by the caller are not observed.
const (
	Success Outcome = iota
	Failure
)

// Event is one observation of a target.
type Event struct {
	Target    string
	Outcome   Outcome
	FirstByte time.Duration // zero when no byte came
	Expected  time.Duration // expected delay until the first byte, zero when unknown
	// WorkTokens is the number of prompt tokens prefilled, from which a delay is
	// expected when Expected is zero.
	WorkTokens int
}

// slowness returns how many times its expected delay the first byte took. An
// expected delay below the floor counts as the floor.
func (event *Event) slowness() float64 {
	expected := event.Expected.Seconds()
	if expected <= 0 {
		expected = float64(event.WorkTokens) / nominalTPS
	}
	return event.FirstByte.Seconds() / max(slowFloor.Seconds(), expected)
}

// Member is a target and the group that it belongs to.
type Member struct {
	Target string
	Group  string // targets to compare with, such as a model in a data centre
}
