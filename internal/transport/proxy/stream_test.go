package proxy_test

import (
	"net/http"
	"slices"
	"testing"

	"mangopier.example/mangopier/internal/protocol/site"
)

func TestStreamIsPrefilledThenDecoded(t *testing.T) {
	world := newWorld(t)
	world.target("p1", "llm", site.Prefill, prefill)
	var source string
	world.target("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
		source = r.Header.Get("Kv-Source")
		events(w, r, 3)
	})
	answer := world.do(world.request(http.MethodPost, "/ask/x"))
	if answer.err != nil || answer.status != http.StatusOK || answer.body != event(1)+event(2)+event(3) {
		t.Fatalf("answer %+v", answer)
	}
	if want := world.targets[0].Address + "/h1"; source != want {
		t.Errorf("prompt is fetched from %q, want %q", source, want)
	}
	if world.began("press") != 1 {
		t.Errorf("usage counts %d requests", world.began("press"))
	}
}

// A caller that resumes a stream by itself must not get events twice.
func TestCallersResumeGoesOnAtItsEvent(t *testing.T) {
	world := newWorld(t)
	world.target("p1", "llm", site.Prefill, prefill)
	world.target("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) { events(w, r, 4) })
	request := world.request(http.MethodPost, "/resume/x")
	request.Header.Set("Last-Event-Id", "2")
	answer := world.do(request)
	if answer.err != nil || answer.body != event(3)+event(4) {
		t.Fatalf("answer %+v, want events 3 and 4", answer)
	}
}

// A stream that breaks off goes on at another engine without a missing or a
// doubled event.
func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	world := newWorld(t)
	world.target("p1", "llm", site.Prefill, prefill)
	breakOff := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			events(w, r, 4)
			return
		}
		events(w, r, 2)
		_, _ = w.Write([]byte("id: 3\ndata: to"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	world.target("d1", "llm", site.Decode, breakOff)
	world.target("d2", "llm", site.Decode, breakOff)
	answer := world.do(world.request(http.MethodPost, "/resume/x"))
	if answer.err != nil || answer.body != event(1)+event(2)+event(3)+event(4) {
		t.Fatalf("answer %+v", answer)
	}
}

// The engine at which a stream goes on fetches the prompt from the one that
// read it, as the handle is taken.
func TestStreamThatGoesOnFetchesItsPrompt(t *testing.T) {
	world := newWorld(t)
	world.target("p1", "llm", site.Prefill, prefill)
	keeper := world.targets[0].Address
	var fetched []string
	decode := func(w http.ResponseWriter, r *http.Request) {
		fetched = append(fetched, r.Header.Get("Kv-Source")+" "+r.Header.Get("Kv-Fetch"))
		if r.Header.Get("Last-Event-Id") != "" {
			events(w, r, 4)
			return
		}
		events(w, r, 2)
		panic(http.ErrAbortHandler)
	}
	world.target("d1", "llm", site.Decode, decode)
	world.target("d2", "llm", site.Decode, decode)
	if answer := world.do(world.request(http.MethodPost, "/resume/x")); answer.err != nil {
		t.Fatalf("answer %+v", answer)
	}
	if want := []string{keeper + "/h1 ", " " + keeper}; !slices.Equal(fetched, want) {
		t.Errorf("prompt is fetched from %q, want %q", fetched, want)
	}
}

// A stream that may not be resumed breaks off towards the caller too, after
// its last whole event.
func TestBrokenStreamIsNotEndedAsWhole(t *testing.T) {
	world := newWorld(t)
	world.target("p1", "llm", site.Prefill, prefill)
	runs := 0
	world.target("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
		runs++
		events(w, r, 2)
		_, _ = w.Write([]byte("id: 3\nda"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	answer := world.do(world.request(http.MethodPost, "/ask/x"))
	if answer.err == nil || answer.body != event(1)+event(2) || runs != 1 {
		t.Fatalf("answer %+v after %d runs", answer, runs)
	}
}
