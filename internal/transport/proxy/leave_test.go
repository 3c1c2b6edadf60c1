package proxy_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/proxy"
	"mangopier.example/mangopier/platform"
)

// leaveAt has callers leave while their request is at the engine with the given ID,
// which never answers, and returns the weights of the engines afterwards.
func leaveAt(t *testing.T, id string) map[string]float64 {
	t.Helper()
	harness := newHarness(t)
	tracker, codec := health.New(), platform.Codec{}
	client := back.New(back.WithHeaderNames(codec.AttemptHeader(), codec.NotRunHeader()))
	scheduler := place.New(place.WithDataCenter("tas-a"))
	forwarder := proxy.New(codec, client, scheduler, tracker, harness)
	forwarder.SetManifest(testManifest(1))
	caller := httptest.NewServer(forwarder)
	t.Cleanup(func() {
		caller.Close()
		client.Close()
		forwarder.Wait()
	})
	reached := make(chan struct{})
	serve := func(engine string, handler http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if engine != id || r.Method == http.MethodDelete {
				handler(w, r)
				return
			}
			_, _ = io.ReadAll(r.Body)
			reached <- struct{}{}
			<-r.Context().Done()
		}
	}
	harness.startTarget("p1", "llm", site.Prefill, serve("p1", respondPrefilled))
	harness.startTarget("d1", "llm", site.Decode, serve("d1", func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 4) }))
	scheduler.SetTargets(harness.targets, forwarder.Manifest().Services)
	// A second member of each group, since at most half of a group is ejected.
	tracker.SetMembers([]health.Member{
		{Target: "p1", Group: "prefill"}, {Target: "p2", Group: "prefill"}, {Target: "d1", Group: "decode"}, {Target: "d2", Group: "decode"},
	})
	const callers = 3 // as many failures in a row eject a target
	for range callers {
		ctx, cancel := context.WithCancel(t.Context())
		request := harness.newRequest(http.MethodPost, "/ask/x").Clone(ctx)
		request.URL.Host = caller.Listener.Addr().String()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
				_ = response.Body.Close()
			}
		}()
		<-reached
		cancel()
		<-ended
	}
	caller.Close() // waits for the handlers
	return tracker.Weights()
}

// Guards against ejecting an engine because callers leave while it works for them.
func TestLeavingCallersDoNotEjectEngines(t *testing.T) {
	for _, id := range []string{"p1", "d1"} {
		if weights := leaveAt(t, id); len(weights) > 0 {
			t.Errorf("weights after callers left at %s = %v, want full weights", id, weights)
		}
	}
}
