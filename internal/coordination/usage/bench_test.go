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
	meter := usage.NewMeter("a", usage.NewReplicaStore("b"))
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

// TestCopyDelayAndStoreOperations logs the delay that a copy adds to a response
// over a link with 1 ms one-way latency, and guards the number of store writes
// per window.
func TestCopyDelayAndStoreOperations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		replicaStore := usage.NewReplicaStore("b")
		copies := 0
		inFlight := make(chan struct{}, 1)
		meter := usage.NewMeter("a", replicaFunc(func(ctx context.Context, batches []usage.Batch) (string, error) {
			time.Sleep(time.Millisecond)
			defer time.Sleep(time.Millisecond)
			inFlight <- struct{}{}
			defer func() { <-inFlight }()
			copies++
			return replicaStore.Store(ctx, batches)
		}))
		ended := meter.Start(ctx)
		const records = 5000
		delays := make(chan time.Duration, records)
		for range records { // 5,000 per second
			time.Sleep(200 * time.Microsecond)
			go func() {
				started := time.Now()
				_ = meter.Record(ctx, usage.Line{Team: "press", Model: "layout", Requests: 1})
				delays <- time.Since(started)
			}()
		}
		var sum, longest time.Duration
		for range records {
			delay := <-delays
			sum, longest = sum+delay, max(longest, delay)
		}
		cancel()
		<-ended //nolint:errcheck // always nil
		t.Logf("copy adds %v on average, %v at most; %d records in %d copies", sum/records, longest, records, copies)
	})
	for _, instances := range []int{7, 300} {
		synctest.Test(t, func(t *testing.T) { measureWindowCost(t, instances) })
	}
}

func (platform *fakePlatform) reportCount() int {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return len(platform.reports)
}

func measureWindowCost(t *testing.T, instances int) {
	ctx, cancel := context.WithCancel(context.Background())
	store := memory.New()
	collector := collectorFunc(func(request usage.CollectRequest) ([]usage.Batch, []string, error) {
		var batches []usage.Batch
		for i := range instances {
			batches = append(batches, usage.Batch{
				Origin: usage.Origin{Instance: fmt.Sprint(i)}, Window: request.LastWindow, Final: true,
				Lines: []usage.Line{{Team: fmt.Sprint("team", i%8), Model: "layout", Requests: 1}},
			})
		}
		return batches, nil, nil
	})
	platform := &fakePlatform{senders: map[uint64]map[string]bool{}, acknowledged: map[string]bool{}}
	sender := &faultInjector{platform: platform, faultAt: func(int) fault { return noFault }}
	client := store.Client("a")
	ended := usage.NewWindowReporter("a", client, collector, sender, acquireLease(t, client)).Start(ctx)
	time.Sleep(2 * time.Minute)
	before, reports := store.Counts(), platform.reportCount()
	time.Sleep(10 * time.Minute)
	after := store.Counts()
	cancel()
	<-ended //nolint:errcheck // always nil
	windows := platform.reportCount() - reports
	t.Logf("%d instances: %d windows cost %d reads and %d writes",
		instances, windows, after.Reads-before.Reads, after.Writes-before.Writes)
	if after.Writes-before.Writes > uint64(5*windows) {
		t.Fatalf("%d windows cost %d writes, want at most 3 rows and 2 objects per window", windows, after.Writes-before.Writes)
	}
}
