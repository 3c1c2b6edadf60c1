package node_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/transport/node"
)

const crashingBody = "crashes targets"

// startCrashingTarget starts a target of the plain service that ends when it begins to
// run a request with crashingBody, and counts that.
func startCrashingTarget(t *testing.T, store *fakeStore, id string, crashes *atomic.Int64) {
	t.Helper()
	var server *httptest.Server
	var ended atomic.Bool
	server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if string(body) == crashingBody {
			if ended.CompareAndSwap(false, true) {
				crashes.Add(1)
				_ = server.Listener.Close()
				server.CloseClientConnections()
			}
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Signature", "s")
	}))
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	store.put("servers", id, fmt.Sprintf(`{"Service":"desk","Address":%q,"Zone":"tas-a","Slots":6,"State":"ready"}`, server.Listener.Addr()))
}

// post sends a request with a body to an instance and returns the status, 0 if there
// was no answer.
func post(t *testing.T, address, path, body string, attempt int) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.GetBody = nil
	request.Header.Set("Attempt-Id", fmt.Sprintf("%016x", attempt))
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Deadline-Ms", "2000")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// Guards against losing more targets at each instance to a request that has crashed
// some under another one, also at an instance that has just started.
func TestInstancesShareRequestsThatCrashTargets(t *testing.T) {
	store := newFakeStore()
	store.put("op", "config", manifest(3, "/read/"))
	var crashes atomic.Int64
	for i := range 12 {
		startCrashingTarget(t, store, fmt.Sprint("i-", i), &crashes)
	}
	control := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(control.Close)
	ports := [2]int{freePort(t), freePort(t)}
	log := &logBuffer{}
	var nodes []*node.Node
	var fronts []string
	start := func(name, ip string) {
		instance, settings := startNode(t, name, ip, store.endpoint(t).address, control.Listener.Addr().String(), ports, log)
		nodes, fronts = append(nodes, instance), append(fronts, settings.ListenAddress)
		eventually(t, name+" is ready", instance.Ready)
		eventually(t, name+" is known to the others", func() bool { return len(nodes) == 1 || log.contains(fmt.Sprintf(`"peer":%q`, name)) })
	}
	start("a", "127.0.0.1")
	start("b", "127.0.0.2")
	pauseForHeartbeats := func() { time.Sleep(contactTime / 3) }
	attempt := 0
	for range 4 {
		for _, front := range fronts {
			attempt++
			post(t, front, "/read/x", crashingBody, attempt)
			pauseForHeartbeats()
		}
	}
	start("c", "127.0.0.3")
	pauseForHeartbeats()
	for _, front := range fronts {
		attempt++
		if status := post(t, front, "/read/x", crashingBody, attempt); status != http.StatusServiceUnavailable {
			t.Errorf("status of the request at %s = %d, want 503", front, status)
		}
		attempt++
		if status := post(t, front, "/read/x", "body", attempt); status != http.StatusOK {
			t.Errorf("status of another request at %s = %d, want 200", front, status)
		}
	}
	if crashes.Load() > 4 {
		t.Errorf("targets that crashed under the request = %d, want 3, or 4 if one attempt crashed two", crashes.Load())
	}
	for _, instance := range nodes {
		instance.Stop()
	}
}
