// Package health tracks the health of targets from the outcomes and latencies
// of their requests.
//
// A target that fails often, or is much slower than the others of its group,
// is ejected for some time and then gets traffic back gradually. A target whose
// connection stays silent while requests are in flight is probed on a new
// connection, which distinguishes a dead target from dead connections.
package health

import (
	"time"
)

// Outcome is how a request to a target ended.
type Outcome int

// Outcomes of requests. Failures caused by the caller are not observed.
const (
	Success Outcome = iota
	Failure
)

// Observation is the outcome and latency of one request to a target.
type Observation struct {
	Target       string
	Outcome      Outcome
	TTFB         time.Duration // time to first byte, zero if no byte was received
	ExpectedTTFB time.Duration // expected time to first byte, zero if unknown
	// PrefillTokens is the number of prompt tokens prefilled. The time to first
	// byte is estimated from it when ExpectedTTFB is zero.
	PrefillTokens int
}

// slowness returns the ratio of the time to first byte to the expected one. An
// expected time below minExpectedTTFB counts as minExpectedTTFB.
func (observation *Observation) slowness() float64 {
	expected := observation.ExpectedTTFB.Seconds()
	if expected <= 0 {
		expected = float64(observation.PrefillTokens) / nominalPrefillTPS
	}
	return observation.TTFB.Seconds() / max(minExpectedTTFB.Seconds(), expected)
}

// Member is a target and the group that it belongs to.
type Member struct {
	Target string
	Group  string // targets to compare with, such as a model in a data centre
}
