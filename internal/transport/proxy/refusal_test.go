package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"mangopier.example/mangopier/internal/protocol/site"
)

// repeatingTarget refuses the first request of a connection. At the next one it writes that
// refusal once more, and runs the request.
type repeatingTarget struct {
	echo bool // refusals carry the ID of their attempt

	mutex sync.Mutex
	runs  map[string]int // by attempt
	conns int
}

func (target *repeatingTarget) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		target.mutex.Lock()
		target.conns++
		first := target.conns == 1
		target.mutex.Unlock()
		go target.serveConn(conn, first)
	}
}

func (target *repeatingTarget) serveConn(conn net.Conn, refuse bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	refusal := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		attempt := request.Header.Get("Attempt-Id")
		if refuse && refusal == "" {
			lines := []string{"HTTP/1.1 503 Service Unavailable", "Not-Executed: 1", "Content-Length: 0"}
			if target.echo {
				lines = append(lines, "Attempt-Id: "+attempt)
			}
			refusal = strings.Join(lines, "\r\n") + "\r\n\r\n"
			_, _ = io.WriteString(conn, refusal)
			continue
		}
		target.mutex.Lock()
		target.runs[attempt]++
		target.mutex.Unlock()
		_, _ = io.WriteString(conn, refusal+"HTTP/1.1 200 OK\r\nAttempt-Id: "+attempt+"\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (target *repeatingTarget) runCount(attempt string) int {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.runs[attempt]
}

// A faulty target writes an earlier refusal once more on a kept connection, where the answer
// to the next request is due. Guards against telling the caller "not run" for a request that
// has run (REFUSED), and against running it elsewhere (TWICE). The refusal may belong to
// another request, carry no ID, or belong to an earlier try of the same one.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	tests := []struct {
		name        string
		echo        bool
		first, then string // attempts
	}{
		{"of another request", true, "aaaa", "bbbb"},
		{"without an ID", false, "aaaa", "bbbb"},
		{"of the same request", true, "aaaa", "aaaa"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t)
			target := &repeatingTarget{echo: test.echo, runs: map[string]int{}}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			go target.serve(listener)
			harness.addTarget(site.Target{ID: "s1", Service: "desk", Address: listener.Addr().String(), DataCenter: "tas-a", Slots: 6})
			book := func(attempt string) callerResponse {
				request := harness.newRequest(http.MethodPost, "/book/x")
				request.Header.Set("Attempt-Id", attempt)
				return harness.do(request)
			}
			if response := book(test.first); response.status != http.StatusServiceUnavailable || response.header.Get("X-Mangopier-Run") != "not-run" {
				t.Fatalf("response to a request that was refused = %+v, want 503, not-run", response)
			}
			response := book(test.then)
			runs := target.runCount(test.then)
			if response.status == http.StatusServiceUnavailable || response.header.Get("X-Mangopier-Run") == "not-run" || runs > 1 {
				t.Errorf("response = %+v after %d runs, want neither 503 nor not-run, and one run at most", response, runs)
			}
		})
	}
}
