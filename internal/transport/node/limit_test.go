package node_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/transport/node"
)

// arrivalLog holds the times at which requests arrived.
type arrivalLog struct {
	mutex sync.Mutex
	times []time.Time
}

func (log *arrivalLog) add() {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.times = append(log.times, time.Now())
}

// most returns the largest number of arrivals in any span of a length that begins
// after a moment.
func (log *arrivalLog) most(length time.Duration, after time.Time) int {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	most := 0
	for i, first := range log.times {
		count := 0
		for _, arrival := range log.times[i:] {
			if arrival.Sub(first) < length {
				count++
			}
		}
		if !first.Before(after) {
			most = max(most, count)
		}
	}
	return most
}

// Guards against instances that each keep to the limit of a target, but together send
// it several times as much.
func TestInstancesShareLimitOfTarget(t *testing.T) {
	const limit = 2.0
	store := newFakeStore()
	store.put("op", "config", manifest(3, "/read/"))
	var arrivals arrivalLog
	addTarget := func(id string, isLimited bool) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if isLimited {
				arrivals.add()
				w.Header().Set("Server-Limit", fmt.Sprint(limit))
			}
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			w.Header().Set("Response-Signature", "s")
			_, _ = io.WriteString(w, "press")
		}))
		t.Cleanup(server.Close)
		store.put("servers", id, fmt.Sprintf(`{"Service":"desk","Address":%q,"Zone":"tas-a","Slots":6,"State":"ready"}`, server.Listener.Addr()))
	}
	addTarget("i-1", true)
	addTarget("i-2", false)
	control := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(control.Close)
	ports := [2]int{freePort(t), freePort(t)}
	log := &logBuffer{}
	var nodes []*node.Node
	var fronts []string
	for i, name := range []string{"a", "b", "c", "d"} {
		instance, settings := startNode(t, name, fmt.Sprintf("127.0.0.%d", i+1), store.endpoint(t).address, control.Listener.Addr().String(), ports, log)
		nodes, fronts = append(nodes, instance), append(fronts, settings.ListenAddress)
		defer instance.Stop()
	}
	for _, instance := range nodes {
		eventually(t, "all instances are ready", instance.Ready)
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		eventually(t, name+" is known", func() bool { return log.contains(fmt.Sprintf(`"peer":%q`, name)) })
	}
	started := time.Now()
	for attempt := 0; time.Since(started) < 3*contactTime; attempt++ {
		if status := post(t, fronts[attempt%len(fronts)], "/read/x", "body", attempt); status != http.StatusOK {
			t.Errorf("status = %d, want 200", status)
		}
		time.Sleep(10 * time.Millisecond)
	}
	const span = 4 * time.Second
	allowed := int(1.5*limit*span.Seconds() + 5)
	if most := arrivals.most(span, started.Add(contactTime)); most > allowed {
		t.Errorf("requests at the target in 4 s = %d, want at most %d", most, allowed)
	}
	if arrivals.most(span, started.Add(contactTime)) == 0 {
		t.Error("the target got no requests while it named a limit")
	}
}
