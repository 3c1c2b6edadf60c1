package back_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/transport/back"
)

// Guards against a call that reaches its target long after the caller has left, since
// what the kernel still had to send went out after the connection was closed.
func TestCanceledCallIsNotSentAnyMore(t *testing.T) {
	const bodyBytes = 256 << 10
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := back.New()
	defer client.Close()
	done := make(chan error, 1)
	go func() {
		_, err := client.Do(ctx, &back.Call{
			Address: listener.Addr().String(), Method: http.MethodPost, Path: "/", Body: make([]byte, bodyBytes), ReuseConnection: true,
		})
		done <- err
	}()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	time.Sleep(50 * time.Millisecond) // the call is in the buffers of the two sides
	cancel()
	if err := <-done; err == nil {
		t.Fatal("Do() = nil after its context ended, want an error")
	}
	time.Sleep(50 * time.Millisecond)
	if count, err := io.Copy(io.Discard, conn); err == nil || count >= bodyBytes {
		t.Errorf("the target received %d bytes and error %v after the call was canceled, want a reset", count, err)
	}
}
