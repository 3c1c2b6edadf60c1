package proxy_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
)

// serveResumption returns a handler of decode engines. It serves the first run of a
// stream with sendEventsWithSilence and the run that resumes it with resume.
func serveResumption(resume http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if r.Header.Get("Last-Event-Id") != "" {
			resume(w, r)
			return
		}
		sendEventsWithSilence(w, r)
	}
}

// sendStreamHeader sends the header of a stream.
func sendStreamHeader(w http.ResponseWriter, r *http.Request) {
	setResponseHeaders(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
}

// Guards against cutting a silent stream because the engine that was to resume it
// sent a header, but then no event.
func TestSilentStreamGoesOnIfResumingEngineSendsNoEvent(t *testing.T) {
	for name, end := range map[string]func(*http.Request){
		"breaks off": func(*http.Request) {
			time.Sleep(50 * time.Millisecond)
			panic(http.ErrAbortHandler)
		},
		"is silent": func(r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
			decode := serveResumption(func(w http.ResponseWriter, r *http.Request) {
				sendStreamHeader(w, r)
				end(r)
			})
			harness.startTarget("d1", "llm", site.Decode, decode)
			harness.startTarget("d2", "llm", site.Decode, decode)
			harness.wantFourEvents(harness.do(harness.newRequest(http.MethodPost, "/resume/x")))
		})
	}
}

// Guards against holding up a stream that goes on while the engine that was to
// resume it sends an error whose body does not end.
func TestStreamIsNotHeldUpByErrorOfResumingEngine(t *testing.T) {
	for name, sendHeader := range map[string]http.HandlerFunc{
		"failed": func(w http.ResponseWriter, r *http.Request) {
			setResponseHeaders(w, r)
			w.WriteHeader(http.StatusInternalServerError)
		},
		"not run": respondNotRun,
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
			decode := serveResumption(func(w http.ResponseWriter, r *http.Request) {
				sendHeader(w, r)
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			})
			harness.startTarget("d1", "llm", site.Decode, decode)
			harness.startTarget("d2", "llm", site.Decode, decode)
			harness.wantFourEvents(harness.do(harness.newRequest(http.MethodPost, "/resume/x")))
		})
	}
}

// Guards against ending the run that would resume a stream because the silent run
// sends its header, or part of an event, before it breaks off.
func TestResumingRunGoesOnUntilSilentRunSendsEvent(t *testing.T) {
	for name, sign := range map[string]string{"header": "", "part of an event": "id: 1\nda"} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
			var runs atomic.Int64
			decode := func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				if runs.Add(1) > 1 {
					time.Sleep(targetSilence)
					sendEvents(w, r, 4)
					return
				}
				time.Sleep(targetSilence)
				sendStreamHeader(w, r)
				_, _ = io.WriteString(w, sign)
				w.(http.Flusher).Flush()
				time.Sleep(100 * time.Millisecond)
				panic(http.ErrAbortHandler)
			}
			harness.startTarget("d1", "llm", site.Decode, decode)
			harness.startTarget("d2", "llm", site.Decode, decode)
			harness.wantFourEvents(harness.do(harness.newRequest(http.MethodPost, "/resume/x")))
		})
	}
}

// Guards against losing the complete answer of a silent engine, here an error, when
// the run beside it gives none.
func TestErrorOfSilentRunIsDeliveredIfOtherRunGivesNoAnswer(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	var runs atomic.Int64
	decode := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		first := runs.Add(1) == 1
		time.Sleep(targetSilence)
		if !first {
			panic(http.ErrAbortHandler)
		}
		setResponseHeaders(w, r)
		w.WriteHeader(http.StatusUnprocessableEntity)
		_, _ = io.WriteString(w, "its own error")
	}
	harness.startTarget("d1", "llm", site.Decode, decode)
	harness.startTarget("d2", "llm", site.Decode, decode)
	response := harness.do(harness.newRequest(http.MethodPost, "/resume/x"))
	if response.status != http.StatusUnprocessableEntity || response.body != "its own error" {
		t.Errorf("response = %+v, want status %d and the engine's body\nlog: %s", response, http.StatusUnprocessableEntity, harness.log)
	}
}
