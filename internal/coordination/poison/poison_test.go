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
	guilty   = poison.Fingerprint(0)
)

// world is the oracle: it knows which request crashes targets.
type world struct {
	tracker *poison.Tracker
	running map[poison.Fingerprint]string
	lost    map[string]bool // by the guilty request
}

// TestOnlyTheGuiltyIsQuarantined runs requests of which one crashes each of
// its targets: it loses two at most, and no other is ever quarantined.
func TestOnlyTheGuiltyIsQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := &world{poison.New(), map[poison.Fingerprint]string{}, map[string]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"begin": world.begin,
			"end":   world.end,
			"crash": world.crash,
			"":      world.check,
		})
	})
}

func (world *world) begin(t *rapid.T) {
	fingerprint := poison.Fingerprint(rapid.IntRange(0, requests-1).Draw(t, "request"))
	target := fmt.Sprint("t", rapid.IntRange(0, targets-1).Draw(t, "target"))
	if world.running[fingerprint] == "" && world.tracker.Begin(fingerprint, target) {
		world.running[fingerprint] = target
	}
}

func (world *world) end(t *rapid.T) {
	fingerprint := poison.Fingerprint(rapid.IntRange(1, requests-1).Draw(t, "request"))
	if target := world.running[fingerprint]; target != "" {
		world.tracker.End(fingerprint, target, rapid.Bool().Draw(t, "completed"))
		delete(world.running, fingerprint)
	}
}

// crash ends the guilty request's target. Each request there tells of it.
func (world *world) crash(*rapid.T) {
	target := world.running[guilty]
	if target == "" {
		return
	}
	world.lost[target] = true
	for fingerprint := range poison.Fingerprint(requests) {
		if world.running[fingerprint] == target {
			world.tracker.Crashed(target)
			world.tracker.End(fingerprint, target, false)
			delete(world.running, fingerprint)
		}
	}
}

func (world *world) check(t *rapid.T) {
	if len(world.lost) > 2 {
		t.Fatalf("lost %v", world.lost)
	}
	for fingerprint := range poison.Fingerprint(requests) {
		quarantined := world.tracker.Check(fingerprint) == poison.Quarantined
		if quarantined != (fingerprint == guilty && len(world.lost) == 2) {
			t.Fatalf("request %d: quarantined %v after the loss of %v", fingerprint, quarantined, world.lost)
		}
	}
}

// crashUnder lets requests crash a target together.
func crashUnder(t *testing.T, tracker *poison.Tracker, target string, fingerprints ...poison.Fingerprint) {
	t.Helper()
	for _, fingerprint := range fingerprints {
		if !tracker.Begin(fingerprint, target) {
			t.Fatalf("request %d may not run at %s", fingerprint, target)
		}
	}
	tracker.Crashed(target)
	for _, fingerprint := range fingerprints {
		tracker.End(fingerprint, target, false)
	}
}

func wantVerdict(t *testing.T, tracker *poison.Tracker, fingerprint poison.Fingerprint, want poison.Verdict) {
	t.Helper()
	if got := tracker.Check(fingerprint); got != want {
		t.Fatalf("request %d: verdict %v, want %v", fingerprint, got, want)
	}
}

// TestInnocentBetweenTwoGuilty has request 3 run beside 1, then beside 2.
func TestInnocentBetweenTwoGuilty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.New()
		for i, batch := range [][]poison.Fingerprint{{1, 3}, {2, 3}, {1}, {2}} {
			crashUnder(t, tracker, fmt.Sprint("t", i), batch...)
			time.Sleep(time.Minute)
		}
		wantVerdict(t, tracker, 1, poison.Quarantined)
		wantVerdict(t, tracker, 2, poison.Quarantined)
		wantVerdict(t, tracker, 3, poison.Clear)
		time.Sleep(time.Hour)
		wantVerdict(t, tracker, 1, poison.Clear)
	})
}

func TestMassLossBlamesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.New()
		crashUnder(t, tracker, "t0", 1, 2)
		wantVerdict(t, tracker, 1, poison.Alone)
		crashUnder(t, tracker, "t1", 3, 4)
		crashUnder(t, tracker, "t2", 5, 6)
		for fingerprint := range poison.Fingerprint(6) {
			wantVerdict(t, tracker, fingerprint+1, poison.Clear)
		}
		crashUnder(t, tracker, "t3", 7)
		crashUnder(t, tracker, "t4", 7)
		wantVerdict(t, tracker, 7, poison.Quarantined)
	})
}

func TestAloneWaitsForRoom(t *testing.T) {
	tracker := poison.New()
	crashUnder(t, tracker, "t0", 1, 2)
	if !tracker.Begin(1, "t1") || !tracker.Begin(3, "t1") || tracker.Begin(2, "t1") {
		t.Fatal("a suspect runs beside others, but not beside a suspect")
	}
	freed := tracker.Freed()
	tracker.End(1, "t1", true)
	<-freed
	wantVerdict(t, tracker, 1, poison.Clear)
	if !tracker.Begin(2, "t1") {
		t.Fatal("no room beside a cleared request")
	}
}

// TestMemoryIsBounded keeps the one with the most losses.
func TestMemoryIsBounded(t *testing.T) {
	tracker := poison.New(poison.WithLimit(8))
	crashUnder(t, tracker, "t0", 1)
	crashUnder(t, tracker, "t1", 1)
	for i := range poison.Fingerprint(100) {
		tracker.Merge([]poison.Suspect{{Fingerprint: i + 2, Lost: []string{"x"}, Last: time.Now()}})
	}
	if tracker.Size() != 8 || tracker.Check(1) != poison.Quarantined {
		t.Fatalf("%d suspects, verdict %v", tracker.Size(), tracker.Check(1))
	}
}

// TestMergeInAnyOrder merges exports in two orders, and some twice.
func TestMergeInAnyOrder(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		suspects := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) poison.Suspect {
			return poison.Suspect{
				Fingerprint: poison.Fingerprint(rapid.IntRange(1, 3).Draw(t, "fingerprint")),
				Lost:        rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2, rapid.ID[string]).Draw(t, "lost"),
				Last:        now.Add(-time.Duration(rapid.IntRange(1, 3).Draw(t, "age")) * time.Minute),
			}
		}), 0, 8).Draw(t, "suspects")
		one, two := poison.New(), poison.New()
		one.Merge(suspects)
		two.Merge(rapid.Permutation(suspects).Draw(t, "order"))
		two.Merge(suspects)
		for i := range poison.Fingerprint(4) {
			if one.Check(i) != two.Check(i) {
				t.Fatalf("request %d: %v and %v", i, one.Check(i), two.Check(i))
			}
		}
		if !slices.EqualFunc(one.Export(), two.Export(), func(a, b poison.Suspect) bool { return a.Fingerprint == b.Fingerprint && a.Last.Equal(b.Last) }) {
			t.Fatalf("%+v and %+v", one.Export(), two.Export())
		}
	})
}

func TestMergeRefusesTheFuture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.New()
		tracker.Merge([]poison.Suspect{{Fingerprint: 1, Lost: []string{"a", "b"}, Last: time.Now().Add(time.Hour)}})
		wantVerdict(t, tracker, 1, poison.Quarantined)
		time.Sleep(10 * time.Minute)
		wantVerdict(t, tracker, 1, poison.Clear)
	})
}

// TestCrashToldByEach has each request of a batch tell of one crash, and one
// that came to the target just after the first was told.
func TestCrashToldByEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.New()
		for i := range poison.Fingerprint(4) {
			tracker.Begin(i, "t0")
		}
		for i := range poison.Fingerprint(4) {
			tracker.Crashed("t0")
			tracker.End(i, "t0", false)
		}
		crashUnder(t, tracker, "t0", 4)
		time.Sleep(time.Minute)
		for i := range poison.Fingerprint(5) {
			wantVerdict(t, tracker, i, poison.Alone)
		}
		crashUnder(t, tracker, "t1", 4)
		wantVerdict(t, tracker, 4, poison.Quarantined)
	})
}

// TestTwoThatAlwaysCrashTogether can't be told apart: neither explains the
// other, so both are kept from further targets.
func TestTwoThatAlwaysCrashTogether(t *testing.T) {
	tracker := poison.New()
	for _, target := range []string{"t0", "t1"} {
		tracker.Begin(1, target)
		tracker.Begin(2, target)
	}
	tracker.Crashed("t0")
	tracker.Crashed("t1")
	wantVerdict(t, tracker, 1, poison.Quarantined)
	wantVerdict(t, tracker, 2, poison.Quarantined)
}

// TestCompletedRunCountsBetweenCrashes has request 2 run beside request 1 at
// both its crashes, and complete a run in between.
func TestCompletedRunCountsBetweenCrashes(t *testing.T) {
	tracker := poison.New()
	crashUnder(t, tracker, "t0", 1, 2)
	tracker.Begin(2, "t1")
	tracker.End(2, "t1", true)
	crashUnder(t, tracker, "t2", 1, 2)
	wantVerdict(t, tracker, 1, poison.Quarantined)
	wantVerdict(t, tracker, 2, poison.Clear)
}

// TestMergeKeepsNewerClearing has a peer tell of a crash after the request has
// completed here.
func TestMergeKeepsNewerClearing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.New()
		crashUnder(t, tracker, "t0", 1)
		told := tracker.Export()
		time.Sleep(time.Second)
		tracker.Begin(1, "t1")
		tracker.End(1, "t1", true)
		tracker.Merge(told)
		wantVerdict(t, tracker, 1, poison.Clear)
	})
}
