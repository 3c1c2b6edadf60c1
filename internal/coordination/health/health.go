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
	Target     string
	Group      string // targets to compare with, such as a model in a data centre
	Outcome    Outcome
	FirstByte  time.Duration // zero when no byte came
	WorkTokens int           // prompt tokens prefilled, to compare first bytes fairly
}

// Member is a target and the group that it belongs to.
type Member struct {
	Target string
	Group  string
}
