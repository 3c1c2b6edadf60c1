package proxy_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/proxy"
)

// targetSilence is how long the targets of these tests are silent before they go
// on. It is longer than this instance waits before it turns to another target.
const targetSilence = 1500 * time.Millisecond

// withoutRetryBudget returns an option with which no request may be sent a second
// time.
func withoutRetryBudget() proxy.Option {
	return proxy.WithBounds(site.Bounds{RetryWindow: 10 * time.Second, MaxRetryAfter: 10 * time.Second})
}

// sendEventsWithSilence sends four events and is silent after the second.
func sendEventsWithSilence(w http.ResponseWriter, r *http.Request) {
	sendEvents(w, r, 2)
	time.Sleep(targetSilence)
	for id := 3; id <= 4; id++ {
		_, _ = w.Write([]byte(eventText(id)))
	}
}

const fourEvents = "id: 1\ndata: token\n\nid: 2\ndata: token\n\nid: 3\ndata: token\n\nid: 4\ndata: token\n\n"

func (harness *harness) wantFourEvents(response callerResponse) {
	harness.t.Helper()
	if response.err != nil || response.status != http.StatusOK || response.body != fourEvents {
		harness.t.Errorf("response = %+v, want status %d and events 1 to 4\nlog: %s", response, http.StatusOK, harness.log)
	}
}

// Guards against cutting a stream whose engine is silent for a moment when the
// retry budget allows no other run.
func TestSilentStreamGoesOnWithoutRetryBudget(t *testing.T) {
	harness := newHarness(t, withoutRetryBudget())
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	harness.startTarget("d1", "llm", site.Decode, sendEventsWithSilence)
	harness.startTarget("d2", "llm", site.Decode, sendEventsWithSilence)
	harness.wantFourEvents(harness.do(harness.newRequest(http.MethodPost, "/resume/x")))
}

// Guards against a 502 for a stream whose engine is silent before its first event
// when the retry budget allows no other run.
func TestStreamSilentBeforeFirstEventGoesOnWithoutRetryBudget(t *testing.T) {
	harness := newHarness(t, withoutRetryBudget())
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	harness.startTarget("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(targetSilence)
		sendEvents(w, r, 4)
	})
	harness.wantFourEvents(harness.do(harness.newRequest(http.MethodPost, "/resume/x")))
}

// Guards against cutting a silent stream because the engine that was to resume it
// refuses to, or does not take connections.
func TestSilentStreamGoesOnIfNoEngineResumesIt(t *testing.T) {
	for name, resume := range map[string]http.HandlerFunc{
		"refused": respondNotRun,
		"broken":  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		harness := newHarness(t)
		harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
		decode := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-Id") != "" {
				resume(w, r)
				return
			}
			sendEventsWithSilence(w, r)
		}
		harness.startTarget("d1", "llm", site.Decode, decode)
		harness.startTarget("d2", "llm", site.Decode, decode)
		t.Log(name)
		harness.wantFourEvents(harness.do(harness.newRequest(http.MethodPost, "/resume/x")))
	}
}

// Guards against missing and repeated events when another engine resumes a silent
// stream, whether or not the silent engine goes on meanwhile.
func TestSilentStreamIsResumedOnce(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond} {
		harness := newHarness(t)
		harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
		var resumed atomic.Int64
		decode := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-Id") == "" {
				sendEventsWithSilence(w, r)
				return
			}
			resumed.Add(1)
			time.Sleep(delay)
			sendEvents(w, r, 4)
		}
		harness.startTarget("d1", "llm", site.Decode, decode)
		harness.startTarget("d2", "llm", site.Decode, decode)
		harness.wantFourEvents(harness.do(harness.newRequest(http.MethodPost, "/resume/x")))
		if resumed.Load() != 1 {
			t.Errorf("runs that resumed the stream = %d, want 1", resumed.Load())
		}
	}
}

// Guards against a 502 for a safe call whose target is slow when the retry budget
// allows no other call.
func TestSlowSafeCallIsAnsweredWithoutRetryBudget(t *testing.T) {
	harness := newHarness(t, withoutRetryBudget())
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(targetSilence)
		respondWith("read")(w, r)
	}
	harness.startTarget("s1", "desk", site.NoStage, slow)
	harness.startTarget("s2", "desk", site.NoStage, slow)
	response := harness.do(harness.newRequest(http.MethodGet, "/read/x"))
	if response.err != nil || response.status != http.StatusOK || response.body != "read" {
		t.Errorf("response = %+v, want status %d and the target's body", response, http.StatusOK)
	}
}

// Guards against a 502 for a safe call whose target is slow when the target that
// it is repeated at fails.
func TestSlowSafeCallIsAnsweredIfRepeatFails(t *testing.T) {
	harness := newHarness(t)
	var calls atomic.Int64
	serve := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(targetSilence)
		respondWith("read")(w, r)
	}
	harness.startTarget("s1", "desk", site.NoStage, serve)
	harness.startTarget("s2", "desk", site.NoStage, serve)
	response := harness.do(harness.newRequest(http.MethodGet, "/read/x"))
	if response.err != nil || response.status != http.StatusOK || response.body != "read" || calls.Load() != 2 {
		t.Errorf("response = %+v after %d calls, want status %d and the target's body after 2", response, calls.Load(), http.StatusOK)
	}
}

// Guards against refusing a request whose prompt is still being prefilled when the
// retry budget allows no other engine.
func TestSlowPrefillGoesOnWithoutRetryBudget(t *testing.T) {
	harness := newHarness(t, withoutRetryBudget())
	slow := func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.Method, http.MethodPost) {
			time.Sleep(targetSilence)
		}
		respondPrefilled(w, r)
	}
	harness.startTarget("p1", "llm", site.Prefill, slow)
	harness.startTarget("p2", "llm", site.Prefill, slow)
	harness.startTarget("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 4) })
	harness.wantFourEvents(harness.do(harness.newRequest(http.MethodPost, "/ask/x")))
}

// Guards against a stalled stream that sends a byte now and then: bytes that complete no
// event are no progress, and another engine resumes the stream.
func TestStreamWithoutCompleteEventsIsResumed(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	var runs atomic.Int64
	decode := func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			sendEvents(w, r, 2)
			sendBytesSlowly(w, r)
			return
		}
		sendEvents(w, r, 4)
	}
	harness.startTarget("d1", "llm", site.Decode, decode)
	harness.startTarget("d2", "llm", site.Decode, decode)
	harness.wantFourEvents(harness.do(harness.newRequest(http.MethodPost, "/resume/x")))
}

// sendBytesSlowly sends an event that is never complete until the caller leaves.
func sendBytesSlowly(w http.ResponseWriter, r *http.Request) {
	for {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(targetSilence / 15):
		}
		if _, err := w.Write([]byte(".")); err != nil {
			return
		}
		w.(http.Flusher).Flush() //nolint:forcetypeassert // of httptest
	}
}
