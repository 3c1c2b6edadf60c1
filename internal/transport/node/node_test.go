package node_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/node"
	"mangopier.example/mangopier/platform"
)

const (
	host = "guides.example"
	key  = "key-of-press"
)

// manifest returns a manifest with one route, whose calls may be repeated.
func manifest(version int, prefix string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"read","Host":%q,"Prefix":%q,"Kind":"safe","TimeoutMs":2000,
		"TargetLatencyMs":100,"Service":"desk","MaxAttempts":2}],"Services":[{"Name":"desk"}],
		"Tenants":[{"Name":"press","ApiKeys":[%q]}]}`, version, host, prefix, key)
}

// logBuffer is a log that can be searched.
type logBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (buffer *logBuffer) Write(data []byte) (int, error) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.text.Write(data)
}

func (buffer *logBuffer) contains(text string) bool {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return strings.Contains(buffer.text.String(), text)
}

// Ports of instances lie below the range of ephemeral ports: an outgoing
// connection could otherwise hold an instance's port while it restarts.
const (
	firstPort = 15_000
	lastPort  = 30_000
)

// freePort returns a port that is currently free on all loopback addresses, as
// is the port after it.
func freePort(t *testing.T) int {
	t.Helper()
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if canListen(port) && canListen(port+1) {
			return port
		}
	}
}

func canListen(port int) bool {
	listener, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", port))
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// startNode starts an instance on its own IP address. Store and control are the
// addresses of the platform's services; ports are the peer and the metrics port.
func startNode(t *testing.T, name, ip, store, control string, ports [2]int, log io.Writer) (*node.Node, site.Settings) {
	t.Helper()
	settings := nodeSettings(t, name, ip, store, control, ports)
	return startNodeWith(t, settings, log), settings
}

// nodeSettings returns the settings of an instance, see startNode.
func nodeSettings(t *testing.T, name, ip, store, control string, ports [2]int) site.Settings {
	t.Helper()
	return site.Settings{
		Instance: name, IP: ip, DataCenter: "tas-a", Bootstrap: true,
		ListenAddress: fmt.Sprintf("%s:%d", ip, freePort(t)), ReadinessAddress: fmt.Sprintf("%s:%d", ip, freePort(t)),
		PeerPort: ports[0], MetricsPort: ports[1], StoreAddress: store, ControlAddress: control, MemoryBytes: 256 << 20,
		Bounds: site.Bounds{
			ShutdownGrace: 2 * time.Second, LeaseDuration: 3 * time.Second, UsageWindow: time.Second, UsageReportDeadline: 10 * time.Second,
			RetryRatio: 0.2, RetryWindow: 10 * time.Second, ExtraRetries: 50,
		},
		Duties: site.Duties{Usage: true},
	}
}

func startNodeWith(t *testing.T, settings site.Settings, log io.Writer) *node.Node {
	t.Helper()
	instance := node.New(settings, platform.NewStore(settings.StoreAddress), platform.NewControl(settings.ControlAddress), platform.Codec{}, zerolog.New(log), node.WithBuild("test-build"))
	if err := instance.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return instance
}

// eventually waits until a condition holds, at most until the deadline of the
// test run.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatalf("test ended before the condition held: %s", description)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func get(t *testing.T, address, path string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("Attempt-Id", "9c41d07be2a35f68")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// startTarget starts a target of a plain service that responds with the team
// of the request, and registers it in the store beside a malformed row.
func startTarget(t *testing.T, store *fakeStore) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Signature", "s")
		_, _ = io.WriteString(w, r.Header.Get("Tenant"))
	}))
	t.Cleanup(server.Close)
	store.put("servers", "i-1", fmt.Sprintf(`{"Service":"desk","Address":%q,"Zone":"tas-a","Slots":6,"State":"ready"}`, server.Listener.Addr()))
	store.put("servers", "i-2", `not a row`)
}

// Two instances find each other and the targets by way of the store, serve
// callers, report usage, and stop without interrupting a request.
func TestTwoInstancesServeAndReportUsage(t *testing.T) {
	store := newFakeStore()
	var mutex sync.Mutex
	reports := map[string]bool{}
	control := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mutex.Lock()
		defer mutex.Unlock()
		reports[string(body)] = true
	}))
	t.Cleanup(control.Close)
	store.put("op", "config", manifest(3, "/read/"))
	startTarget(t, store)
	ports := [2]int{freePort(t), freePort(t)}
	log := &logBuffer{}
	first, firstSettings := startNode(t, "a", "127.0.0.1", store.endpoint(t).address, control.Listener.Addr().String(), ports, log)
	second, secondSettings := startNode(t, "b", "127.0.0.2", store.endpoint(t).address, control.Listener.Addr().String(), ports, log)
	eventually(t, "both instances are ready", func() bool { return first.Ready() && second.Ready() })
	if status, _ := get(t, firstSettings.ReadinessAddress, "/v1/ready"); status != http.StatusOK {
		t.Errorf("status of GET /v1/ready = %d, want %d", status, http.StatusOK)
	}
	for _, address := range []string{firstSettings.ListenAddress, secondSettings.ListenAddress} {
		if status, body := get(t, address, "/read/x"); status != http.StatusOK || body != "press" {
			t.Errorf("GET /read/x from %s = %d %q, want %d %q", address, status, body, http.StatusOK, "press")
		}
	}
	if status, _ := get(t, firstSettings.ListenAddress, "/none/"); status != http.StatusNotFound {
		t.Errorf("status of a path without a route = %d, want %d", status, http.StatusNotFound)
	}
	eventually(t, "usage is reported", func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		sum := 0
		for report := range reports {
			sum += strings.Count(report, `"press":`)
		}
		return sum > 0
	})
	if status, body := get(t, fmt.Sprintf("%s:%d", firstSettings.IP, firstSettings.MetricsPort), "/metrics"); status != http.StatusOK ||
		!strings.Contains(body, "mangopier_requests_total") {
		t.Errorf("status of GET /metrics = %d, want %d and mangopier_requests_total in the body", status, http.StatusOK)
	}
	if interrupted := first.Stop() + second.Stop(); interrupted != 0 {
		t.Errorf("first.Stop() + second.Stop() = %d interrupted requests, want 0", interrupted)
	}
	if !log.contains(`"build":"test-build","abilities":["limits","prompt-parts","software-versions","stream-origins","suspects"]`) {
		t.Error("log has no message about the build of the other instance")
	}
	if !log.contains("target row cannot be decoded; target not used") {
		t.Error("log has no message about the malformed target row")
	}
}

// The store stops responding to one instance while a manifest changes. The instance
// must learn of the new manifest from a peer's heartbeat and fetch it there.
func TestFetchesManifestFromPeerWhenStoreHangs(t *testing.T) {
	store := newFakeStore()
	store.put("op", "config", manifest(3, "/read/"))
	startTarget(t, store)
	control := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(control.Close)
	ports := [2]int{freePort(t), freePort(t)}
	log := &logBuffer{}
	unresponsive := store.endpoint(t)
	first, firstSettings := startNode(t, "a", "127.0.0.1", unresponsive.address, control.Listener.Addr().String(), ports, log)
	second, _ := startNode(t, "b", "127.0.0.2", store.endpoint(t).address, control.Listener.Addr().String(), ports, log)
	eventually(t, "both instances are ready", func() bool { return first.Ready() && second.Ready() })
	eventually(t, "the instances know each other", func() bool {
		return log.contains(`"peer":"a"`) && log.contains(`"peer":"b"`)
	})
	unresponsive.hangs.Store(true)
	store.put("op", "config", manifest(5, "/moved/"))
	eventually(t, "the new route is served", func() bool {
		status, _ := get(t, firstSettings.ListenAddress, "/moved/x")
		return status == http.StatusOK
	})
	if !log.contains("manifest fetched from another instance") {
		t.Error("log has no message that the manifest was fetched from another instance")
	}
	first.Stop()
	second.Stop()
}
