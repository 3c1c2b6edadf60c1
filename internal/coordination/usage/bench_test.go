package usage_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/state/memory"
)

func BenchmarkRecord(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	meter := usage.NewMeter("a", usage.NewHolder("b"))
	_ = meter.Start(ctx)
	teams := make([]string, 4700)
	for i := range teams {
		teams[i] = fmt.Sprint("team", i)
	}
	b.ReportAllocs()
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			_ = meter.Record(ctx, usage.Line{Team: teams[i%len(teams)], Model: "layout", Requests: 1, PromptTokens: 100})
		}
	})
}

// TestCost prints what a copy adds to an answer over a link of 1 ms one way,
// and the store operations of a window.
func TestCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		holder := usage.NewHolder("b")
		copies := 0
		gate := make(chan struct{}, 1)
		meter := usage.NewMeter("a", replicaFunc(func(ctx context.Context, batches []usage.Batch) (string, error) {
			time.Sleep(time.Millisecond)
			defer time.Sleep(time.Millisecond)
			gate <- struct{}{}
			defer func() { <-gate }()
			copies++
			return holder.Copy(ctx, batches)
		}))
		end := meter.Start(ctx)
		const records = 5000
		delays := make(chan time.Duration, records)
		for range records { // 5,000 a second
			time.Sleep(200 * time.Microsecond)
			go func() {
				began := time.Now()
				_ = meter.Record(ctx, usage.Line{Team: "press", Model: "layout", Requests: 1})
				delays <- time.Since(began)
			}()
		}
		var sum, worst time.Duration
		for range records {
			delay := <-delays
			sum, worst = sum+delay, max(worst, delay)
		}
		cancel()
		<-end //nolint:errcheck // gives nil
		t.Logf("copy adds %v on average, %v at most; %d records in %d copies", sum/records, worst, records, copies)
	})
	for _, instances := range []int{7, 300} {
		synctest.Test(t, func(t *testing.T) { windowCost(t, instances) })
	}
}

func (platform *usageInterface) count() int {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return len(platform.reports)
}

func windowCost(t *testing.T, instances int) {
	ctx, cancel := context.WithCancel(context.Background())
	store := memory.New()
	source := sourceFunc(func(ask usage.Ask) ([]usage.Batch, []string, error) {
		var batches []usage.Batch
		for i := range instances {
			batches = append(batches, usage.Batch{
				Origin: usage.Origin{Instance: fmt.Sprint(i)}, Window: ask.Window, Final: true,
				Lines: []usage.Line{{Team: fmt.Sprint("team", i%8), Model: "layout", Requests: 1}},
			})
		}
		return batches, nil, nil
	})
	platform := &usageInterface{senders: map[uint64]map[string]bool{}, known: map[string]bool{}}
	reporter := &steps{platform: platform, pick: func(int) fault { return none }}
	client := store.Client("a")
	end := usage.NewFreezer("a", client, source, reporter, lead(t, client)).Start(ctx)
	time.Sleep(2 * time.Minute)
	before, reports := store.Counts(), platform.count()
	time.Sleep(10 * time.Minute)
	after := store.Counts()
	cancel()
	<-end //nolint:errcheck // gives nil
	windows := platform.count() - reports
	t.Logf("%d instances: %d windows cost %d reads and %d writes",
		instances, windows, after.Reads-before.Reads, after.Writes-before.Writes)
	if after.Writes-before.Writes > uint64(5*windows) {
		t.Fatal("a window costs more than 3 writes and 2 objects")
	}
}
