package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/transport/node"
)

// partitionSite is a site of two instances. The instance a reaches each target by a
// link of its own, b reaches them directly.
type partitionSite struct {
	t       *testing.T
	links   map[string]*link // by target
	address string           // of a
	nodes   []*node.Node
	log     *logBuffer
	calls   atomic.Int64 // number of the last call

	mutex sync.Mutex
	runs  map[string]int // by attempt and kind of call
}

const partitionManifest = `{"Version":3,"Routes":[
	{"Name":"read","Host":%[1]q,"Prefix":"/read/","Kind":"safe","TimeoutMs":2000,"TargetLatencyMs":100,"Service":"desk","MaxAttempts":2},
	{"Name":"book","Host":%[1]q,"Prefix":"/book/","Kind":"unsafe","TimeoutMs":2000,"TargetLatencyMs":100,"Service":"desk","MaxAttempts":1},
	{"Name":"ask","Host":%[1]q,"Prefix":"/ask/","Kind":"streaming","TimeoutMs":4000,"TargetLatencyMs":300,"TargetGapMs":200,"Service":"llm","MaxAttempts":1,"Sticky":true},
	{"Name":"resume","Host":%[1]q,"Prefix":"/resume/","Kind":"streaming","TimeoutMs":4000,"TargetLatencyMs":300,"TargetGapMs":200,"Service":"llm","MaxAttempts":2,"Sticky":true,"Resumable":true}],
	"Services":[{"Name":"desk"},{"Name":"llm","Engine":{"Slots":64,"KvCapacity":400000,"KvTokenBytes":163840,"LinkMbps":1600000,"HandleTtlS":5,"SwitchS":3}}],
	"Tenants":[{"Name":"press","ApiKeys":[%[2]q]}]}`

func newPartitionSite(t *testing.T) *partitionSite {
	t.Helper()
	partition := &partitionSite{t: t, log: &logBuffer{}, links: map[string]*link{}, runs: map[string]int{}}
	store, linked := newFakeStore(), newFakeStore()
	for _, store := range []*fakeStore{store, linked} {
		store.put("op", "config", fmt.Sprintf(partitionManifest, host, key))
	}
	for id, stage := range map[string]string{"s1": "", "s2": "", "s3": "", "p1": "prefill", "p2": "prefill", "d1": "decode", "d2": "decode"} {
		server := httptest.NewServer(http.HandlerFunc(partition.serveTarget))
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		service := "llm"
		if stage == "" {
			service = "desk"
		}
		row := `{"Service":%q,"Address":%q,"Zone":"tas-a","Slots":6,"State":"ready","Stage":%q}`
		address := server.Listener.Addr().String()
		link := newLink(t, address)
		partition.links[id] = link
		store.put("servers", id, fmt.Sprintf(row, service, address, stage))
		linked.put("servers", id, fmt.Sprintf(row, service, link.address, stage))
	}
	control := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(control.Close)
	ports := [2]int{freePort(t), freePort(t)}
	first, settings := startNode(t, "a", "127.0.0.1", linked.endpoint(t).address, control.Listener.Addr().String(), ports, partition.log)
	second, _ := startNode(t, "b", "127.0.0.2", store.endpoint(t).address, control.Listener.Addr().String(), ports, partition.log)
	partition.address, partition.nodes = settings.ListenAddress, []*node.Node{first, second}
	for _, other := range []*fakeStore{store, linked} { // they do not share a store
		other.put("mangopier", "member/a", fmt.Sprintf(`{"address":"127.0.0.1:%d","data-center":"tas-a"}`, ports[0]))
		other.put("mangopier", "member/b", fmt.Sprintf(`{"address":"127.0.0.2:%d","data-center":"tas-a"}`, ports[0]))
	}
	eventually(t, "both instances are ready", func() bool { return first.Ready() && second.Ready() })
	eventually(t, "the instances know each other", func() bool {
		return partition.log.contains(`"peer":"a"`) && partition.log.contains(`"peer":"b"`)
	})
	return partition
}

// serveTarget responds as an engine or as a target of the plain service, and counts
// the runs.
func (partition *partitionSite) serveTarget(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method == http.MethodDelete {
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Signature", "s")
	if r.Header.Get("Serving-Stage") == "prefill" {
		_, _ = io.WriteString(w, `{"KvHandle":"h1","Tokens":1460,"Version":1}`)
		return
	}
	partition.mutex.Lock()
	partition.runs[id]++
	partition.mutex.Unlock()
	if r.Header.Get("Token-Count") == "" {
		_, _ = io.WriteString(w, r.Header.Get("Tenant"))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	for event := first; event <= 5; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", event)
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

const fiveEvents = "id: 1\ndata: token\n\nid: 2\ndata: token\n\nid: 3\ndata: token\n\nid: 4\ndata: token\n\nid: 5\ndata: token\n\n"

// send sends a request to the instance a and reports whether the caller got the
// whole answer of a target.
func (partition *partitionSite) send(path string) bool {
	ctx, cancel := context.WithTimeout(partition.t.Context(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+partition.address+path, strings.NewReader("body"))
	if err != nil {
		partition.t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("Attempt-Id", fmt.Sprintf("%016x", partition.calls.Add(1)))
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Deadline-Ms", "2000")
	want := "press"
	if strings.HasPrefix(path, "/ask/") || strings.HasPrefix(path, "/resume/") {
		want = fiveEvents
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Count", "1460,80")
		request.Header.Set("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && string(body) == want
}

// sendFor sends requests of all routes for a time, and returns how many there were
// and how many were answered.
func (partition *partitionSite) sendFor(length time.Duration) (sent, answered int64) {
	var group sync.WaitGroup
	var count atomic.Int64
	paths := []string{"/read/x", "/book/x", "/ask/x", "/resume/x"}
	for i := range int(length / requestInterval) {
		group.Go(func() {
			if partition.send(paths[i%len(paths)]) {
				count.Add(1)
			}
		})
		time.Sleep(requestInterval)
	}
	group.Wait()
	return int64(length / requestInterval), count.Load()
}

const (
	requestInterval = 40 * time.Millisecond
	// contactTime is how long an instance may take until it serves as well as the
	// others.
	contactTime = 3 * time.Second
)

// Guards against requests that are lost, or time out one target after the other, at
// an instance that no longer reaches any target while its peers do.
func TestServesCallersWhileCutOffFromTargets(t *testing.T) {
	for name, fault := range map[string]linkFault{"hangs": linkHangs, "resets": linkResets, "refuses": linkRefuses} {
		t.Run(name, func(t *testing.T) {
			partition := newPartitionSite(t)
			if sent, answered := partition.sendFor(time.Second); answered != sent {
				t.Fatalf("answered before the cut = %d of %d, want all", answered, sent)
			}
			for _, link := range partition.links {
				link.cut(fault)
			}
			partition.sendFor(contactTime)
			if sent, answered := partition.sendFor(2 * time.Second); 3*answered < 2*sent {
				t.Errorf("answered while cut off = %d of %d, want at least two thirds", answered, sent)
			}
			for _, link := range partition.links {
				link.heal()
			}
			partition.sendFor(contactTime)
			if sent, answered := partition.sendFor(time.Second); answered != sent {
				t.Errorf("answered after the cut = %d of %d, want all", answered, sent)
			}
			for id, runs := range partition.runs {
				if runs > 2 {
					t.Errorf("runs of %s = %d, want at most 2", id, runs)
				}
			}
			for _, instance := range partition.nodes {
				instance.Stop()
			}
		})
	}
}

// Guards against refusing callers, or letting them wait for one target after the other,
// at an instance that reaches only some targets of a service while its peers reach all.
func TestServesCallersWhileSomeTargetsAreInReach(t *testing.T) {
	spared := map[string][]string{
		"one prefill engine": {"p1", "s1", "s2", "s3"},
		"one decode engine":  {"d1", "s1", "s2", "s3"},
		"all prefill":        {"p1", "p2", "s1"},
		"one plain target":   {"s1", "p1", "p2", "d1", "d2"},
		"half of all":        {"s1", "p1", "d1"},
	}
	for name, inReach := range spared {
		t.Run(name, func(t *testing.T) {
			partition := newPartitionSite(t)
			partition.sendFor(time.Second)
			for id, link := range partition.links {
				if !slices.Contains(inReach, id) {
					link.cut(linkHangs)
				}
			}
			partition.sendFor(contactTime)
			if sent, answered := partition.sendFor(4 * time.Second); 10*answered < 9*sent {
				t.Errorf("answered while partly cut off = %d of %d, want at least nine tenths", answered, sent)
			}
			for _, instance := range partition.nodes {
				instance.Stop()
			}
		})
	}
}
