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

	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/proxy"
	"mangopier.example/mangopier/platform"
)

// world is a proxy before stand-ins of targets.
type world struct {
	t       *testing.T
	proxy   *proxy.Proxy
	book    *place.Book
	front   *httptest.Server
	log     *logBuffer
	targets []site.Target

	mutex  sync.Mutex
	counts map[string]int
}

// logBuffer keeps the log lines.
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

// Began counts the requests of a team.
func (world *world) Began(team string) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.counts[team]++
}

func (world *world) began(team string) int {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.counts[team]
}

const (
	testHost = "guides.example"
	testKey  = "key-of-press"
)

func newWorld(t *testing.T, opts ...proxy.Option) *world {
	t.Helper()
	world := &world{t: t, log: &logBuffer{}, counts: map[string]int{}, book: place.New(place.WithDataCenter("tas-a"))}
	wire := platform.Wire{}
	client := back.New(back.WithHeaders(wire.AttemptHeader(), wire.NotRunHeader()))
	opts = append([]proxy.Option{
		proxy.WithLogger(zerolog.New(world.log)),
		proxy.WithBounds(site.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 600, MostRetryAfter: 10 * time.Second}),
	}, opts...)
	world.proxy = proxy.New(wire, client, world.book, health.New(), world, opts...)
	world.front = httptest.NewServer(world.proxy)
	t.Cleanup(func() {
		world.front.Close()
		client.Close()
		world.proxy.Wait()
	})
	world.proxy.SetManifest(testManifest(1))
	return world
}

func testManifest(version int64) *site.Manifest {
	route := func(name string, kind site.Kind, service string) site.Route {
		return site.Route{
			Name: name, Host: testHost, Prefix: "/" + name + "/", Kind: kind, Timeout: 5 * time.Second,
			Objective: 500 * time.Millisecond, Pause: 200 * time.Millisecond, Attempts: 1,
			Shares: []site.Share{{Service: service, Weight: 1}},
		}
	}
	ask, resume := route("ask", site.Stream, "llm"), route("resume", site.Stream, "llm")
	ask.Prompts, resume.Prompts = true, true
	resume.Resumable, resume.Attempts = true, 2
	read := route("read", site.Safe, "desk")
	read.Attempts = 2
	manifest := &site.Manifest{
		Version: version,
		Routes:  []site.Route{ask, resume, read, route("book", site.Unsafe, "desk")},
		Services: map[string]site.Service{
			"llm": {Name: "llm", Engine: &site.Engine{
				Slots: 64, Memory: 400_000, TokenBytes: 163_840, LinkMbps: 1_600_000, Stride: 9,
				HandleTTL: 5 * time.Second, Switch: 3 * time.Second,
			}},
			"desk": {Name: "desk"},
		},
		Teams: map[string]site.Team{testKey: {Name: "press", Priority: -1}},
	}
	manifest.Sort()
	return manifest
}

// target adds a stand-in of a target whose answers the handler gives.
func (world *world) target(id, service string, stage site.Stage, handler http.HandlerFunc) *httptest.Server {
	world.t.Helper()
	server := httptest.NewServer(handler)
	world.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	world.list(site.Target{
		ID: id, Service: service, Address: server.Listener.Addr().String(), DataCenter: "tas-a", Slots: 6, Stage: stage,
	})
	return server
}

// list adds a target to the list.
func (world *world) list(target site.Target) {
	world.targets = append(world.targets, target)
	world.book.SetTargets(world.targets, world.proxy.Manifest().Services)
}

// prefill answers that a prompt was read.
func prefill(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		return
	}
	sign(w, r)
	_, _ = io.WriteString(w, `{"KvHandle":"h1","Tokens":1460,"Version":1}`)
}

// sign sets the headers that every answer of a target bears.
func sign(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Signature", "3e1b.07.5a2")
}

// event returns one event of a stream.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: token\n\n", id) }

// events sends the events from the one after Last-Event-Id up to last.
func events(w http.ResponseWriter, r *http.Request, last int) {
	sign(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		_, _ = fmt.Sscan(text, &first)
		first++
	}
	for id := first; id <= last; id++ {
		_, _ = io.WriteString(w, event(id))
		w.(http.Flusher).Flush()
	}
}

// request returns a caller's request to a route.
func (world *world) request(method, path string) *http.Request {
	world.t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, world.front.URL+path, strings.NewReader("body"))
	if err != nil {
		world.t.Fatal(err)
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

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // the answer broke off
}

func (world *world) do(request *http.Request) answer {
	world.t.Helper()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}
