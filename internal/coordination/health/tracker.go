package health

import (
	"slices"
	"sync"
	"time"
)

// Tracker tracks the health of targets. It is safe for concurrent use.
type Tracker struct {
	config config
	mutex  sync.Mutex
	states map[string]*state
	groups map[string][]*state

	weightsReadAt time.Time // last call of Weights
	fullWeightsAt time.Time // when all targets are back at weight 1
}

// state is the health of one target.
type state struct {
	Member
	consecutiveFailures int
	errorRate           float64 // moving average of the share of failures
	slowness            float64 // moving average of the observed slowness
	observations        int
	ejectionCount       int       // since the target last had weight 1
	ejectedUntil        time.Time // end of the last ejection, zero if never ejected
	connections         connections
}

// New returns a tracker without targets.
func New(opts ...Option) *Tracker {
	return &Tracker{
		config: newConfig(opts),
		states: map[string]*state{},
		groups: map[string][]*state{},
	}
}

// SetMembers replaces the tracked targets. Targets that were tracked before keep
// their state.
func (tracker *Tracker) SetMembers(members []Member) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	states := make(map[string]*state, len(members))
	groups := map[string][]*state{}
	for _, member := range members {
		current, ok := tracker.states[member.Target]
		if !ok {
			current = &state{}
		}
		current.Member = member
		states[member.Target] = current
		groups[member.Group] = append(groups[member.Group], current)
	}
	tracker.states, tracker.groups = states, groups
}

// Observe records the result of a request to a target. It returns true if the
// caller has to read the weights again, because a target was ejected or the
// weights of some are rising. Unknown targets are ignored.
func (tracker *Tracker) Observe(observation Observation) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	state, ok := tracker.states[observation.Target]
	if !ok {
		return false
	}
	now := time.Now()
	state.observe(observation)
	if !state.isEjected(now) && tracker.isOutlier(state) && tracker.eject(state, now) {
		return true
	}
	return tracker.weightsReadAt.Before(tracker.fullWeightsAt) && now.Sub(tracker.weightsReadAt) >= weightRefreshInterval
}

// Weights returns the share of its normal traffic that each target may get now,
// in [0, 1). Targets with their full share are left out.
func (tracker *Tracker) Weights() map[string]float64 {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	tracker.weightsReadAt = now
	weights := map[string]float64{}
	for id, state := range tracker.states {
		if weight := tracker.weight(state, now); weight < 1 {
			weights[id] = weight
		}
	}
	return weights
}

func (state *state) observe(observation Observation) {
	state.observations++
	failed := 0.0
	if observation.Outcome == Failure {
		state.consecutiveFailures++
		failed = 1
	} else {
		state.consecutiveFailures = 0
	}
	state.errorRate += smoothingFactor * (failed - state.errorRate)
	if observation.Outcome == Success && observation.TTFB > 0 {
		state.slowness += smoothingFactor * (observation.slowness() - state.slowness)
	}
}

func (state *state) isEjected(now time.Time) bool {
	return now.Before(state.ejectedUntil)
}

func (tracker *Tracker) isOutlier(state *state) bool {
	if state.consecutiveFailures >= tracker.config.failureThreshold {
		return true
	}
	if state.observations < minObservations {
		return false
	}
	if state.errorRate >= tracker.config.maxErrorRate {
		return true
	}
	median := tracker.medianSlowness(state)
	return median > 0 && state.slowness > max(1, tracker.config.slownessFactor*median)
}

// medianSlowness returns the median of the other targets of the group, or 0 if
// fewer than two of them have enough observations.
func (tracker *Tracker) medianSlowness(except *state) float64 {
	var values []float64
	for _, state := range tracker.groups[except.Group] {
		if state != except && state.observations >= minObservations {
			values = append(values, state.slowness)
		}
	}
	if len(values) < 2 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// eject ejects a target and returns true, or returns false if too large a share
// of its group would be ejected. The ejection time doubles with each ejection
// until the target has been back at weight 1.
func (tracker *Tracker) eject(state *state, now time.Time) bool {
	if !tracker.canEject(state, now) {
		return false
	}
	if !state.ejectedUntil.IsZero() && now.Sub(state.ejectedUntil) >= tracker.config.rampTime {
		state.ejectionCount = 0
	}
	duration := min(maxEjectionTime, tracker.config.ejectionTime<<min(state.ejectionCount, 16))
	state.ejectionCount++
	state.ejectedUntil = now.Add(duration)
	tracker.fullWeightsAt = latest(tracker.fullWeightsAt, state.ejectedUntil.Add(tracker.config.rampTime))
	state.consecutiveFailures, state.errorRate, state.slowness, state.observations = 0, 0, 0, 0
	return true
}

func (tracker *Tracker) canEject(candidate *state, now time.Time) bool {
	group := tracker.groups[candidate.Group]
	ejected := 1 // the candidate
	for _, state := range group {
		if state != candidate && state.isEjected(now) {
			ejected++
		}
	}
	return float64(ejected) <= tracker.config.maxEjectedShare*float64(len(group))
}

func (tracker *Tracker) weight(state *state, now time.Time) float64 {
	if state.ejectedUntil.IsZero() {
		return 1
	}
	sinceEjection := now.Sub(state.ejectedUntil)
	if sinceEjection < 0 {
		return 0
	}
	progress := float64(sinceEjection) / float64(tracker.config.rampTime)
	return min(1, initialWeight+(1-initialWeight)*progress)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
