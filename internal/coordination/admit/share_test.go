package admit_test

import (
	"math"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/coordination/admit"
)

// TestWeightIsSplitAmongInstances checks that a team backlogged at two instances
// uses only half its weight at each. Beside team a, which is backlogged at the
// first instance only, team b gets half of its share there: a quarter of the
// fleet.
func TestWeightIsSplitAmongInstances(t *testing.T) {
	scheduler, now := admit.NewScheduler(admit.WithCapacity(100), admit.WithInstanceCount(2), admit.WithQueueLimits(1000, 1e9)), time.UnixMilli(1e12)
	for range 200 {
		for _, team := range []string{"a", "b"} {
			if _, err := scheduler.Submit(now, admit.Request{Team: team, Cost: 1}); err != nil {
				t.Fatal(err)
			}
		}
	}
	peer := admit.PeerDemand{Instance: "p", ReportedAt: now, Demands: []admit.TeamDemand{{Team: "b", Weight: 1, Cost: 200}}}
	scheduler.Rebalance(now, 2, []admit.PeerDemand{peer})
	granted := map[string]int{}
	for ticket := scheduler.Dequeue(now); ticket != nil; ticket = scheduler.Dequeue(now) {
		granted[ticket.Request.Team]++
	}
	if granted["a"]+granted["b"] != 25 || granted["a"] < 16 || granted["a"] > 17 {
		t.Fatalf("granted %v, want 25 requests in all, 16 or 17 of them of team a", granted)
	}
}

// TestIdleInstanceKeepsEvenShare checks that an instance that was idle at the
// last exchange, while a peer reported a flood, can use its even share as soon as
// requests arrive. Invalid figures in the peer's demand must not change that.
func TestIdleInstanceKeepsEvenShare(t *testing.T) {
	scheduler, now := admit.NewScheduler(admit.WithCapacity(70)), time.UnixMilli(1e12)
	flood := admit.PeerDemand{Instance: "p", ReportedAt: now, Demands: []admit.TeamDemand{
		{Team: "flood", Weight: 1, Cost: 500}, {Team: "odd", Weight: math.NaN(), Cost: math.Inf(1)},
	}}
	scheduler.Rebalance(now, 2, []admit.PeerDemand{flood})
	for i := range 36 {
		ticket, err := scheduler.Submit(now, admit.Request{Team: "a", Cost: 1})
		if err != nil || ticket.Granted() != (i < 35) {
			t.Fatalf("scheduler.Submit() of request %d = %v, %v, want granted = %v", i, ticket, err, i < 35)
		}
	}
}
