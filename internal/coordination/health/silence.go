package health

import (
	"slices"
	"time"
)

// ttfbTimeoutFactor is the multiple of the expected time to first byte
// after which a connection counts as silent.
const ttfbTimeoutFactor = 3

// connections holds the connections to one target that have requests in
// flight.
type connections struct {
	byID           map[uint64]*connection
	probeStartedAt time.Time // zero if no probe is running
}

type connection struct {
	inFlight       int
	lastReceivedAt time.Time     // newest byte; before any, the sending of the first request
	silenceTimeout time.Duration // since lastReceivedAt
}

// Action is what to do about the silent connections to a target.
type Action struct {
	Target string
	Probe  bool     // probe the target on a new connection and report the result with RecordProbe
	Close  []uint64 // close these connections; their requests in flight have failed
}

// RecordSent records that a request was sent to a target on a connection.
// ExpectedTTFB is the expected time to first byte.
func (tracker *Tracker) RecordSent(target string, id uint64, expectedTTFB time.Duration) {
	tracker.updateConnections(target, func(connections *connections, now time.Time) {
		if connections.byID == nil {
			connections.byID = map[uint64]*connection{}
		}
		if connections.byID[id] == nil {
			connections.byID[id] = &connection{lastReceivedAt: now}
		}
		connection := connections.byID[id]
		connection.inFlight++
		connection.silenceTimeout = max(connection.silenceTimeout, tracker.config.silenceTimeout, ttfbTimeoutFactor*expectedTTFB)
	})
}

// RecordReceived records that bytes were received on a connection.
func (tracker *Tracker) RecordReceived(target string, id uint64) {
	tracker.updateConnections(target, func(connections *connections, now time.Time) {
		if connection, ok := connections.byID[id]; ok {
			connection.lastReceivedAt, connection.silenceTimeout = now, tracker.config.silenceTimeout
		}
	})
}

// RecordEnded records that a request on a connection ended, successfully or not.
func (tracker *Tracker) RecordEnded(target string, id uint64) {
	tracker.updateConnections(target, func(connections *connections, _ time.Time) {
		connection, ok := connections.byID[id]
		if !ok {
			return
		}
		connection.inFlight--
		if connection.inFlight <= 0 {
			delete(connections.byID, id)
		}
	})
}

// RecordProbe records the result of a probe and returns the connections to close.
// A probe that was answered shows that the target is alive and that its silent
// connections are dead; after one that was not, the target is ejected too. A
// result without a running probe has no effect.
func (tracker *Tracker) RecordProbe(target string, answered bool) Action {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	state, ok := tracker.states[target]
	if !ok || state.connections.probeStartedAt.IsZero() {
		return Action{Target: target}
	}
	return tracker.finishProbe(state, answered, time.Now())
}

// PendingActions returns the targets to probe now, and those whose probe timed out
// with the connections to close. It has to be called several times a second.
func (tracker *Tracker) PendingActions() []Action {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	var actions []Action
	for _, state := range tracker.states {
		action := tracker.nextAction(state, now)
		if action.Probe || len(action.Close) > 0 {
			actions = append(actions, action)
		}
	}
	return actions
}

func (tracker *Tracker) nextAction(state *state, now time.Time) Action {
	connections := &state.connections
	if !connections.probeStartedAt.IsZero() {
		if now.Sub(connections.probeStartedAt) < tracker.config.probeTimeout {
			return Action{}
		}
		return tracker.finishProbe(state, false, now)
	}
	if len(connections.silentIDs(now)) == 0 {
		return Action{}
	}
	connections.probeStartedAt = now
	return Action{Target: state.Target, Probe: true}
}

// finishProbe ends a probe and removes the connections that are still silent.
func (tracker *Tracker) finishProbe(state *state, answered bool, now time.Time) Action {
	connections := &state.connections
	connections.probeStartedAt = time.Time{}
	silent := connections.silentIDs(now)
	for _, id := range silent {
		delete(connections.byID, id)
	}
	if !answered && len(silent) > 0 {
		tracker.eject(state, now)
	}
	return Action{Target: state.Target, Close: silent}
}

// silentIDs returns the connections whose silence timeout has passed, sorted.
func (connections *connections) silentIDs(now time.Time) []uint64 {
	var silent []uint64
	for id, connection := range connections.byID {
		if now.Sub(connection.lastReceivedAt) >= connection.silenceTimeout {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	return silent
}

// updateConnections calls update with the lock held. Unknown targets are
// ignored.
func (tracker *Tracker) updateConnections(target string, update func(*connections, time.Time)) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if state, ok := tracker.states[target]; ok {
		update(&state.connections, time.Now())
	}
}
