package node_test

import (
	"fmt"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/transport/node"
)

// An instance that orders changes of stages tells all others at once, since they send no
// requests to engines that change. Guards against heartbeats to all in each round for as
// long as a change takes, which filled the link of a weak instance: calls waited there
// and reached targets after their callers had left.
func TestStageChangeIsAnnouncedTwice(t *testing.T) {
	var announcements node.Announcements
	pending := map[string]time.Duration{}
	broadcasts := 0
	for round := range 60 {
		if round%20 == 0 { // an engine changes for 40 rounds
			pending[fmt.Sprint("s", round)] = time.Second
		}
		delete(pending, fmt.Sprint("s", round-40))
		if announcements.Next(pending) {
			broadcasts++
		}
	}
	if broadcasts != 6 {
		t.Errorf("rounds that went to all instances for three changes = %d, want 6", broadcasts)
	}
	delete(pending, "s40")
	announcements.Next(pending)
	pending["s40"] = time.Second
	if !announcements.Next(pending) {
		t.Error("a further change of the same engine is not told to all instances")
	}
}
