package detour_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
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
	address := listenRaw(t, fakes.ResetAfter("HTTP/1.1 200 OK\r\nContent-Type: application/connect+cbor\r\n\r\n"+message, time.Millisecond))
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
