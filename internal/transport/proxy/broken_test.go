package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/front"
)

// newFrontSite returns a harness whose callers use the server for callers.
func newFrontSite(t *testing.T) (*harness, string) {
	t.Helper()
	harness := newHarness(t)
	server := front.New("127.0.0.1:0", harness.proxy)
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Stop(t.Context()) })
	return harness, server.Address()
}

// writeRaw writes bytes on the connection of a request in place of a response, and closes it.
func writeRaw(w http.ResponseWriter, r *http.Request, text string) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// A stream has begun and breaks off; the next engine answers with an error, whole or broken.
// Guards against text of the error within the stream, and against a stream that ends as if it
// were complete (ORDER, MIXED).
func TestErrorOfNextEngineStaysOutOfStream(t *testing.T) {
	signed := "Attempt-Id: 9c41d07be2a35f68\r\nResponse-Signature: s\r\n"
	answers := map[string]string{
		"status 200 of no target": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nerror",
		"no HTTP":                 "error of the engine",
		"head alone":              "HTTP/1.1 500 Internal Server Error\r\n" + signed,
		"two heads":               "HTTP/1.1 500 Internal Server Error\r\n" + signed + "Content-Length: 0\r\n\r\nHTTP/1.1 500 error\r\n\r\n",
		"empty, without a length": "HTTP/1.1 200 OK\r\n" + signed + "\r\n",
		"half an event":           "HTTP/1.1 200 OK\r\n" + signed + "\r\nid: 3\ndata: tok",
		"error without a length":  "HTTP/1.1 500 Internal Server Error\r\n" + signed + "\r\nerror",
	}
	for _, status := range []int{400, 404, 408, 421, 429, 499, 500, 502, 503, 504, 520} {
		answers[fmt.Sprint("status ", status)] = fmt.Sprintf("HTTP/1.1 %d error\r\n%sContent-Length: 5\r\n\r\nerror", status, signed)
		answers[fmt.Sprint("status ", status, ", not run")] = fmt.Sprintf("HTTP/1.1 %d error\r\n%sNot-Executed: 1\r\nContent-Length: 5\r\n\r\nerror", status, signed)
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness, address := newFrontSite(t)
			harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
			var calls atomic.Int32
			engine := func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) > 1 {
					writeRaw(w, r, answer)
					return
				}
				sendEvents(w, r, 2)
				panic(http.ErrAbortHandler)
			}
			harness.startTarget("d1", "llm", site.Decode, engine)
			harness.startTarget("d2", "llm", site.Decode, engine)
			request := harness.newRequest(http.MethodPost, "/resume/x")
			request.URL.Host = address
			if response := harness.do(request); response.err == nil || response.body != eventText(1)+eventText(2) {
				t.Errorf("response = %d %q, error %v, want events 1 and 2 and a broken connection", response.status, response.body, response.err)
			}
			if calls.Load() < 2 {
				t.Errorf("the engines got %d calls, want 2", calls.Load())
			}
		})
	}
}

// A target stops within the head of its response and closes the connection. Guards against a
// success with an empty or short body (MIXED, ORDER), at each byte of the head.
func TestBrokenHeadOfTargetIsNoAnswer(t *testing.T) {
	const attempt = "9c41d07be2a35f68"
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 44\r\n\r\n"
	for cut := range len(head) {
		t.Run(strconv.Itoa(cut), func(t *testing.T) {
			t.Parallel()
			harness, address := newFrontSite(t) // requests that broke too often are refused
			breakHead := func(w http.ResponseWriter, r *http.Request) { writeRaw(w, r, head[:cut]) }
			prefill := breakHead
			if cut%2 == 0 {
				prefill = respondPrefilled
			}
			harness.startTarget("p", "llm", site.Prefill, prefill)
			harness.startTarget("d", "llm", site.Decode, breakHead)
			harness.startTarget("s", "desk", site.NoStage, breakHead)
			for _, path := range []string{"/book/x", "/read/x", "/ask/x", "/resume/x"} {
				request := harness.newRequest(http.MethodPost, path)
				request.URL.Host = address
				response := harness.do(request)
				if response.err == nil && (response.status < http.StatusInternalServerError || response.status == http.StatusServiceUnavailable) {
					t.Errorf("response to %s after %d bytes of a head = %+v, want an error that does not say not-run", path, cut, response)
				}
			}
		})
	}
}
