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

// counted wraps a handler and counts the calls that it gets.
func counted(count *atomic.Int64, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		handler(w, r)
	}
}

func answerWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		_, _ = io.WriteString(w, text)
	}
}

func full(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestRefusalsBeforeAnyTarget(t *testing.T) {
	world := newWorld(t)
	var calls atomic.Int64
	world.target("s1", "desk", site.NoStage, counted(&calls, answerWith("ok")))
	cases := map[string]struct {
		change func(*http.Request)
		status int
	}{
		"no route":    {func(r *http.Request) { r.URL.Path = "/none/x" }, http.StatusNotFound},
		"other host":  {func(r *http.Request) { r.Host = "other.example" }, http.StatusNotFound},
		"no key":      {func(r *http.Request) { r.Header.Del("Authorization") }, http.StatusUnauthorized},
		"unknown key": {func(r *http.Request) { r.Header.Set("Authorization", "Bearer other") }, http.StatusUnauthorized},
		"no deadline": {func(r *http.Request) { r.Header.Set("Deadline-Ms", "soon") }, http.StatusBadRequest},
	}
	for name, test := range cases {
		request := world.request(http.MethodPost, "/book/x")
		test.change(request)
		if answer := world.do(request); answer.status != test.status || answer.header.Get("X-Mangopier-Code") == "" {
			t.Errorf("%s: %d", name, answer.status)
		}
	}
	if calls.Load() != 0 {
		t.Errorf("%d calls reached the target", calls.Load())
	}
	if strings.Contains(world.log.String(), testKey) {
		t.Error("the log holds a key")
	}
}

// A booking whose answer is lost may have run: it is neither sent again nor
// called "not run".
func TestBookingIsNotRepeated(t *testing.T) {
	world := newWorld(t)
	var calls atomic.Int64
	lose := counted(&calls, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	world.target("s1", "desk", site.NoStage, lose)
	world.target("s2", "desk", site.NoStage, lose)
	answer := world.do(world.request(http.MethodPost, "/book/x"))
	if answer.status != http.StatusBadGateway || calls.Load() != 1 {
		t.Errorf("%d after %d calls", answer.status, calls.Load())
	}
	if world.began("press") != 1 {
		t.Errorf("usage counts %d", world.began("press"))
	}
}

// A booking without a body that a kept connection fails must not be replayed
// by the transport.
func TestBookingOverAKeptConnectionIsNotReplayed(t *testing.T) {
	world := newWorld(t)
	var calls atomic.Int64
	world.target("s1", "desk", site.NoStage, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		answerWith("first")(w, r)
	})
	for range 2 {
		request := world.request(http.MethodGet, "/book/x")
		request.Body, request.ContentLength = http.NoBody, 0
		world.do(request)
	}
	if calls.Load() != 2 {
		t.Errorf("two bookings made %d calls", calls.Load())
	}
}

// A target that states that it did not run a booking leaves it free to go
// elsewhere; if all do, the refusal says so and when to come back.
func TestBookingThatWasNotRunGoesElsewhere(t *testing.T) {
	world := newWorld(t)
	world.target("s1", "desk", site.NoStage, full)
	if answer := world.do(world.request(http.MethodPost, "/book/x")); answer.status != http.StatusServiceUnavailable ||
		answer.header.Get("Retry-After") == "" || answer.header.Get("X-Mangopier-Run") != "not-run" {
		t.Errorf("all full: %d %v", answer.status, answer.header)
	}
	world.target("s2", "desk", site.NoStage, answerWith("booked"))
	for range 4 {
		if answer := world.do(world.request(http.MethodPost, "/book/x")); answer.status != http.StatusOK || answer.body != "booked" {
			t.Errorf("one free: %d %q", answer.status, answer.body)
		}
	}
}

// A target that is gone is tried once and then left alone.
func TestUnreachableTargetIsLeftAlone(t *testing.T) {
	world := newWorld(t)
	world.target("s1", "desk", site.NoStage, answerWith("ok")).Close()
	world.target("s2", "desk", site.NoStage, answerWith("ok"))
	for range 6 {
		if answer := world.do(world.request(http.MethodPost, "/book/x")); answer.status != http.StatusOK {
			t.Errorf("answer %d", answer.status)
		}
	}
	if count := strings.Count(world.log.String(), "target does not take connections"); count > 1 {
		t.Errorf("tried %d times", count)
	}
}

// Pattern: many targets crash at once. A call that never reached a target is
// no extra one, so requests are served while others run, whatever is left of
// the budget.
func TestCallsThatReachNoTargetAreNotCounted(t *testing.T) {
	world := newWorld(t, proxy.WithBounds(site.Bounds{RetryWindow: 10 * time.Second}))
	for i := range 3 {
		number := strconv.Itoa(i)
		world.target("p"+number, "llm", site.Prefill, prefill).Close()
		world.target("d"+number, "llm", site.Decode, answerWith("ok")).Close()
		world.target("s"+number, "desk", site.NoStage, answerWith("ok")).Close()
	}
	world.target("p9", "llm", site.Prefill, prefill)
	var source string
	world.target("d9", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
		source = r.Header.Get("Kv-Source")
		events(w, r, 3)
	})
	world.target("s9", "desk", site.NoStage, answerWith("ok"))
	for _, path := range []string{"/ask/x", "/book/x", "/read/x", "/ask/x"} {
		source = ""
		if answer := world.do(world.request(http.MethodPost, path)); answer.status != http.StatusOK {
			t.Errorf("%s: answer %d", path, answer.status)
		}
		if strings.HasPrefix(path, "/ask/") && !strings.HasSuffix(source, "/h1") {
			t.Errorf("the prompt that was read is fetched from %q", source)
		}
	}
}

// A read that fails is tried elsewhere; the second failure is the caller's, as
// the target gave it.
func TestReadIsRepeatedOnce(t *testing.T) {
	world := newWorld(t)
	var calls atomic.Int64
	fail := counted(&calls, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "its own failure")
	})
	world.target("s1", "desk", site.NoStage, fail)
	world.target("s2", "desk", site.NoStage, fail)
	world.target("s3", "desk", site.NoStage, fail)
	answer := world.do(world.request(http.MethodGet, "/read/x"))
	if answer.status != http.StatusInternalServerError || answer.body != "its own failure" || calls.Load() != 2 {
		t.Errorf("%d %q after %d calls", answer.status, answer.body, calls.Load())
	}
}

// What is not the whole answer of the target that was asked is never given on
// as one.
func TestSpoiledAnswersAreNotGivenOn(t *testing.T) {
	spoiled := map[string]http.HandlerFunc{
		"unsigned": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			_, _ = io.WriteString(w, "x")
		},
		"of another request": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Attempt-Id", "another")
			w.Header().Set("Response-Signature", "s")
			_, _ = io.WriteString(w, "x")
		},
		"cut short": func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "x")
			panic(http.ErrAbortHandler)
		},
		"coded": func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(w, "x")
		},
	}
	for name, handler := range spoiled {
		world := newWorld(t)
		world.target("s1", "desk", site.NoStage, handler)
		answer := world.do(world.request(http.MethodPost, "/book/x"))
		if answer.status != http.StatusBadGateway || answer.header.Get("Response-Signature") != "" {
			t.Errorf("%s: %d %q", name, answer.status, answer.body)
		}
	}
}

// A caller that leaves ends the work at the target.
func TestCallerThatLeavesEndsTheRun(t *testing.T) {
	world := newWorld(t)
	started, ended := make(chan struct{}), make(chan struct{})
	world.target("p1", "llm", site.Prefill, prefill)
	world.target("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		events(w, r, 1)
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	request := world.request(http.MethodPost, "/ask/x").WithContext(ctx)
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

// A prompt that was read and is not fetched is freed at its engine.
func TestPromptThatIsNotFetchedIsFreed(t *testing.T) {
	world := newWorld(t)
	freed := make(chan string, 8)
	world.target("p1", "llm", site.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			freed <- r.URL.Path
			return
		}
		prefill(w, r)
	})
	answer := world.do(world.request(http.MethodPost, "/ask/x"))
	if answer.status != http.StatusServiceUnavailable || answer.header.Get("Retry-After") == "" {
		t.Errorf("without an engine that makes tokens: %d", answer.status)
	}
	if path := <-freed; path != "/v1/kv-handle/h1" {
		t.Errorf("freed %s", path)
	}
}

// A request that cannot be served in time is refused at once, before any
// engine gets it.
func TestPromptThatCannotBeReadInTimeIsRefusedAtOnce(t *testing.T) {
	world := newWorld(t)
	var calls atomic.Int64
	world.target("p1", "llm", site.Prefill, counted(&calls, prefill))
	world.target("d1", "llm", site.Decode, counted(&calls, func(w http.ResponseWriter, r *http.Request) { events(w, r, 1) }))
	request := world.request(http.MethodPost, "/ask/x")
	request.Header.Set("Token-Count", "400000,80")
	request.Header.Del("Prompt-Prefix")
	answer := world.do(request)
	if answer.status != http.StatusTooManyRequests || calls.Load() != 0 || answer.header.Get("Retry-After") == "" {
		t.Errorf("%d after %d calls", answer.status, calls.Load())
	}
}

// While the instance drains, each answer ends its connection.
func TestDrainingEndsConnections(t *testing.T) {
	world := newWorld(t)
	world.target("s1", "desk", site.NoStage, answerWith("ok"))
	world.proxy.Drain()
	response, err := http.DefaultTransport.RoundTrip(world.request(http.MethodGet, "/read/x"))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if !response.Close || response.StatusCode != http.StatusOK {
		t.Errorf("%d, close %v", response.StatusCode, response.Close)
	}
}

// A manifest never goes back.
func TestOlderManifestIsNotTaken(t *testing.T) {
	world := newWorld(t)
	if world.proxy.SetManifest(testManifest(1)) || !world.proxy.SetManifest(testManifest(5)) || world.proxy.SetManifest(testManifest(4)) {
		t.Error("versions do not only rise")
	}
	if version := world.proxy.Manifest().Version; version != 5 {
		t.Errorf("version %d is in force", version)
	}
}

// Pattern: on a large site instances come and go all the time. Dividing the
// budget of extra calls anew must not fill it.
func TestBudgetIsNotFilledByChangesAmongInstances(t *testing.T) {
	var members atomic.Int64
	world := newWorld(t, proxy.WithMembers(func() int { return int(members.Load()) }))
	var calls atomic.Int64
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		world.target(id, "desk", site.NoStage, counted(&calls, full))
	}
	const requests = 50
	for range requests {
		world.do(world.request(http.MethodPost, "/book/x"))
		members.Store(1 + (members.Load()+5)%9)
	}
	// A fifth of the requests and the slack of 600 are allowed in all; this
	// instance is taken to be one of six at least.
	if extra := calls.Load() - requests; extra > requests/5+600/6 {
		t.Errorf("%d calls beyond the first of %d requests", extra, requests)
	}
}

// Pattern: all instances are killed and start again at once. What they spent
// before is not known to them, nor how many they are: they have the share of
// their requests and no slack.
func TestStartedInstancesHaveNoSlack(t *testing.T) {
	world := newWorld(t, proxy.WithMembers(func() int { return 0 }))
	var calls atomic.Int64
	for _, id := range []string{"p1", "p2", "p3", "p4"} {
		world.target(id, "llm", site.Prefill, counted(&calls, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	}
	world.target("d1", "llm", site.Decode, counted(&calls, func(w http.ResponseWriter, r *http.Request) { events(w, r, 1) }))
	const requests = 100
	for range requests {
		world.do(world.request(http.MethodPost, "/ask/x"))
	}
	if extra := calls.Load() - requests; extra > requests/5 {
		t.Errorf("%d calls beyond the first of %d requests", extra, requests)
	}
}

// Pattern: engines are lost faster than the list shows. A prompt that could
// not be read is not sent on once the budget of extra calls is spent.
func TestUnreadPromptKeepsToTheBudget(t *testing.T) {
	world := newWorld(t)
	var calls atomic.Int64
	world.target("p1", "llm", site.Prefill, counted(&calls, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	world.target("d1", "llm", site.Decode, counted(&calls, func(w http.ResponseWriter, r *http.Request) { events(w, r, 1) }))
	const requests = 200
	for range requests {
		answer := world.do(world.request(http.MethodPost, "/ask/x"))
		refused := answer.status == http.StatusServiceUnavailable && answer.header.Get("X-Mangopier-Run") == "not-run"
		if answer.status != http.StatusOK && !refused {
			t.Fatalf("answer %d", answer.status)
		}
	}
	if extra := calls.Load() - requests; extra > requests/5+600/6 {
		t.Errorf("%d calls beyond the first of %d requests", extra, requests)
	}
}
