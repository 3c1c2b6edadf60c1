package bench_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/protocol/chat"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/transport/bench"
)

// fakeEntry is an entry instance that responds to every chat request. Its
// respond function can replace the response to single requests.
type fakeEntry struct {
	requests    atomic.Int64
	respond     func(w http.ResponseWriter, number int64) bool // reports whether it wrote a response
	release     <-chan struct{}                                // if set, responses wait until it is closed
	inFlight    atomic.Int64
	maxInFlight atomic.Int64 // highest inFlight so far
}

func (fakeEntry *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	number := fakeEntry.requests.Add(1)
	fakeEntry.maxInFlight.Store(max(fakeEntry.maxInFlight.Load(), fakeEntry.inFlight.Add(1)))
	defer fakeEntry.inFlight.Add(-1)
	body, _ := io.ReadAll(r.Body)
	request, err := chat.Decode(body)
	if err != nil || !request.Stream || r.Header.Get("Authorization") != "Bearer key-press" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if fakeEntry.release != nil {
		<-fakeEntry.release
	}
	if fakeEntry.respond != nil && fakeEntry.respond(w, number) {
		return
	}
	fmt.Fprint(w, tokenEvents(request.MaxTokens), "data: [DONE]\n\n")
}

func tokenEvents(tokens int) string {
	return strings.Repeat(`data: {"choices":[{"delta":{"content":"w "}}]}`+"\n\n", tokens)
}

func runWorkload(t *testing.T, fakeEntry *fakeEntry, workload bench.Workload) *bench.Report {
	t.Helper()
	server := httptest.NewServer(fakeEntry)
	defer server.Close()
	endpoint := bench.Endpoint{EntryURLs: []string{server.URL}, APIKeys: map[string]string{"press": "key-press"}}
	report, err := bench.RunWorkload(t.Context(), endpoint, workload, nil, 1)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func shortWorkload(rate float64) bench.Workload {
	return bench.Workload{
		Model: "layout", Duration: 200 * time.Millisecond,
		Teams: []bench.TeamLoad{{Team: "press", RequestsPerSecond: rate}},
		Mixes: []bench.Mix{{MeanPromptTokens: 20, MeanOutputTokens: 5}},
	}
}

func TestRunWorkloadCountsOutcomes(t *testing.T) {
	fakeEntry := &fakeEntry{respond: func(w http.ResponseWriter, number int64) bool {
		switch number {
		case 1: // rejected without having run
			w.Header().Set("X-Mangopier-Run", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2: // failed, and may have run
			w.Header().Set("X-Mangopier-Run", "unknown")
			w.WriteHeader(http.StatusBadGateway)
		case 3: // truncated response
			fmt.Fprint(w, tokenEvents(1))
		case 4: // complete, but with too many tokens
			fmt.Fprint(w, tokenEvents(3000), "data: [DONE]\n\n")
		default:
			return false
		}
		return true
	}}
	report := runWorkload(t, fakeEntry, shortWorkload(150))
	want := [...]int{int(fakeEntry.requests.Load()), report.Offered - 4, report.Offered - 3, 1, 2, 0}
	got := [...]int{report.Offered, report.Good, report.Completed, report.Refused, report.Failed, report.Unsent}
	if got != want || report.Offered < 10 {
		t.Fatalf("offered, good, completed, refused, failed, unsent = %v, want %v with at least 10 offered", got, want)
	}
	if report.TTFT().Count() != int64(report.Completed) {
		t.Fatalf("TTFT().Count() = %d, want %d as completed", report.TTFT().Count(), report.Completed)
	}
}

func TestRunWorkloadLimitsRequestsInFlight(t *testing.T) {
	release := make(chan struct{})
	fakeEntry := &fakeEntry{release: release}
	workload := shortWorkload(150)
	workload.MaxInFlight = 3
	timer := time.AfterFunc(2*workload.Duration, func() { close(release) })
	defer timer.Stop()
	report := runWorkload(t, fakeEntry, workload)
	requests := int(fakeEntry.requests.Load())
	if fakeEntry.maxInFlight.Load() > 3 || report.Good != requests || report.Unsent != report.Offered-requests {
		t.Fatalf("%d requests, at most %d in flight, %+v; want at most 3 in flight, all sent ones good and the others unsent", requests, fakeEntry.maxInFlight.Load(), report)
	}
}

func TestRunWorkloadRejectsInvalidInput(t *testing.T) {
	endpoint := bench.Endpoint{EntryURLs: []string{"http://127.0.0.1:0"}, APIKeys: map[string]string{"press": "key-press"}}
	faults := []bench.Fault{{Kind: bench.EngineCrash}}
	failing := endpoint
	failing.InjectFault = func(context.Context, bench.Fault) error { return code.Errorf(code.NoTarget, "no such engine") }
	cases := []struct {
		name     string
		endpoint bench.Endpoint
		faults   []bench.Fault
	}{
		{"no entries", bench.Endpoint{APIKeys: endpoint.APIKeys}, nil},
		{"no API key", bench.Endpoint{EntryURLs: endpoint.EntryURLs}, nil},
		{"faults without fault injection", endpoint, faults},
		{"failing fault injection", failing, faults},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if _, err := bench.RunWorkload(t.Context(), test.endpoint, shortWorkload(20), test.faults, 1); !code.Is(err, code.CommandInvalid) {
				t.Fatalf("RunWorkload() = %v, want CommandInvalid", err)
			}
		})
	}
}
