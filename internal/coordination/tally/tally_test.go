package tally_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/coordination/tally"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/state/table"
)

const window = 5 * time.Second

var base = time.Unix(1_771_142_700, 0)

func source(name string) tally.Source { return tally.Source{Instance: name, Boot: 1} }

func TestSumCountsAllInstancesOnce(t *testing.T) {
	meter, other := tally.New(window), tally.New(window)
	number := meter.WindowOf(base)
	meter.Count("press", base)
	other.Count("press", base.Add(time.Second))
	other.Count("council", base.Add(6*time.Second)) // the next window
	for range 3 {
		meter.Merge(source("other"), other.Export()) // heartbeats repeat themselves
	}
	older := tally.New(window)
	older.Count("press", base)
	meter.Merge(tally.Source{Instance: "other", Boot: 0}, older.Export()) // its run before
	if sum := meter.Sum(number); sum["press"] != 3 || sum["council"] != 0 {
		t.Errorf("sum %v", sum)
	}
	meter.Merge(source("other"), nil)
	if sum := meter.Sum(number + 1); sum["council"] != 1 {
		t.Errorf("next window %v", sum)
	}
}

// One clock that jumps does not move the windows.
func TestMedianOffsetIgnoresOneWrongClock(t *testing.T) {
	meter := tally.New(window)
	if _, ok := meter.Offset(); ok {
		t.Error("an offset is known before any")
	}
	meter.SetOffset(source("a"), 10*time.Second)
	meter.SetOffset(source("b"), 10*time.Second+time.Millisecond)
	meter.SetOffset(source("c"), 3*time.Hour)
	if offset, _ := meter.Offset(); offset != 10*time.Second+time.Millisecond {
		t.Errorf("offset %v", offset)
	}
}

// rows is a store that can lose answers.
type rows struct {
	values   map[string][]byte
	loseNext bool
	taken    bool // another holder has the lease
}

func (rows *rows) Get(_ context.Context, key string) (table.Row, error) {
	value, ok := rows.values[key]
	if !ok {
		return table.Row{}, code.Errorf(code.RowMissing, "row %s", key)
	}
	return table.Row{Key: key, Version: 1, Value: value}, nil
}

func (rows *rows) Commit(_ context.Context, writes ...table.Write) error {
	for _, write := range writes {
		if _, exists := rows.values[write.Key]; (write.CheckOnly && rows.taken) || (!write.CheckOnly && exists) {
			return code.Errorf(code.RowConflict, "row %s", write.Key)
		}
	}
	for _, write := range writes {
		if !write.CheckOnly {
			rows.values[write.Key] = write.Value
		}
	}
	if rows.loseNext {
		rows.loseNext = false
		return code.Errorf(code.WriteUnknown, "no answer")
	}
	return nil
}

// sender keeps what was reported.
type sender struct {
	reports []site.UsageReport
	fails   int
}

func (sender *sender) ReportUsage(_ context.Context, _ string, _ uint64, report site.UsageReport) error {
	if sender.fails > 0 {
		sender.fails--
		return code.Errorf(code.OutcomeUnknown, "no answer")
	}
	sender.reports = append(sender.reports, report)
	return nil
}

func reporter(meter *tally.Meter, rows *rows, sender *sender) *tally.Reporter {
	period := func() time.Duration { return 100 * time.Millisecond }
	return tally.NewReporter(meter, rows, sender, "a", 10*time.Second, period, zerolog.Nop())
}

func held() (lease.Grant, bool) { return lease.Grant{Epoch: 7, Key: "epoch", Version: 1}, true }

func TestWindowIsReportedOnceAfterItsEnd(t *testing.T) {
	meter, store, sent := tally.New(window), &rows{values: map[string][]byte{}}, &sender{}
	meter.Count("press", base)
	number := meter.WindowOf(base)
	end := meter.EndOf(number)
	subject := reporter(meter, store, sent)
	subject.Step(t.Context(), end.Add(time.Second), held)
	for _, report := range sent.reports {
		if report.Window >= number {
			t.Fatalf("window %d is reported before it has settled", report.Window)
		}
	}
	sent.reports = nil
	for range 3 {
		subject.Step(t.Context(), end.Add(2*time.Second), held)
	}
	if len(sent.reports) != 1 || sent.reports[0].Window != number || sent.reports[0].Counts["press"] != 1 {
		t.Errorf("reports %+v", sent.reports)
	}
}

// Figures that were frozen are sent again as they are: after a lost answer of
// the store, a lost answer of the platform, and by a successor who counts
// otherwise.
func TestFrozenFiguresStand(t *testing.T) {
	meter, store, sent := tally.New(window), &rows{values: map[string][]byte{}}, &sender{fails: 1}
	meter.Count("press", base)
	number := meter.WindowOf(base)
	now := meter.EndOf(number).Add(2 * time.Second)
	subject := reporter(meter, store, sent)
	store.loseNext = true
	for range 4 {
		subject.Step(t.Context(), now, held)
	}
	meter.Count("press", base) // comes late
	successor := reporter(meter, store, sent)
	successor.Step(t.Context(), now, held)
	figures := map[int64]int64{}
	for _, report := range sent.reports {
		if before, ok := figures[report.Window]; ok && before != report.Counts["press"] {
			t.Errorf("window %d is reported as %d and %d", report.Window, before, report.Counts["press"])
		}
		figures[report.Window] = report.Counts["press"]
	}
	if figures[number] != 1 {
		t.Errorf("window %d: %v", number, figures)
	}
}

// Whoever has lost the lease freezes and sends nothing.
func TestNothingIsReportedWithoutTheLease(t *testing.T) {
	meter, store, sent := tally.New(window), &rows{values: map[string][]byte{}, taken: true}, &sender{}
	subject := reporter(meter, store, sent)
	subject.Step(t.Context(), base, held)
	store.taken = false
	subject.Step(t.Context(), base, func() (lease.Grant, bool) { return lease.Grant{}, false })
	if len(sent.reports) != 0 || len(store.values) != 0 {
		t.Errorf("reports %v, rows %v", sent.reports, store.values)
	}
}
