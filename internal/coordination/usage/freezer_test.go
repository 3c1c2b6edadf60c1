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

// platform is a usage interface that remembers what it took.
type platform struct {
	taken []usage.Report
	fault func() error
}

func (platform *platform) Report(_ context.Context, report usage.Report) error {
	if platform.fault != nil {
		if err := platform.fault(); err != nil {
			return err
		}
	}
	platform.taken = append(platform.taken, report)
	return nil
}

// duty is a lease that is held while its row has the version.
type duty struct {
	version atomic.Uint64
	held    atomic.Bool
}

func (duty *duty) Check() table.Write {
	return table.Write{Key: "lease", Version: duty.version.Load(), CheckOnly: true}
}

func (duty *duty) Held() bool { return duty.held.Load() }

func lead(t *testing.T, client *memory.Client) *duty {
	t.Helper()
	duty := &duty{}
	duty.take(t, client)
	return duty
}

// take gives the duty a new lease, which ends that of any other.
func (duty *duty) take(t *testing.T, client *memory.Client) {
	t.Helper()
	ctx := context.Background()
	row, err := client.Get(ctx, "lease")
	if err != nil && !code.Is(err, code.RowMissing) {
		t.Fatal(err)
	}
	if err := client.Commit(ctx, table.Write{Key: "lease", Version: row.Version, Value: []byte("x")}); err != nil {
		t.Fatal(err)
	}
	row, err = client.Get(ctx, "lease")
	if err != nil {
		t.Fatal(err)
	}
	duty.version.Store(row.Version)
	duty.held.Store(true)
}

type sourceFunc func(ask usage.Ask) ([]usage.Batch, []string, error)

func (source sourceFunc) Collect(_ context.Context, ask usage.Ask) ([]usage.Batch, []string, error) {
	return source(ask)
}

func contentOf(t *testing.T, report usage.Report) usage.Content {
	t.Helper()
	var content usage.Content
	if err := json.Unmarshal(report.Body, &content); err != nil {
		t.Fatal(err)
	}
	return content
}

func TestWindowIsCopiedFrozenAndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		store := memory.New().Client("a")
		holder := usage.NewHolder("b")
		meter := usage.NewMeter("a", holder)
		copies := meter.Start(ctx)
		taker := &platform{}
		source := sourceFunc(func(ask usage.Ask) ([]usage.Batch, []string, error) {
			return append(meter.Collect(ask), holder.Collect(ask)...), nil, nil
		})
		freezer := usage.NewFreezer("a", store, source, taker, lead(t, store))
		frozen := freezer.Start(ctx)
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
		if len(taker.taken) < 2 {
			t.Fatalf("got %d reports", len(taker.taken))
		}
		first := contentOf(t, taker.taken[0])
		if len(first.Lines) != 1 || first.Lines[0].Requests != 3 || first.Lines[0].PromptTokens != 21 {
			t.Fatalf("got %+v", first)
		}
		second := contentOf(t, taker.taken[1])
		if len(second.Lines) != 0 || len(second.Corrections) != 0 || second.Number != 2 {
			t.Fatalf("got %+v", second)
		}
	})
}
