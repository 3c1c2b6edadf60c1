package proxy_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
)

// Guards against requests that cannot be in time any more and make others late: while
// the engine has work for longer than the route's objective, further prompts are sent
// to it with the lowest priority. Decode goes on with the route's own.
func TestLatePrefillHasLowestPriority(t *testing.T) {
	harness := newHarness(t)
	var mutex sync.Mutex
	var prefills, decodes []string
	record := func(priorities *[]string, r *http.Request) {
		mutex.Lock()
		defer mutex.Unlock()
		*priorities = append(*priorities, r.Header.Get("Request-Priority"))
	}
	harness.startTarget("p1", "llm", site.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			record(&prefills, r)
		}
		respondPrefilled(w, r)
	})
	harness.startTarget("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
		record(&decodes, r)
		sendEvents(w, r, 4)
	})
	harness.wantFourEvents(harness.do(harness.newRequest(http.MethodPost, "/ask/x")))
	busy := place.LoadReport{Loads: []place.TargetLoad{{Target: "p1", PrefillMS: [4]float32{float32((600 * time.Millisecond).Milliseconds())}}}}
	harness.scheduler.MergeReport("b", busy)
	harness.wantFourEvents(harness.do(harness.newRequest(http.MethodPost, "/ask/x")))
	mutex.Lock()
	defer mutex.Unlock()
	if len(prefills) != 2 || prefills[0] != "0" || prefills[1] != "9" {
		t.Errorf("priorities of prefill = %v, want 0 and then 9", prefills)
	}
	if len(decodes) != 2 || decodes[0] != "0" || decodes[1] != "0" {
		t.Errorf("priorities of decode = %v, want 0 both times", decodes)
	}
}

// Guards against holding a request until its deadline whose prefill never gets its turn:
// the caller is refused while it can still come back, and is told that the request has
// not run.
func TestLatePrefillIsRefusedBeforeDeadline(t *testing.T) {
	harness := newHarness(t, withoutRetryBudget())
	harness.startTarget("p1", "llm", site.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_, _ = io.Copy(io.Discard, r.Body) // the end of the call is seen behind its body only
			<-r.Context().Done()               // others with a higher priority keep arriving
		}
	})
	harness.startTarget("d1", "llm", site.Decode, func(_ http.ResponseWriter, _ *http.Request) {
		t.Error("the request ran at the decode engine")
	})
	busy := place.LoadReport{Loads: []place.TargetLoad{{Target: "p1", PrefillMS: [4]float32{float32((600 * time.Millisecond).Milliseconds())}}}}
	harness.scheduler.MergeReport("b", busy)
	response := harness.do(harness.newRequest(http.MethodPost, "/ask/x"))
	if response.status != http.StatusTooManyRequests || response.header.Get("Retry-After") == "" {
		t.Errorf("response = %+v, want status %d and Retry-After\nlog: %s", response, http.StatusTooManyRequests, harness.log)
	}
}
