package admit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/coordination/admit"
)

// TestUnusedCapacityIsSplitEvenly has one team of this instance ask for its
// even part and a little more, beside two peers with less work. What nobody
// asks for is split among the three.
func TestUnusedCapacityIsSplitEvenly(t *testing.T) {
	const (
		capacity = 90
		own      = 40 // more than the even part of 30
		unused   = capacity - own - 2*10
	)
	scheduler := admit.NewScheduler(admit.WithCapacity(capacity), admit.WithMembers(3), admit.WithQueue(1000, 1e9))
	now := time.UnixMilli(1e12)
	offerMany(t, scheduler, now, own)
	peers := make([]admit.Peer, 2)
	for i := range peers {
		peers[i] = admit.Peer{Name: fmt.Sprint(i), At: now, Demands: []admit.Demand{{Team: "b", Weight: 1, Units: 10}}}
	}
	scheduler.Exchange(now, 3, peers)
	offerMany(t, scheduler, now, capacity)
	for scheduler.Next(now) != nil {
	}
	if got, want := scheduler.Running(), float64(own+unused/3); got != want {
		t.Fatalf("%v units in flight, want %v", got, want)
	}
}

func offerMany(t *testing.T, scheduler *admit.Scheduler, now time.Time, count int) {
	t.Helper()
	for range count {
		if _, err := scheduler.Offer(now, admit.Request{Team: "a", Cost: 1}); err != nil {
			t.Fatal(err)
		}
	}
}

// TestIdleTeamsAreSwept runs one request each of many teams, one after the
// other. The scheduler must not grow with the number of teams that were ever
// there.
func TestIdleTeamsAreSwept(t *testing.T) {
	const (
		teams         = 200_000
		heapMostBytes = 8 << 20
	)
	scheduler := admit.NewScheduler(admit.WithCapacity(10))
	now := time.UnixMilli(1e12)
	before := heapBytes()
	for i := range teams {
		ticket, err := scheduler.Offer(now, admit.Request{Team: fmt.Sprint("team", i), Cost: 1})
		if err != nil {
			t.Fatal(err)
		}
		scheduler.Finish(now, ticket, 1)
	}
	after := heapBytes()
	if after > before+heapMostBytes {
		t.Fatalf("the heap grew by %d bytes over %d idle teams", after-before, teams)
	}
	runtime.KeepAlive(scheduler)
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
