package node_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// Guards against sending requests to a target that has told only another instance
// that it leaves, also after that instance has ended.
func TestPeersLearnThatTargetLeaves(t *testing.T) {
	store := newFakeStore()
	control := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(control.Close)
	var requests atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Signature", "s")
		w.Header().Set("Server-Leaving", "1")
	}))
	t.Cleanup(target.Close)
	store.put("op", "config", manifest(3, "/read/"))
	row := `{"Service":"desk","Address":%q,"Zone":"tas-a","Slots":6,"State":"ready","born":%d}`
	store.put("servers", "i-1", fmt.Sprintf(row, target.Listener.Addr(), 1_771_142_700_020))
	ports := [2]int{freePort(t), freePort(t)}
	log := &logBuffer{}
	first, firstSettings := startNode(t, "a", "127.0.0.1", store.endpoint(t).address, control.Listener.Addr().String(), ports, log)
	second, secondSettings := startNode(t, "b", "127.0.0.2", store.endpoint(t).address, control.Listener.Addr().String(), ports, log)
	eventually(t, "both instances are ready", func() bool { return first.Ready() && second.Ready() })
	get(t, firstSettings.ListenAddress, "/read/x")
	eventually(t, "the second instance has heard of it", func() bool { return log.contains(`"target":"i-1","from":"a"`) })
	first.Stop()
	if status, _ := get(t, secondSettings.ListenAddress, "/read/x"); status != http.StatusServiceUnavailable || requests.Load() != 1 {
		t.Errorf("status at the second instance = %d after %d requests at the target, want 503 after 1", status, requests.Load())
	}
	store.put("servers", "i-1", fmt.Sprintf(row, target.Listener.Addr(), 1_771_142_800_020))
	eventually(t, "the restarted target is used again", func() bool {
		status, _ := get(t, secondSettings.ListenAddress, "/read/x")
		return status == http.StatusOK
	})
}
