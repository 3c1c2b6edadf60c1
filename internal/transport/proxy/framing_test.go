package proxy_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
)

// rawResponse is a response without a length or chunks, which ends with its connection.
type rawResponse struct {
	protocol string // HTTP/1.1 if empty
	header   string // further header lines
	parts    []string
	pause    time.Duration // before each part but the first, and before the end
	reset    bool          // the connection is reset instead of closed
}

func (response rawResponse) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	protocol := response.protocol
	if protocol == "" {
		protocol = "HTTP/1.1"
	}
	_, _ = io.WriteString(conn, protocol+" 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nResponse-Signature: 3e1b.07.5a2\r\n"+response.header+"\r\n")
	for i, part := range response.parts {
		if i > 0 {
			time.Sleep(response.pause)
		}
		_, _ = io.WriteString(conn, part)
	}
	time.Sleep(response.pause)
	if tcp, ok := conn.(*net.TCPConn); ok && response.reset {
		time.Sleep(20 * time.Millisecond) // what was sent arrives before the reset
		_ = tcp.SetLinger(0)
	}
}

// A response may have neither a length nor chunks and end with its connection. Guards
// against callers that cannot tell where it ends, and against a connection that is used
// again.
func TestPlainResponseThatEndsWithItsConnection(t *testing.T) {
	for name, raw := range map[string]rawResponse{
		"HTTP/1.1":          {parts: []string{"whole ", "body"}},
		"HTTP/1.0":          {protocol: "HTTP/1.0", parts: []string{"whole body"}},
		"Connection: close": {header: "Connection: close\r\n", parts: []string{"whole body"}},
		"closed late":       {parts: []string{"whole", " body"}, pause: 30 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.startTarget("s1", "desk", site.NoStage, raw.serve)
			for range 2 {
				response := harness.do(harness.newRequest(http.MethodPost, "/book/x"))
				if response.err != nil || response.status != http.StatusOK || response.body != "whole body" || response.header.Get("Content-Length") != "10" {
					t.Errorf("response = %+v, want 200 with a body of 10 bytes", response)
				}
			}
		})
	}
}

// Guards against delivering a part of a response as the whole.
func TestPlainResponseThatIsResetIsNotComplete(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("s1", "desk", site.NoStage, rawResponse{parts: []string{"half a bo"}, reset: true}.serve)
	if response := harness.do(harness.newRequest(http.MethodPost, "/book/x")); response.status != http.StatusBadGateway {
		t.Errorf("response = %+v, want 502", response)
	}
}

// Guards against prompts that are not fetched since the answer of the engine that
// prefilled them has no length.
func TestPrefillResponseThatEndsWithItsConnection(t *testing.T) {
	harness := newHarness(t)
	raw := rawResponse{header: "Content-Type: application/json\r\n", parts: []string{`{"KvHandle":"h1","Tok`, `ens":1460,"Version":1}`}}
	harness.startTarget("p1", "llm", site.Prefill, raw.serve)
	var source string
	harness.startTarget("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
		source = r.Header.Get("Kv-Source")
		sendEvents(w, r, 3)
	})
	if response := harness.do(harness.newRequest(http.MethodPost, "/ask/x")); response.status != http.StatusOK || !strings.HasSuffix(source, "/h1") {
		t.Errorf("status = %d with the prompt from %q, want 200 with the handle h1", response.status, source)
	}
}

// A stream that ends inside an event, without any event, or by a reset has been broken
// off. Guards against ending it as complete, and against taking a whole one for broken.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	events := eventText(1) + eventText(2)
	for name, test := range map[string]struct {
		raw  rawResponse
		want string // what the caller gets
		ok   bool   // complete
	}{
		"whole":                            {rawResponse{parts: []string{events}}, events, true},
		"whole, HTTP/1.0":                  {rawResponse{protocol: "HTTP/1.0", parts: []string{events}}, events, true},
		"whole, Connection: close":         {rawResponse{header: "Connection: close\r\n", parts: []string{events}}, events, true},
		"whole, closed late":               {rawResponse{parts: []string{eventText(1), eventText(2)}, pause: 30 * time.Millisecond}, events, true},
		"reset between events":             {rawResponse{parts: []string{events}, reset: true}, events, false},
		"ends inside an event":             {rawResponse{parts: []string{events, "id: 3\nda"}}, events, false},
		"ends inside a character":          {rawResponse{parts: []string{events, "id: 3\ndata: p\xc5"}}, events, false},
		"ends before the blank line":       {rawResponse{parts: []string{events, "id: 3\ndata: token\n"}}, events, false},
		"ends without an event":            {rawResponse{}, "", false},
		"ends without an event, HTTP/1.0":  {rawResponse{protocol: "HTTP/1.0"}, "", false},
		"ends inside the first event":      {rawResponse{parts: []string{"id: 1\n"}}, "", false},
		"reset without an event":           {rawResponse{reset: true}, "", false},
		"ends inside an event, late close": {rawResponse{parts: []string{events + "id: 3"}, pause: 30 * time.Millisecond}, events, false},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
			harness.startTarget("d1", "llm", site.Decode, test.raw.serve)
			response := harness.do(harness.newRequest(http.MethodPost, "/ask/x"))
			complete := response.status == http.StatusOK && response.err == nil
			if complete != test.ok || (response.status == http.StatusOK && response.body != test.want) {
				t.Errorf("response = %d, %q, error %v; want complete: %t, body %q", response.status, response.body, response.err, test.ok, test.want)
			}
		})
	}
}

// Guards against resuming a stream after the wrong event, or not at all, if its first
// part ended with its connection inside an event.
func TestStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	broken := rawResponse{parts: []string{eventText(1), "id: 2\ndata: tok"}}
	resume := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			broken.serve(w, r)
			return
		}
		sendEvents(w, r, 3)
	}
	harness.startTarget("d1", "llm", site.Decode, resume)
	harness.startTarget("d2", "llm", site.Decode, resume)
	want := eventText(1) + eventText(2) + eventText(3)
	if response := harness.do(harness.newRequest(http.MethodPost, "/resume/x")); response.err != nil || response.body != want {
		t.Errorf("response = %+v, want %q", response, want)
	}
}
