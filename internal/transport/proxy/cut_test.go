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

// cutting answers with events that are written in pieces of the given sizes. Its
// first run breaks off after so many bytes, if that is less than all.
type cutting struct {
	events []string
	pieces []int
	cut    int
	runs   atomic.Int64
}

func (cutting *cutting) answer(w http.ResponseWriter, r *http.Request) {
	sign(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		_, _ = fmt.Sscan(text, &first)
	}
	text := strings.Join(cutting.events[first:], "")
	whole := len(text)
	if cutting.runs.Add(1) == 1 {
		text = text[:min(cutting.cut, whole)]
	}
	broken := len(text) < whole
	for i := 0; len(text) > 0; i++ {
		size := min(len(text), cutting.pieces[i%len(cutting.pieces)])
		_, _ = io.WriteString(w, text[:size])
		w.(http.Flusher).Flush()
		text = text[size:]
	}
	if broken {
		panic(http.ErrAbortHandler)
	}
}

// Wherever a stream breaks, and in whatever pieces it comes, the caller gets each
// event once and in order. Where it may be resumed these are all; elsewhere the
// answer breaks off after a whole event, and is never ended as complete.
func TestStreamsThatAreCutAnywhere(t *testing.T) {
	world := newWorld(t)
	world.target("p1", "llm", site.Prefill, prefill)
	var current atomic.Pointer[cutting]
	handler := func(w http.ResponseWriter, r *http.Request) { current.Load().answer(w, r) }
	world.target("d1", "llm", site.Decode, handler)
	world.target("d2", "llm", site.Decode, handler)
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(rt, "events")
		events := make([]string, count)
		for i := range events {
			data := rapid.StringMatching(`[a-z: ]{0,20}(\ndata: id: [0-9]{1,3})?`).Draw(rt, "data")
			events[i] = fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, data)
		}
		whole := strings.Join(events, "")
		cutting := &cutting{
			events: events,
			pieces: rapid.SliceOfN(rapid.IntRange(1, 40), 1, 6).Draw(rt, "pieces"),
			cut:    rapid.IntRange(0, len(whole)).Draw(rt, "cut"),
		}
		current.Store(cutting)
		path := rapid.SampledFrom([]string{"/ask/x", "/resume/x"}).Draw(rt, "path")
		answer := world.do(world.request(http.MethodPost, path))
		complete := cutting.cut == len(whole) || path == "/resume/x"
		switch {
		case complete && (answer.err != nil || answer.body != whole):
			rt.Fatalf("%s got %q, %v, want %q", path, answer.body, answer.err, whole)
		case !complete && answer.err == nil && answer.status == http.StatusOK:
			rt.Fatalf("a stream that broke off after %d bytes ended as complete: %q", cutting.cut, answer.body)
		case !complete && answer.body != "" && answer.status == http.StatusOK && !isPrefix(events, answer.body):
			rt.Fatalf("got %q of %q, no whole events", answer.body, whole)
		}
	})
}

// isPrefix reports whether a body is the first events, whole.
func isPrefix(events []string, body string) bool {
	for i := range events {
		if strings.Join(events[:i+1], "") == body {
			return true
		}
	}
	return false
}
