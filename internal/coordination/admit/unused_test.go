package admit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/coordination/admit"
)

// TestUnusedCapacityIsSplitEvenly checks that capacity that no team demands is
// divided evenly among three instances, when a team at this instance demands
// more than the even share and both peers demand less.
func TestUnusedCapacityIsSplitEvenly(t *testing.T) {
	const (
		capacity       = 90
		localDemand    = 40 // more than the even share of 30
		unusedCapacity = capacity - localDemand - 2*10
	)
	scheduler := admit.NewScheduler(admit.WithCapacity(capacity), admit.WithInstanceCount(3), admit.WithQueueLimits(1000, 1e9))
	now := time.UnixMilli(1e12)
	submitMany(t, scheduler, now, localDemand)
	peers := make([]admit.PeerDemand, 2)
	for i := range peers {
		peers[i] = admit.PeerDemand{Instance: fmt.Sprint(i), ReportedAt: now, Demands: []admit.TeamDemand{{Team: "b", Weight: 1, Cost: 10}}}
	}
	scheduler.Rebalance(now, 3, peers)
	submitMany(t, scheduler, now, capacity)
	for scheduler.Dequeue(now) != nil {
	}
	if got, want := scheduler.InFlightCost(), float64(localDemand+unusedCapacity/3); got != want {
		t.Fatalf("scheduler.InFlightCost() = %v, want %v", got, want)
	}
}

func submitMany(t *testing.T, scheduler *admit.Scheduler, now time.Time, count int) {
	t.Helper()
	for range count {
		if _, err := scheduler.Submit(now, admit.Request{Team: "a", Cost: 1}); err != nil {
			t.Fatal(err)
		}
	}
}

// TestEvictsIdleTeams runs one request each of many teams, one after the other.
// The scheduler's memory must not grow with the number of teams ever seen.
func TestEvictsIdleTeams(t *testing.T) {
	const (
		teams              = 200_000
		maxHeapGrowthBytes = 8 << 20
	)
	scheduler := admit.NewScheduler(admit.WithCapacity(10))
	now := time.UnixMilli(1e12)
	before := heapBytes()
	for i := range teams {
		ticket, err := scheduler.Submit(now, admit.Request{Team: fmt.Sprint("team", i), Cost: 1})
		if err != nil {
			t.Fatal(err)
		}
		scheduler.Finish(now, ticket, 1)
	}
	after := heapBytes()
	if after > before+maxHeapGrowthBytes {
		t.Fatalf("heap grew by %d bytes over %d idle teams, want at most %d", after-before, teams, maxHeapGrowthBytes)
	}
	runtime.KeepAlive(scheduler)
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
