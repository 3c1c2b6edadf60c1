package main_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/transport/fakes"
)

// brokenTargets is the number of targets of the service: each broken answer makes one unhealthy.
const brokenTargets = 64

// brokenService is a service at /broken whose targets give any answer.
type brokenService struct {
	*deployment

	answer  atomic.Pointer[fakes.RawHandler]
	answers atomic.Int64 // that were given
}

func startBrokenService(t *testing.T) *brokenService {
	t.Helper()
	broken := &brokenService{deployment: startDeployment(t, 1)}
	server, err := fakes.ListenRaw(func(conn *net.TCPConn, request *http.Request) {
		if !strings.HasPrefix(request.URL.Path, "/broken") {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			return
		}
		broken.answers.Add(1)
		(*broken.answer.Load())(conn, request)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	var targets []string
	for i := range brokenTargets {
		targets = append(targets, fmt.Sprintf(`{"id": "broken-%d", "address": %q, "data-center": "kosice-0", "kind": "service", "service": "broken"}`, i, server.Address()))
	}
	broken.answerWith(func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	broken.publishNote(fmt.Sprintf(`{"after": 1, "routes": {"set": [{"path": "/broken", "service": "broken"}, {"path": "/broken/repeatable", "service": "broken", "repeatable": true}]}, "targets": {"set": [%s]}}`, strings.Join(targets, ",")))
	broken.waitFor("an answer of the service", func() bool {
		_, err := broken.post(0, "/broken", "x", "")
		return err == nil
	})
	return broken
}

func (broken *brokenService) answerWith(handler fakes.RawHandler) {
	broken.answer.Store(&handler)
	broken.answers.Store(0)
}

// A target answers a long upload at once without a length, sends a part of the body and resets
// the connection while the upload is being written. Guards against delivering that part as the
// whole.
func TestResetDuringUploadReachesNoCallerAsAnswer(t *testing.T) {
	const calls = 40
	broken := startBrokenService(t)
	upload := strings.Repeat("x", 3900<<10)
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		broken.answerWith(fakes.ResetAfter("HTTP/1.1 200 OK\r\n\r\na part of the ", pause))
		taken := 0
		for range calls {
			if _, err := broken.post(0, "/broken", upload, ""); err == nil {
				taken++
			}
		}
		if taken > 0 || broken.answers.Load() < calls/2 {
			t.Errorf("reset after %v: %d of %d requests got the part of one of %d answers as complete, want none", pause, taken, calls, broken.answers.Load())
		}
	}
}

// A target answers with a head in which the name of a field holds a blank or a control byte.
// Guards against a body that ends elsewhere than the target's, as the line that gives its length
// is not understood.
func TestBrokenFieldNameReachesNoCaller(t *testing.T) {
	broken := startBrokenService(t)
	for _, line := range []string{"Content-Length : 5", "Content Length: 5", "Transfer-Encoding : chunked", "X-Broken : 1", "X-Sound: 1\r\n Content-Length: 5", "X-Bro\x01ken: 1", "X-Broken\x7f: 1"} {
		broken.checkRejected("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nwhole and more")
	}
	for _, line := range []string{"X Broken: 1", "X-Broken : 1", "Content-Length : 5", "X-Bro\x01ken: 1"} {
		broken.checkRejected("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		broken.checkRejected("HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + line + "\r\n\r\n")
	}
}

// checkRejected checks that callers get an error of the instance that does not say that the request
// has not run in place of a broken answer, and the answer of a sound target where the route allows
// a repeat.
func (broken *brokenService) checkRejected(answer string) {
	broken.t.Helper()
	broken.answerWith(func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, answer)
		_ = conn.Close()
	})
	body, err := broken.post(0, "/broken", "x", "")
	var failure *statusError
	if !errors.As(err, &failure) || failure.runStatus == "not-run" || broken.answers.Load() == 0 {
		broken.t.Errorf("response to %q of %d targets = %q, %v; want an error of the instance that does not say not-run", answer, broken.answers.Load(), body, err)
	}
	const sound = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nsound"
	broken.answerWith(func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, sound)
		_ = conn.Close()
	})
	for range 20 { // requests that the budget of repeats grows with
		_, _ = broken.post(0, "/broken/repeatable", "x", "")
	}
	broken.answerWith(func(conn *net.TCPConn, _ *http.Request) {
		text := answer
		if broken.answers.Load() > 1 {
			text = sound
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	})
	if body, err := broken.post(0, "/broken/repeatable", "x", ""); body != "sound" || err != nil {
		broken.t.Errorf("response to %q, then a sound target = %q, %v after %d answers; want that of the second", answer, body, err, broken.answers.Load())
	}
}

// A target answers with a status line that holds no final status. Guards against an answer that
// passes for one of the target.
func TestBrokenStatusReachesNoCaller(t *testing.T) {
	broken := startBrokenService(t)
	for _, status := range []string{"000", "001", "099", "101", "00", "0000", "1000"} {
		broken.checkRejected("HTTP/1.1 " + status + " OK\r\nContent-Length: 5\r\n\r\nwhole")
	}
}

// A target answers a long upload at once without a length and ends its side of the connection.
// Guards against answers that are whole and that callers do not get.
func TestEndDuringUploadReachesCallerAsAnswer(t *testing.T) {
	broken := startBrokenService(t)
	broken.answerWith(func(conn *net.TCPConn, request *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nthe whole answer")
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
		_ = conn.Close()
	})
	for range 10 {
		if body, err := broken.post(0, "/broken", strings.Repeat("x", 3900<<10), ""); body != "the whole answer" || err != nil {
			t.Errorf("response = %q, %v, want the whole answer", body, err)
		}
	}
}
