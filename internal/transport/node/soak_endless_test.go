package node_test

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var soakEndlessAnswer = flag.String("soak.endless-answer", "", "the only answer without end that faulty targets give, by its name; all by default")

// endlessAnswers are beginnings of answers and what follows on them until the connection is
// closed. A %d in the latter is a number that rises.
var endlessAnswers = []struct{ name, begin, repeat string }{
	{"header lines", "HTTP/1.1 200 OK\r\n", "X-Filler-%d: " + strings.Repeat("x", 1000) + "\r\n"},
	{"short header lines", "HTTP/1.1 200 OK\r\n", "%d:\r\n"},
	{"one header line", "HTTP/1.1 200 OK\r\nX-Filler: ", strings.Repeat("x", 1000)},
	{"status line", "HTTP/1.1 200 ", strings.Repeat("x", 1000)},
	{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: </%d>\r\n\r\n"},
	{"empty interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1000)},
	{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", strings.Repeat("x", 1000)},
	{"small chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1;"+strings.Repeat("x", 100)+"\r\nx\r\n", 10)},
	{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler-%d: x\r\n"},
	{"body to the end of the connection", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1000)},
	{"body of a length", "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", strings.Repeat("x", 1000)},
	{"body of an error", "HTTP/1.1 500 Internal Server Error\r\n\r\n", strings.Repeat("x", 1000)},
	{"body of a refusal", "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n", strings.Repeat("x", 1000)},
	{"one event", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ", strings.Repeat("x", 1000)},
	{"events", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "id: %d\ndata: " + strings.Repeat("x", 1000) + "\n\n"},
	{"fields of an event", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "data: x\n"},
	{"comments", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", ": %d\n\n"},
	{"KV handle", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"KvHandle\":\"", strings.Repeat("x", 1000)},
	{"JSON arrays", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", strings.Repeat("[", 1000)},
}

// endlessManifest has a service whose targets are sound beside those with faulty targets.
const endlessManifest = `{"Version":1,"Routes":[
	{"Name":"sound","Host":%[1]q,"Prefix":"/sound/","Kind":"safe","TimeoutMs":60000,"TargetLatencyMs":20000,"Service":"shop","MaxAttempts":2},
	{"Name":"read","Host":%[1]q,"Prefix":"/read/","Kind":"safe","TimeoutMs":3000,"TargetLatencyMs":100,"Service":"desk","MaxAttempts":2},
	{"Name":"book","Host":%[1]q,"Prefix":"/book/","Kind":"unsafe","TimeoutMs":3000,"TargetLatencyMs":100,"Service":"desk","MaxAttempts":1},
	{"Name":"ask","Host":%[1]q,"Prefix":"/ask/","Kind":"streaming","TimeoutMs":4000,"TargetLatencyMs":300,"TargetGapMs":200,"Service":"llm","MaxAttempts":1,"Sticky":true},
	{"Name":"resume","Host":%[1]q,"Prefix":"/resume/","Kind":"streaming","TimeoutMs":4000,"TargetLatencyMs":300,"TargetGapMs":200,"Service":"llm","MaxAttempts":2,"Sticky":true,"Resumable":true}],
	"Services":[{"Name":"desk"},{"Name":"shop"},{"Name":"llm","Engine":{"Slots":64,"KvCapacity":4000000,"KvTokenBytes":163840,"LinkMbps":1600000,"HandleTtlS":5,"SwitchS":3}}],
	"Tenants":[{"Name":"press","ApiKeys":[%[2]q]}]}`

// Guards against an instance that keeps bytes of faulty targets until it is out of memory, and
// takes the requests of other callers with it (LOST). Faulty targets send bytes without end, in
// each part of an answer and to calls of all kinds, fast or byte by byte.
func TestSoakBytesWithoutEnd(t *testing.T) {
	source := "."
	if *soakBuild != "" {
		source = checkOut(t, *soakBuild)
	}
	program := buildProgram(t, source)
	for run := range uint64(*soakSeeds) {
		seed := *soakFirst + run
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			endless := &soakEndless{soak: newSoak(t, []string{program}, seed), answers: map[string]*atomic.Int64{}}
			endless.run(*soakLength)
		})
	}
}

const (
	// endlessMemoryMB is the least memory that a machine has.
	endlessMemoryMB = 184
	endlessCallers  = 48
	// endlessPause is the time between two writes of a faulty target, of 32 KiB or, if it is
	// slow, of one byte.
	endlessPause     = time.Millisecond
	endlessSlowPause = 100 * time.Millisecond
)

// soakEndless is a site with faulty targets.
type soakEndless struct {
	*soak

	ended      atomic.Bool // the faulty targets close their connections
	next       atomic.Int64
	answers    map[string]*atomic.Int64 // connections by the name of the answer
	soundCalls atomic.Int64
}

func (endless *soakEndless) run(length time.Duration) {
	t := endless.t
	endless.next.Store(endless.random.Int64N(int64(len(endlessAnswers))))
	for _, answer := range endlessAnswers {
		endless.answers[answer.name] = &atomic.Int64{}
	}
	endless.store.put("op", "config", fmt.Sprintf(endlessManifest, host, key))
	endless.startSound("shop", "")
	endless.startSound("shop", "")
	for service, stages := range map[string][]string{"desk": {""}, "llm": {"prefill", "decode"}} {
		for _, stage := range stages {
			endless.startSound(service, stage)
			for range 3 {
				endless.startFaulty(service, stage)
			}
		}
	}
	control := httptest.NewServer(&endless.control)
	defer control.Close()
	ports := freePort(t)
	for i := range 2 {
		endless.addInstance(i, ports, control.Listener.Addr().String())
		endless.limitMemory(endless.instances[i])
		endless.start(endless.instances[i])
	}
	defer endless.stopAll()
	for _, instance := range endless.instances {
		eventually(t, instance.name+" serves", func() bool {
			status, _ := endless.call(instance, "/sound/", "probe")
			return status == http.StatusOK
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	var callers sync.WaitGroup
	for i := range endlessCallers {
		callers.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				path := []string{"/read/", "/book/", "/ask/", "/resume/"}[n%4]
				endless.call(endless.instances[n/4%2], path, fmt.Sprint("faulty-", i, "-", n))
			}
		})
	}
	for i := range 4 {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				endless.soundCalls.Add(1)
				attempt := fmt.Sprint("sound-", i, "-", n)
				if status, answer := endless.call(endless.instances[i%2], "/sound/", attempt); status != http.StatusOK {
					t.Errorf("request %s to sound targets = %d %q, want 200", attempt, status, answer)
				}
			}
		})
	}
	callers.Wait()
	endless.check()
	endless.ended.Store(true)
}

// limitMemory gives an instance the settings of the smallest machine.
func (endless *soakEndless) limitMemory(instance *soakInstance) {
	settings, err := os.ReadFile(instance.settings)
	if err != nil {
		endless.t.Fatal(err)
	}
	settings = bytes.Replace(settings, []byte("MemoryMb = 256"), []byte(fmt.Sprint("MemoryMb = ", endlessMemoryMB)), 1)
	if err := os.WriteFile(instance.settings, settings, 0o600); err != nil {
		endless.t.Fatal(err)
	}
}

func (endless *soakEndless) startSound(service, stage string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveVersion(stage, "v1", w, r) }))
	endless.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	endless.register(service, stage, server.Listener.Addr())
}

func (endless *soakEndless) register(service, stage string, address net.Addr) {
	endless.store.put("servers", "i-"+address.String(), fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":"tas-a","Slots":64,"State":"ready","Stage":%q}`, service, address, stage))
}

func (endless *soakEndless) startFaulty(service, stage string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		endless.t.Fatal(err)
	}
	endless.t.Cleanup(func() { _ = listener.Close() })
	endless.register(service, stage, listener.Addr())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go endless.answer(conn)
		}
	}()
}

// answer reads the head of a request and writes until the connection is closed. Each eighth
// answer comes byte by byte.
func (endless *soakEndless) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	number := endless.next.Add(1)
	answer := endlessAnswers[number%int64(len(endlessAnswers))]
	for _, only := range endlessAnswers {
		if only.name == *soakEndlessAnswer {
			answer = only
		}
	}
	endless.answers[answer.name].Add(1)
	begin := answer.begin
	if line, rest, ok := strings.Cut(begin, "\r\n"); ok { // as an answer to this attempt
		begin = line + "\r\nAttempt-Id: " + request.Header.Get("Attempt-Id") + "\r\nResponse-Signature: s\r\n" + rest
	}
	if _, err := io.WriteString(conn, begin); err != nil {
		return
	}
	slow := number/int64(len(endlessAnswers))%8 == 7
	for i, batch := 0, new(bytes.Buffer); !endless.ended.Load(); batch.Reset() {
		for ; batch.Len() < 32<<10; i++ {
			if strings.Contains(answer.repeat, "%d") {
				_, _ = fmt.Fprintf(batch, answer.repeat, i)
			} else {
				batch.WriteString(answer.repeat)
			}
		}
		pause := endlessPause
		if slow {
			batch.Truncate(1)
			pause = endlessSlowPause
		}
		time.Sleep(pause)
		if _, err := conn.Write(batch.Bytes()); err != nil {
			return
		}
	}
}

// call sends a request and returns the status and the beginning of a whole answer, 0 and the
// cause for none.
func (endless *soakEndless) call(instance *soakInstance, path, attempt string) (int, string) {
	method := http.MethodPost
	if path == "/read/" || path == "/sound/" {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+instance.front+path+"x", strings.NewReader("1"))
	if err != nil {
		endless.t.Error(err)
		return 0, ""
	}
	request.Host, request.GetBody = host, nil
	deadline := "3000"
	if path == "/sound/" {
		deadline = "60000"
	}
	for name, value := range map[string]string{
		"Attempt-Id": attempt, "Authorization": "Bearer " + key, "Deadline-Ms": deadline, "Model": "m", "Token-Count": "1460,80", "Prompt-Prefix": "5c1e07a2:800,e4402b7d:660",
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	begin, err := io.ReadAll(io.LimitReader(response.Body, 200))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(begin)
}

func (endless *soakEndless) check() {
	t := endless.t
	for _, instance := range endless.instances {
		peak, err := peakMemoryMB(instance.process.Process.Pid)
		if err != nil {
			t.Errorf("%s has ended: %v", instance.name, err)
			continue
		}
		t.Logf("%s: %d MB at its peak", instance.name, peak)
		if peak > endlessMemoryMB {
			t.Errorf("%s took %d MB of memory, want %d at most", instance.name, peak, endlessMemoryMB)
		}
	}
	for name, count := range endless.answers {
		t.Logf("%4d connections with endless %s", count.Load(), name)
	}
	t.Logf("%d requests to sound targets", endless.soundCalls.Load())
}

// peakMemoryMB returns the most memory that a process has had resident.
func peakMemoryMB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, after, ok := strings.Cut(string(status), "VmHWM:")
	if !ok {
		return 0, fmt.Errorf("process %d has no memory", pid)
	}
	kilobytes, err := strconv.Atoi(strings.Fields(after)[0])
	return kilobytes >> 10, err
}
