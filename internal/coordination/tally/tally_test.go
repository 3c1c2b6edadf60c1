package tally_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/coordination/tally"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/state/table"
)

const window = 5 * time.Second

var windowStart = time.Unix(1_771_142_700, 0)

func secondRun(name string) tally.InstanceRun { return tally.InstanceRun{Instance: name, BootID: 1} }

// Heartbeats repeat counts, and an instance that restarts begins new ones: each
// request must count once.
func TestSumCountsAllInstancesOnce(t *testing.T) {
	meter, other := tally.New(window), tally.New(window)
	number := meter.WindowAt(windowStart)
	meter.CountRequest("press", windowStart)
	other.CountRequest("press", windowStart.Add(time.Second))
	other.CountRequest("council", windowStart.Add(6*time.Second)) // the next window
	for range 3 {
		meter.Merge(secondRun("other"), other.Snapshot()) // heartbeats repeat counts
	}
	older := tally.New(window)
	older.CountRequest("press", windowStart)
	meter.Merge(tally.InstanceRun{Instance: "other", BootID: 0}, older.Snapshot()) // its previous run
	if sums := meter.Sum(number); sums["press"] != 3 || sums["council"] != 0 {
		t.Errorf("meter.Sum(%d) = %v, want press 3 and no council", number, sums)
	}
	meter.Merge(secondRun("other"), nil)
	if sums := meter.Sum(number + 1); sums["council"] != 1 {
		t.Errorf("meter.Sum(%d) = %v, want council 1", number+1, sums)
	}
}

// A jump of one instance's clock must not move the windows.
func TestMedianOffsetIgnoresOneWrongClock(t *testing.T) {
	meter := tally.New(window)
	if _, ok := meter.MedianClockOffset(); ok {
		t.Error("meter.MedianClockOffset() of a new meter = true, want false")
	}
	meter.SetClockOffset(secondRun("a"), 10*time.Second)
	meter.SetClockOffset(secondRun("b"), 10*time.Second+time.Millisecond)
	meter.SetClockOffset(secondRun("c"), 3*time.Hour)
	if offset, _ := meter.MedianClockOffset(); offset != 10*time.Second+time.Millisecond {
		t.Errorf("meter.MedianClockOffset() = %v, want 10.001s", offset)
	}
}

// fakeStore is a store in memory that can lose a response.
type fakeStore struct {
	values           map[string][]byte
	loseNextResponse bool
	leaseTaken       bool // another holder has the lease
}

func (store *fakeStore) Get(_ context.Context, key string) (table.Row, error) {
	value, ok := store.values[key]
	if !ok {
		return table.Row{}, code.Errorf(code.RowMissing, "row %s", key)
	}
	return table.Row{Key: key, Version: 1, Value: value}, nil
}

func (store *fakeStore) Commit(_ context.Context, writes ...table.Write) error {
	for _, write := range writes {
		if _, exists := store.values[write.Key]; (write.CheckOnly && store.leaseTaken) || (!write.CheckOnly && exists) {
			return code.Errorf(code.RowConflict, "row %s", write.Key)
		}
	}
	for _, write := range writes {
		if !write.CheckOnly {
			store.values[write.Key] = write.Value
		}
	}
	if store.loseNextResponse {
		store.loseNextResponse = false
		return code.Errorf(code.WriteUnknown, "no answer")
	}
	return nil
}

// fakeSender records the reports after a number of failures.
type fakeSender struct {
	reports  []site.UsageReport
	failures int
}

func (sender *fakeSender) ReportUsage(_ context.Context, _ string, _ uint64, report site.UsageReport) error {
	if sender.failures > 0 {
		sender.failures--
		return code.Errorf(code.OutcomeUnknown, "no answer")
	}
	sender.reports = append(sender.reports, report)
	return nil
}

func newReporter(meter *tally.Meter, store *fakeStore, sender *fakeSender) *tally.Reporter {
	return tally.NewReporter(meter, store, sender, fakeCollector(func(int64) bool { return true }), "a", 10*time.Second, zerolog.Nop())
}

// fakeCollector reports whether the counts of a window are complete.
type fakeCollector func(window int64) bool

func (collector fakeCollector) Collect(window int64) bool { return collector(window) }

func currentGrant() (lease.Grant, bool) { return lease.Grant{Epoch: 7, Key: "epoch", Version: 1}, true }

// A window is reported after its settle time and only once.
func TestReportsWindowOnceAfterItsEnd(t *testing.T) {
	meter, store, sender := tally.New(window), &fakeStore{values: map[string][]byte{}}, &fakeSender{}
	meter.CountRequest("press", windowStart)
	number := meter.WindowAt(windowStart)
	end := meter.WindowEnd(number)
	reporter := newReporter(meter, store, sender)
	reporter.ReportEndedWindows(t.Context(), end.Add(time.Second), currentGrant)
	for _, report := range sender.reports {
		if report.Window >= number {
			t.Fatalf("window %d reported before its settle time has passed", report.Window)
		}
	}
	sender.reports = nil
	for range 3 {
		reporter.ReportEndedWindows(t.Context(), end.Add(2*time.Second), currentGrant)
	}
	if len(sender.reports) != 1 || sender.reports[0].Window != number || sender.reports[0].Counts["press"] != 1 {
		t.Errorf("reports = %+v, want one of window %d with press 1", sender.reports, number)
	}
}

// Stored counts must be sent unchanged: after a lost response of the store, after
// a lost response of the platform, and by a successor with other counts.
func TestStoredCountsAreFinal(t *testing.T) {
	meter, store, sender := tally.New(window), &fakeStore{values: map[string][]byte{}}, &fakeSender{failures: 1}
	meter.CountRequest("press", windowStart)
	number := meter.WindowAt(windowStart)
	now := meter.WindowEnd(number).Add(2 * time.Second)
	reporter := newReporter(meter, store, sender)
	store.loseNextResponse = true
	for range 4 {
		reporter.ReportEndedWindows(t.Context(), now, currentGrant)
	}
	meter.CountRequest("press", windowStart) // counted too late
	successor := newReporter(meter, store, sender)
	successor.ReportEndedWindows(t.Context(), now, currentGrant)
	reported := map[int64]int64{}
	for _, report := range sender.reports {
		if previous, ok := reported[report.Window]; ok && previous != report.Counts["press"] {
			t.Errorf("window %d reported as %d and as %d, want equal counts", report.Window, previous, report.Counts["press"])
		}
		reported[report.Window] = report.Counts["press"]
	}
	if reported[number] != 1 {
		t.Errorf("window %d: reported counts = %v, want 1", number, reported)
	}
}

// An instance that has lost the lease must neither store nor send counts.
func TestReportsNothingWithoutLease(t *testing.T) {
	meter, store, sender := tally.New(window), &fakeStore{values: map[string][]byte{}, leaseTaken: true}, &fakeSender{}
	reporter := newReporter(meter, store, sender)
	reporter.ReportEndedWindows(t.Context(), windowStart, currentGrant)
	store.leaseTaken = false
	reporter.ReportEndedWindows(t.Context(), windowStart, func() (lease.Grant, bool) { return lease.Grant{}, false })
	if len(sender.reports) != 0 || len(store.values) != 0 {
		t.Errorf("reports = %v, stored rows = %v, want none", sender.reports, store.values)
	}
}

// At 195 instances, heartbeats between data centres are 5 s apart. A window that
// waits for two of them is reported when its 10 s are over. Windows wait for the
// answers of all instances instead, and not for long for one that does not
// answer.
func TestReportsWindowOnceAllInstancesAnswered(t *testing.T) {
	meter, store, sender := tally.New(window), &fakeStore{values: map[string][]byte{}}, &fakeSender{}
	meter.CountRequest("press", windowStart)
	number := meter.WindowAt(windowStart)
	end := meter.WindowEnd(number)
	complete := false
	collector := fakeCollector(func(asked int64) bool { return asked != number || complete })
	reporter := tally.NewReporter(meter, store, sender, collector, "a", 10*time.Second, zerolog.Nop())
	reported := func() bool {
		return slices.ContainsFunc(sender.reports, func(report site.UsageReport) bool { return report.Window == number })
	}
	reporter.ReportEndedWindows(t.Context(), end.Add(2*time.Second), currentGrant)
	if reported() {
		t.Error("window reported before the answers are there")
	}
	complete = true
	reporter.ReportEndedWindows(t.Context(), end.Add(2*time.Second), currentGrant)
	if !reported() {
		t.Error("window not reported 2 s after its end, with all answers")
	}
	number, complete = number+1, false
	reporter.ReportEndedWindows(t.Context(), end.Add(window+4*time.Second), currentGrant)
	if !reported() {
		t.Error("window not reported 4 s after its end, without an answer")
	}
}

// An instance is killed right after it counted requests. Its last heartbeat has
// reached its neighbours, but not yet the holder of the duty in another data
// centre: the neighbours' answers must carry these counts, once.
func TestNeighboursReturnCountsOfKilledInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		number := tally.New(window).WindowAt(windowStart)
		killed, holder := tally.New(window), tally.New(window)
		neighbours := []*tally.Meter{tally.New(window), tally.New(window)}
		killed.CountRequest("press", windowStart)
		for _, neighbour := range neighbours {
			neighbour.Merge(secondRun("killed"), killed.Snapshot())
			neighbour.Merge(secondRun("far"), killed.Snapshot())
			neighbour.CountRequest("council", windowStart)
		}
		time.Sleep(2 * time.Second)
		isLocal := func(instance string) bool { return instance == "killed" }
		for i, neighbour := range neighbours {
			name := fmt.Sprint("neighbour", i)
			counts := neighbour.CountsOf(number, secondRun(name), isLocal)
			if holder.IsCollected(name, number) {
				t.Errorf("IsCollected(%q) before the answer = true", name)
			}
			holder.MergeCollected(name, number, counts)
			holder.MergeCollected(name, number, counts) // the answer arrives twice
			if !holder.IsCollected(name, number) {
				t.Errorf("IsCollected(%q) after the answer = false", name)
			}
		}
		if sums := holder.Sum(number); sums["press"] != 1 || sums["council"] != 2 {
			t.Errorf("holder.Sum() = %v, want press 1 and council 2", sums)
		}
	})
}
