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

// BenchmarkEntryHop measures the latency that an entry instance adds to a direct
// call of an engine that responds at once, and the throughput of one instance.
func BenchmarkEntryHop(b *testing.B) {
	config := lab.DemoConfig()
	config.EntryCount, config.MaxTargetsPerDataCenter = 2, 0
	for i := range config.Engines {
		config.Engines[i].PrefillTPS, config.Engines[i].DecodeTPS, config.Engines[i].Slots = 0, 0, 1000
	}
	system, err := lab.Start(context.Background(), config)
	if err != nil {
		b.Fatal(err)
	}
	defer system.Close()
	target := system.TargetAddress("layout-1")
	for _, test := range []struct {
		name, address string
		callers       int
	}{
		{"direct-1", target, 1},
		{"entry-1", system.Entries[0].CallerAddress(), 1},
		{"direct-50", target, 50},
		{"entry-50", system.Entries[0].CallerAddress(), 50},
	} {
		b.Run(test.name, func(b *testing.B) { benchCalls(b, system, test.address, test.callers) })
	}
}

func benchCalls(b *testing.B, system *lab.System, address string, callers int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	body := chatBody("flow", 1, false)
	latencies := make([][]time.Duration, callers)
	calls := b.N/callers + 1
	b.ResetTimer()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for range calls {
				start := time.Now()
				if err := sendDirect(client, address, system.APIKeys["press"], body); err != nil {
					b.Error(err)
					return
				}
				latencies[caller] = append(latencies[caller], time.Since(start))
			}
		})
	}
	group.Wait()
	elapsed := b.Elapsed()
	sorted := slices.Concat(latencies...)
	slices.Sort(sorted)
	if len(sorted) == 0 {
		return
	}
	b.ReportMetric(float64(sorted[len(sorted)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(sorted[len(sorted)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(len(sorted))/elapsed.Seconds(), "req/s")
}

func sendDirect(client *http.Client, address, key, body string) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
