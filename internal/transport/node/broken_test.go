package node_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/transport/fakes"
)

// brokenSite is one process of the program before targets whose answers need not be HTTP.
type brokenSite struct {
	*soak

	requests atomic.Int64                     // of callers
	answer   atomic.Pointer[fakes.RawHandler] // to requests of callers, except prefills
	answers  atomic.Int64                     // that were given
}

// brokenTargets is the number of targets of each kind: each broken answer ejects one.
const brokenTargets = 64

func newBrokenSite(t *testing.T) *brokenSite {
	t.Helper()
	broken := &brokenSite{soak: newSoak(t, []string{buildProgram(t, ".")}, 1)}
	server, err := fakes.ListenRaw(broken.serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	control := httptest.NewServer(&broken.control)
	t.Cleanup(control.Close)
	broken.addInstance(0, freePort(t), control.Listener.Addr().String())
	broken.allowRepeats()
	broken.instances[0].storeEndpoint.targets = nil // links would end both sides of a connection at once
	broken.store.put("op", "config", fmt.Sprintf(endlessManifest, host, key))
	for service, stages := range map[string][]string{"desk": {""}, "llm": {"prefill", "decode"}} {
		for _, stage := range stages {
			for i := range brokenTargets {
				broken.store.put("servers", fmt.Sprint("i-", service, stage, i), fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":"tas-a","Slots":64,"State":"ready","Stage":%q}`, service, server.Address(), stage))
			}
		}
	}
	broken.answerWith(func(conn *net.TCPConn, request *http.Request) {
		_, _ = fmt.Fprint(conn, brokenHead(request)+"Content-Length: 2\r\n\r\nok")
	})
	broken.start(broken.instances[0])
	t.Cleanup(broken.stopAll)
	eventually(t, "the process serves", func() bool { return broken.ask("/read/", nil).status == http.StatusOK })
	time.Sleep(time.Second) // an instance has no budget of repeats in its first window
	return broken
}

// allowRepeats gives the instance a budget of repeats that the test does not use up, and a window of 1 s.
func (broken *brokenSite) allowRepeats() {
	path := broken.instances[0].settings
	settings, err := os.ReadFile(path)
	if err != nil {
		broken.t.Fatal(err)
	}
	settings = bytes.Replace(settings, []byte(fmt.Sprint("BudgetSlack = ", soakExtraRetries)), []byte("BudgetSlack = 10000"), 1)
	settings = bytes.Replace(settings, []byte("BudgetWindowS = 10"), []byte("BudgetWindowS = 1"), 1)
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		broken.t.Fatal(err)
	}
}

// brokenHead returns the beginning of the head of an answer to a request.
func brokenHead(request *http.Request) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.Header.Get("Attempt-Id") + "\r\nResponse-Signature: s\r\nConnection: close\r\n"
}

func (broken *brokenSite) answerWith(handler fakes.RawHandler) {
	broken.answer.Store(&handler)
	broken.answers.Store(0)
}

func (broken *brokenSite) serve(conn *net.TCPConn, request *http.Request) {
	body := ""
	switch {
	case request.Header.Get("Serving-Stage") == "prefill":
		body = `{"KvHandle":"h1","Tokens":1460,"Version":1}`
	case request.Header.Get("Attempt-Id") != "":
		broken.answers.Add(1)
		(*broken.answer.Load())(conn, request)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", brokenHead(request), len(body), body)
}

// brokenAnswer is what a caller gets. The error tells that the answer is not complete.
type brokenAnswer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (broken *brokenSite) ask(path string, body []byte) brokenAnswer {
	request, err := http.NewRequestWithContext(broken.t.Context(), http.MethodPost, "http://"+broken.instances[0].front+path+"x", bytes.NewReader(body))
	if err != nil {
		broken.t.Fatal(err)
	}
	request.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": fmt.Sprint("a-", broken.requests.Add(1)), "Authorization": "Bearer " + key, "Deadline-Ms": "3000",
		"Model": "m", "Token-Count": "1460,80", "Prompt-Prefix": "5c1e07a2:800,e4402b7d:660",
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return brokenAnswer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return brokenAnswer{response.StatusCode, response.Header, string(data), err}
}

// A target answers a long upload at once without a length, sends a part of the body and resets
// the connection while the upload is being written. Guards against delivering that part as the
// whole (MIXED).
func TestResetDuringUploadReachesNoCallerAsAnswer(t *testing.T) {
	const upload, calls = 3900 << 10, 40
	broken := newBrokenSite(t)
	for path, part := range map[string]string{"/book/": "a part of the ", "/read/": "a part of the ", "/ask/": "id: 1\ndata: a\n\n"} {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			broken.answerWith(func(conn *net.TCPConn, request *http.Request) {
				fakes.ResetAfter(brokenHead(request)+"\r\n"+part, pause)(conn, request)
			})
			taken := 0
			for range calls {
				if answer := broken.ask(path, make([]byte, upload)); answer.status == http.StatusOK && answer.err == nil {
					taken++
				}
			}
			if taken > 0 || broken.answers.Load() < calls/2 {
				t.Errorf("%s, reset after %v: %d of %d requests got the part of one of %d answers as complete, want none", path, pause, taken, calls, broken.answers.Load())
			}
		}
	}
}

// A target answers a long upload at once without a length and ends its side of the connection.
// Guards against answers that are whole and that callers do not get.
func TestEndDuringUploadReachesCallerAsAnswer(t *testing.T) {
	broken := newBrokenSite(t)
	broken.answerWith(func(conn *net.TCPConn, request *http.Request) {
		_, _ = io.WriteString(conn, brokenHead(request)+"\r\nthe whole answer")
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
		_ = conn.Close()
	})
	for range 10 {
		if answer := broken.ask("/book/", make([]byte, 3900<<10)); answer.status != http.StatusOK || answer.body != "the whole answer" || answer.err != nil {
			t.Errorf("answer = %+v, want 200 with the whole answer", answer)
		}
	}
}

// brokenBodies are whole bodies by the paths of the routes.
var brokenBodies = map[string]string{"/book/": "whole", "/read/": "whole", "/ask/": "id: 1\ndata: a\n\n", "/resume/": "id: 1\ndata: a\n\n"}

// checkRejected checks that callers get an error of the instance in place of a broken answer, on
// routes of all kinds, and the answer of a sound target where the route allows a repeat. Events that
// came before what is broken may have been sent on, but not as the whole.
func (broken *brokenSite) checkRejected(what string, write func(request *http.Request, body string) string) {
	broken.t.Helper()
	for path, body := range brokenBodies {
		broken.answerWith(func(conn *net.TCPConn, request *http.Request) {
			_, _ = io.WriteString(conn, write(request, body))
			_ = conn.Close()
		})
		answer := broken.ask(path, nil)
		refused := answer.err == nil && answer.status >= http.StatusInternalServerError && !isPromise(answer.status) &&
			answer.header.Get("Response-Signature") == "" && answer.header.Get("X-Mangopier-Run") != "not-run"
		cutOff := answer.err != nil && strings.HasPrefix(body, "id:") && answer.status == http.StatusOK && strings.HasPrefix(what, "trailer")
		if !refused && !cutOff {
			broken.t.Errorf("%s, %s: %+v, want an error of the instance that does not say that the request has not run", path, what, answer)
		}
		if broken.answers.Load() == 0 {
			broken.t.Errorf("%s, %s: no target was asked", path, what)
		}
	}
	broken.answerWith(func(conn *net.TCPConn, request *http.Request) {
		if broken.answers.Load() == 1 {
			_, _ = io.WriteString(conn, write(request, brokenBodies["/read/"]))
		} else {
			_, _ = io.WriteString(conn, brokenHead(request)+"Content-Length: 5\r\n\r\nsound")
		}
		_ = conn.Close()
	})
	if answer := broken.ask("/read/", nil); answer.status != http.StatusOK || answer.body != "sound" || answer.err != nil {
		broken.t.Errorf("/read/, %s, then a sound target: %+v after %d answers, want 200 with that of the second", what, answer, broken.answers.Load())
	}
}

// brokenNames are lines of a head in which the name of a field holds a byte that no name may
// hold, with the lines around them.
var brokenNames = map[string]string{
	"blank before the colon":         "X-Broken : 1\r\nContent-Length: 5\r\n",
	"blank inside":                   "X Broken: 1\r\nContent-Length: 5\r\n",
	"blanks around":                  "X  Broken  : 1\r\nContent-Length: 5\r\n",
	"blank only":                     "Content-Length: 5\r\nX-Sound: 1\r\n : 1\r\n",
	"blank in front":                 "Content-Length: 5\r\n X-Broken: 1\r\n",
	"tab in front":                   "Content-Length: 5\r\n\tX-Broken: 1\r\n",
	"tab before the colon":           "X-Broken\t: 1\r\nContent-Length: 5\r\n",
	"control byte":                   "X-Bro\x01ken: 1\r\nContent-Length: 5\r\n",
	"NUL":                            "X-Bro\x00ken: 1\r\nContent-Length: 5\r\n",
	"DEL":                            "X-Broken\x7f: 1\r\nContent-Length: 5\r\n",
	"carriage return":                "X-Bro\rken: 1\r\nContent-Length: 5\r\n",
	"empty":                          ": 1\r\nContent-Length: 5\r\n",
	"length, blank before the colon": "Content-Length : 5\r\n",
	"length, blank inside":           "Content Length: 5\r\n",
	"length, blank in front":         "X-Sound: 1\r\n Content-Length: 5\r\n",
	"length, tab in front":           "X-Sound: 1\r\n\tContent-Length: 5\r\n",
	"chunks, blank before the colon": "Transfer-Encoding : chunked\r\n",
	"chunks, blank in front":         "X-Sound: 1\r\n Transfer-Encoding: chunked\r\n",
}

// A target answers with a head in which the name of a field holds a blank or a control byte.
// Guards against an answer that passes that line on, and against a body that ends elsewhere than
// the target's, as the line that gives its length is not understood (MIXED).
func TestBrokenFieldNameReachesNoCaller(t *testing.T) {
	broken := newBrokenSite(t)
	for name, lines := range brokenNames {
		broken.checkRejected("name with "+name, func(request *http.Request, body string) string {
			return brokenHead(request) + lines + "\r\n" + body
		})
	}
	broken.checkRejected("name with a blank in front, after an interim head", func(request *http.Request, body string) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + brokenHead(request) + "X-Sound: 1\r\n X-Broken: 1\r\n\r\n" + body
	})
}

// A target answers with a broken name of a field in an interim head or in a trailer, and otherwise
// soundly. Guards against an answer of which one part is none of HTTP.
func TestBrokenFieldNameBesideHeadReachesNoCaller(t *testing.T) {
	broken := newBrokenSite(t)
	for _, line := range []string{"X Broken: 1", "X-Broken : 1", "Content-Length : 5", "Transfer-Encoding : chunked", "X-Bro\x01ken: 1", "X-Broken\t: 1"} {
		for _, interim := range []string{"100 Continue", "103 Early Hints"} {
			broken.checkRejected(fmt.Sprintf("%s with %q", interim, line), func(request *http.Request, body string) string {
				return fmt.Sprintf("HTTP/1.1 %s\r\n%s\r\n\r\n%sContent-Length: %d\r\n\r\n%s", interim, line, brokenHead(request), len(body), body)
			})
		}
		broken.checkRejected(fmt.Sprintf("trailer with %q", line), func(request *http.Request, body string) string {
			return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n\r\n", brokenHead(request), len(body), body, line)
		})
	}
}

// A target answers with a status line that holds no final status. Guards against an answer that
// passes for one of the target.
func TestBrokenStatusReachesNoCaller(t *testing.T) {
	broken := newBrokenSite(t)
	for _, status := range []string{"000", "001", "099", "101", "00", "0000", "1000"} {
		broken.checkRejected("status "+status, func(request *http.Request, body string) string {
			return strings.Replace(brokenHead(request), "200 OK", status+" OK", 1) + "\r\n" + body
		})
	}
}
