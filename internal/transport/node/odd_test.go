package node_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Another writer leaves odd entries among those of the targets. Guards against an instance
// that ends by one or stops following the list: a target that registers after them is used.
func TestOddEntriesDoNotStopFollowingTargets(t *testing.T) {
	store := newFakeStore()
	store.put("op", "config", manifest(3, "/read/"))
	odd := map[string]string{
		"i-deep":   strings.Repeat(`{"a":`, 12_000) + "1" + strings.Repeat("}", 12_000),
		"i-number": `{"Service":"desk","Address":"127.0.0.1:1","Zone":"tas-a","Slots":99999999999999999999999999,"State":"ready"}`,
		"i-float":  `{"Service":"desk","Address":"127.0.0.1:1","Zone":"tas-a","Slots":6,"State":"ready","Sequence":1e999}`,
		"i-port":   `{"Service":"desk","Address":"127.0.0.1:70000","Zone":"tas-a","Slots":6,"State":"ready"}`,
		"i-slots":  `{"Service":"desk","Address":"127.0.0.1:1","Zone":"tas-a","Slots":9223372036854775807,"State":"ready"}`,
		"i-lines":  "\x00\r\n",
	}
	for id, value := range odd {
		store.put("servers", id, value)
	}
	control := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(control.Close)
	log := &logBuffer{}
	instance, settings := startNode(t, "a", "127.0.0.1", store.endpoint(t).address, control.Listener.Addr().String(), [2]int{freePort(t), freePort(t)}, log)
	defer instance.Stop()
	eventually(t, "the instance is ready", instance.Ready)
	for id := range odd {
		if !log.contains(fmt.Sprintf(`"target":%q,"message":"target row cannot be decoded`, id)) {
			t.Errorf("log has no message about the row %s", id)
		}
	}
	startTarget(t, store)
	eventually(t, "the target that registers later is used", func() bool {
		status, _ := get(t, settings.ListenAddress, "/read/x")
		return status == http.StatusOK
	})
	for id, value := range odd {
		store.put("servers", id, value+" ")
	}
	store.put("op", "config", manifest(5, "/moved/"))
	eventually(t, "manifests are followed", func() bool {
		status, _ := get(t, settings.ListenAddress, "/moved/x")
		return status == http.StatusOK
	})
}
