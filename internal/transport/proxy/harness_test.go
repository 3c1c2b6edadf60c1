package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/crash"
	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/origin"
	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/proxy"
	"mangopier.example/mangopier/platform"
)

// harness runs a proxy in front of fake targets. It is the proxy's usage meter
// too.
type harness struct {
	t         *testing.T
	proxy     *proxy.Proxy
	scheduler *place.Scheduler
	crashes   *crash.Tracker
	origins   *origin.Tracker
	front     *httptest.Server
	log       *logBuffer
	targets   []site.Target

	mutex       sync.Mutex
	usageCounts map[string]int // by team
}

// logBuffer collects log lines. Its methods may be called by several
// goroutines.
type logBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (buffer *logBuffer) Write(line []byte) (int, error) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.text.Write(line)
}

func (buffer *logBuffer) String() string {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.text.String()
}

// CountRequest counts a request of a team.
func (harness *harness) CountRequest(team string) {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	harness.usageCounts[team]++
}

func (harness *harness) usageCount(team string) int {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	return harness.usageCounts[team]
}

const (
	testHost = "guides.example"
	testKey  = "key-of-press"
)

func newHarness(t *testing.T, opts ...proxy.Option) *harness {
	t.Helper()
	harness := &harness{
		t: t, log: &logBuffer{}, usageCounts: map[string]int{}, scheduler: place.New(place.WithDataCenter("tas-a")),
		crashes: crash.New(), origins: origin.New(origin.WithFirstStart()),
	}
	codec := platform.Codec{}
	client := back.New(back.WithHeaderNames(codec.AttemptHeader(), codec.NotRunHeader()))
	opts = append([]proxy.Option{
		proxy.WithLogger(zerolog.New(harness.log)), proxy.WithCrashTracker(harness.crashes), proxy.WithOrigins(harness.origins),
		proxy.WithBounds(site.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, ExtraRetries: 600, MaxRetryAfter: 10 * time.Second}),
	}, opts...)
	harness.scheduler.SetMembers("a", []string{"a"})
	harness.proxy = proxy.New(codec, client, harness.scheduler, health.New(), harness, opts...)
	harness.front = httptest.NewServer(harness.proxy)
	t.Cleanup(func() {
		harness.front.Close()
		client.Close()
		harness.proxy.Wait()
	})
	harness.origins.SetManifest(testManifest(1))
	harness.proxy.SetManifest(testManifest(1))
	return harness
}

func testManifest(version int64) *site.Manifest {
	route := func(name string, kind site.RouteKind, service string) site.Route {
		return site.Route{
			Name: name, Host: testHost, Prefix: "/" + name + "/", Kind: kind, Timeout: 5 * time.Second,
			LatencyObjective: 500 * time.Millisecond, MaxEventGap: 200 * time.Millisecond, MaxAttempts: 1,
			Split: []site.WeightedService{{Service: service, Weight: 1}},
		}
	}
	ask, resume := route("ask", site.Stream, "llm"), route("resume", site.Stream, "llm")
	ask.CarriesPrompts, resume.CarriesPrompts = true, true
	resume.Resumable, resume.MaxAttempts = true, 2
	read := route("read", site.Safe, "desk")
	read.MaxAttempts = 2
	manifest := &site.Manifest{
		Version: version,
		Routes:  []site.Route{ask, resume, read, route("book", site.Unsafe, "desk")},
		Services: map[string]site.Service{
			"llm": {Name: "llm", Engine: &site.Engine{
				Slots: 64, KVCapacityTokens: 400_000, KVBytesPerToken: 163_840, LinkMbps: 1_600_000, TokensPerEvent: 9,
				HandleTTL: 5 * time.Second, StageChangeTime: 3 * time.Second,
			}},
			"desk": {Name: "desk"},
		},
		Teams: map[string]site.Team{testKey: {Name: "press", Priority: -1}},
	}
	manifest.Sort()
	return manifest
}

// startTarget starts a fake target that responds with handler, and adds it to
// the target list.
func (harness *harness) startTarget(id, service string, stage site.Stage, handler http.HandlerFunc) *httptest.Server {
	harness.t.Helper()
	return harness.startVersion(id, service, stage, "", handler)
}

// startVersion is startTarget for a target with a version of its software.
func (harness *harness) startVersion(id, service string, stage site.Stage, software string, handler http.HandlerFunc) *httptest.Server {
	harness.t.Helper()
	server := httptest.NewServer(handler)
	harness.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	harness.addTarget(site.Target{
		ID: id, Service: service, Software: software, Address: server.Listener.Addr().String(), DataCenter: "tas-a", Slots: 6, Stage: stage,
	})
	return server
}

func (harness *harness) addTarget(target site.Target) {
	harness.targets = append(harness.targets, target)
	harness.scheduler.SetTargets(harness.targets, harness.proxy.Manifest().Services)
	harness.crashes.SetTargets(harness.targets)
	harness.origins.SetTargets(harness.targets)
}

// respondPrefilled responds as an engine that prefilled the prompt or released
// its handle.
func respondPrefilled(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		return
	}
	setResponseHeaders(w, r)
	_, _ = io.WriteString(w, `{"KvHandle":"h1","Tokens":1460,"Version":1}`)
}

// setResponseHeaders sets the headers that every response of a target carries.
func setResponseHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Signature", "3e1b.07.5a2")
}

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: token\n\n", id) }

// sendEvents sends the events after Last-Event-Id up to last.
func sendEvents(w http.ResponseWriter, r *http.Request, last int) {
	setResponseHeaders(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		_, _ = fmt.Sscan(text, &first)
		first++
	}
	for id := first; id <= last; id++ {
		_, _ = io.WriteString(w, eventText(id))
		w.(http.Flusher).Flush()
	}
}

// newRequest returns a caller's request. On routes to model engines it has a
// prompt of 1460 tokens.
func (harness *harness) newRequest(method, path string) *http.Request {
	harness.t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, harness.front.URL+path, strings.NewReader("body"))
	if err != nil {
		harness.t.Fatal(err)
	}
	request.Host = testHost
	request.Header.Set("Attempt-Id", "9c41d07be2a35f68")
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Deadline-Ms", "4000")
	if strings.HasPrefix(path, "/ask/") || strings.HasPrefix(path, "/resume/") {
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Count", "1460,80")
		request.Header.Set("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	}
	return request
}

// callerResponse is what a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error // no response, or its body was truncated
}

func (harness *harness) do(request *http.Request) callerResponse {
	harness.t.Helper()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}
