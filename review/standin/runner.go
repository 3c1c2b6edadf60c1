package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// beatInterval is the time between two writes of a runner's row, HeartbeatMs of the
// settings.
const beatInterval = 1200 * time.Millisecond

// run is what a runner did with one request.
type run struct {
	runner, service string
	status          int
	signature, body string
}

// runner is a stand-in for a runner of a plain service.
type runner struct {
	id, service, zone string
	slots             int
	work              time.Duration
	record            *record
	store             *store
	runs              *runs
	server            *http.Server
	address           string
	born              int64
	// status returns the status that the runner answers a request with.
	status func(attempt string) int

	running  atomic.Int64
	draining atomic.Bool
	sequence int
	stop     chan struct{}
}

// runs holds what was run, by the id of the attempt.
type runs struct {
	mutex sync.Mutex
	byID  map[string][]run
}

func (runs *runs) add(attempt string, done run) {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	runs.byID[attempt] = append(runs.byID[attempt], done)
}

func (runs *runs) of(attempt string) []run {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	return runs.byID[attempt]
}

func (runner *runner) start(ip string) error {
	listener, err := listen(ip + ":0")
	if err != nil {
		return err
	}
	runner.address, runner.stop, runner.born = listener.Addr().String(), make(chan struct{}), time.Now().UnixMilli()
	if runner.status == nil {
		runner.status = func(string) int { return http.StatusOK }
	}
	runner.server = &http.Server{Handler: http.HandlerFunc(runner.serveHTTP), IdleTimeout: 5 * time.Second}
	go func() { _ = runner.server.Serve(listener) }()
	runner.beat()
	go func() {
		ticker := time.NewTicker(beatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				runner.beat()
			case <-runner.stop:
				return
			}
		}
	}()
	return nil
}

func (runner *runner) close() {
	close(runner.stop)
	_ = runner.server.Close()
}

// beat writes the row of the runner.
func (runner *runner) beat() {
	runner.sequence++
	state := "ready"
	if runner.draining.Load() {
		state = "draining"
	}
	runner.store.put("servers", runner.id, map[string]any{
		"Service": runner.service, "Address": runner.address, "Zone": runner.zone, "Version": "v1", "Slots": runner.slots,
		"State": state, "ColdRemainingMs": 0, "Sequence": runner.sequence, "born": runner.born,
	})
}

func (runner *runner) serveHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	header := w.Header()
	if target := r.Header.Get("Target-Instance"); target != "" && target != runner.id {
		header.Set("Instance-Id", runner.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := runner.running.Add(1)
	defer runner.running.Add(-1)
	header.Set("Server-Load", fmt.Sprintf("%d,0,%d", running, runner.slots))
	if r.URL.Path == "/health" {
		header.Set("Instance-Id", runner.id)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	header.Set("Attempt-Id", attempt)
	if int(running) > runner.slots || attempt == "" {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(runner.work)
	done := run{runner: runner.id, service: runner.service, status: runner.status(attempt), signature: newID()}
	done.body = fmt.Sprintf("%s %s by %s for %s, %d bytes in%s", r.Method, r.URL.Path, runner.id, attempt, len(body), strings.Repeat(".", 400))
	if done.status >= http.StatusBadRequest {
		done.body = "failed: nothing was done for " + attempt
	}
	runner.runs.add(attempt, done)
	runner.record.addf("run      %s at %s of %s: %s %s, status %d", attempt, runner.id, runner.service, r.Method, r.URL.Path, done.status)
	header.Set("Response-Signature", done.signature)
	header.Set("Content-Length", fmt.Sprint(len(done.body)))
	w.WriteHeader(done.status)
	_, _ = io.WriteString(w, done.body)
}
