package proxy_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
)

// respondLeaving returns a handler of a target that counts its requests and states
// in each answer that it leaves.
func respondLeaving(count *atomic.Int64, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		w.Header().Set("Server-Leaving", "1")
		handler(w, r)
	}
}

func respondOK(w http.ResponseWriter, r *http.Request) { setResponseHeaders(w, r) }

func respondStatus(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

// Guards against sending requests to a target that has said that it leaves,
// whatever the answer in which it said so.
func TestLeavingTargetGetsNoSecondRequest(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"success": respondOK, "error": respondStatus(http.StatusInternalServerError), "refusal": respondNotRun,
	} {
		harness := newHarness(t)
		var leaving, staying atomic.Int64
		harness.startTarget("s1", "desk", site.NoStage, respondLeaving(&leaving, handler))
		harness.do(harness.newRequest(http.MethodPost, "/book/x"))
		harness.startTarget("s2", "desk", site.NoStage, func(w http.ResponseWriter, r *http.Request) {
			staying.Add(1)
			respondOK(w, r)
		})
		const requests = 20
		for range requests {
			if response := harness.do(harness.newRequest(http.MethodPost, "/book/x")); response.status != http.StatusOK {
				t.Errorf("%s: status = %d, want 200 of the other target", name, response.status)
			}
		}
		if leaving.Load() != 1 || staying.Load() != requests {
			t.Errorf("%s: requests at the leaving target and the other = %d, %d, want 1, %d", name, leaving.Load(), staying.Load(), requests)
		}
		if lines := strings.Count(harness.log.String(), "target leaves"); lines != 1 {
			t.Errorf("%s: log lines about the leaving target = %d, want 1", name, lines)
		}
	}
}

// Guards against keeping a restarted target out of use because its last run left,
// and against taking a row that still says ready for a restart.
func TestRestartedTargetIsUsedAgain(t *testing.T) {
	harness := newHarness(t)
	var count atomic.Int64
	harness.startTarget("s1", "desk", site.NoStage, respondLeaving(&count, respondOK))
	first := harness.do(harness.newRequest(http.MethodPost, "/book/x"))
	if first.status != http.StatusOK || first.header.Get("Server-Leaving") != "" {
		t.Errorf("first response = %d with headers %v, want 200 without the target's own header", first.status, first.header)
	}
	harness.scheduler.SetTargets(harness.targets, harness.proxy.Manifest().Services)
	if response := harness.do(harness.newRequest(http.MethodPost, "/book/x")); response.status != http.StatusServiceUnavailable {
		t.Errorf("status while the target leaves = %d, want 503", response.status)
	}
	harness.targets[0].Started = time.Unix(1_771_142_700, 0)
	harness.scheduler.SetTargets(harness.targets, harness.proxy.Manifest().Services)
	if response := harness.do(harness.newRequest(http.MethodPost, "/book/x")); response.status != http.StatusOK {
		t.Errorf("status after the restart = %d, want 200", response.status)
	}
	if count.Load() != 2 {
		t.Errorf("requests at the target = %d, want 2", count.Load())
	}
}

// Guards against ending a stream at an engine that leaves, and against sending that
// engine another one.
func TestStreamAtLeavingEngineEndsWhole(t *testing.T) {
	harness := newHarness(t)
	var prefills, decodes atomic.Int64
	headerSent, finish := make(chan struct{}), make(chan struct{})
	harness.startTarget("p1", "llm", site.Prefill, respondLeaving(&prefills, respondPrefilled))
	harness.startTarget("d1", "llm", site.Decode, respondLeaving(&decodes, func(w http.ResponseWriter, r *http.Request) {
		setResponseHeaders(w, r)
		_, _ = w.Write([]byte(eventText(1)))
		w.(http.Flusher).Flush()
		close(headerSent)
		<-finish
		for id := 2; id <= 4; id++ {
			_, _ = w.Write([]byte(eventText(id)))
		}
	}))
	responses := make(chan callerResponse, 1)
	go func() { responses <- harness.do(harness.newRequest(http.MethodPost, "/ask/x")) }()
	<-headerSent
	for !strings.Contains(harness.log.String(), `"target":"d1"`) {
		time.Sleep(time.Millisecond)
	}
	if second := harness.do(harness.newRequest(http.MethodPost, "/ask/x")); second.status != http.StatusServiceUnavailable {
		t.Errorf("status of the second request = %d, want 503", second.status)
	}
	close(finish)
	want := eventText(1) + eventText(2) + eventText(3) + eventText(4)
	if response := <-responses; response.err != nil || response.body != want {
		t.Errorf("stream = %q (%v), want %q", response.body, response.err, want)
	}
	if prefills.Load() != 1 || decodes.Load() != 1 {
		t.Errorf("requests at the prefill and the decode engine = %d, %d, want 1 each", prefills.Load(), decodes.Load())
	}
}

// Guards against missing that an engine leaves when only its answer to the release
// of a KV handle says so.
func TestReleaseTellsThatEngineLeaves(t *testing.T) {
	harness := newHarness(t)
	var prefills atomic.Int64
	released := make(chan struct{}, 1)
	harness.startTarget("p1", "llm", site.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			w.Header().Set("Server-Leaving", "1")
			released <- struct{}{}
			return
		}
		prefills.Add(1)
		respondPrefilled(w, r)
	})
	harness.startTarget("d1", "llm", site.Decode, respondNotRun)
	harness.do(harness.newRequest(http.MethodPost, "/ask/x"))
	<-released
	harness.proxy.Wait()
	harness.do(harness.newRequest(http.MethodPost, "/ask/x"))
	if prefills.Load() != 1 {
		t.Errorf("prefills at the leaving engine = %d, want 1\nlog: %s", prefills.Load(), harness.log)
	}
}
