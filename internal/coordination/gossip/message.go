package gossip

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// newState returns the next message to receiver: this instance's own state and
// part of the state of others.
func (members *Members) newState(receiver string) *peerpb.State {
	members.mu.Lock()
	defer members.mu.Unlock()
	state := &peerpb.State{
		Sender:    members.self.ID,
		Number:    members.noteFeed.Number(),
		StoreDown: members.noteFeed.StoreDown(),
		Admitted:  members.checkAdmitted(),
	}
	members.addProof(state)
	members.addOwnState(state)
	members.addHeartbeats(state, receiver)
	members.addLoads(state, receiver)
	members.addSuspects(state)
	return state
}

// addProof adds the age of the proof, rounded up. The number is read before the
// proof and checked after it, since the proof of a newer note does not hold for an
// older number.
func (members *Members) addProof(state *peerpb.State) {
	provenAt := members.noteFeed.ProvenAt()
	if provenAt.IsZero() || members.noteFeed.Number() != state.Number {
		return
	}
	state.Proven = true
	state.ProofAgeMs = uint64(timeSince(provenAt).Milliseconds()) + 1
}

func (members *Members) addOwnState(state *peerpb.State) {
	if members.publishedNumber != state.Number {
		members.publishedNumber = state.Number
		members.ownVersion.Sequence++
	}
	version := &peerpb.Version{Incarnation: members.ownVersion.Incarnation, Sequence: members.ownVersion.Sequence}
	state.Heartbeats = append(state.Heartbeats, &peerpb.Heartbeat{
		Origin:     members.self.ID,
		Version:    version,
		Address:    members.self.PeerAddress,
		DataCenter: members.self.DataCenter,
		Number:     state.Number,
		StoreDown:  state.StoreDown,
		Leaving:    members.leaving.Load(),
	})
	if members.ownLoad == nil {
		return
	}
	load := proto.CloneOf(members.ownLoad)
	load.Version = version
	state.Loads = append(state.Loads, load)
}

func (members *Members) addHeartbeats(state *peerpb.State, receiver string) {
	for remaining := members.heartbeatQueue.size(); remaining > 0 && len(state.Heartbeats) < maxHeartbeats; remaining-- {
		id := members.heartbeatQueue.pop()
		origin := members.origins[id]
		if origin == nil || origin.heartbeatSendsLeft == 0 {
			continue
		}
		if id != receiver {
			state.Heartbeats = append(state.Heartbeats, heartbeatWithAge(origin.heartbeat, origin.heartbeatWrittenAt))
			origin.heartbeatSendsLeft--
		}
		if origin.heartbeatSendsLeft > 0 {
			members.heartbeatQueue.push(id)
		}
	}
}

func (members *Members) addLoads(state *peerpb.State, receiver string) {
	for remaining := members.loadQueue.size(); remaining > 0 && len(state.Loads) < maxLoads; remaining-- {
		id := members.loadQueue.pop()
		origin := members.origins[id]
		if origin == nil || origin.load == nil || origin.loadSendsLeft == 0 {
			continue
		}
		if id != receiver {
			state.Loads = append(state.Loads, loadWithAge(origin.load, origin.loadWrittenAt))
			origin.loadSendsLeft--
		}
		if origin.loadSendsLeft > 0 {
			members.loadQueue.push(id)
		}
	}
}

// addSuspects adds the suspects that are still to be forwarded and one of the
// others, so that it reaches instances that missed it.
func (members *Members) addSuspects(state *peerpb.State) {
	var other *suspect
	for _, suspect := range members.suspects {
		switch {
		case len(state.Suspects) == maxSuspects:
			return
		case !time.Now().Before(suspect.ExpiresAt):
		case suspect.sendsLeft > 0:
			suspect.sendsLeft--
			state.Suspects = append(state.Suspects, suspect.message())
		default:
			other = suspect
		}
	}
	if other != nil && len(state.Suspects) < maxSuspects {
		state.Suspects = append(state.Suspects, other.message())
	}
}

func heartbeatWithAge(heartbeat *peerpb.Heartbeat, writtenAt time.Time) *peerpb.Heartbeat {
	copied := proto.CloneOf(heartbeat)
	copied.AgeMs = ageMS(writtenAt)
	return copied
}

func loadWithAge(load *peerpb.Load, writtenAt time.Time) *peerpb.Load {
	copied := proto.CloneOf(load)
	copied.AgeMs = ageMS(writtenAt)
	return copied
}

func ageMS(writtenAt time.Time) uint32 {
	return uint32(min(max(time.Since(writtenAt).Milliseconds()+1, 0), math.MaxUint32))
}

// timeSince returns the time since an instant by the monotonic or the wall clock,
// whichever is longer, since the monotonic clock may stop while a machine is
// suspended.
func timeSince(since time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
