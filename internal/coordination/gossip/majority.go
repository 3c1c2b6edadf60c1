package gossip

import (
	"slices"
	"time"
)

const (
	majorityWindow = 3500 * time.Millisecond
	sampleMax      = 11 // a rotation over so many fits into the window
)

// answer tells how the latest exchange with an instance ended.
type answer struct {
	at       time.Time // when the request was sent
	ok       bool
	admitted bool // the instance counts towards a majority
	number   uint64
}

// evidence is what the answers of late show. It is never changed.
type evidence struct {
	heard   bool      // more than half of the instances have live heartbeats
	alone   bool      // the list names no other instance
	at      time.Time // when the oldest of the answers that make a majority was asked for
	highest uint64    // highest number among the answers
}

// Majority reports whether more than half of the instances answered this one
// within the last seconds and none of them had a number above number. In a
// fleet of more than sampleMax, more than half of those asked must have
// answered, and more than half of the fleet must have live heartbeats.
//
// An instance that has started anew has forgotten what it knew. It counts only
// from when it is admitted: when it has proof of a note from after its start,
// or a majority without it. So a note that more than half of the instances
// knew is not forgotten while they are started anew one after another.
func (members *Members) Majority(number uint64) bool {
	evidence := members.evidence.Load()
	if evidence.highest > number {
		return false
	}
	return evidence.alone || evidence.heard && elapsed(evidence.at) <= majorityWindow
}

func (members *Members) weighAnswer(id string, answer answer) {
	members.mu.Lock()
	defer members.mu.Unlock()
	if id == members.self.ID {
		return
	}
	members.answers[id] = answer
	members.weigh(*members.peers.Load(), members.Count())
}

// weigh renews the evidence from the answers and the live instances. It needs
// mu.
func (members *Members) weigh(peers []Peer, live int) {
	heard := 1
	for _, peer := range peers {
		if peer.Heard && !peer.Leaving {
			heard++
		}
	}
	next := &evidence{
		alone: live == 1 && members.listed != nil,
		heard: heard*2 > live && members.listed != nil,
	}
	var times []time.Time
	failed := 0
	for id, answer := range members.answers {
		switch {
		case elapsed(answer.at) > majorityWindow:
			delete(members.answers, id)
		case answer.ok:
			next.highest = max(next.highest, answer.number)
			if !answer.admitted {
				continue
			}
			times = append(times, answer.at)
		default:
			failed++
		}
	}
	needed := min(live, sampleMax) / 2
	if !members.admit() {
		needed++
	}
	if live > sampleMax {
		needed = max(needed, failed+1)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	if needed > 0 && needed <= len(times) {
		next.at = times[needed-1]
	}
	members.evidence.Store(next)
}

// admit reports whether this instance counts towards a majority. It needs mu.
func (members *Members) admit() bool {
	if members.admitted {
		return true
	}
	number := members.notes.Number()
	members.admitted = members.notes.Fresh().After(members.startedAt) || number > 0 && members.Majority(number)
	return members.admitted
}
