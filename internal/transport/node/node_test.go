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

// manifest returns a manifest of one plain route.
func manifest(version int, prefix string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"read","Host":%q,"Prefix":%q,"Kind":"safe","TimeoutMs":2000,
		"TargetLatencyMs":100,"Service":"desk","MaxAttempts":2}],"Services":[{"Name":"desk"}],
		"Tenants":[{"Name":"press","ApiKeys":[%q]}]}`, version, host, prefix, key)
}

// lines is a log that can be searched.
type lines struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (lines *lines) Write(data []byte) (int, error) {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	return lines.text.Write(data)
}

func (lines *lines) contain(text string) bool {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	return strings.Contains(lines.text.String(), text)
}

// Ports of instances lie below those that the system gives to outgoing
// connections, one of which could hold a port while an instance restarts.
const (
	firstPort = 15_000
	lastPort  = 30_000
)

// freePort returns a port that is free at the moment on all loopback
// addresses, with the one after it.
func freePort(t *testing.T) int {
	t.Helper()
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if listens(port) && listens(port+1) {
			return port
		}
	}
}

func listens(port int) bool {
	listener, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", port))
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// startNode starts an instance on an address of its own.
func startNode(t *testing.T, name, ip, store, duties string, ports [2]int, log io.Writer) (*node.Node, site.Settings) {
	t.Helper()
	settings := site.Settings{
		Instance: name, Address: ip, DataCenter: "tas-a", FirstStart: true,
		FrontAddress: fmt.Sprintf("%s:%d", ip, freePort(t)), ReadyAddress: fmt.Sprintf("%s:%d", ip, freePort(t)),
		PeerPort: ports[0], MetricsPort: ports[1], StoreAddress: store, DutyAddress: duties, Memory: 256 << 20,
		Bounds: site.Bounds{
			Grace: 2 * time.Second, Lease: 3 * time.Second, UsageWindow: time.Second, UsageLate: 10 * time.Second,
			RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
		},
		Duties: site.Duties{Usage: true},
	}
	instance := node.New(settings, platform.NewStore(store), platform.NewControl(duties), platform.Wire{}, zerolog.New(log))
	if err := instance.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return instance, settings
}

// eventually waits for something that has to come; the test's own deadline
// ends a wait in vain.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		if t.Context().Err() != nil {
			t.Fatal(what)
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

// desk is a stand-in of a plain target.
func desk(t *testing.T, store *storeStandIn) {
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

// The whole path: two instances find each other and the targets in the store,
// serve, report usage once, and stop.
func TestTwoInstancesServe(t *testing.T) {
	store := newStore()
	var mutex sync.Mutex
	reports := map[string]bool{}
	duties := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mutex.Lock()
		defer mutex.Unlock()
		reports[string(body)] = true
	}))
	t.Cleanup(duties.Close)
	store.put("op", "config", manifest(3, "/read/"))
	desk(t, store)
	ports := [2]int{freePort(t), freePort(t)}
	log := &lines{}
	first, settings := startNode(t, "a", "127.0.0.1", store.door(t).address, duties.Listener.Addr().String(), ports, log)
	second, other := startNode(t, "b", "127.0.0.2", store.door(t).address, duties.Listener.Addr().String(), ports, log)
	eventually(t, "both are ready", func() bool { return first.Ready() && second.Ready() })
	if status, _ := get(t, settings.ReadyAddress, "/v1/ready"); status != http.StatusOK {
		t.Errorf("ready check answers %d", status)
	}
	for _, address := range []string{settings.FrontAddress, other.FrontAddress} {
		if status, body := get(t, address, "/read/x"); status != http.StatusOK || body != "press" {
			t.Errorf("%s answers %d %q", address, status, body)
		}
	}
	if status, _ := get(t, settings.FrontAddress, "/none/"); status != http.StatusNotFound {
		t.Errorf("a path without a route: %d", status)
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
	if status, body := get(t, fmt.Sprintf("%s:%d", settings.Address, settings.MetricsPort), "/metrics"); status != http.StatusOK ||
		!strings.Contains(body, "mangopier_requests_total") {
		t.Errorf("metrics answer %d", status)
	}
	if cut := first.Stop() + second.Stop(); cut != 0 {
		t.Errorf("%d requests were cut", cut)
	}
	if !log.contain("row names no target to use") {
		t.Error("nothing is logged of the row that cannot be read")
	}
}

// Pattern: the store turns one instance away, without a word, while a manifest
// changes. The instance learns of it from the others.
func TestManifestComesByWayOfOthers(t *testing.T) {
	store := newStore()
	store.put("op", "config", manifest(3, "/read/"))
	desk(t, store)
	duties := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(duties.Close)
	ports := [2]int{freePort(t), freePort(t)}
	log := &lines{}
	shut := store.door(t)
	first, settings := startNode(t, "a", "127.0.0.1", shut.address, duties.Listener.Addr().String(), ports, log)
	second, _ := startNode(t, "b", "127.0.0.2", store.door(t).address, duties.Listener.Addr().String(), ports, log)
	eventually(t, "both are ready", func() bool { return first.Ready() && second.Ready() })
	eventually(t, "they know each other", func() bool {
		return log.contain(`"peer":"a"`) && log.contain(`"peer":"b"`)
	})
	shut.silent.Store(true)
	store.put("op", "config", manifest(5, "/moved/"))
	eventually(t, "the new route is served", func() bool {
		status, _ := get(t, settings.FrontAddress, "/moved/x")
		return status == http.StatusOK
	})
	if !log.contain("manifest fetched from another instance") {
		t.Error("the manifest did not come by way of the other instance's heartbeat")
	}
	first.Stop()
	second.Stop()
}
