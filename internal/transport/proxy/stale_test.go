package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"mangopier.example/mangopier/internal/protocol/site"
)

// restartingTarget is a target that answers each request with "ok". After a restart
// it resets a connection from before at the next request, as the kernel of a target
// does that lost its state without closing its connections.
type restartingTarget struct {
	restarts atomic.Int64
	gate     sync.WaitGroup // of the requests that are answered together
}

func (target *restartingTarget) serve(t *testing.T, listener net.Listener) {
	t.Helper()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go target.serveConn(conn, target.restarts.Load())
	}
}

func (target *restartingTarget) serveConn(conn net.Conn, restarts int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if target.restarts.Load() != restarts {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if restarts == 0 {
			target.gate.Done()
			target.gate.Wait()
		}
		lines := []string{
			"HTTP/1.1 200 OK", "Attempt-Id: " + request.Header.Get("Attempt-Id"), "Response-Signature: s",
			"Content-Length: " + strconv.Itoa(len("ok")), "", "ok",
		}
		_, _ = io.WriteString(conn, strings.Join(lines, "\r\n"))
	}
}

// Guards against losing a request for each idle connection to a target that lost its
// state: the first that is reset tells that the others are of no use either.
func TestResetConnectionEndsIdleOnesToItsTarget(t *testing.T) {
	harness := newHarness(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target := &restartingTarget{}
	go target.serve(t, listener)
	harness.addTarget(site.Target{ID: "s1", Service: "desk", Address: listener.Addr().String(), DataCenter: "tas-a", Slots: 6})
	const connections = 4
	target.gate.Add(connections)
	var callers sync.WaitGroup
	for range connections {
		callers.Go(func() { harness.do(harness.newRequest(http.MethodPost, "/book/x")) })
	}
	callers.Wait()
	target.restarts.Add(1)
	failed := 0
	for range connections {
		if response := harness.do(harness.newRequest(http.MethodPost, "/book/x")); response.status != http.StatusOK {
			failed++
		}
	}
	if failed > 1 {
		t.Errorf("failed requests after a restart of the target = %d, want at most 1\nlog: %s", failed, harness.log)
	}
}
