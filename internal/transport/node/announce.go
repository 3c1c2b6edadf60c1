package node

import (
	"maps"
	"time"
)

// announceRounds is in how many rounds of heartbeats a change goes to all instances, also
// those whose turn it is not. One of them may get lost.
const announceRounds = 2

// announcements keeps how often the pending changes of stages were told to all
// instances. To tell them in each round as long as an engine takes to change would fill
// the link of a weak instance with heartbeats.
type announcements struct {
	rounds map[string]int // by ID of the engine
}

// next returns whether the next round has to go to all instances, given the changes that
// are pending.
func (announcements *announcements) next(pending map[string]time.Duration) bool {
	if announcements.rounds == nil {
		announcements.rounds = map[string]int{}
	}
	maps.DeleteFunc(announcements.rounds, func(id string, _ int) bool { _, ok := pending[id]; return !ok })
	due := false
	for id := range pending {
		if announcements.rounds[id] < announceRounds {
			announcements.rounds[id]++
			due = true
		}
	}
	return due
}
