package usage_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/memory"
	"mangopier.example/mangopier/internal/state/table"
)

// recordingSender is a usage interface that records the reports it accepts.
type recordingSender struct {
	reports     []usage.Report
	reportError func() error
}

func (sender *recordingSender) SendReport(_ context.Context, report usage.Report) error {
	if sender.reportError != nil {
		if err := sender.reportError(); err != nil {
			return err
		}
	}
	sender.reports = append(sender.reports, report)
	return nil
}

// fakeLease is held while the lease row has its version.
type fakeLease struct {
	version atomic.Uint64
	held    atomic.Bool
}

func (lease *fakeLease) Condition() table.Write {
	return table.Write{Key: "lease", ExpectedVersion: lease.version.Load(), CheckOnly: true}
}

func (lease *fakeLease) Held() bool { return lease.held.Load() }

func acquireLease(t *testing.T, client *memory.Client) *fakeLease {
	t.Helper()
	lease := &fakeLease{}
	lease.acquire(t, client)
	return lease
}

// acquire takes the lease over, which ends that of any other holder.
func (lease *fakeLease) acquire(t *testing.T, client *memory.Client) {
	t.Helper()
	ctx := context.Background()
	row, err := client.Get(ctx, "lease")
	if err != nil && !code.Is(err, code.RowMissing) {
		t.Fatal(err)
	}
	if err := client.Commit(ctx, table.Write{Key: "lease", ExpectedVersion: row.Version, Value: []byte("x")}); err != nil {
		t.Fatal(err)
	}
	row, err = client.Get(ctx, "lease")
	if err != nil {
		t.Fatal(err)
	}
	lease.version.Store(row.Version)
	lease.held.Store(true)
}

type collectorFunc func(request usage.CollectRequest) ([]usage.Batch, []string, error)

func (collector collectorFunc) Collect(_ context.Context, request usage.CollectRequest) ([]usage.Batch, []string, error) {
	return collector(request)
}

func decodeReport(t *testing.T, report usage.Report) usage.ReportBody {
	t.Helper()
	var body usage.ReportBody
	if err := json.Unmarshal(report.Body, &body); err != nil {
		t.Fatal(err)
	}
	return body
}

// Usage recorded once must be in the report of its window and in no later one,
// although both the meter and the replica return it.
func TestWindowIsCopiedFrozenAndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		store := memory.New().Client("a")
		replicaStore := usage.NewReplicaStore("b")
		meter := usage.NewMeter("a", replicaStore)
		copies := meter.Start(ctx)
		sender := &recordingSender{}
		collector := collectorFunc(func(request usage.CollectRequest) ([]usage.Batch, []string, error) {
			return append(meter.Collect(request), replicaStore.Collect(request)...), nil, nil
		})
		reporter := usage.NewWindowReporter("a", store, collector, sender, acquireLease(t, store))
		frozen := reporter.Start(ctx)
		for range 3 {
			if err := meter.Record(ctx, usage.Line{Team: "press", Model: "layout", Requests: 1, PromptTokens: 7}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(3 * time.Minute)
		cancel()
		if err := errors.Join(<-copies, <-frozen); err != nil {
			t.Fatal(err)
		}
		if len(sender.reports) < 2 {
			t.Fatalf("got %d reports, want at least 2", len(sender.reports))
		}
		first := decodeReport(t, sender.reports[0])
		if len(first.Lines) != 1 || first.Lines[0].Requests != 3 || first.Lines[0].PromptTokens != 21 {
			t.Fatalf("first report = %+v, want 1 line with 3 requests and 21 prompt tokens", first)
		}
		second := decodeReport(t, sender.reports[1])
		if len(second.Lines) != 0 || len(second.Corrections) != 0 || second.Number != 2 {
			t.Fatalf("second report = %+v, want number 2 without lines and corrections", second)
		}
	})
}
