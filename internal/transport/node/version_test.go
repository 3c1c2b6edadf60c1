package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/node"
)

// versionSite is a site of two instances whose engines have two software versions. A run
// that begins a stream breaks off after the second event; one that resumes it completes it.
type versionSite struct {
	t        *testing.T
	store    *fakeStore
	stores   [2]*endpoint // the store as each instance sees it
	settings [2]site.Settings
	nodes    [2]*node.Node
	log      *logBuffer

	mutex  sync.Mutex
	began  map[string]string // version by attempt
	wentOn map[string]string // version by attempt
}

func newVersionSite(t *testing.T) *versionSite {
	t.Helper()
	versions := &versionSite{t: t, store: newFakeStore(), log: &logBuffer{}, began: map[string]string{}, wentOn: map[string]string{}}
	versions.store.put("op", "config", fmt.Sprintf(partitionManifest, host, key))
	versions.startEngine("p1", "v1", "prefill")
	for _, id := range []string{"d1", "d2"} {
		versions.startEngine(id+"-v1", "v1", "decode")
		versions.startEngine(id+"-v2", "v2", "decode")
	}
	control := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(control.Close)
	ports := [2]int{freePort(t), freePort(t)}
	for i, name := range []string{"a", "b"} {
		versions.stores[i] = versions.store.endpoint(t)
		versions.settings[i] = nodeSettings(t, name, fmt.Sprintf("127.0.0.%d", i+1), versions.stores[i].address, control.Listener.Addr().String(), ports)
		versions.start(i)
	}
	t.Cleanup(func() {
		for _, node := range versions.nodes {
			node.Stop()
		}
	})
	eventually(t, "the instances know each other", func() bool {
		return versions.log.contains(`"peer":"a"`) && versions.log.contains(`"peer":"b"`)
	})
	return versions
}

func (versions *versionSite) startEngine(id, version, stage string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { versions.serveEngine(w, r, version) }))
	versions.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	versions.store.put("servers", id, fmt.Sprintf(`{"Service":"llm","Address":%q,"Zone":"tas-a","Version":%q,"Slots":6,"State":"ready","Stage":%q}`,
		server.Listener.Addr(), version, stage))
}

func (versions *versionSite) serveEngine(w http.ResponseWriter, r *http.Request, version string) {
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Signature", "s")
	if r.Header.Get("Serving-Stage") == "prefill" {
		_, _ = io.WriteString(w, `{"KvHandle":"h1","Tokens":1460,"Version":1}`)
		return
	}
	if r.Method == http.MethodDelete {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	versions.mutex.Lock()
	resumed := r.Header.Get("Last-Event-Id") != ""
	if resumed {
		versions.wentOn[attempt] = version
	} else {
		versions.began[attempt] = version
	}
	versions.mutex.Unlock()
	if resumed {
		_, _ = io.WriteString(w, "id: 3\ndata: three\n\n")
		return
	}
	_, _ = io.WriteString(w, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

func (versions *versionSite) start(i int) {
	versions.nodes[i] = startNodeWith(versions.t, versions.settings[i], versions.log)
	eventually(versions.t, "an instance is ready", versions.nodes[i].Ready)
}

// restart stops instances and starts them again, as the platform does later in the day.
func (versions *versionSite) restart(instances ...int) {
	for _, i := range instances {
		versions.nodes[i].Stop()
	}
	for _, i := range instances {
		versions.settings[i].Bootstrap = false
		versions.start(i)
	}
}

// ask sends an attempt to an instance. With resumes, it takes up the stream of that attempt.
func (versions *versionSite) ask(i int, path, attempt, resumes string) (int, string) {
	versions.t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+versions.settings[i].ListenAddress+path, strings.NewReader("body"))
	if err != nil {
		versions.t.Fatal(err)
	}
	request.Host, request.GetBody = host, nil
	for name, value := range map[string]string{
		"Attempt-Id": attempt, "Authorization": "Bearer " + key, "Deadline-Ms": "4000", "Model": "m", "Token-Count": "1460,80", "Prompt-Prefix": "5c1e07a2:800,e4402b7d:660",
	} {
		request.Header.Set(name, value)
	}
	if resumes != "" {
		request.Header.Set("Resumes", resumes)
		request.Header.Set("Last-Event-Id", "2")
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body) // broken off on purpose
	return response.StatusCode, string(body)
}

// begin has streams begin at an instance and returns their attempts.
func (versions *versionSite) begin(i, count int) []string {
	var attempts []string
	for n := range count {
		attempt := fmt.Sprintf("begin-%d-%d", i, n)
		if status, body := versions.ask(i, "/resume/x", attempt, ""); status == http.StatusOK && strings.Contains(body, "one") {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// takeUp takes streams up at an instance and returns how many went on. It fails the test if
// one goes on at another version than the one that began it.
func (versions *versionSite) takeUp(i int, attempts []string) int {
	versions.t.Helper()
	wentOn := 0
	for _, attempt := range attempts {
		status, body := versions.ask(i, "/resume/x", "resume-"+attempt, attempt)
		versions.mutex.Lock()
		began, went := versions.began[attempt], versions.wentOn["resume-"+attempt]
		versions.mutex.Unlock()
		switch {
		case status == http.StatusOK && strings.Contains(body, "three"):
			wentOn++
			if began != went {
				versions.t.Errorf("stream %s began at %s and goes on at %s", attempt, began, went)
			}
		case status != http.StatusServiceUnavailable:
			versions.t.Errorf("taking up stream %s = %d %q, want 200 or 503", attempt, status, body)
		}
	}
	return wentOn
}

// A stream is taken up at another instance than the one that began it, which may have ended.
// Guards against going on at another software version (ORDER), and against refusing streams
// of a version that still serves (LOST).
func TestStreamGoesOnAtItsVersionAtAnotherInstance(t *testing.T) {
	versions := newVersionSite(t)
	attempts := versions.begin(0, 8)
	if wentOn := versions.takeUp(1, attempts); wentOn < len(attempts) || wentOn == 0 {
		t.Errorf("%d of %d streams went on at the other instance, want all", wentOn, len(attempts))
	}
	versions.restart(0)
	eventually(t, "the restarted instance is told the streams", func() bool { return versions.takeUp(0, attempts) == len(attempts) })
}

// All instances are killed at once and come back, so that nobody knows which version began a
// stream. Guards against joining the events of two versions then (ORDER).
func TestStreamsOfBeforeRestartOfAllInstancesAreNotJoined(t *testing.T) {
	versions := newVersionSite(t)
	attempts := versions.begin(0, 8)
	eventually(t, "the versions in service are stored", func() bool { return versions.store.contains("stream-versions", "v2") })
	for _, id := range []string{"d1-v2", "d2-v2"} { // the servers of one version have just left
		versions.store.remove("servers", id)
	}
	versions.restart(0, 1)
	for i := range versions.nodes {
		if wentOn := versions.takeUp(i, attempts); wentOn > 0 {
			t.Errorf("%d of %d streams went on after a restart of all instances, want none", wentOn, len(attempts))
		}
	}
}

// All instances of a site with one version are killed at once and come back. Their streams
// can go on.
func TestStreamsOfSingleVersionGoOnAfterRestartOfAllInstances(t *testing.T) {
	versions := newVersionSite(t)
	for _, id := range []string{"d1-v2", "d2-v2"} {
		versions.store.remove("servers", id)
	}
	eventually(t, "one version is left", func() bool {
		return !versions.store.contains("stream-versions", "v2") && versions.store.contains("stream-versions", "v1")
	})
	attempts := versions.begin(0, 4)
	versions.restart(0, 1)
	eventually(t, "the streams go on", func() bool { return versions.takeUp(1, attempts) == len(attempts) })
}

// An instance is cut off while engines of another version join. Guards against a stream that
// began there, through an instance that it did not hear, going on at the one version that the
// instance knows (ORDER).
func TestStreamIsNotTakenUpByOutdatedListOfTargets(t *testing.T) {
	versions := newVersionSite(t)
	for _, id := range []string{"d1-v2", "d2-v2"} {
		versions.store.remove("servers", id)
	}
	eventually(t, "one version is left", func() bool {
		return !versions.store.contains("stream-versions", "v2") && versions.store.contains("stream-versions", "v1")
	})
	versions.stores[1].hangs.Store(true)
	versions.nodes[0].Stop()
	versions.startEngine("d3-v2", "v2", "decode")
	versions.mutex.Lock()
	versions.began["begun-elsewhere"] = "v2"
	versions.mutex.Unlock()
	if wentOn := versions.takeUp(1, []string{"begun-elsewhere"}); wentOn > 0 {
		t.Error("a stream of another version went on at an instance that did not know it")
	}
}

// All instances are killed, and the store comes back from a copy of before another version
// joined, so that neither its list of targets nor the row of versions has that version. Guards
// against streams that it began going on at the earlier version (ORDER).
func TestStreamsAreNotJoinedAfterRestartAndRestoreOfStore(t *testing.T) {
	versions := newVersionSite(t)
	for _, id := range []string{"d1-v2", "d2-v2"} {
		versions.store.remove("servers", id)
	}
	eventually(t, "one version is left", func() bool {
		return !versions.store.contains("stream-versions", "v2") && versions.store.contains("stream-versions", "v1")
	})
	copied := versions.store.copy()
	versions.mutex.Lock()
	versions.began["begun-before"] = "v2" // by engines that join after the copy, and whose rows are late
	versions.mutex.Unlock()
	for _, node := range versions.nodes {
		node.Stop()
	}
	versions.store.restore(copied)
	versions.restart(0, 1)
	for i := range versions.nodes {
		if wentOn := versions.takeUp(i, []string{"begun-before"}); wentOn > 0 {
			t.Errorf("a stream of before the restore went on at instance %d, want none", i)
		}
	}
}
