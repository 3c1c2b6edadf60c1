package proxy_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
)

// limited returns a handler that names a limit of requests a second in its responses,
// and counts the requests.
func limited(limit string, requests *atomic.Int64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodDelete {
			requests.Add(1)
		}
		w.Header().Set("Server-Limit", limit)
		next(w, r)
	}
}

// allowedRequests returns the requests that a target with a limit a second may get in
// some time, at least 4 s: one and a half times the limit and 5 more.
func allowedRequests(limit float64, length time.Duration) int64 {
	return int64(1.5*limit*max(4, length.Seconds()) + 5)
}

// Guards against sending a target more requests than the limit that it names, while
// others can take them.
func TestLimitOfTargetIsKept(t *testing.T) {
	respondEvents := func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 3) }
	for path, stage := range map[string]site.Stage{"/book/x": site.NoStage, "/ask/x": site.Prefill, "/resume/x": site.Decode} {
		t.Run(path+" "+stage.String(), func(t *testing.T) {
			harness := newHarness(t)
			var requests atomic.Int64
			add := func(id, service string, at site.Stage, respond http.HandlerFunc) {
				if at == stage {
					harness.startTarget(id+"-limited", service, at, limited("2", &requests, respond))
				}
				harness.startTarget(id, service, at, respond)
			}
			add("s", "desk", site.NoStage, respondOK)
			add("p", "llm", site.Prefill, respondPrefilled)
			add("d", "llm", site.Decode, respondEvents)
			started := time.Now()
			for i := range 200 {
				request := harness.newRequest(http.MethodPost, path)
				request.Header.Set("Prompt-Prefix", fmt.Sprintf("%x:800,%x:660", i, i)) // so that all engines get prompts
				if response := harness.do(request); response.status != http.StatusOK {
					t.Fatalf("status = %d, want 200", response.status)
				}
			}
			if requests.Load() == 0 {
				t.Error("requests at the target = 0, want some")
			}
			if allowed := allowedRequests(2, time.Since(started)); requests.Load() > allowed {
				t.Errorf("requests at the target = %d, want at most %d", requests.Load(), allowed)
			}
		})
	}
}
