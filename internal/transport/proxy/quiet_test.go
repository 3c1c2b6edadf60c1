package proxy_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"mangopier.example/mangopier/internal/protocol/site"
)

// respondQuiet returns a handler that did not run the request and asks for a pause.
func respondQuiet(retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", retryAfter)
		respondNotRun(w, r)
	}
}

// Guards against asking a target again while it wants no requests.
func TestQuietTargetGetsNoSecondRequest(t *testing.T) {
	harness := newHarness(t)
	var requests atomic.Int64
	harness.startTarget("s1", "desk", site.NoStage, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		respondQuiet("60")(w, r)
	})
	harness.do(harness.newRequest(http.MethodPost, "/book/x"))
	harness.startTarget("s2", "desk", site.NoStage, respondOK)
	for range 20 {
		if response := harness.do(harness.newRequest(http.MethodPost, "/book/x")); response.status != http.StatusOK {
			t.Errorf("status = %d, want 200", response.status)
		}
	}
	if requests.Load() != 1 {
		t.Errorf("requests at the quiet target = %d, want 1", requests.Load())
	}
}

// Guards against leaving a target out for good once it has asked for a pause.
func TestTargetIsUsedAgainAfterItsRetryAfter(t *testing.T) {
	harness := newHarness(t)
	var requests, others atomic.Int64
	harness.startTarget("s1", "desk", site.NoStage, func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 1 {
			respondQuiet("0.3")(w, r)
			return
		}
		respondOK(w, r)
	})
	harness.do(harness.newRequest(http.MethodPost, "/book/x"))
	harness.startTarget("s2", "desk", site.NoStage, func(w http.ResponseWriter, r *http.Request) {
		others.Add(1)
		respondOK(w, r)
	})
	for requests.Load() < 2 && others.Load() < 100_000 {
		if response := harness.do(harness.newRequest(http.MethodPost, "/book/x")); response.status != http.StatusOK {
			t.Fatalf("status = %d, want 200", response.status)
		}
	}
	if requests.Load() != 2 || others.Load() == 0 {
		t.Errorf("requests at the quiet target and the other = %d, %d, want the other first and then 2", requests.Load(), others.Load())
	}
}

// Guards against a refusal that asks the caller to return later than the first
// target does, or that does not state that the request was not run.
func TestAllTargetsQuiet(t *testing.T) {
	harness := newHarness(t)
	var requests atomic.Int64
	for id, retryAfter := range map[string]string{"s1": "60", "s2": "5.5"} {
		harness.startTarget(id, "desk", site.NoStage, func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			respondQuiet(retryAfter)(w, r)
		})
	}
	var prefills atomic.Int64
	harness.startTarget("p1", "llm", site.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodDelete {
			prefills.Add(1)
		}
		respondPrefilled(w, r)
	})
	harness.startTarget("d1", "llm", site.Decode, respondQuiet("5.5"))
	for _, path := range []string{"/book/x", "/book/x", "/read/x", "/ask/x", "/ask/x"} {
		response := harness.do(harness.newRequest(http.MethodPost, path))
		seconds, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
		if response.status != http.StatusServiceUnavailable || response.header.Get("X-Mangopier-Run") != "not-run" {
			t.Errorf("%s: response = %d with headers %v, want 503, not-run", path, response.status, response.header)
		}
		if err != nil || seconds <= 0 || seconds > 5.5 {
			t.Errorf("%s: Retry-After = %q, want above 0 and at most 5.5", path, response.header.Get("Retry-After"))
		}
	}
	if requests.Load() != 2 {
		t.Errorf("requests at the quiet targets = %d, want 2", requests.Load())
	}
	if prefills.Load() != 1 {
		t.Errorf("prefills of the two prompts = %d, want 1, before the decode engine asked for a pause", prefills.Load())
	}
}

// Guards against leaving a target alone for a time that makes no sense, and against
// a log line for each such answer.
func TestInvalidRetryAfterIsLoggedOnce(t *testing.T) {
	harness := newHarness(t)
	var requests atomic.Int64
	harness.startTarget("s1", "desk", site.NoStage, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		respondQuiet("-3")(w, r)
	})
	for range 3 {
		harness.do(harness.newRequest(http.MethodPost, "/book/x"))
	}
	if lines := strings.Count(harness.log.String(), `"retry-after":"-3"`); lines != 1 || requests.Load() != 3 {
		t.Errorf("log lines = %d after %d requests, want 1 after 3", lines, requests.Load())
	}
}

// Guards against calls that release prompts at an engine that wants no requests: they
// are requests too.
func TestQuietEngineGetsNoReleases(t *testing.T) {
	harness := newHarness(t)
	var releases, prefills atomic.Int64
	harness.startTarget("p1", "llm", site.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			releases.Add(1)
			return
		}
		if prefills.Add(1) == 2 { // while the first prompt is being decoded
			respondQuiet("60")(w, r)
			return
		}
		respondPrefilled(w, r)
	})
	decoding, refuse := make(chan struct{}), make(chan struct{})
	harness.startTarget("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Kv-Source") != "" {
			close(decoding)
			<-refuse
		}
		respondNotRun(w, r)
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		harness.do(harness.newRequest(http.MethodPost, "/ask/x"))
	}()
	<-decoding
	harness.do(harness.newRequest(http.MethodPost, "/ask/y"))
	close(refuse)
	<-ended
	harness.proxy.Wait()
	if releases.Load() != 0 {
		t.Errorf("calls that release prompts at the quiet engine = %d, want 0", releases.Load())
	}
}
