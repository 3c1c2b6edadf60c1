package proxy_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/proxy"
)

// countCalls returns a handler that counts its calls.
func countCalls(count *atomic.Int64, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		handler(w, r)
	}
}

func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		setResponseHeaders(w, r)
		_, _ = io.WriteString(w, text)
	}
}

func respondNotRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestRefusesInvalidRequestsWithoutCallingTargets(t *testing.T) {
	harness := newHarness(t)
	var calls atomic.Int64
	harness.startTarget("s1", "desk", site.NoStage, countCalls(&calls, respondWith("ok")))
	cases := map[string]struct {
		change func(*http.Request)
		status int
	}{
		"no route":         {func(r *http.Request) { r.URL.Path = "/none/x" }, http.StatusNotFound},
		"other host":       {func(r *http.Request) { r.Host = "other.example" }, http.StatusNotFound},
		"no key":           {func(r *http.Request) { r.Header.Del("Authorization") }, http.StatusUnauthorized},
		"unknown key":      {func(r *http.Request) { r.Header.Set("Authorization", "Bearer other") }, http.StatusUnauthorized},
		"invalid deadline": {func(r *http.Request) { r.Header.Set("Deadline-Ms", "soon") }, http.StatusBadRequest},
	}
	for name, test := range cases {
		request := harness.newRequest(http.MethodPost, "/book/x")
		test.change(request)
		if response := harness.do(request); response.status != test.status || response.header.Get("X-Mangopier-Code") == "" {
			t.Errorf("%s: status = %d, X-Mangopier-Code = %q, want %d and a code", name, response.status, response.header.Get("X-Mangopier-Code"), test.status)
		}
	}
	if calls.Load() != 0 {
		t.Errorf("calls to the target = %d, want 0", calls.Load())
	}
	if strings.Contains(harness.log.String(), testKey) {
		t.Errorf("the log contains the key %q", testKey)
	}
}

// An unsafe request whose response is lost may have run: it must neither be
// sent again nor be reported as "not run".
func TestUnsafeRequestIsNotRepeated(t *testing.T) {
	harness := newHarness(t)
	var calls atomic.Int64
	loseResponse := countCalls(&calls, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	harness.startTarget("s1", "desk", site.NoStage, loseResponse)
	harness.startTarget("s2", "desk", site.NoStage, loseResponse)
	response := harness.do(harness.newRequest(http.MethodPost, "/book/x"))
	if response.status != http.StatusBadGateway || calls.Load() != 1 {
		t.Errorf("status = %d after %d calls, want %d after 1", response.status, calls.Load(), http.StatusBadGateway)
	}
	if harness.usageCount("press") != 1 {
		t.Errorf("usage count = %d, want 1", harness.usageCount("press"))
	}
}

// net/http's transport replays a GET without a body if a reused connection
// fails. That must not happen to a request on an unsafe route.
func TestUnsafeRequestIsNotReplayedOnReusedConnection(t *testing.T) {
	harness := newHarness(t)
	var calls atomic.Int64
	harness.startTarget("s1", "desk", site.NoStage, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		respondWith("first")(w, r)
	})
	for range 2 {
		request := harness.newRequest(http.MethodGet, "/book/x")
		request.Body, request.ContentLength = http.NoBody, 0
		harness.do(request)
	}
	if calls.Load() != 2 {
		t.Errorf("calls for two unsafe requests = %d, want 2", calls.Load())
	}
}

// An unsafe request that a target states it did not run is sent to another
// target. If none runs it, the error says so and carries Retry-After.
func TestUnsafeRequestThatWasNotRunIsRetriedElsewhere(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("s1", "desk", site.NoStage, respondNotRun)
	if response := harness.do(harness.newRequest(http.MethodPost, "/book/x")); response.status != http.StatusServiceUnavailable ||
		response.header.Get("Retry-After") == "" || response.header.Get("X-Mangopier-Run") != "not-run" {
		t.Errorf("no target runs it: status = %d, header = %v, want %d with Retry-After and not-run", response.status, response.header, http.StatusServiceUnavailable)
	}
	harness.startTarget("s2", "desk", site.NoStage, respondWith("booked"))
	for range 4 {
		if response := harness.do(harness.newRequest(http.MethodPost, "/book/x")); response.status != http.StatusOK || response.body != "booked" {
			t.Errorf("one target runs it: status = %d, body = %q, want %d, %q", response.status, response.body, http.StatusOK, "booked")
		}
	}
}

// A target that does not take connections is called once and then paused.
func TestUnreachableTargetIsPaused(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("s1", "desk", site.NoStage, respondWith("ok")).Close()
	harness.startTarget("s2", "desk", site.NoStage, respondWith("ok"))
	for range 6 {
		if response := harness.do(harness.newRequest(http.MethodPost, "/book/x")); response.status != http.StatusOK {
			t.Errorf("status = %d, want %d", response.status, http.StatusOK)
		}
	}
	if count := strings.Count(harness.log.String(), "target does not take connections"); count > 1 {
		t.Errorf("calls to the unreachable target = %d, want at most 1", count)
	}
}

// Many targets crash at once. A call that reached no target does not count as a
// retry, so requests are served by the remaining targets even if the retry
// budget is empty.
func TestUnsentCallsDoNotUseRetryBudget(t *testing.T) {
	harness := newHarness(t, proxy.WithBounds(site.Bounds{RetryWindow: 10 * time.Second}))
	for i := range 3 {
		number := strconv.Itoa(i)
		harness.startTarget("p"+number, "llm", site.Prefill, respondPrefilled).Close()
		harness.startTarget("d"+number, "llm", site.Decode, respondWith("ok")).Close()
		harness.startTarget("s"+number, "desk", site.NoStage, respondWith("ok")).Close()
	}
	harness.startTarget("p9", "llm", site.Prefill, respondPrefilled)
	var source string
	harness.startTarget("d9", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
		source = r.Header.Get("Kv-Source")
		sendEvents(w, r, 3)
	})
	harness.startTarget("s9", "desk", site.NoStage, respondWith("ok"))
	for _, path := range []string{"/ask/x", "/book/x", "/read/x", "/ask/x"} {
		source = ""
		if response := harness.do(harness.newRequest(http.MethodPost, path)); response.status != http.StatusOK {
			t.Errorf("%s: status = %d, want %d", path, response.status, http.StatusOK)
		}
		if strings.HasPrefix(path, "/ask/") && !strings.HasSuffix(source, "/h1") {
			t.Errorf("%s: Kv-Source = %q, want the handle h1 of the prefilled prompt", path, source)
		}
	}
}

// A safe request that fails is retried once on another target. If that fails
// too, the caller gets the target's own error.
func TestSafeRequestIsRetriedOnce(t *testing.T) {
	harness := newHarness(t)
	var calls atomic.Int64
	fail := countCalls(&calls, func(w http.ResponseWriter, r *http.Request) {
		setResponseHeaders(w, r)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "its own failure")
	})
	harness.startTarget("s1", "desk", site.NoStage, fail)
	harness.startTarget("s2", "desk", site.NoStage, fail)
	harness.startTarget("s3", "desk", site.NoStage, fail)
	response := harness.do(harness.newRequest(http.MethodGet, "/read/x"))
	if response.status != http.StatusInternalServerError || response.body != "its own failure" || calls.Load() != 2 {
		t.Errorf("status = %d, body = %q after %d calls, want %d, %q after 2",
			response.status, response.body, calls.Load(), http.StatusInternalServerError, "its own failure")
	}
}

// A response that is truncated, or that is not the one of the called target to
// this request, must never be forwarded as a success.
func TestInvalidResponsesAreNotForwarded(t *testing.T) {
	invalid := map[string]http.HandlerFunc{
		"unsigned": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			_, _ = io.WriteString(w, "x")
		},
		"for another request": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Attempt-Id", "another")
			w.Header().Set("Response-Signature", "s")
			_, _ = io.WriteString(w, "x")
		},
		"truncated": func(w http.ResponseWriter, r *http.Request) {
			setResponseHeaders(w, r)
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "x")
			panic(http.ErrAbortHandler)
		},
		"content coding": func(w http.ResponseWriter, r *http.Request) {
			setResponseHeaders(w, r)
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(w, "x")
		},
	}
	for name, handler := range invalid {
		harness := newHarness(t)
		harness.startTarget("s1", "desk", site.NoStage, handler)
		response := harness.do(harness.newRequest(http.MethodPost, "/book/x"))
		if response.status != http.StatusBadGateway || response.header.Get("Response-Signature") != "" {
			t.Errorf("%s: status = %d, Response-Signature = %q, body = %q, want %d and no signature",
				name, response.status, response.header.Get("Response-Signature"), response.body, http.StatusBadGateway)
		}
	}
}

// If a caller closes its connection, the run at the target must be cancelled.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	harness := newHarness(t)
	started, ended := make(chan struct{}), make(chan struct{})
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	harness.startTarget("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		sendEvents(w, r, 1)
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	request := harness.newRequest(http.MethodPost, "/ask/x").WithContext(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		response, err := http.DefaultTransport.RoundTrip(request)
		if err == nil {
			_, _ = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
	}()
	<-started
	cancel()
	<-ended
	<-done
}

// A prefilled prompt that no engine fetches must be released at the engine that
// prefilled it.
func TestUnfetchedPromptIsReleased(t *testing.T) {
	harness := newHarness(t)
	released := make(chan string, 8)
	harness.startTarget("p1", "llm", site.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			released <- r.URL.Path
			return
		}
		respondPrefilled(w, r)
	})
	response := harness.do(harness.newRequest(http.MethodPost, "/ask/x"))
	if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" {
		t.Errorf("without a decode engine: status = %d, Retry-After = %q, want %d with Retry-After",
			response.status, response.header.Get("Retry-After"), http.StatusServiceUnavailable)
	}
	if path := <-released; path != "/v1/kv-handle/h1" {
		t.Errorf("released path = %q, want %q", path, "/v1/kv-handle/h1")
	}
}

// A request whose prompt cannot be prefilled in time is refused before it is
// sent to any engine.
func TestRefusesPromptThatCannotBePrefilledInTime(t *testing.T) {
	harness := newHarness(t)
	var calls atomic.Int64
	harness.startTarget("p1", "llm", site.Prefill, countCalls(&calls, respondPrefilled))
	harness.startTarget("d1", "llm", site.Decode, countCalls(&calls, func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 1) }))
	request := harness.newRequest(http.MethodPost, "/ask/x")
	request.Header.Set("Token-Count", "400000,80")
	request.Header.Del("Prompt-Prefix")
	response := harness.do(request)
	if response.status != http.StatusTooManyRequests || calls.Load() != 0 || response.header.Get("Retry-After") == "" {
		t.Errorf("status = %d, Retry-After = %q after %d calls, want %d with Retry-After after 0",
			response.status, response.header.Get("Retry-After"), calls.Load(), http.StatusTooManyRequests)
	}
}

// While the instance drains, each response closes its connection.
func TestDrainingClosesConnections(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("s1", "desk", site.NoStage, respondWith("ok"))
	harness.proxy.Drain()
	response, err := http.DefaultTransport.RoundTrip(harness.newRequest(http.MethodGet, "/read/x"))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if !response.Close || response.StatusCode != http.StatusOK {
		t.Errorf("status = %d, close = %v, want %d, true", response.StatusCode, response.Close, http.StatusOK)
	}
}

func TestIgnoresManifestThatIsNotNewer(t *testing.T) {
	harness := newHarness(t)
	if harness.proxy.SetManifest(testManifest(1)) || !harness.proxy.SetManifest(testManifest(5)) || harness.proxy.SetManifest(testManifest(4)) {
		t.Error("SetManifest() for versions 1, 5, 4 after 1 is not false, true, false")
	}
	if version := harness.proxy.Manifest().Version; version != 5 {
		t.Errorf("Manifest().Version = %d, want 5", version)
	}
}

// On a large site instances join and leave all the time. Each change divides
// the retry budget anew, which must not refill it.
func TestInstanceChangesDoNotRefillRetryBudget(t *testing.T) {
	var instances atomic.Int64
	harness := newHarness(t, proxy.WithInstanceCount(func() int { return int(instances.Load()) }))
	var calls atomic.Int64
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		harness.startTarget(id, "desk", site.NoStage, countCalls(&calls, respondNotRun))
	}
	const requests = 50
	for range requests {
		harness.do(harness.newRequest(http.MethodPost, "/book/x"))
		instances.Store(1 + (instances.Load()+5)%9)
	}
	// The budget of the site is a fifth of the requests and 600 extra retries,
	// which are divided among at least six instances.
	if retries := calls.Load() - requests; retries > requests/5+600/6 {
		t.Errorf("retries of %d requests = %d, want at most %d", requests, retries, requests/5+600/6)
	}
}

// All instances are killed and restart at once. They know neither which retries
// they spent before nor how many instances there are, so each may retry a share
// of its requests but has no extra retries.
func TestRestartedInstanceHasNoExtraRetries(t *testing.T) {
	harness := newHarness(t, proxy.WithInstanceCount(func() int { return 0 }))
	var calls atomic.Int64
	for _, id := range []string{"p1", "p2", "p3", "p4"} {
		harness.startTarget(id, "llm", site.Prefill, countCalls(&calls, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	}
	harness.startTarget("d1", "llm", site.Decode, countCalls(&calls, func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 1) }))
	const requests = 100
	for range requests {
		harness.do(harness.newRequest(http.MethodPost, "/ask/x"))
	}
	if retries := calls.Load() - requests; retries > requests/5 {
		t.Errorf("retries of %d requests = %d, want at most %d", requests, retries, requests/5)
	}
}

// Engines fail faster than the target list is updated. A prompt that could not
// be prefilled must not be sent to another engine once the retry budget is
// spent.
func TestFailedPrefillsStayWithinRetryBudget(t *testing.T) {
	harness := newHarness(t)
	var calls atomic.Int64
	harness.startTarget("p1", "llm", site.Prefill, countCalls(&calls, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	harness.startTarget("d1", "llm", site.Decode, countCalls(&calls, func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 1) }))
	const requests = 200
	for range requests {
		response := harness.do(harness.newRequest(http.MethodPost, "/ask/x"))
		refused := response.status == http.StatusServiceUnavailable && response.header.Get("X-Mangopier-Run") == "not-run"
		if response.status != http.StatusOK && !refused {
			t.Fatalf("status = %d, X-Mangopier-Run = %q, want %d, or %d with not-run",
				response.status, response.header.Get("X-Mangopier-Run"), http.StatusOK, http.StatusServiceUnavailable)
		}
	}
	if retries := calls.Load() - requests; retries > requests/5+600/6 {
		t.Errorf("retries of %d requests = %d, want at most %d", requests, retries, requests/5+600/6)
	}
}
