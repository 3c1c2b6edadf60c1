package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/protocol/site"
)

// fakeStream responds with events in chunks of the given sizes. Its first run
// breaks off after breakAt bytes, if there are more.
type fakeStream struct {
	events     []string
	chunkSizes []int
	breakAt    int
	runs       atomic.Int64
}

func (fakeStream *fakeStream) serve(w http.ResponseWriter, r *http.Request) {
	setResponseHeaders(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		_, _ = fmt.Sscan(text, &first)
	}
	text := strings.Join(fakeStream.events[first:], "")
	whole := len(text)
	if fakeStream.runs.Add(1) == 1 {
		text = text[:min(fakeStream.breakAt, whole)]
	}
	broken := len(text) < whole
	for i := 0; len(text) > 0; i++ {
		size := min(len(text), fakeStream.chunkSizes[i%len(fakeStream.chunkSizes)])
		_, _ = io.WriteString(w, text[:size])
		w.(http.Flusher).Flush()
		text = text[size:]
	}
	if broken {
		panic(http.ErrAbortHandler)
	}
}

// A stream may arrive in any chunks and break at any byte. The caller must get
// each event once and in order: all events if the route is resumable, else a
// response that breaks off after a complete event and never ends as complete.
func TestStreamBrokenAtAnyByte(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	var current atomic.Pointer[fakeStream]
	handler := func(w http.ResponseWriter, r *http.Request) { current.Load().serve(w, r) }
	harness.startTarget("d1", "llm", site.Decode, handler)
	harness.startTarget("d2", "llm", site.Decode, handler)
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(rt, "events")
		events := make([]string, count)
		for i := range events {
			data := rapid.StringMatching(`[a-z: ]{0,20}(\ndata: id: [0-9]{1,3})?`).Draw(rt, "data")
			events[i] = fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, data)
		}
		whole := strings.Join(events, "")
		fakeStream := &fakeStream{
			events:     events,
			chunkSizes: rapid.SliceOfN(rapid.IntRange(1, 40), 1, 6).Draw(rt, "chunk sizes"),
			breakAt:    rapid.IntRange(0, len(whole)).Draw(rt, "break at"),
		}
		current.Store(fakeStream)
		path := rapid.SampledFrom([]string{"/ask/x", "/resume/x"}).Draw(rt, "path")
		response := harness.do(harness.newRequest(http.MethodPost, path))
		complete := fakeStream.breakAt == len(whole) || path == "/resume/x"
		switch {
		case complete && (response.err != nil || response.body != whole):
			rt.Fatalf("%s: body = %q, error %v, want %q", path, response.body, response.err, whole)
		case !complete && response.err == nil && response.status == http.StatusOK:
			rt.Fatalf("stream that broke off after %d bytes was reported complete: %q", fakeStream.breakAt, response.body)
		case !complete && response.body != "" && response.status == http.StatusOK && !isPrefix(events, response.body):
			rt.Fatalf("body = %q, want complete events of %q", response.body, whole)
		}
	})
}

// isPrefix reports whether body consists of one or more of the first events.
func isPrefix(events []string, body string) bool {
	for i := range events {
		if strings.Join(events[:i+1], "") == body {
			return true
		}
	}
	return false
}
