package gossip

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// stateFor returns the message for one receiver: this instance's own state
// and the next share of what others said.
func (members *Members) stateFor(receiver string) *peerpb.State {
	members.mu.Lock()
	defer members.mu.Unlock()
	state := &peerpb.State{
		Sender:    members.self.ID,
		Number:    members.notes.Number(),
		StoreDown: members.notes.StoreDown(),
		Admitted:  members.admit(),
	}
	members.addProof(state)
	members.addOwn(state)
	members.addHeartbeats(state, receiver)
	members.addLoads(state, receiver)
	members.addSuspects(state)
	return state
}

// addProof states the age of the proof, rounded up. The number is read before
// the proof: a proof for a newer note would not hold for an older number.
func (members *Members) addProof(state *peerpb.State) {
	fresh := members.notes.Fresh()
	if fresh.IsZero() || members.notes.Number() != state.Number {
		return
	}
	state.Proven = true
	state.ProofAgeMs = uint64(elapsed(fresh).Milliseconds()) + 1
}

func (members *Members) addOwn(state *peerpb.State) {
	if members.told != state.Number {
		members.told = state.Number
		members.version.Sequence++
	}
	version := &peerpb.Version{Incarnation: members.version.Incarnation, Sequence: members.version.Sequence}
	state.Heartbeats = append(state.Heartbeats, &peerpb.Heartbeat{
		Origin:     members.self.ID,
		Version:    version,
		Address:    members.self.Address,
		DataCenter: members.self.DataCenter,
		Number:     state.Number,
		StoreDown:  state.StoreDown,
		Leaving:    members.leaving.Load(),
	})
	if members.load == nil {
		return
	}
	load := proto.CloneOf(members.load)
	load.Version = version
	state.Loads = append(state.Loads, load)
}

func (members *Members) addHeartbeats(state *peerpb.State, receiver string) {
	for left := members.hot.size(); left > 0 && len(state.Heartbeats) < heartbeatsMax; left-- {
		id := members.hot.pop()
		origin := members.origins[id]
		if origin == nil || origin.heartbeatSends == 0 {
			continue
		}
		if id != receiver {
			state.Heartbeats = append(state.Heartbeats, aged(origin.heartbeat, origin.heartbeatAt))
			origin.heartbeatSends--
		}
		if origin.heartbeatSends > 0 {
			members.hot.push(id)
		}
	}
}

func (members *Members) addLoads(state *peerpb.State, receiver string) {
	for left := members.hotLoads.size(); left > 0 && len(state.Loads) < loadsMax; left-- {
		id := members.hotLoads.pop()
		origin := members.origins[id]
		if origin == nil || origin.load == nil || origin.loadSends == 0 {
			continue
		}
		if id != receiver {
			state.Loads = append(state.Loads, agedLoad(origin.load, origin.loadAt))
			origin.loadSends--
		}
		if origin.loadSends > 0 {
			members.hotLoads.push(id)
		}
	}
}

// addSuspects adds those that are news and one of the others, which reaches
// instances that missed it.
func (members *Members) addSuspects(state *peerpb.State) {
	var other *suspect
	for _, suspect := range members.suspects {
		switch {
		case len(state.Suspects) == suspectsMax:
			return
		case !time.Now().Before(suspect.Expires):
		case suspect.sends > 0:
			suspect.sends--
			state.Suspects = append(state.Suspects, suspect.message())
		default:
			other = suspect
		}
	}
	if other != nil && len(state.Suspects) < suspectsMax {
		state.Suspects = append(state.Suspects, other.message())
	}
}

func aged(heartbeat *peerpb.Heartbeat, writtenAt time.Time) *peerpb.Heartbeat {
	copied := proto.CloneOf(heartbeat)
	copied.AgeMs = ageOf(writtenAt)
	return copied
}

func agedLoad(load *peerpb.Load, writtenAt time.Time) *peerpb.Load {
	copied := proto.CloneOf(load)
	copied.AgeMs = ageOf(writtenAt)
	return copied
}

func ageOf(writtenAt time.Time) uint32 {
	return uint32(min(max(time.Since(writtenAt).Milliseconds()+1, 0), math.MaxUint32))
}

// elapsed returns the time since an instant by the monotonic or the wall
// clock, whichever moved further, since the monotonic one may stand still
// while a machine is suspended.
func elapsed(since time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
