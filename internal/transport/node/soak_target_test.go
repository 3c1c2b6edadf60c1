package node_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	soakDeadline = 1500 * time.Millisecond
	// soakPause is the pause that targets ask for.
	soakPause = 1200 * time.Millisecond
	// soakRestartTime is how long a target that crashed is gone.
	soakRestartTime = 800 * time.Millisecond
)

// targetFaults is the number of faults of targets: 1 loses the response, 2 refuses the
// request, 3 withholds the response, 4 refuses and asks for a pause, 5 breaks off a
// stream or delays a response, 6 runs the request and fails, 7 stops within the head of a
// response, 8 repeats a refusal where a later response is due, 9 pauses within a stream, where
// half of the targets do not read meanwhile, 10 is any of these.
const targetFaults = 10

// soakTargets are the targets of a plain service and the engines of a model service.
type soakTargets struct {
	t     *testing.T
	fault atomic.Int32 // 0 for none

	senders sync.Map               // names of instances by connection, see connectionName
	leaves  sync.Map               // soakLeave by connection, see connectionName
	limited atomic.Pointer[string] // ID of the target that names a limit

	mutex    sync.Mutex
	store    *fakeStore
	targets  int               // started so far
	newest   map[string]string // ID of the target that started last, by service
	crashes  int
	requests map[string]soakRequest // by attempt
	excused  []soakExcuse
	arrivals []soakArrival
	pauses   []soakPauseAsked
}

// soakRequest is a request that a caller sends.
type soakRequest struct {
	service, instance string
	at                time.Time
	leftAt            time.Time // when the caller left, zero if it waited for the answer
}

// soakExcuse is a time in which an instance was stopped, paused or restarted.
type soakExcuse struct {
	instance    string
	from, until time.Time
}

// soakArrival is a request that reaches a target.
type soakArrival struct {
	service, target, attempt, instance string
	sender                             string // instance whose link it came by, the other one if it was forwarded
	at                                 time.Time
	connection                         string        // that it came by, see connectionName
	deadline                           time.Duration // until the caller's deadline, 0 if the target was told none
	prefilled                          bool          // a prefill that the target accepted
	run                                bool          // the target began to run the request
	crashing                           bool          // the target that runs the request crashes
	begunAt                            time.Time     // when the first event was sent, zero for none
	endedAt                            time.Time     // when the target stopped working on the request
}

// soakPauseAsked is a pause that a target asked for.
type soakPauseAsked struct {
	target, instance, sender string
	attempt                  string // that was refused
	at                       time.Time
}

func newSoakTargets(t *testing.T) *soakTargets {
	targets := &soakTargets{t: t, requests: map[string]soakRequest{}, newest: map[string]string{}}
	targets.limited.Store(new(string))
	return targets
}

// soakAnswer returns the body of a target's answer to a request.
func soakAnswer(path, id string) string {
	if soakService(path) == "llm" {
		return soakEvents(1)
	}
	return "answer to " + id
}

const soakEventCount = 3

// soakSilence is about the time after which instances ask another engine to go on.
const soakSilence = 700 * time.Millisecond

// soakEvents returns the events of a stream from one on.
func soakEvents(first int) string {
	text := ""
	for event := first; event <= soakEventCount; event++ {
		text += fmt.Sprintf("id: %d\ndata: token\n\n", event)
	}
	return text
}

func soakService(path string) string {
	if path == "/resume/" || path == "/once/" {
		return "llm"
	}
	return "desk"
}

// addRequest keeps a request before it is sent to an instance.
func (targets *soakTargets) addRequest(instance, path, attempt string) {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	targets.requests[attempt] = soakRequest{service: soakService(path), instance: instance, at: time.Now()}
}

// leave keeps that the caller of a request has left.
func (targets *soakTargets) leave(attempt string) {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	request := targets.requests[attempt]
	request.leftAt = time.Now()
	targets.requests[attempt] = request
}

// excuse keeps that an instance is stopped, paused or restarted from now until the
// returned function is called.
func (targets *soakTargets) excuse(instance string) (end func()) {
	from := time.Now()
	return func() {
		targets.mutex.Lock()
		defer targets.mutex.Unlock()
		targets.excused = append(targets.excused, soakExcuse{instance, from, time.Now()})
	}
}

// isExcused reports whether an instance was stopped, paused or restarted within a time.
func (targets *soakTargets) isExcused(instance string, from, until time.Time) bool {
	return slices.ContainsFunc(targets.excused, func(excuse soakExcuse) bool {
		return excuse.instance == instance && excuse.from.Before(until) && excuse.until.After(from)
	})
}

func (targets *soakTargets) serve(store *fakeStore) {
	targets.store = store
	for range 3 {
		targets.start("desk", "", "127.0.0.1:0")
	}
	for range 2 {
		targets.start("llm", "prefill", "127.0.0.1:0")
	}
	for range 3 {
		targets.start("llm", "decode", "127.0.0.1:0")
	}
}

// soakTarget is one target.
type soakTarget struct {
	targets            *soakTargets
	id, service, stage string
	server             *httptest.Server
	born               int64 // Unix time of the start in milliseconds
	crashed            atomic.Bool
}

// start starts a target and registers it under a new ID.
func (targets *soakTargets) start(service, stage, address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		targets.t.Error(err)
		return
	}
	targets.mutex.Lock()
	targets.targets++
	target := &soakTarget{targets: targets, id: fmt.Sprint("i-", targets.targets), service: service, stage: stage, born: time.Now().UnixMilli()}
	targets.newest[service] = target.id
	targets.mutex.Unlock()
	target.server = httptest.NewUnstartedServer(target)
	_ = target.server.Listener.Close()
	target.server.Listener = listener
	target.server.Start()
	targets.t.Cleanup(func() {
		target.server.CloseClientConnections()
		target.server.Close()
	})
	targets.store.put("servers", target.id, fmt.Sprintf(
		`{"Service":%q,"Address":%q,"Zone":"tas-a","Slots":6,"State":"ready","Stage":%q,"born":%d}`, service, listener.Addr(), stage, target.born))
}

// crash ends the target. Another one starts at its address a little later.
func (target *soakTarget) crash() {
	if !target.crashed.CompareAndSwap(false, true) {
		return
	}
	targets := target.targets
	targets.mutex.Lock()
	targets.crashes++
	targets.mutex.Unlock()
	address := target.server.Listener.Addr().String()
	_ = target.server.Listener.Close()
	target.server.CloseClientConnections()
	time.AfterFunc(soakRestartTime, func() {
		targets.store.remove("servers", target.id)
		targets.start(target.service, target.stage, address)
	})
}

func (targets *soakTargets) crashCount() int {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	return targets.crashes
}

// runCount returns how often targets ran a request.
func (targets *soakTargets) runCount(id string) int {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	count := 0
	for _, arrival := range targets.arrivals {
		if arrival.attempt == id && arrival.run {
			count++
		}
	}
	return count
}

// ServeHTTP runs a request. While there is a fault, it affects one request in three.
func (target *soakTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path == "/v1/report" {
		_, _ = fmt.Fprintf(w, `{"Stage":%q,"Busy":false,"Sequence":0,"born":%d}`, target.stage, target.born)
		return
	}
	if r.Method == http.MethodDelete || r.URL.Path == "/v1/order" {
		return
	}
	arrival := soakArrival{
		service: target.service, target: target.id, attempt: r.Header.Get("Attempt-Id"), at: time.Now(), connection: connectionName(r.RemoteAddr, target.server.Listener.Addr().String()),
		crashing: string(body) == crashingBody || strings.Contains(r.Header.Get("Prompt-Prefix"), deadlyPart),
	}
	target.checkHeader(r)
	if r.Header.Get("Target-Instance") != target.id { // it is for the target that had the address before
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if milliseconds, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		arrival.deadline = time.Duration(milliseconds) * time.Millisecond
	}
	fault := target.targets.fault.Load()
	if rand.IntN(3) > 0 {
		fault = 0
	}
	if fault == targetFaults {
		fault = 1 + rand.Int32N(targetFaults-1)
	}
	refused := fault == 2 || fault == 4 || fault == 8
	arrival.prefilled = target.stage == "prefill" && !refused && fault != 1 && fault != 6 && fault != 7
	arrival.run = target.stage != "prefill" && !refused
	recorded := target.record(arrival, fault == 4)
	defer target.targets.update(recorded, func(arrival *soakArrival) { arrival.endedAt = time.Now() })
	w.Header().Set("Attempt-Id", arrival.attempt)
	switch {
	case fault == 8:
		target.repeatRefusal(w, arrival.attempt)
	case refused:
		w.Header().Set("Not-Executed", "1")
		if fault == 4 {
			w.Header().Set("Retry-After", strconv.FormatFloat(soakPause.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case arrival.crashing && arrival.run:
		target.crash()
		panic(http.ErrAbortHandler)
	case fault == 1:
		panic(http.ErrAbortHandler)
	case fault == 3:
		<-r.Context().Done()
	case fault == 6:
		target.fail(w)
	case fault == 7:
		target.breakHead(w, arrival.attempt)
	default:
		target.targets.update(recorded, func(arrival *soakArrival) { arrival.begunAt = time.Now() })
		target.answer(w, r, arrival, fault)
	}
}

// checkHeader checks that a request has come to a target of its service, for the team of
// its key and without that key.
func (target *soakTarget) checkHeader(r *http.Request) {
	switch {
	case r.Header.Get("Authorization") != "":
		target.targets.t.Errorf("request %s reached a target with the key of its caller", r.Header.Get("Attempt-Id"))
	case r.Header.Get("Tenant") != "press":
		target.targets.t.Errorf("request %s reached a target for team %q, want press", r.Header.Get("Attempt-Id"), r.Header.Get("Tenant"))
	case soakService(r.URL.Path) != target.service:
		target.targets.t.Errorf("request for %s reached a target of %s", r.URL.Path, target.service)
	case r.Header.Get("Target-Instance") == "":
		target.targets.t.Errorf("request %s names no target", r.Header.Get("Attempt-Id"))
	}
}

func (target *soakTarget) answer(w http.ResponseWriter, r *http.Request, arrival soakArrival, fault int32) {
	w.Header().Set("Response-Signature", "s")
	if target.id == *target.targets.limited.Load() {
		w.Header().Set("Server-Limit", strconv.FormatFloat(soakLimit, 'f', -1, 64))
	}
	switch target.stage {
	case "prefill":
		_, _ = io.WriteString(w, `{"KvHandle":"h1","Tokens":1460,"Version":1}`)
	case "decode":
		w.Header().Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		events := soakEvents(last + 1)
		if fault == 9 && rand.IntN(2) == 0 {
			target.pauseUnread(w, arrival.attempt, events)
			return
		}
		if fault == 9 {
			_, _ = io.WriteString(w, events[:len(events)/soakEventCount])
			w.(http.Flusher).Flush()
			events = events[len(events)/soakEventCount:]
			select {
			case <-r.Context().Done():
				return
			case <-time.After(rand.N(2 * soakSilence)):
			}
		}
		if fault == 5 {
			_, _ = io.WriteString(w, events[:len(events)*2/3])
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, events)
	default:
		if fault == 5 {
			time.Sleep(time.Duration(rand.IntN(int(soakDeadline))))
		}
		_, _ = io.WriteString(w, "answer to "+arrival.attempt)
	}
}

// record keeps an arrival and returns its index.
func (target *soakTarget) record(arrival soakArrival, pause bool) int {
	targets := target.targets
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	arrival.instance = targets.requests[arrival.attempt].instance
	if sender, ok := targets.senders.Load(arrival.connection); ok {
		arrival.sender, _ = sender.(string)
	}
	targets.arrivals = append(targets.arrivals, arrival)
	if pause {
		targets.pauses = append(targets.pauses, soakPauseAsked{target.id, arrival.instance, arrival.sender, arrival.attempt, arrival.at})
	}
	return len(targets.arrivals) - 1
}

// update changes what is kept of an arrival.
func (targets *soakTargets) update(index int, change func(*soakArrival)) {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	change(&targets.arrivals[index])
}
