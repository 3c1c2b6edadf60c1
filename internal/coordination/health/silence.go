package health

import (
	"slices"
	"time"
)

// expectedFactor is how many times its expected delay a first byte may take
// before the connection counts as silent.
const expectedFactor = 3

// connections watches the connections to one target on which something is
// outstanding.
type connections struct {
	open  map[uint64]*connection
	probe time.Time // begin of a running probe, zero for none
}

type connection struct {
	outstanding int
	heard       time.Time     // newest byte, or the sending when nothing was outstanding
	patience    time.Duration // how long it may be silent
}

// Verdict is what to do about the silent connections to a target.
type Verdict struct {
	Target string
	Probe  bool     // probe the target on a new connection, and report by Probed
	Drop   []uint64 // close these connections; what is outstanding there failed
}

// Sent records that a request went to a target on a connection, and after
// which time its first byte is expected.
func (tracker *Tracker) Sent(target string, id uint64, expected time.Duration) {
	tracker.watch(target, func(watched *connections, now time.Time) {
		if watched.open == nil {
			watched.open = map[uint64]*connection{}
		}
		if watched.open[id] == nil {
			watched.open[id] = &connection{heard: now}
		}
		sent := watched.open[id]
		sent.outstanding++
		sent.patience = max(sent.patience, tracker.config.silence, expectedFactor*expected)
	})
}

// Heard records that bytes came on a connection.
func (tracker *Tracker) Heard(target string, id uint64) {
	tracker.watch(target, func(watched *connections, now time.Time) {
		if heard, ok := watched.open[id]; ok {
			heard.heard, heard.patience = now, tracker.config.silence
		}
	})
}

// Ended records that a request on a connection ended, in whatever way.
func (tracker *Tracker) Ended(target string, id uint64) {
	tracker.watch(target, func(watched *connections, _ time.Time) {
		ended, ok := watched.open[id]
		if !ok {
			return
		}
		ended.outstanding--
		if ended.outstanding <= 0 {
			delete(watched.open, id)
		}
	})
}

// Probed takes the result of a probe. An answer shows that the target lives
// and that its silent connections are dead; without one the target is ejected
// too. A result without a running probe has no effect.
func (tracker *Tracker) Probed(target string, answered bool) Verdict {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	state, ok := tracker.states[target]
	if !ok || state.connections.probe.IsZero() {
		return Verdict{Target: target}
	}
	return tracker.conclude(state, answered, time.Now())
}

// Verdicts returns the targets that are to be probed now, and those whose
// probe got no answer in time. It is to be called several times a second.
func (tracker *Tracker) Verdicts() []Verdict {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	var verdicts []Verdict
	for _, state := range tracker.states {
		verdict := tracker.judge(state, now)
		if verdict.Probe || len(verdict.Drop) > 0 {
			verdicts = append(verdicts, verdict)
		}
	}
	return verdicts
}

func (tracker *Tracker) judge(state *state, now time.Time) Verdict {
	watched := &state.connections
	if !watched.probe.IsZero() {
		if now.Sub(watched.probe) < tracker.config.probe {
			return Verdict{}
		}
		return tracker.conclude(state, false, now)
	}
	if len(watched.silent(now)) == 0 {
		return Verdict{}
	}
	watched.probe = now
	return Verdict{Target: state.Target, Probe: true}
}

// conclude ends a probe and gives up the connections that are silent still.
func (tracker *Tracker) conclude(state *state, answered bool, now time.Time) Verdict {
	watched := &state.connections
	watched.probe = time.Time{}
	drop := watched.silent(now)
	for _, id := range drop {
		delete(watched.open, id)
	}
	if !answered && len(drop) > 0 {
		tracker.eject(state, now)
	}
	return Verdict{Target: state.Target, Drop: drop}
}

// silent returns the connections that have been silent for too long.
func (connections *connections) silent(now time.Time) []uint64 {
	var silent []uint64
	for id, connection := range connections.open {
		if now.Sub(connection.heard) >= connection.patience {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	return silent
}

func (tracker *Tracker) watch(target string, change func(*connections, time.Time)) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if state, ok := tracker.states[target]; ok {
		change(&state.connections, time.Now())
	}
}
