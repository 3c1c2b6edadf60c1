package node_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
)

// The store comes back from a copy and counts its versions from there. Guards against a
// manifest of after the restore that never gets in force, since an earlier one had a higher
// version of the store.
func TestManifestAfterRestoreOfStoreIsInForce(t *testing.T) {
	store := newFakeStore()
	store.put("op", "config", manifest(3, "/read/"))
	startTarget(t, store)
	control := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(control.Close)
	ports := [2]int{freePort(t), freePort(t)}
	log := &logBuffer{}
	first, firstSettings := startNode(t, "a", "127.0.0.1", store.endpoint(t).address, control.Listener.Addr().String(), ports, log)
	second, secondSettings := startNode(t, "b", "127.0.0.2", store.endpoint(t).address, control.Listener.Addr().String(), ports, log)
	eventually(t, "both instances are ready", func() bool { return first.Ready() && second.Ready() })
	copied := store.copy()
	for i := range 1000 { // versions that are given out again
		store.put("op", "other", fmt.Sprint(i))
	}
	store.put("op", "config", manifest(5, "/moved/"))
	served := func(path string) bool {
		for _, address := range []string{firstSettings.ListenAddress, secondSettings.ListenAddress} {
			if status, _ := get(t, address, path); status != http.StatusOK {
				return false
			}
		}
		return true
	}
	eventually(t, "the manifest before the restore is in force", func() bool { return served("/moved/x") })
	store.away.Store(true)
	time.Sleep(300 * time.Millisecond)
	store.restore(copied)
	store.away.Store(false)
	if !served("/moved/x") {
		t.Error("the manifest of before the restore is not in force after it, want it to stay")
	}
	store.put("op", "config", manifest(8, "/again/"))
	eventually(t, "the manifest after the restore is in force", func() bool { return served("/again/x") })
	if status, _ := get(t, firstSettings.ListenAddress, "/moved/x"); status != http.StatusNotFound {
		t.Errorf("status of a route that was dropped = %d, want %d", status, http.StatusNotFound)
	}
	first.Stop()
	second.Stop()
}

// The store comes back from a copy of before the instances registered. Guards against members
// that a new instance does not find.
func TestMembersRegisterAgainAfterRestoreOfStore(t *testing.T) {
	store := newFakeStore()
	store.put("op", "config", manifest(3, "/read/"))
	startTarget(t, store)
	copied := store.copy()
	control := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(control.Close)
	log := &logBuffer{}
	instance, _ := startNode(t, "a", "127.0.0.1", store.endpoint(t).address, control.Listener.Addr().String(), [2]int{freePort(t), freePort(t)}, log)
	defer instance.Stop()
	eventually(t, "the instance has registered", func() bool { return store.contains("member/a", "address") })
	store.restore(copied)
	if store.contains("member/a", "address") {
		t.Fatal("the copy has the row of the member")
	}
	eventually(t, "the instance has registered again", func() bool { return store.contains("member/a", "address") })
}

// A usage window is reported, the store comes back from a copy that lacks its row, and an
// instance that has just started takes the lease over. Guards against a second report of the
// window with other counts (ONE).
func TestUsageWindowIsNotReportedAgainAfterRestoreOfStore(t *testing.T) {
	store := newFakeStore()
	store.put("op", "config", manifest(3, "/read/"))
	startTarget(t, store)
	var mutex sync.Mutex
	counts := map[int64]string{} // by window
	newest := int64(0)           // window with requests
	control := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var report struct {
			WindowSeq int64
			Counts    map[string]int64
		}
		if err := json.UnmarshalRead(r.Body, &report); err != nil {
			t.Errorf("report of usage: %v", err)
		}
		mutex.Lock()
		defer mutex.Unlock()
		reported := fmt.Sprint(report.Counts)
		if first, ok := counts[report.WindowSeq]; ok && first != reported {
			t.Errorf("window %d is reported as %s, which was reported as %s", report.WindowSeq, reported, first)
		}
		counts[report.WindowSeq] = reported
		if len(report.Counts) > 0 {
			newest = max(newest, report.WindowSeq)
		}
	}))
	t.Cleanup(control.Close)
	ports, log := [2]int{freePort(t), freePort(t)}, &logBuffer{}
	settings := nodeSettings(t, "a", "127.0.0.1", store.endpoint(t).address, control.Listener.Addr().String(), ports)
	instance := startNodeWith(t, settings, log)
	reportsAfter := func(window int64) bool {
		_, _ = get(t, settings.ListenAddress, "/read/x")
		mutex.Lock()
		defer mutex.Unlock()
		return newest > window
	}
	eventually(t, "the instance is ready", instance.Ready)
	copied := store.copy()
	eventually(t, "usage is reported", func() bool { return reportsAfter(0) })
	instance.Stop()
	store.restore(copied)
	mutex.Lock()
	last := newest
	mutex.Unlock()
	settings.Bootstrap = false
	instance = startNodeWith(t, settings, log)
	defer instance.Stop()
	eventually(t, "the instance is ready again", instance.Ready)
	eventually(t, "usage is reported after the restore", func() bool { return reportsAfter(last) })
}
