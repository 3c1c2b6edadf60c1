package poison_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/poison"
)

const (
	targets  = 6
	requests = 10
	crashing = poison.Fingerprint(0)
)

// model runs requests of which one crashes its targets, and knows which one.
type model struct {
	tracker *poison.Tracker
	running map[poison.Fingerprint]string
	crashed map[string]bool // targets that the crashing request has crashed
}

// TestQuarantinesOnlyCrashingRequest runs random requests of which one crashes
// each of its targets: it crashes at most two of them, and no other request is
// ever quarantined.
func TestQuarantinesOnlyCrashingRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &model{poison.New(), map[poison.Fingerprint]string{}, map[string]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"begin": model.begin,
			"end":   model.end,
			"crash": model.crash,
			"":      model.check,
		})
	})
}

func (model *model) begin(t *rapid.T) {
	fingerprint := poison.Fingerprint(rapid.IntRange(0, requests-1).Draw(t, "request"))
	target := fmt.Sprint("t", rapid.IntRange(0, targets-1).Draw(t, "target"))
	if model.running[fingerprint] == "" && model.tracker.TryBegin(fingerprint, target) {
		model.running[fingerprint] = target
	}
}

func (model *model) end(t *rapid.T) {
	fingerprint := poison.Fingerprint(rapid.IntRange(1, requests-1).Draw(t, "request"))
	if target := model.running[fingerprint]; target != "" {
		model.tracker.End(fingerprint, target, rapid.Bool().Draw(t, "completed"))
		delete(model.running, fingerprint)
	}
}

// crash crashes the target of the crashing request. Each request on the target
// reports the crash.
func (model *model) crash(*rapid.T) {
	target := model.running[crashing]
	if target == "" {
		return
	}
	model.crashed[target] = true
	for fingerprint := range poison.Fingerprint(requests) {
		if model.running[fingerprint] == target {
			model.tracker.RecordCrash(target)
			model.tracker.End(fingerprint, target, false)
			delete(model.running, fingerprint)
		}
	}
}

func (model *model) check(t *rapid.T) {
	if len(model.crashed) > 2 {
		t.Fatalf("crashed targets are %v, want at most 2", model.crashed)
	}
	for fingerprint := range poison.Fingerprint(requests) {
		quarantined := model.tracker.Status(fingerprint) == poison.Quarantined
		if quarantined != (fingerprint == crashing && len(model.crashed) == 2) {
			t.Fatalf("request %d: quarantined is %v after the crashes of %v, want %v", fingerprint, quarantined, model.crashed, !quarantined)
		}
	}
}

// crashWhileRunning starts requests at a target and crashes it.
func crashWhileRunning(t *testing.T, tracker *poison.Tracker, target string, fingerprints ...poison.Fingerprint) {
	t.Helper()
	for _, fingerprint := range fingerprints {
		if !tracker.TryBegin(fingerprint, target) {
			t.Fatalf("request %d was not admitted to %s", fingerprint, target)
		}
	}
	tracker.RecordCrash(target)
	for _, fingerprint := range fingerprints {
		tracker.End(fingerprint, target, false)
	}
}

func wantStatus(t *testing.T, tracker *poison.Tracker, fingerprint poison.Fingerprint, want poison.Status) {
	t.Helper()
	if got := tracker.Status(fingerprint); got != want {
		t.Fatalf("tracker.Status(%d) = %v, want %v", fingerprint, got, want)
	}
}

// TestClearsRequestThatRanBesideTwoCrashing runs request 3 beside request 1, then
// beside request 2. Both crash their targets also without it.
func TestClearsRequestThatRanBesideTwoCrashing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.New()
		for i, batch := range [][]poison.Fingerprint{{1, 3}, {2, 3}, {1}, {2}} {
			crashWhileRunning(t, tracker, fmt.Sprint("t", i), batch...)
			time.Sleep(time.Minute)
		}
		wantStatus(t, tracker, 1, poison.Quarantined)
		wantStatus(t, tracker, 2, poison.Quarantined)
		wantStatus(t, tracker, 3, poison.Clear)
		time.Sleep(time.Hour)
		wantStatus(t, tracker, 1, poison.Clear)
	})
}

func TestMassCrashClearsSuspectsOfOneCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.New()
		crashWhileRunning(t, tracker, "t0", 1, 2)
		wantStatus(t, tracker, 1, poison.Suspected)
		crashWhileRunning(t, tracker, "t1", 3, 4)
		crashWhileRunning(t, tracker, "t2", 5, 6)
		for fingerprint := range poison.Fingerprint(6) {
			wantStatus(t, tracker, fingerprint+1, poison.Clear)
		}
		crashWhileRunning(t, tracker, "t3", 7)
		crashWhileRunning(t, tracker, "t4", 7)
		wantStatus(t, tracker, 7, poison.Quarantined)
	})
}

func TestSuspectRunsBesideNoOtherSuspect(t *testing.T) {
	tracker := poison.New()
	crashWhileRunning(t, tracker, "t0", 1, 2)
	if !tracker.TryBegin(1, "t1") || !tracker.TryBegin(3, "t1") || tracker.TryBegin(2, "t1") {
		t.Fatal("tracker.TryBegin() of suspect 1, request 3 and suspect 2 at t1 is not true, true, false")
	}
	ended := tracker.NextEnd()
	tracker.End(1, "t1", true)
	<-ended
	wantStatus(t, tracker, 1, poison.Clear)
	if !tracker.TryBegin(2, "t1") {
		t.Fatal("suspect was not admitted beside a cleared request")
	}
}

// TestSuspectsAreBounded fills the tracker: the suspect with the most crashed
// targets has to be kept.
func TestSuspectsAreBounded(t *testing.T) {
	tracker := poison.New(poison.WithMaxSuspects(8))
	crashWhileRunning(t, tracker, "t0", 1)
	crashWhileRunning(t, tracker, "t1", 1)
	for i := range poison.Fingerprint(100) {
		tracker.Merge([]poison.Suspect{{Fingerprint: i + 2, CrashedTargets: []string{"x"}, UpdatedAt: time.Now()}})
	}
	if tracker.SuspectCount() != 8 || tracker.Status(1) != poison.Quarantined {
		t.Fatalf("%d suspects with status %v of request 1, want 8 with %v", tracker.SuspectCount(), tracker.Status(1), poison.Quarantined)
	}
}

// TestMergeIsOrderIndependent merges random suspects in two orders, in one of the
// trackers twice.
func TestMergeIsOrderIndependent(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		suspects := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) poison.Suspect {
			return poison.Suspect{
				Fingerprint:    poison.Fingerprint(rapid.IntRange(1, 3).Draw(t, "fingerprint")),
				CrashedTargets: rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2, rapid.ID[string]).Draw(t, "crashed targets"),
				UpdatedAt:      now.Add(-time.Duration(rapid.IntRange(1, 3).Draw(t, "age")) * time.Minute),
			}
		}), 0, 8).Draw(t, "suspects")
		first, second := poison.New(), poison.New()
		first.Merge(suspects)
		second.Merge(rapid.Permutation(suspects).Draw(t, "order"))
		second.Merge(suspects)
		for i := range poison.Fingerprint(4) {
			if first.Status(i) != second.Status(i) {
				t.Fatalf("request %d: status %v and %v, want the same", i, first.Status(i), second.Status(i))
			}
		}
		if !slices.EqualFunc(first.Snapshot(), second.Snapshot(), func(a, b poison.Suspect) bool {
			return a.Fingerprint == b.Fingerprint && a.UpdatedAt.Equal(b.UpdatedAt)
		}) {
			t.Fatalf("snapshots are %+v and %+v, want equal fingerprints and times", first.Snapshot(), second.Snapshot())
		}
	})
}

func TestMergeLimitsFutureTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.New()
		tracker.Merge([]poison.Suspect{{Fingerprint: 1, CrashedTargets: []string{"a", "b"}, UpdatedAt: time.Now().Add(time.Hour)}})
		wantStatus(t, tracker, 1, poison.Quarantined)
		time.Sleep(10 * time.Minute)
		wantStatus(t, tracker, 1, poison.Clear)
	})
}

// TestCrashReportedByEachRequest reports one crash once for each request of the
// batch, and once more for a request that started at the target just after the
// first report. It has to count as one crash.
func TestCrashReportedByEachRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.New()
		for i := range poison.Fingerprint(4) {
			tracker.TryBegin(i, "t0")
		}
		for i := range poison.Fingerprint(4) {
			tracker.RecordCrash("t0")
			tracker.End(i, "t0", false)
		}
		crashWhileRunning(t, tracker, "t0", 4)
		time.Sleep(time.Minute)
		for i := range poison.Fingerprint(5) {
			wantStatus(t, tracker, i, poison.Suspected)
		}
		crashWhileRunning(t, tracker, "t1", 4)
		wantStatus(t, tracker, 4, poison.Quarantined)
	})
}

// TestQuarantinesBothThatAlwaysCrashTogether runs two requests that always crash
// together: neither explains the crashes of the other, so both are quarantined.
func TestQuarantinesBothThatAlwaysCrashTogether(t *testing.T) {
	tracker := poison.New()
	for _, target := range []string{"t0", "t1"} {
		tracker.TryBegin(1, target)
		tracker.TryBegin(2, target)
	}
	tracker.RecordCrash("t0")
	tracker.RecordCrash("t1")
	wantStatus(t, tracker, 1, poison.Quarantined)
	wantStatus(t, tracker, 2, poison.Quarantined)
}

// TestCompletedRunClearsBetweenCrashes runs request 2 beside request 1 in two
// crashes, and completes a run of request 2 between them.
func TestCompletedRunClearsBetweenCrashes(t *testing.T) {
	tracker := poison.New()
	crashWhileRunning(t, tracker, "t0", 1, 2)
	tracker.TryBegin(2, "t1")
	tracker.End(2, "t1", true)
	crashWhileRunning(t, tracker, "t2", 1, 2)
	wantStatus(t, tracker, 1, poison.Quarantined)
	wantStatus(t, tracker, 2, poison.Clear)
}

// TestMergeKeepsNewerClearing merges a crash that is older than a completed run of
// the request.
func TestMergeKeepsNewerClearing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.New()
		crashWhileRunning(t, tracker, "t0", 1)
		snapshot := tracker.Snapshot()
		time.Sleep(time.Second)
		tracker.TryBegin(1, "t1")
		tracker.End(1, "t1", true)
		tracker.Merge(snapshot)
		wantStatus(t, tracker, 1, poison.Clear)
	})
}
