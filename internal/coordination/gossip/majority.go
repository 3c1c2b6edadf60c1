package gossip

import (
	"slices"
	"time"
)

const (
	majorityWindow = 3500 * time.Millisecond
	maxSampleSize  = 11 // exchanging with this many instances fits into the window
)

// vote is the result of the latest exchange with an instance.
type vote struct {
	sentAt     time.Time // time of the request
	responded  bool
	admitted   bool // the instance counts towards a majority
	noteNumber uint64
}

// quorumState summarizes the recent votes. It is immutable.
type quorumState struct {
	majorityAlive bool      // more than half of the instances, this one included, have live heartbeats
	soleMember    bool      // no other instance is known, and the list was read
	majorityAt    time.Time // send time of the oldest request in the most recent majority, zero for none
	highestNumber uint64    // highest note number among the votes
}

// HasMajority reports whether more than half of the instances responded to this one
// within the majority window and none of them had a note number above number.
// With more than maxSampleSize instances, it suffices that more than half of a
// sample of that size and more than half of those contacted responded. In any case more
// than half of the instances must have live heartbeats.
//
// A restarted instance has lost the note numbers that it knew. It counts towards a
// majority only once it is admitted: when it has a proof of a note from after its
// start, or a majority that does not count itself. So a note that more than half
// of the instances knew is not lost in a rolling restart.
func (members *Members) HasMajority(number uint64) bool {
	quorum := members.quorum.Load()
	if quorum.highestNumber > number {
		return false
	}
	return quorum.soleMember || quorum.majorityAlive && timeSince(quorum.majorityAt) <= majorityWindow
}

func (members *Members) recordVote(id string, vote vote) {
	members.mu.Lock()
	defer members.mu.Unlock()
	if id == members.self.ID {
		return
	}
	members.votes[id] = vote
	members.updateQuorum(*members.peers.Load(), members.InstanceCount())
}

// updateQuorum recomputes the quorum from the votes and the live instances. The
// caller holds mu.
func (members *Members) updateQuorum(peers []Peer, live int) {
	alive := 1
	for _, peer := range peers {
		if peer.Alive && !peer.Leaving {
			alive++
		}
	}
	quorum := &quorumState{
		soleMember:    live == 1 && members.listed != nil,
		majorityAlive: alive*2 > live && members.listed != nil,
	}
	var voteTimes []time.Time
	failed := 0
	for id, vote := range members.votes {
		switch {
		case timeSince(vote.sentAt) > majorityWindow:
			delete(members.votes, id)
		case vote.responded:
			quorum.highestNumber = max(quorum.highestNumber, vote.noteNumber)
			if !vote.admitted {
				continue
			}
			voteTimes = append(voteTimes, vote.sentAt)
		default:
			failed++
		}
	}
	needed := min(live, maxSampleSize) / 2
	if !members.checkAdmitted() {
		needed++
	}
	if live > maxSampleSize {
		needed = max(needed, failed+1)
	}
	slices.SortFunc(voteTimes, func(a, b time.Time) int { return b.Compare(a) })
	if needed > 0 && needed <= len(voteTimes) {
		quorum.majorityAt = voteTimes[needed-1]
	}
	members.quorum.Store(quorum)
}

// checkAdmitted reports whether this instance counts towards a majority, and
// records that it does. The caller holds mu.
func (members *Members) checkAdmitted() bool {
	if members.admitted {
		return true
	}
	number := members.noteFeed.Number()
	members.admitted = members.noteFeed.ProvenAt().After(members.startedAt) || number > 0 && members.HasMajority(number)
	return members.admitted
}
