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
	ejection = 5 * time.Second
	ramp     = 10 * time.Second
)

func newTracker(count int) *health.Tracker {
	tracker := health.New(health.WithEjection(ejection, ramp), health.WithSilence(2*time.Second, time.Second))
	var members []health.Member
	for i := range count {
		members = append(members, health.Member{Target: fmt.Sprint("t", i), Group: "guide"})
	}
	tracker.SetMembers(members)
	return tracker
}

func observe(tracker *health.Tracker, target string, outcome health.Outcome, firstByte time.Duration, times int) {
	for range times {
		tracker.Observe(health.Event{Target: target, Outcome: outcome, FirstByte: firstByte})
	}
}

// TestNeverEjectsMoreThanHalf draws observations of a group: at no time is
// more than half of it out.
func TestNeverEjectsMoreThanHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 9).Draw(t, "count")
		tracker := newTracker(count)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			target := fmt.Sprint("t", rapid.IntRange(0, count-1).Draw(t, "target"))
			outcome := rapid.SampledFrom([]health.Outcome{health.Success, health.Failure, health.Failure}).Draw(t, "outcome")
			observe(tracker, target, outcome, time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond, 5)
			out := 0
			for _, weight := range tracker.Weights() {
				if weight == 0 {
					out++
				}
			}
			if 2*out > count {
				t.Fatalf("%d of %d are out", out, count)
			}
		}
	})
}

func TestEjectsForFailuresInARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(6)
		observe(tracker, "t0", health.Failure, 0, 2)
		observe(tracker, "t0", health.Success, time.Second, 1)
		observe(tracker, "t0", health.Failure, 0, 2)
		wantWeight(t, tracker, "t0", 1)
		observe(tracker, "t0", health.Failure, 0, 1)
		wantWeight(t, tracker, "t0", 0)
		time.Sleep(ejection + ramp/2)
		wantWeight(t, tracker, "t0", 0.55)
		observe(tracker, "t0", health.Failure, 0, 3)
		time.Sleep(2*ejection - time.Millisecond)
		wantWeight(t, tracker, "t0", 0)
		time.Sleep(ramp + time.Millisecond)
		wantWeight(t, tracker, "t0", 1)
		observe(tracker, "t0", health.Failure, 0, 3)
		time.Sleep(ejection + ramp)
		wantWeight(t, tracker, "t0", 1)
	})
}

// TestObserveTellsOfReturns has one target ejected and others observed: their
// events say when the weights are to be taken anew, until all are full.
func TestObserveTellsOfReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(4)
		observe(tracker, "t0", health.Failure, 0, 3)
		weight, taken := tracker.Weights()["t0"], 0
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			if tracker.Observe(health.Event{Target: "t1"}) {
				taken++
				weight = 1
				if got, ok := tracker.Weights()["t0"]; ok {
					weight = got
				}
			}
		}
		if weight != 1 || taken < 20 || taken > 40 {
			t.Fatalf("weight %v after %d changes", weight, taken)
		}
	})
}

func TestEjectsForRateAndSlowness(t *testing.T) {
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
			tracker.Observe(health.Event{Target: "t4", FirstByte: 4 * time.Second, Expected: 2 * time.Second})
			tracker.Observe(health.Event{Target: "t5", FirstByte: 4 * time.Second, WorkTokens: 16000})
		}
		wantWeight(t, tracker, "t1", 0)
		wantWeight(t, tracker, "t2", 0)
		if weights := tracker.Weights(); len(weights) != 2 {
			t.Fatalf("weights %v", weights)
		}
	})
}

// TestSilentConnections checks that only the connections that are silent are
// dropped, when a probe has answered, and when one has not.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(4)
		tracker.Sent("t0", 1, 0)             // goes silent
		tracker.Sent("t0", 2, 0)             // answers in time
		tracker.Sent("t0", 3, 2*time.Second) // a long prompt
		time.Sleep(1500 * time.Millisecond)
		tracker.Heard("t0", 2)
		wantVerdicts(t, tracker)
		time.Sleep(500 * time.Millisecond)
		wantVerdicts(t, tracker, health.Verdict{Target: "t0", Probe: true})
		wantVerdicts(t, tracker)
		if verdict := tracker.Probed("t0", true); !slices.Equal(verdict.Drop, []uint64{1}) {
			t.Fatalf("after an answer: %+v", verdict)
		}
		wantWeight(t, tracker, "t0", 1)
		tracker.Sent("t1", 9, 0)
		time.Sleep(2 * time.Second)
		if verdict := tracker.Probed("t1", false); verdict.Drop != nil {
			t.Fatalf("without a probe: %+v", verdict)
		}
		tracker.Ended("t1", 9)
		tracker.Ended("t0", 2)
		time.Sleep(time.Second)
		wantVerdicts(t, tracker)
		time.Sleep(time.Second)
		wantVerdicts(t, tracker, health.Verdict{Target: "t0", Probe: true})
		time.Sleep(time.Second)
		wantVerdicts(t, tracker, health.Verdict{Target: "t0", Drop: []uint64{3}})
		wantWeight(t, tracker, "t0", 0)
	})
}

// TestBytesDuringProbe checks that a connection heard of during a probe stays.
func TestBytesDuringProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(4)
		tracker.Sent("t0", 1, 0)
		time.Sleep(2 * time.Second)
		wantVerdicts(t, tracker, health.Verdict{Target: "t0", Probe: true})
		tracker.Heard("t0", 1)
		time.Sleep(time.Second)
		wantVerdicts(t, tracker)
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
		t.Fatalf("weight of %s is %v, want %v", target, got, want)
	}
}

func wantVerdicts(t *testing.T, tracker *health.Tracker, want ...health.Verdict) {
	t.Helper()
	got := tracker.Verdicts()
	if len(got) != len(want) || (len(want) > 0 && fmt.Sprint(got) != fmt.Sprint(want)) {
		t.Fatalf("verdicts %+v, want %+v", got, want)
	}
}
