package detour_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/fakes"
)

func listenRaw(t *testing.T, handler fakes.RawHandler) string {
	t.Helper()
	server, err := fakes.ListenRaw(handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Address()
}

// Another instance begins to answer without a length and resets the connection while the
// request is being written. Guards against a part that passes for the whole response: the end
// of the stream is a message of its own.
func TestResetDuringForwardedUploadTruncates(t *testing.T) {
	// A message with the status 200 and the body "part", as CBOR.
	const message = "\x00\x00\x00\x00\x0a\xa2\x01\x18\xc8\x03\x44part"
	address := listenRaw(t, fakes.ResetAfter("HTTP/1.1 200 OK\r\nContent-Type: application/connect+cbor\r\n\r\n"+message, 20*time.Millisecond))
	client := newClient(t)
	request := &site.ForwardedRequest{}
	request.Request.Body = []byte(strings.Repeat("x", 8<<20))
	responses := 0
	for range 20 {
		response, err := client.Do(t.Context(), address, request)
		if err != nil {
			continue
		}
		responses++
		if body, err := io.ReadAll(response.Body); err == nil {
			t.Errorf("Do() = %d with body %q, nil, want an error", response.Status, body)
		}
		_ = response.Body.Close()
	}
	if responses == 0 {
		t.Error("Do() returned no response, want one with a part of the body")
	}
}

// An instance of an earlier build hands on the head of a target's response as it came. Guards
// against passing on a field whose name or value breaks the head of the response to the caller.
func TestBrokenFieldOfForwardedResponseIsRejected(t *testing.T) {
	for name, value := range map[string]string{"X Broken": "1", "X-Broken ": "1", "X-Br\x01ken": "1", "X\r\nY": "1", "": "1", "X-Broken": "1\r\nY: 2"} {
		peer := startPeer(t, func(_ context.Context, w http.ResponseWriter, _ *site.ForwardedRequest) {
			w.Header()[name] = []string{value}
			w.WriteHeader(http.StatusOK)
		}, nil)
		response, err := newClient(t).Do(t.Context(), peer.address, &site.ForwardedRequest{})
		checkState(t, response, err, back.MayHaveRun)
	}
}

// Another instance hands on a status that is no final one, or what has its address answers with
// one. Guards against taking that for the response of a target.
func TestBrokenStatusOfForwardedResponseIsRejected(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		address := listenRaw(t, func(conn *net.TCPConn, _ *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s OK\r\nContent-Type: application/connect+cbor\r\nContent-Length: %d\r\n\r\n%s", status, len(okMessages), okMessages)
			_ = conn.Close()
		})
		response, err := newClient(t).Do(t.Context(), address, &site.ForwardedRequest{})
		checkState(t, response, err, back.MayHaveRun)
	}
	for _, message := range []string{"\xa1\x01\x00", "\xa1\x01\x18\x63", "\xa1\x01\x18\x65"} { // statuses 0, 99 and 101
		messages := "\x00\x00\x00\x00" + string(rune(len(message))) + message + "\x02\x00\x00\x00\x02{}"
		address := listenRaw(t, func(conn *net.TCPConn, _ *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/connect+cbor\r\nContent-Length: %d\r\n\r\n%s", len(messages), messages)
		})
		response, err := newClient(t).Do(t.Context(), address, &site.ForwardedRequest{})
		checkState(t, response, err, back.MayHaveRun)
	}
}

// okMessages are the messages of a response with the status 200, and the end of the stream.
const okMessages = "\x00\x00\x00\x00\x04\xa1\x01\x18\xc8" + "\x02\x00\x00\x00\x02{}"

// What has the address of another instance answers with a head in which the name of a field
// holds a blank. Guards against taking what follows for the response to the request.
func TestBrokenFieldNameOfInstanceIsRejected(t *testing.T) {
	address := listenRaw(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/connect+cbor\r\nX Broken: 1\r\nContent-Length: %d\r\n\r\n%s", len(okMessages), okMessages)
	})
	response, err := newClient(t).Do(t.Context(), address, &site.ForwardedRequest{})
	checkState(t, response, err, back.MayHaveRun)
}
