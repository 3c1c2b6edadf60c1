package proxy_test

import (
	"net/http"
	"slices"
	"testing"

	"mangopier.example/mangopier/internal/protocol/site"
)

func TestStreamIsPrefilledThenDecoded(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	var source string
	harness.startTarget("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
		source = r.Header.Get("Kv-Source")
		sendEvents(w, r, 3)
	})
	response := harness.do(harness.newRequest(http.MethodPost, "/ask/x"))
	if response.err != nil || response.status != http.StatusOK || response.body != eventText(1)+eventText(2)+eventText(3) {
		t.Fatalf("response = %+v, want status %d and events 1 to 3", response, http.StatusOK)
	}
	if want := harness.targets[0].Address + "/h1"; source != want {
		t.Errorf("Kv-Source = %q, want %q", source, want)
	}
	if harness.usageCount("press") != 1 {
		t.Errorf("usage count = %d, want 1", harness.usageCount("press"))
	}
}

// A caller that resumes a stream with Last-Event-Id must not get events twice.
func TestCallerResumesAfterLastEvent(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	harness.startTarget("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 4) })
	request := harness.newRequest(http.MethodPost, "/resume/x")
	request.Header.Set("Last-Event-Id", "2")
	response := harness.do(request)
	if response.err != nil || response.body != eventText(3)+eventText(4) {
		t.Fatalf("response = %+v, want events 3 and 4", response)
	}
}

// A stream that breaks off within an event is resumed at another engine,
// without a missing or a repeated event.
func TestBrokenStreamIsResumedElsewhere(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	breakOff := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			sendEvents(w, r, 4)
			return
		}
		sendEvents(w, r, 2)
		_, _ = w.Write([]byte("id: 3\ndata: to"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	harness.startTarget("d1", "llm", site.Decode, breakOff)
	harness.startTarget("d2", "llm", site.Decode, breakOff)
	response := harness.do(harness.newRequest(http.MethodPost, "/resume/x"))
	if response.err != nil || response.body != eventText(1)+eventText(2)+eventText(3)+eventText(4) {
		t.Fatalf("response = %+v, want events 1 to 4", response)
	}
}

// The first decode engine uses up the handle, so the engine that resumes the
// stream must fetch the prompt from the engine that prefilled it.
func TestResumingEngineFetchesPromptFromPrefillEngine(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	prefiller := harness.targets[0].Address
	var fetched []string
	decode := func(w http.ResponseWriter, r *http.Request) {
		fetched = append(fetched, r.Header.Get("Kv-Source")+" "+r.Header.Get("Kv-Fetch"))
		if r.Header.Get("Last-Event-Id") != "" {
			sendEvents(w, r, 4)
			return
		}
		sendEvents(w, r, 2)
		panic(http.ErrAbortHandler)
	}
	harness.startTarget("d1", "llm", site.Decode, decode)
	harness.startTarget("d2", "llm", site.Decode, decode)
	if response := harness.do(harness.newRequest(http.MethodPost, "/resume/x")); response.err != nil {
		t.Fatalf("response = %+v, want no error", response)
	}
	if want := []string{prefiller + "/h1 ", " " + prefiller}; !slices.Equal(fetched, want) {
		t.Errorf("Kv-Source and Kv-Fetch of the decode calls = %q, want %q", fetched, want)
	}
}

// A broken stream that may not be resumed must break off towards the caller
// too, after its last complete event.
func TestBrokenStreamIsNotReportedComplete(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	runs := 0
	harness.startTarget("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
		runs++
		sendEvents(w, r, 2)
		_, _ = w.Write([]byte("id: 3\nda"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	response := harness.do(harness.newRequest(http.MethodPost, "/ask/x"))
	if response.err == nil || response.body != eventText(1)+eventText(2) || runs != 1 {
		t.Fatalf("response = %+v after %d runs, want events 1 and 2 and an error after 1", response, runs)
	}
}
