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

func answerWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		setAnswerHeaders(w, r)
		_, _ = io.WriteString(w, text)
	}
}

func answerNotRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestRefusesInvalidRequestsWithoutCallingTargets(t *testing.T) {
	harness := newHarness(t)
	var calls atomic.Int64
	harness.startTarget("s1", "desk", site.NoStage, countCalls(&calls, answerWith("ok")))
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
		if answer := harness.do(request); answer.status != test.status || answer.header.Get("X-Mangopier-Code") == "" {
			t.Errorf("%s: status = %d, X-Mangopier-Code = %q, want %d and a code", name, answer.status, answer.header.Get("X-Mangopier-Code"), test.status)
		}
	}
	if calls.Load() != 0 {
		t.Errorf("calls to the target = %d, want 0", calls.Load())
	}
	if strings.Contains(harness.log.String(), testKey) {
		t.Errorf("the log contains the key %q", testKey)
	}
}

// An unsafe request whose answer is lost may have run: it must neither be sent
// again nor be reported as "not run".
func TestUnsafeRequestIsNotRepeated(t *testing.T) {
	harness := newHarness(t)
	var calls atomic.Int64
	loseAnswer := countCalls(&calls, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	harness.startTarget("s1", "desk", site.NoStage, loseAnswer)
	harness.startTarget("s2", "desk", site.NoStage, loseAnswer)
	answer := harness.do(harness.newRequest(http.MethodPost, "/book/x"))
	if answer.status != http.StatusBadGateway || calls.Load() != 1 {
		t.Errorf("status = %d after %d calls, want %d after 1", answer.status, calls.Load(), http.StatusBadGateway)
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
		answerWith("first")(w, r)
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
	harness.startTarget("s1", "desk", site.NoStage, answerNotRun)
	if answer := harness.do(harness.newRequest(http.MethodPost, "/book/x")); answer.status != http.StatusServiceUnavailable ||
		answer.header.Get("Retry-After") == "" || answer.header.Get("X-Mangopier-Run") != "not-run" {
		t.Errorf("no target runs it: status = %d, header = %v, want %d with Retry-After and not-run", answer.status, answer.header, http.StatusServiceUnavailable)
	}
	harness.startTarget("s2", "desk", site.NoStage, answerWith("booked"))
	for range 4 {
		if answer := harness.do(harness.newRequest(http.MethodPost, "/book/x")); answer.status != http.StatusOK || answer.body != "booked" {
			t.Errorf("one target runs it: status = %d, body = %q, want %d, %q", answer.status, answer.body, http.StatusOK, "booked")
		}
	}
}

// A target that does not take connections is called once and then paused.
func TestUnreachableTargetIsPaused(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("s1", "desk", site.NoStage, answerWith("ok")).Close()
	harness.startTarget("s2", "desk", site.NoStage, answerWith("ok"))
	for range 6 {
		if answer := harness.do(harness.newRequest(http.MethodPost, "/book/x")); answer.status != http.StatusOK {
			t.Errorf("status = %d, want %d", answer.status, http.StatusOK)
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
		harness.startTarget("p"+number, "llm", site.Prefill, answerPrefill).Close()
		harness.startTarget("d"+number, "llm", site.Decode, answerWith("ok")).Close()
		harness.startTarget("s"+number, "desk", site.NoStage, answerWith("ok")).Close()
	}
	harness.startTarget("p9", "llm", site.Prefill, answerPrefill)
	var source string
	harness.startTarget("d9", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
		source = r.Header.Get("Kv-Source")
		answerEvents(w, r, 3)
	})
	harness.startTarget("s9", "desk", site.NoStage, answerWith("ok"))
	for _, path := range []string{"/ask/x", "/book/x", "/read/x", "/ask/x"} {
		source = ""
		if answer := harness.do(harness.newRequest(http.MethodPost, path)); answer.status != http.StatusOK {
			t.Errorf("%s: status = %d, want %d", path, answer.status, http.StatusOK)
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
		setAnswerHeaders(w, r)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "its own failure")
	})
	harness.startTarget("s1", "desk", site.NoStage, fail)
	harness.startTarget("s2", "desk", site.NoStage, fail)
	harness.startTarget("s3", "desk", site.NoStage, fail)
	answer := harness.do(harness.newRequest(http.MethodGet, "/read/x"))
	if answer.status != http.StatusInternalServerError || answer.body != "its own failure" || calls.Load() != 2 {
		t.Errorf("status = %d, body = %q after %d calls, want %d, %q after 2",
			answer.status, answer.body, calls.Load(), http.StatusInternalServerError, "its own failure")
	}
}

// An answer that is truncated, or that is not the one of the called target to
// this request, must never be forwarded as a success.
func TestInvalidAnswersAreNotForwarded(t *testing.T) {
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
			setAnswerHeaders(w, r)
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "x")
			panic(http.ErrAbortHandler)
		},
		"content coding": func(w http.ResponseWriter, r *http.Request) {
			setAnswerHeaders(w, r)
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(w, "x")
		},
	}
	for name, handler := range invalid {
		harness := newHarness(t)
		harness.startTarget("s1", "desk", site.NoStage, handler)
		answer := harness.do(harness.newRequest(http.MethodPost, "/book/x"))
		if answer.status != http.StatusBadGateway || answer.header.Get("Response-Signature") != "" {
			t.Errorf("%s: status = %d, Response-Signature = %q, body = %q, want %d and no signature",
				name, answer.status, answer.header.Get("Response-Signature"), answer.body, http.StatusBadGateway)
		}
	}
}

// If a caller closes its connection, the run at the target must be cancelled.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	harness := newHarness(t)
	started, ended := make(chan struct{}), make(chan struct{})
	harness.startTarget("p1", "llm", site.Prefill, answerPrefill)
	harness.startTarget("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		answerEvents(w, r, 1)
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
		answerPrefill(w, r)
	})
	answer := harness.do(harness.newRequest(http.MethodPost, "/ask/x"))
	if answer.status != http.StatusServiceUnavailable || answer.header.Get("Retry-After") == "" {
		t.Errorf("without a decode engine: status = %d, Retry-After = %q, want %d with Retry-After",
			answer.status, answer.header.Get("Retry-After"), http.StatusServiceUnavailable)
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
	harness.startTarget("p1", "llm", site.Prefill, countCalls(&calls, answerPrefill))
	harness.startTarget("d1", "llm", site.Decode, countCalls(&calls, func(w http.ResponseWriter, r *http.Request) { answerEvents(w, r, 1) }))
	request := harness.newRequest(http.MethodPost, "/ask/x")
	request.Header.Set("Token-Count", "400000,80")
	request.Header.Del("Prompt-Prefix")
	answer := harness.do(request)
	if answer.status != http.StatusTooManyRequests || calls.Load() != 0 || answer.header.Get("Retry-After") == "" {
		t.Errorf("status = %d, Retry-After = %q after %d calls, want %d with Retry-After after 0",
			answer.status, answer.header.Get("Retry-After"), calls.Load(), http.StatusTooManyRequests)
	}
}

// While the instance drains, each answer closes its connection.
func TestDrainingClosesConnections(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("s1", "desk", site.NoStage, answerWith("ok"))
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

// On a large site instances join and leave all the time. Each change divides the
// retry budget anew, which must not refill it.
func TestInstanceChangesDoNotRefillRetryBudget(t *testing.T) {
	var instances atomic.Int64
	harness := newHarness(t, proxy.WithInstanceCount(func() int { return int(instances.Load()) }))
	var calls atomic.Int64
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		harness.startTarget(id, "desk", site.NoStage, countCalls(&calls, answerNotRun))
	}
	const requests = 50
	for range requests {
		harness.do(harness.newRequest(http.MethodPost, "/book/x"))
		instances.Store(1 + (instances.Load()+5)%9)
	}
	// The budget of the site is a fifth of the requests and a slack of 600, which
	// is divided among at least six instances.
	if retries := calls.Load() - requests; retries > requests/5+600/6 {
		t.Errorf("retries of %d requests = %d, want at most %d", requests, retries, requests/5+600/6)
	}
}

// All instances are killed and restart at once. They know neither which retries
// they spent before nor how many instances there are, so each may retry a share
// of its requests but has no slack.
func TestRestartedInstanceHasNoRetrySlack(t *testing.T) {
	harness := newHarness(t, proxy.WithInstanceCount(func() int { return 0 }))
	var calls atomic.Int64
	for _, id := range []string{"p1", "p2", "p3", "p4"} {
		harness.startTarget(id, "llm", site.Prefill, countCalls(&calls, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	}
	harness.startTarget("d1", "llm", site.Decode, countCalls(&calls, func(w http.ResponseWriter, r *http.Request) { answerEvents(w, r, 1) }))
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
	harness.startTarget("d1", "llm", site.Decode, countCalls(&calls, func(w http.ResponseWriter, r *http.Request) { answerEvents(w, r, 1) }))
	const requests = 200
	for range requests {
		answer := harness.do(harness.newRequest(http.MethodPost, "/ask/x"))
		refused := answer.status == http.StatusServiceUnavailable && answer.header.Get("X-Mangopier-Run") == "not-run"
		if answer.status != http.StatusOK && !refused {
			t.Fatalf("status = %d, X-Mangopier-Run = %q, want %d, or %d with not-run",
				answer.status, answer.header.Get("X-Mangopier-Run"), http.StatusOK, http.StatusServiceUnavailable)
		}
	}
	if retries := calls.Load() - requests; retries > requests/5+600/6 {
		t.Errorf("retries of %d requests = %d, want at most %d", requests, retries, requests/5+600/6)
	}
}
