package lab_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/transport/lab"
)

// BenchmarkEntryHop measures what the entry hop adds to a plain call of an
// engine that answers at once, and how many requests one instance carries.
func BenchmarkEntryHop(b *testing.B) {
	plan := lab.Demo()
	plan.Entries, plan.MaxTargets = 2, 0
	for i := range plan.Engines {
		plan.Engines[i].PrefillTPS, plan.Engines[i].DecodeTPS, plan.Engines[i].Slots = 0, 0, 1000
	}
	running, err := lab.Start(context.Background(), plan)
	if err != nil {
		b.Fatal(err)
	}
	defer running.Close()
	target := running.TargetAddress("layout-1")
	for _, test := range []struct {
		name, address string
		callers       int
	}{
		{"direct-1", target, 1},
		{"entry-1", running.Entries[0].CallerAddress(), 1},
		{"direct-50", target, 50},
		{"entry-50", running.Entries[0].CallerAddress(), 50},
	} {
		b.Run(test.name, func(b *testing.B) { benchCalls(b, running, test.address, test.callers) })
	}
}

func benchCalls(b *testing.B, running *lab.Lab, address string, callers int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	body := chatBody("flow", 1, false)
	delays := make([][]time.Duration, callers)
	calls := b.N/callers + 1
	b.ResetTimer()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for range calls {
				started := time.Now()
				if err := call(client, address, running.Keys["press"], body); err != nil {
					b.Error(err)
					return
				}
				delays[caller] = append(delays[caller], time.Since(started))
			}
		})
	}
	group.Wait()
	elapsed := b.Elapsed()
	all := slices.Concat(delays...)
	slices.Sort(all)
	if len(all) == 0 {
		return
	}
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(len(all))/elapsed.Seconds(), "req/s")
}

func call(client *http.Client, address, key, body string) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}
