package health

import (
	"slices"
	"sync"
	"time"
)

// Tracker keeps the health of targets. Its methods may be called by several
// goroutines.
type Tracker struct {
	config config
	mutex  sync.Mutex
	states map[string]*state
	groups map[string][]*state

	taken   time.Time // when the weights were last taken
	settled time.Time // from which on all targets have their full weight
}

// state is the health of one target.
type state struct {
	Member
	failures     int     // in a row
	errors       float64 // smoothed share of failures
	slowness     float64 // smoothed, of first bytes
	observations int
	ejections    int       // without a full return in between
	until        time.Time // end of the ejection, zero when there was none
	connections  connections
}

// New returns a tracker without targets.
func New(opts ...Option) *Tracker {
	return &Tracker{
		config: newConfig(opts),
		states: map[string]*state{},
		groups: map[string][]*state{},
	}
}

// SetMembers sets the targets to keep. The health of those that stay is kept.
func (tracker *Tracker) SetMembers(members []Member) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	states := make(map[string]*state, len(members))
	groups := map[string][]*state{}
	for _, member := range members {
		kept, ok := tracker.states[member.Target]
		if !ok {
			kept = &state{}
		}
		kept.Member = member
		states[member.Target] = kept
		groups[member.Group] = append(groups[member.Group], kept)
	}
	tracker.states, tracker.groups = states, groups
}

// Observe takes the end of a request at a target. It returns true when the
// weights are to be taken anew, as one was ejected or some are on their way
// back. Events of unknown targets are ignored.
func (tracker *Tracker) Observe(event Event) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	state, ok := tracker.states[event.Target]
	if !ok {
		return false
	}
	now := time.Now()
	state.observe(event)
	if !state.ejected(now) && tracker.outlier(state) && tracker.eject(state, now) {
		return true
	}
	return tracker.taken.Before(tracker.settled) && now.Sub(tracker.taken) >= refresh
}

// Weights returns the share of normal traffic that each target may take now,
// for those where it is not 1.
func (tracker *Tracker) Weights() map[string]float64 {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	tracker.taken = now
	weights := map[string]float64{}
	for id, state := range tracker.states {
		if weight := tracker.weight(state, now); weight < 1 {
			weights[id] = weight
		}
	}
	return weights
}

func (state *state) observe(event Event) {
	state.observations++
	failed := 0.0
	if event.Outcome == Failure {
		state.failures++
		failed = 1
	} else {
		state.failures = 0
	}
	state.errors += gain * (failed - state.errors)
	if event.Outcome == Success && event.FirstByte > 0 {
		state.slowness += gain * (event.slowness() - state.slowness)
	}
}

func (state *state) ejected(now time.Time) bool {
	return now.Before(state.until)
}

func (tracker *Tracker) outlier(state *state) bool {
	if state.failures >= tracker.config.failures {
		return true
	}
	if state.observations < observationsMin {
		return false
	}
	if state.errors >= tracker.config.errorRate {
		return true
	}
	median := tracker.medianSlowness(state)
	return median > 0 && state.slowness > max(1, tracker.config.slowness*median)
}

// medianSlowness returns the median of the others of the group, 0 when too
// little is known.
func (tracker *Tracker) medianSlowness(except *state) float64 {
	var values []float64
	for _, state := range tracker.groups[except.Group] {
		if state != except && state.observations >= observationsMin {
			values = append(values, state.slowness)
		}
	}
	if len(values) < 2 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// eject takes a target out unless too much of its group is out already. Each
// ejection without a full return since the last one lasts twice as long.
func (tracker *Tracker) eject(state *state, now time.Time) bool {
	if !tracker.mayEject(state, now) {
		return false
	}
	if !state.until.IsZero() && now.Sub(state.until) >= tracker.config.ramp {
		state.ejections = 0
	}
	length := min(ejectionMax, tracker.config.ejection<<min(state.ejections, 16))
	state.ejections++
	state.until = now.Add(length)
	tracker.settled = latest(tracker.settled, state.until.Add(tracker.config.ramp))
	state.failures, state.errors, state.slowness, state.observations = 0, 0, 0, 0
	return true
}

func (tracker *Tracker) mayEject(candidate *state, now time.Time) bool {
	group := tracker.groups[candidate.Group]
	out := 1
	for _, state := range group {
		if state != candidate && state.ejected(now) {
			out++
		}
	}
	return float64(out) <= tracker.config.ejected*float64(len(group))
}

func (tracker *Tracker) weight(state *state, now time.Time) float64 {
	if state.until.IsZero() {
		return 1
	}
	back := now.Sub(state.until)
	if back < 0 {
		return 0
	}
	ramp := float64(back) / float64(tracker.config.ramp)
	return min(1, weightFirst+(1-weightFirst)*ramp)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
