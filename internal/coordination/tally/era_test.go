package tally_test

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/coordination/tally"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/state/table"
)

// rapidTB hides the Deadline method of testing.T from rapid, which would read it on the
// fake clock of synctest.
type rapidTB struct{ *testing.T }

// Deadline returns none.
func (rapidTB) Deadline() (time.Time, bool) { return time.Time{}, false }

// eraStore is a store with versions that can be restored from a copy.
type eraStore struct {
	era     uint64
	version uint64
	rows    map[string]table.Row
}

func (store *eraStore) commit(writes []table.Write) error {
	for _, write := range writes {
		if store.rows[write.Key].Version != write.ExpectedVersion {
			return code.Errorf(code.RowConflict, "row %s", write.Key)
		}
	}
	store.version++
	for _, write := range writes {
		if !write.CheckOnly {
			store.rows[write.Key] = table.Row{Key: write.Key, Version: store.version, Value: write.Value}
		}
	}
	return nil
}

func (store *eraStore) copy() eraStore {
	return eraStore{version: store.version, rows: maps.Clone(store.rows)}
}

func (store *eraStore) restore(copied eraStore) {
	store.era++
	store.version, store.rows = copied.version, maps.Clone(copied.rows)
}

// eraInstance is an instance with a reporter of its own. It learns the era of the store
// from the answers to its calls.
type eraInstance struct {
	store    *eraStore
	meter    *tally.Meter
	reporter *tally.Reporter
	era      uint64
	seenAt   time.Time
	grant    lease.Grant
	held     bool
	late     []table.Write // a write without an answer, which is performed later
	loses    bool          // the next write has no answer
}

func newEraInstance(store *eraStore, name string, sender tally.Sender) *eraInstance {
	instance := &eraInstance{store: store, meter: tally.New(window)}
	instance.reporter = tally.NewReporter(instance.meter, instance, sender, fakeCollector(func(int64) bool { return true }), name, 10*time.Second, zerolog.Nop(),
		tally.WithEra(func() (uint64, time.Time) { return instance.era, instance.seenAt }))
	return instance
}

func (instance *eraInstance) recordEra() {
	if instance.era != instance.store.era {
		instance.era, instance.seenAt = instance.store.era, time.Now()
	}
}

func (instance *eraInstance) Get(_ context.Context, key string) (table.Row, error) {
	instance.recordEra()
	row, ok := instance.store.rows[key]
	if !ok {
		return table.Row{}, code.Errorf(code.RowMissing, "row %s", key)
	}
	return row, nil
}

func (instance *eraInstance) Commit(_ context.Context, writes ...table.Write) error {
	if instance.loses {
		instance.loses, instance.late = false, writes
		return code.Errorf(code.WriteUnknown, "no answer")
	}
	instance.recordEra()
	return instance.store.commit(writes)
}

func (instance *eraInstance) currentGrant() (lease.Grant, bool) {
	return instance.grant, instance.held && instance.grant.Era == instance.era
}

// takeOver makes the instance the holder. The lease of an earlier one has expired.
func (instance *eraInstance) takeOver(instances []*eraInstance) {
	for _, other := range instances {
		other.held = false
	}
	row, _ := instance.Get(context.Background(), "epoch")
	if instance.store.commit([]table.Write{{Key: "epoch", ExpectedVersion: row.Version}}) != nil {
		return
	}
	instance.grant = lease.Grant{Key: "epoch", Version: instance.store.version, Era: instance.era}
	instance.held = true
	instance.reporter.Reset()
}

// onceSender is a platform that fails the test when a window is reported with other counts.
type onceSender struct {
	t       *rapid.T
	fails   bool
	reports map[int64]string
}

func (sender *onceSender) ReportUsage(_ context.Context, holder string, _ uint64, report site.UsageReport) error {
	counts := fmt.Sprint(report.Counts)
	if first, ok := sender.reports[report.Window]; ok && first != counts {
		sender.t.Fatalf("%s reports window %d as %s, which was reported as %s", holder, report.Window, counts, first)
	}
	sender.reports[report.Window] = counts
	if sender.fails {
		return code.Errorf(code.OutcomeUnknown, "no answer")
	}
	return nil
}

// The store comes back from a copy that lacks the row of a window that was reported. Guards
// against a second report of the window with other counts (ONE). Draws restores, takeovers,
// restarts, and lost answers of the store and of the platform.
func TestWindowIsReportedWithOneSetOfCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(rapidTB{t}, func(t *rapid.T) {
			store := &eraStore{era: 1, rows: map[string]table.Row{}}
			sender := &onceSender{t: t, reports: map[int64]string{}}
			instances := make([]*eraInstance, 3)
			for i := range instances {
				instances[i] = newEraInstance(store, fmt.Sprint("instance-", i), sender)
				instances[i].recordEra()
			}
			copied := store.copy()
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				i := rapid.IntRange(0, len(instances)-1).Draw(t, "instance")
				instance := instances[i]
				switch rapid.SampledFrom([]string{"count", "count", "wait", "report", "report", "report", "take over", "copy", "restore", "restart", "lose", "late", "fail"}).Draw(t, "step") {
				case "count":
					back := time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds ago")) * time.Second // told late
					instance.meter.CountRequest("press", time.Now().Add(-back))
				case "wait":
					time.Sleep(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths of a second")) * 100 * time.Millisecond)
				case "report":
					instance.reporter.ReportEndedWindows(t.Context(), time.Now(), instance.currentGrant)
				case "take over":
					instance.takeOver(instances)
				case "copy":
					copied = store.copy()
				case "restore":
					store.restore(copied)
				case "restart":
					instances[i] = newEraInstance(store, fmt.Sprint("instance-", i), sender)
				case "lose":
					instance.loses = true
				case "late":
					if instance.late != nil {
						_ = store.commit(instance.late)
						instance.late = nil
					}
				case "fail":
					sender.fails = !sender.fails
				}
			}
		})
	})
}

// Guards against windows that nobody reports after a restart, or a restore of before they
// ended.
func TestReportsWindowsOfCurrentEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &eraStore{era: 1, rows: map[string]table.Row{}}
		sender := &fakeSender{}
		first := newEraInstance(store, "first", sender)
		first.takeOver([]*eraInstance{first})
		first.reporter.ReportEndedWindows(t.Context(), time.Now(), first.currentGrant)
		number := first.meter.WindowAt(time.Now())
		time.Sleep(window + 2*time.Second)
		restarted := newEraInstance(store, "second", sender)
		restarted.takeOver([]*eraInstance{first, restarted})
		restarted.reporter.ReportEndedWindows(t.Context(), time.Now(), restarted.currentGrant)
		if len(sender.reports) != 1 || sender.reports[0].Window != number {
			t.Errorf("reports after a restart within an era = %+v, want one of window %d", sender.reports, number)
		}
		sender.reports = nil
		copied := store.copy()
		time.Sleep(window)
		store.restore(copied)
		number = first.meter.WindowAt(time.Now())
		restarted.takeOver([]*eraInstance{restarted})
		time.Sleep(window + 2*time.Second)
		restarted.reporter.ReportEndedWindows(t.Context(), time.Now(), restarted.currentGrant)
		if len(sender.reports) != 1 || sender.reports[0].Window != number {
			t.Errorf("reports after a restore = %+v, want one of window %d", sender.reports, number)
		}
	})
}
