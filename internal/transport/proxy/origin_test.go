package proxy_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/proxy"
)

// versionRuns records which engines decoded, in the order of their runs.
type versionRuns struct {
	mutex sync.Mutex
	ids   []string
}

func (runs *versionRuns) add(id string) int {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	runs.ids = append(runs.ids, id)
	return len(runs.ids)
}

func (runs *versionRuns) String() string {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	return strings.Join(runs.ids, " ")
}

// decodeFour returns the handler of a decode engine that sends events up to the fourth. The
// first run of a stream breaks off within the third, or falls silent after the second.
func (runs *versionRuns) decodeFour(id string, silent bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if runs.add(id) > 1 || r.Header.Get("Last-Event-Id") != "" {
			sendEvents(w, r, 4)
			return
		}
		sendEvents(w, r, 2)
		if silent {
			<-r.Context().Done()
		}
		_, _ = w.Write([]byte("id: 3\ndata: to"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

func version(id string) string { return id[:2] }

// A stream breaks off or falls silent in the middle, while engines of two software versions
// serve. Guards against going on at another version in the same answer (ORDER).
func TestStreamGoesOnAtVersionThatBeganIt(t *testing.T) {
	for name, silent := range map[string]bool{"breaks off": false, "is silent": true} {
		t.Run(name, func(t *testing.T) {
			for range 3 {
				harness, runs := newHarness(t), &versionRuns{}
				harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
				for _, id := range []string{"v1-a", "v2-a", "v1-b", "v2-b"} {
					harness.startVersion(id, "llm", site.Decode, version(id), runs.decodeFour(id, silent))
				}
				response := harness.do(harness.newRequest(http.MethodPost, "/resume/x"))
				harness.wantFourEvents(response)
				ids := strings.Fields(runs.String())
				if len(ids) != 2 || version(ids[0]) != version(ids[1]) || ids[0] == ids[1] {
					t.Errorf("runs = %v, want two engines of one version", ids)
				}
			}
		})
	}
}

// The only engine of a version breaks off. Its stream must end there, and not look complete.
func TestStreamEndsIfItsVersionHasNoOtherEngine(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	harness.startVersion("v1-a", "llm", site.Decode, "v1", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			sendEvents(w, r, 2)
		}
		panic(http.ErrAbortHandler)
	})
	harness.startVersion("v2-a", "llm", site.Decode, "v2", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			t.Error("an engine of another version resumes the stream")
		}
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	response := harness.do(harness.newRequest(http.MethodPost, "/resume/x"))
	if response.err == nil || response.body != eventText(1)+eventText(2) {
		t.Errorf("response = %+v, want events 1 and 2 and an error", response)
	}
}

// newTakeUp returns a request that takes up a stream after its second event.
func (harness *harness) newTakeUp(resumes string) *http.Request {
	harness.t.Helper()
	request := harness.newRequest(http.MethodPost, "/resume/x")
	request.Header.Set("Last-Event-Id", "2")
	if resumes != "" {
		request.Header.Set("Resumes", resumes)
	}
	return request
}

// A caller takes up a stream that another attempt of it began, while engines of two
// versions serve. Guards against going on at another version (ORDER), and against
// refusing what can go on (LOST).
func TestTakenUpStreamGoesOnAtItsVersion(t *testing.T) {
	for _, began := range []string{"v1", "v2"} {
		harness, runs := newHarness(t), &versionRuns{}
		harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
		for _, id := range []string{"v1-a", "v2-a"} {
			harness.startVersion(id, "llm", site.Decode, version(id), runs.decodeFour(id, false))
		}
		harness.origins.Record("llm", "0123456789abcdef", began)
		for range 5 {
			response := harness.do(harness.newTakeUp("0123456789abcdef"))
			if response.err != nil || response.body != eventText(3)+eventText(4) {
				t.Errorf("response = %+v, want events 3 and 4", response)
			}
		}
		for _, id := range strings.Fields(runs.String()) {
			if version(id) != began {
				t.Errorf("a stream of %s goes on at %s", began, id)
			}
		}
	}
}

// A stream breaks off towards its caller, who takes it up at the same instance.
func TestInstanceRemembersVersionsOfItsStreams(t *testing.T) {
	harness, runs := newHarness(t), &versionRuns{}
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	harness.startVersion("v1-a", "llm", site.Decode, "v1", runs.decodeFour("v1-a", false))
	first := harness.do(harness.newRequest(http.MethodPost, "/resume/x"))
	if first.body != eventText(1)+eventText(2) && first.err == nil {
		harness.wantFourEvents(first)
	}
	harness.startVersion("v2-a", "llm", site.Decode, "v2", runs.decodeFour("v2-a", false))
	response := harness.do(harness.newTakeUp("9c41d07be2a35f68"))
	if response.err != nil || response.body != eventText(3)+eventText(4) || strings.Contains(runs.String(), "v2-a") {
		t.Errorf("response = %+v after the runs %s, want events 3 and 4 of v1", response, runs)
	}
}

// A stream whose origin nobody knows, or whose version has left, cannot go on. The caller
// must be told at once that nothing was run.
func TestStreamOfUnknownOrGoneVersionIsRefused(t *testing.T) {
	tests := []struct {
		name    string
		resumes string
		engines []string
		status  int
	}{
		{"unknown stream, one version", "unknown", []string{"v1-a"}, http.StatusOK},
		{"no attempt named, one version", "", []string{"v1-a"}, http.StatusOK},
		{"unknown stream, two versions", "unknown", []string{"v1-a", "v2-a"}, http.StatusServiceUnavailable},
		{"no attempt named, two versions", "", []string{"v1-a", "v2-a"}, http.StatusServiceUnavailable},
		{"version has left", "of-v0", []string{"v1-a"}, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			harness, runs := newHarness(t), &versionRuns{}
			harness.startVersion("p1", "llm", site.Prefill, version(test.engines[0]), func(w http.ResponseWriter, r *http.Request) {
				if test.status != http.StatusOK {
					t.Error("a prompt is prefilled for a stream that cannot go on")
				}
				respondPrefilled(w, r)
			})
			for _, id := range test.engines {
				harness.startVersion(id, "llm", site.Decode, version(id), runs.decodeFour(id, false))
			}
			harness.origins.Record("llm", "of-v0", "v0")
			response := harness.do(harness.newTakeUp(test.resumes))
			if response.status != test.status {
				t.Fatalf("response = %+v, want status %d", response, test.status)
			}
			if test.status != http.StatusOK && (response.header.Get("X-Mangopier-Code") != "1112" || response.header.Get("X-Mangopier-Run") != "not-run" || runs.String() != "") {
				t.Errorf("response = %+v after the runs %q, want code 1112, not-run, after none", response, runs)
			}
		})
	}
}

// The origin of a stream arrives from another instance just after its caller.
func TestTakenUpStreamWaitsForItsOrigin(t *testing.T) {
	harness, runs := newHarness(t), &versionRuns{}
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	for _, id := range []string{"v1-a", "v2-a"} {
		harness.startVersion(id, "llm", site.Decode, version(id), runs.decodeFour(id, false))
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		harness.origins.Record("llm", "told-late", "v2")
	}()
	response := harness.do(harness.newTakeUp("told-late"))
	if response.err != nil || response.body != eventText(3)+eventText(4) || runs.String() != "v2-a" {
		t.Errorf("response = %+v after the runs %s, want events 3 and 4 of v2-a", response, runs)
	}
}

// restarted are the IDs of engines that were started again.
type restarted []string

// Check returns false for the engines.
func (restarted restarted) Check(_ context.Context, target site.Target) bool {
	return !slices.Contains(restarted, target.ID)
}

// Restarted returns true for the engines.
func (restarted restarted) Restarted(target site.Target) bool {
	return slices.Contains(restarted, target.ID)
}

// An engine was started again, perhaps with another software version, and its entry still
// tells the earlier one. Guards against resuming a stream there (ORDER), and against taking up
// one that began there at engines of the version that the entry tells.
func TestStreamDoesNotGoOnAtRestartedEngine(t *testing.T) {
	t.Run("the other engine of its version", func(t *testing.T) {
		harness := newHarness(t, proxy.WithBoots(restarted{"v1-b"}))
		harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
		for _, id := range []string{"v1-b", "v2-a"} {
			harness.startVersion(id, "llm", site.Decode, version(id), func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 4) })
		}
		harness.origins.Record("llm", "0123456789abcdef", "v1")
		if response := harness.do(harness.newTakeUp("0123456789abcdef")); response.status != http.StatusServiceUnavailable {
			t.Errorf("response = %+v, want 503", response)
		}
	})
	t.Run("the engine that begins it", func(t *testing.T) {
		harness := newHarness(t, proxy.WithBoots(restarted{"v1-b"}))
		harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
		harness.startVersion("v1-b", "llm", site.Decode, "v1", func(w http.ResponseWriter, r *http.Request) {
			sendEvents(w, r, 2)
			panic(http.ErrAbortHandler)
		})
		harness.startVersion("v2-a", "llm", site.Decode, "v2", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		harness.do(harness.newRequest(http.MethodPost, "/resume/x"))
		if version, ok := harness.origins.Lookup("llm", "9c41d07be2a35f68"); ok {
			t.Errorf("Lookup() of the stream = %s, want unknown", version)
		}
	})
}
