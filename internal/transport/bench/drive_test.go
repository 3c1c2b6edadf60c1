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

// standIn answers every chat call, some of them in a way that does not count.
type standIn struct {
	calls atomic.Int64
	odd   func(w http.ResponseWriter, call int64) bool // answers the call itself
	hold  <-chan struct{}                              // answers wait for it
	now   atomic.Int64                                 // calls in flight
	most  atomic.Int64                                 // of them at any time
}

func (standIn *standIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := standIn.calls.Add(1)
	standIn.most.Store(max(standIn.most.Load(), standIn.now.Add(1)))
	defer standIn.now.Add(-1)
	body, _ := io.ReadAll(r.Body)
	request, err := chat.Decode(body)
	if err != nil || !request.Stream || r.Header.Get("Authorization") != "Bearer key-press" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if standIn.hold != nil {
		<-standIn.hold
	}
	if standIn.odd != nil && standIn.odd(w, call) {
		return
	}
	fmt.Fprint(w, events(request.MaxTokens), "data: [DONE]\n\n")
}

func events(tokens int) string {
	return strings.Repeat(`data: {"choices":[{"delta":{"content":"w "}}]}`+"\n\n", tokens)
}

func drive(t *testing.T, standIn *standIn, workload bench.Workload) *bench.Report {
	t.Helper()
	server := httptest.NewServer(standIn)
	defer server.Close()
	endpoint := bench.Endpoint{Entries: []string{server.URL}, Keys: map[string]string{"press": "key-press"}}
	report, err := bench.Drive(t.Context(), endpoint, workload, nil, 1)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func shortWorkload(rate float64) bench.Workload {
	return bench.Workload{
		Model: "layout", Duration: 200 * time.Millisecond,
		Teams: []bench.TeamLoad{{Team: "press", Rate: rate}},
		Mixes: []bench.Mix{{PromptTokens: 20, OutputTokens: 5}},
	}
}

func TestDriveCountsOutcomes(t *testing.T) {
	standIn := &standIn{odd: func(w http.ResponseWriter, call int64) bool {
		switch call {
		case 1: // refused
			w.Header().Set("X-Mangopier-Run", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2: // failed, may have run
			w.Header().Set("X-Mangopier-Run", "unknown")
			w.WriteHeader(http.StatusBadGateway)
		case 3: // cut
			fmt.Fprint(w, events(1))
		case 4: // whole, but with a token too many
			fmt.Fprint(w, events(3000), "data: [DONE]\n\n")
		default:
			return false
		}
		return true
	}}
	report := drive(t, standIn, shortWorkload(150))
	want := [...]int{int(standIn.calls.Load()), report.Offered - 4, report.Offered - 3, 1, 2, 0}
	got := [...]int{report.Offered, report.Good, report.Answered, report.Refused, report.Failed, report.Unsent}
	if got != want || report.Offered < 10 {
		t.Fatalf("got %v, want %v", got, want)
	}
	if report.FirstByte().Count() != int64(report.Answered) {
		t.Fatalf("%d first bytes of %d answers", report.FirstByte().Count(), report.Answered)
	}
}

func TestDriveBoundsRequestsInFlight(t *testing.T) {
	hold := make(chan struct{})
	standIn := &standIn{hold: hold}
	workload := shortWorkload(150)
	workload.MaxInFlight = 3
	timer := time.AfterFunc(2*workload.Duration, func() { close(hold) })
	defer timer.Stop()
	report := drive(t, standIn, workload)
	calls := int(standIn.calls.Load())
	if standIn.most.Load() > 3 || report.Good != calls || report.Unsent != report.Offered-calls {
		t.Fatalf("%d calls, %d at once, %+v", calls, standIn.most.Load(), report)
	}
}

func TestDriveRefuses(t *testing.T) {
	endpoint := bench.Endpoint{Entries: []string{"http://127.0.0.1:0"}, Keys: map[string]string{"press": "key-press"}}
	faults := []bench.Fault{{Kind: bench.EngineCrash}}
	failing := endpoint
	failing.Inject = func(context.Context, bench.Fault) error { return code.Errorf(code.NoTarget, "no such engine") }
	cases := []struct {
		name     string
		endpoint bench.Endpoint
		faults   []bench.Fault
	}{
		{"no entries", bench.Endpoint{Keys: endpoint.Keys}, nil},
		{"no key", bench.Endpoint{Entries: endpoint.Entries}, nil},
		{"faults without a lab", endpoint, faults},
		{"fault that fails", failing, faults},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if _, err := bench.Drive(t.Context(), test.endpoint, shortWorkload(20), test.faults, 1); !code.Is(err, code.CommandInvalid) {
				t.Fatalf("got %v", err)
			}
		})
	}
}
