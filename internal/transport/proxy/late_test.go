package proxy_test

import (
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
