package admit_test

import (
	"math"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/coordination/admit"
)

// TestPartsOfWeight has team a at one instance and team b at two, all
// backlogged: at the first, b gets half of its part, a quarter of the fleet.
func TestPartsOfWeight(t *testing.T) {
	scheduler, now := admit.NewScheduler(admit.WithCapacity(100), admit.WithMembers(2), admit.WithQueue(1000, 1e9)), time.UnixMilli(1e12)
	for range 200 {
		for _, team := range []string{"a", "b"} {
			if _, err := scheduler.Offer(now, admit.Request{Team: team, Cost: 1}); err != nil {
				t.Fatal(err)
			}
		}
	}
	peer := admit.Peer{Name: "p", At: now, Demands: []admit.Demand{{Team: "b", Weight: 1, Units: 200}}}
	scheduler.Exchange(now, 2, []admit.Peer{peer})
	granted := map[string]int{}
	for ticket := scheduler.Next(now); ticket != nil; ticket = scheduler.Next(now) {
		granted[ticket.Request.Team]++
	}
	if granted["a"]+granted["b"] != 25 || granted["a"] < 16 || granted["a"] > 17 {
		t.Fatalf("granted %v of 25 more", granted)
	}
}

// TestIdleInstanceKeepsItsPart has an instance without work hear of a flood
// elsewhere, and then get work of its own.
func TestIdleInstanceKeepsItsPart(t *testing.T) {
	scheduler, now := admit.NewScheduler(admit.WithCapacity(70)), time.UnixMilli(1e12)
	flood := admit.Peer{Name: "p", At: now, Demands: []admit.Demand{
		{Team: "flood", Weight: 1, Units: 500}, {Team: "odd", Weight: math.NaN(), Units: math.Inf(1)},
	}}
	scheduler.Exchange(now, 2, []admit.Peer{flood})
	for i := range 36 {
		ticket, err := scheduler.Offer(now, admit.Request{Team: "a", Cost: 1})
		if err != nil || ticket.Granted() != (i < 35) {
			t.Fatalf("request %d: %v, %v", i, ticket, err)
		}
	}
}
