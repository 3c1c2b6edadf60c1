package main

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runner is one runner of a service, a process of its own or a part of another one. With a
// stage it is a model runner, without one a plain service.
type runner struct {
	id, service, stage, version string
	zone, address, store        string
	slots                       int
	pause                       time.Duration // between events
	deadly                      string        // part of a prompt that crashes the process, empty for none
	spoil                       int64         // of so many answers one is spoiled, 0 for none
	report                      func(event runnerEvent)

	born     int64
	sequence atomic.Int64 // of the entry
	orders   atomic.Int64
	running  atomic.Int64
	answers  atomic.Int64
	mutex    sync.Mutex
	handles  map[string]string // attempt by handle
}

// runnerEvent is what a runner tells the script of itself, a line of JSON.
type runnerEvent struct {
	MS      int64  `json:"ms"` // Unix time
	Runner  string `json:"runner"`
	Version string `json:"version,omitempty"`
	What    string `json:"what"`
	Attempt string `json:"attempt,omitempty"`
	After   string `json:"after,omitempty"` // Last-Event-Id
	Events  int    `json:"events,omitempty"`
}

// runRunner runs one runner as a process until it is killed.
func runRunner(arguments []string) {
	runner := &runner{handles: map[string]string{}}
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	flags.StringVar(&runner.id, "id", "", "")
	flags.StringVar(&runner.service, "service", "", "")
	flags.StringVar(&runner.stage, "stage", "", "")
	flags.StringVar(&runner.version, "version", "v1", "")
	flags.StringVar(&runner.zone, "zone", "", "")
	flags.StringVar(&runner.address, "address", "", "")
	flags.StringVar(&runner.store, "store", "", "")
	flags.IntVar(&runner.slots, "slots", 64, "")
	flags.DurationVar(&runner.pause, "pause", 100*time.Millisecond, "")
	flags.StringVar(&runner.deadly, "deadly", "", "")
	flags.Int64Var(&runner.spoil, "spoil", 0, "")
	_ = flags.Parse(arguments)
	var mutex sync.Mutex
	runner.report = func(event runnerEvent) {
		mutex.Lock()
		defer mutex.Unlock()
		_ = json.NewEncoder(os.Stdout).Encode(event)
	}
	if err := runner.start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	select {}
}

// start registers the runner and serves.
func (runner *runner) start() error {
	runner.born = time.Now().UnixMilli()
	listener, err := net.Listen("tcp", runner.address)
	if err != nil {
		return err
	}
	registered := make(chan struct{})
	go runner.beat(registered)
	select { // a sound runner registers before it serves, unless the store is away
	case <-registered:
	case <-time.After(2 * registerTimeout):
	}
	runner.tell("started", "", "", 0)
	go func() { _ = http.Serve(listener, runner) }()
	return nil
}

func (runner *runner) tell(what, attempt, after string, events int) {
	runner.report(runnerEvent{time.Now().UnixMilli(), runner.id, runner.version, what, attempt, after, events})
}

const (
	registerTimeout = 500 * time.Millisecond
	registerRetry   = 200 * time.Millisecond
)

// beat writes the entry of the runner again and again. The first one that the store takes
// closes registered.
func (runner *runner) beat(registered chan struct{}) {
	client := &http.Client{Timeout: registerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	first := true
	for {
		entry, _ := json.Marshal(map[string]any{
			"Service": runner.service, "Address": runner.address, "Zone": runner.zone, "Version": runner.version, "Slots": runner.slots,
			"State": "ready", "ColdRemainingMs": 0, "Stage": runner.stage, "Models": models(runner.stage),
			"Sequence": runner.sequence.Add(1), "born": runner.born,
		})
		response, err := client.Post("http://"+runner.store+"/register?id="+runner.id, "application/json", bytes.NewReader(entry))
		if err != nil {
			time.Sleep(registerRetry)
			continue
		}
		_ = response.Body.Close()
		if first {
			first = false
			runner.tell("registered", "", "", 0)
			close(registered)
		}
		time.Sleep(heartbeatInterval)
	}
}

func models(stage string) []map[string]any {
	if stage == "" {
		return nil
	}
	return []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}
}

func (runner *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("Instance-Id", runner.id)
	if attempt := r.Header.Get("Attempt-Id"); attempt != "" {
		header.Set("Attempt-Id", attempt)
	}
	if wanted := r.Header.Get("Target-Instance"); wanted != "" && wanted != runner.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/v1/report":
		runner.writeJSON(w, http.StatusOK, map[string]any{
			"Stage": runner.stage, "Models": models(runner.stage), "Busy": false, "Sequence": runner.orders.Load(), "Waiting": 0,
			"Running": runner.running.Load(), "KvUsed": 0, "KvTotal": 400000, "KvHandles": 0, "State": "ready", "born": runner.born,
		})
	case r.URL.Path == "/v1/order":
		w.WriteHeader(http.StatusConflict) // none is expected in these cases
		runner.tell("order refused", "", "", 0)
	case len(r.URL.Path) > len(handlePath) && r.URL.Path[:len(handlePath)] == handlePath:
		runner.take(r.URL.Path[len(handlePath):])
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/take": // a transfer between runners, among the stand-ins only
		if runner.take(r.URL.Query().Get("handle")) == "" {
			w.WriteHeader(http.StatusNotFound)
		}
	case r.Header.Get("Attempt-Id") == "":
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	case runner.stage == "":
		runner.answer(w, r)
	case r.Header.Get("Serving-Stage") == "prefill":
		runner.prefill(w, r)
	default:
		runner.decode(w, r)
	}
}

const handlePath = "/v1/kv-handle/"

func (runner *runner) writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// take removes a handle and returns its attempt, empty if there is no such handle.
func (runner *runner) take(handle string) string {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	attempt := runner.handles[handle]
	delete(runner.handles, handle)
	return attempt
}

// answer answers a request to a plain service.
func (runner *runner) answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	runner.tell("run", r.Header.Get("Attempt-Id"), "", 0)
	time.Sleep(10 * time.Millisecond)
	w.Header().Set("Response-Signature", signature())
	w.Header().Set("Server-Load", fmt.Sprintf("0,0,%d", runner.slots))
	_, _ = io.WriteString(w, "answer to "+r.Header.Get("Attempt-Id"))
}

// prefill reads a prompt and keeps its memory under a handle.
func (runner *runner) prefill(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if runner.stage != "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(10 * time.Millisecond)
	handle := crand.Text()
	runner.mutex.Lock()
	runner.handles[handle] = r.Header.Get("Attempt-Id")
	runner.mutex.Unlock()
	time.AfterFunc(5*time.Second, func() { runner.take(handle) })
	runner.writeJSON(w, http.StatusOK, map[string]any{"KvHandle": handle, "Tokens": 100, "Version": 1})
}

// decode streams the answer to a prompt, after the event that the caller has. Each event
// names the software version of the runner.
func (runner *runner) decode(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if runner.stage != "decode" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if runner.running.Add(1) > int64(runner.slots) {
		runner.running.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer runner.running.Add(-1)
	if source := r.Header.Get("Kv-Source"); source != "" && !fetchHandle(r.Context(), source) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	attempt, after := r.Header.Get("Attempt-Id"), r.Header.Get("Last-Event-Id")
	event, _ := strconv.Atoi(after)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Signature", signature())
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", runner.running.Load(), runner.slots))
	runner.tell("run", attempt, after, 0)
	if runner.deadly != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), runner.deadly+":") {
		runner.tell("crashes", attempt, after, 0)
		os.Exit(2)
	}
	if answers := runner.answers.Add(1); runner.spoil > 0 && answers%runner.spoil == 0 {
		runner.tell("spoils the answer", attempt, after, 0)
		w.Header().Del("Response-Signature")
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, "queued")
		return
	}
	_, output, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	events, _ := strconv.Atoi(output)
	written := 0
	for event++; event <= events && r.Context().Err() == nil; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", event, runner.version, runner.id, event); err != nil {
			break
		}
		w.(http.Flusher).Flush()
		written++
		select {
		case <-time.After(runner.pause):
		case <-r.Context().Done():
		}
	}
	runner.tell("end", attempt, after, written)
}

// fetchHandle takes the memory of a prompt from the runner that read it.
func fetchHandle(ctx context.Context, source string) bool {
	for i := len(source) - 1; i >= 0; i-- {
		if source[i] != '/' {
			continue
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+source[:i]+"/take?handle="+source[i+1:], nil)
		if err != nil {
			return false
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	return false
}

func signature() string { return "s." + crand.Text() }
