package health_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/health"
)

const (
	ejectionTime = 5 * time.Second
	rampTime     = 10 * time.Second
)

func newTracker(count int) *health.Tracker {
	tracker := health.New(health.WithEjection(ejectionTime, rampTime), health.WithSilenceTimeout(2*time.Second, time.Second))
	var members []health.Member
	for i := range count {
		members = append(members, health.Member{Target: fmt.Sprint("t", i), Group: "guide"})
	}
	tracker.SetMembers(members)
	return tracker
}

func observe(tracker *health.Tracker, target string, outcome health.Outcome, ttfb time.Duration, times int) {
	for range times {
		tracker.Observe(health.Observation{Target: target, Outcome: outcome, TTFB: ttfb})
	}
}

// TestNeverEjectsMoreThanHalf checks with random observations that at most half
// of a group is ejected at any time.
func TestNeverEjectsMoreThanHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 9).Draw(t, "count")
		tracker := newTracker(count)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			target := fmt.Sprint("t", rapid.IntRange(0, count-1).Draw(t, "target"))
			outcome := rapid.SampledFrom([]health.Outcome{health.Success, health.Failure, health.Failure}).Draw(t, "outcome")
			observe(tracker, target, outcome, time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond, 5)
			ejected := 0
			for _, weight := range tracker.Weights() {
				if weight == 0 {
					ejected++
				}
			}
			if 2*ejected > count {
				t.Fatalf("%d of %d targets are ejected, want at most half", ejected, count)
			}
		}
	})
}

func TestEjectsAfterConsecutiveFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(6)
		observe(tracker, "t0", health.Failure, 0, 2)
		observe(tracker, "t0", health.Success, time.Second, 1)
		observe(tracker, "t0", health.Failure, 0, 2)
		wantWeight(t, tracker, "t0", 1)
		observe(tracker, "t0", health.Failure, 0, 1)
		wantWeight(t, tracker, "t0", 0)
		time.Sleep(ejectionTime + rampTime/2)
		wantWeight(t, tracker, "t0", 0.55)
		observe(tracker, "t0", health.Failure, 0, 3)
		time.Sleep(2*ejectionTime - time.Millisecond)
		wantWeight(t, tracker, "t0", 0)
		time.Sleep(rampTime + time.Millisecond)
		wantWeight(t, tracker, "t0", 1)
		observe(tracker, "t0", health.Failure, 0, 3)
		time.Sleep(ejectionTime + rampTime)
		wantWeight(t, tracker, "t0", 1)
	})
}

// TestObserveReportsWeightChanges ejects one target and observes another: Observe
// has to return true while the weight of the first rises, until it is back at 1.
func TestObserveReportsWeightChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(4)
		observe(tracker, "t0", health.Failure, 0, 3)
		weight, changes := tracker.Weights()["t0"], 0
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			if tracker.Observe(health.Observation{Target: "t1"}) {
				changes++
				weight = 1
				if got, ok := tracker.Weights()["t0"]; ok {
					weight = got
				}
			}
		}
		if weight != 1 || changes < 20 || changes > 40 {
			t.Fatalf("weight of t0 is %v after %d changes, want 1 after 20 to 40", weight, changes)
		}
	})
}

func TestEjectsForErrorRateAndSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(8)
		for range 30 {
			for i := range 8 {
				observe(tracker, fmt.Sprint("t", i), health.Success, 100*time.Millisecond, 1)
			}
		}
		for range 20 {
			observe(tracker, "t1", health.Failure, 0, 2)
			observe(tracker, "t1", health.Success, 100*time.Millisecond, 1)
			observe(tracker, "t2", health.Success, time.Second, 1)
			observe(tracker, "t3", health.Success, 300*time.Millisecond, 1)
			tracker.Observe(health.Observation{Target: "t4", TTFB: 4 * time.Second, ExpectedTTFB: 2 * time.Second})
			tracker.Observe(health.Observation{Target: "t5", TTFB: 4 * time.Second, PrefillTokens: 16000})
		}
		wantWeight(t, tracker, "t1", 0)
		wantWeight(t, tracker, "t2", 0)
		if weights := tracker.Weights(); len(weights) != 2 {
			t.Fatalf("tracker.Weights() = %v, want entries for t1 and t2 only", weights)
		}
	})
}

// TestClosesOnlySilentConnections checks that only silent connections are closed,
// after an answered probe and after one that timed out.
func TestClosesOnlySilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(4)
		tracker.RecordSent("t0", 1, 0)             // becomes silent
		tracker.RecordSent("t0", 2, 0)             // receives bytes in time
		tracker.RecordSent("t0", 3, 2*time.Second) // a long prompt
		time.Sleep(1500 * time.Millisecond)
		tracker.RecordReceived("t0", 2)
		wantActions(t, tracker)
		time.Sleep(500 * time.Millisecond)
		wantActions(t, tracker, health.Action{Target: "t0", Probe: true})
		wantActions(t, tracker)
		if action := tracker.RecordProbe("t0", true); !slices.Equal(action.Close, []uint64{1}) {
			t.Fatalf("after an answered probe: %+v, want connection 1 closed", action)
		}
		wantWeight(t, tracker, "t0", 1)
		tracker.RecordSent("t1", 9, 0)
		time.Sleep(2 * time.Second)
		if action := tracker.RecordProbe("t1", false); action.Close != nil {
			t.Fatalf("without a running probe: %+v, want no connection closed", action)
		}
		tracker.RecordEnded("t1", 9)
		tracker.RecordEnded("t0", 2)
		time.Sleep(time.Second)
		wantActions(t, tracker)
		time.Sleep(time.Second)
		wantActions(t, tracker, health.Action{Target: "t0", Probe: true})
		time.Sleep(time.Second)
		wantActions(t, tracker, health.Action{Target: "t0", Close: []uint64{3}})
		wantWeight(t, tracker, "t0", 0)
	})
}

// TestKeepsConnectionThatReceivesDuringProbe checks that a connection is not
// closed if bytes arrive on it while the probe is running.
func TestKeepsConnectionThatReceivesDuringProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(4)
		tracker.RecordSent("t0", 1, 0)
		time.Sleep(2 * time.Second)
		wantActions(t, tracker, health.Action{Target: "t0", Probe: true})
		tracker.RecordReceived("t0", 1)
		time.Sleep(time.Second)
		wantActions(t, tracker)
		wantWeight(t, tracker, "t0", 1)
	})
}

func wantWeight(t *testing.T, tracker *health.Tracker, target string, want float64) {
	t.Helper()
	got, ok := tracker.Weights()[target]
	if !ok {
		got = 1
	}
	if got < want-1e-9 || got > want+1e-9 {
		t.Fatalf("tracker.Weights()[%q] = %v, want %v", target, got, want)
	}
}

func wantActions(t *testing.T, tracker *health.Tracker, want ...health.Action) {
	t.Helper()
	got := tracker.PendingActions()
	if len(got) != len(want) || (len(want) > 0 && fmt.Sprint(got) != fmt.Sprint(want)) {
		t.Fatalf("tracker.PendingActions() = %+v, want %+v", got, want)
	}
}
