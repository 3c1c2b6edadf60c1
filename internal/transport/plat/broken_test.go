package plat_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/transport/fakes"
	"mangopier.example/mangopier/internal/transport/plat"
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

// The platform begins to answer without a length and resets the connection while an object is
// being written. Guards against taking the write for confirmed by that.
func TestResetDuringWriteConfirmsNothing(t *testing.T) {
	const upload = 8 << 20 // more than the buffers of the connection hold
	client := plat.NewClient(listenRaw(t, fakes.ResetAfter("HTTP/1.1 200 OK\r\n\r\n{", time.Millisecond)))
	for range 20 {
		if err := client.Put(t.Context(), "snapshot", make([]byte, upload)); !code.Is(err, code.WriteUnknown) {
			t.Errorf("Put() = %v, want code %v", err, code.WriteUnknown)
		}
	}
}

// The platform answers with a name of a field that holds a blank. Guards against taking the write
// for confirmed by that.
func TestBrokenFieldNameConfirmsNothing(t *testing.T) {
	client := plat.NewClient(listenRaw(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX Broken: 1\r\nContent-Length: 2\r\n\r\n{}")
	}))
	if err := client.Put(t.Context(), "snapshot", []byte("x")); !code.Is(err, code.WriteUnknown) {
		t.Errorf("Put() = %v, want code %v", err, code.WriteUnknown)
	}
}

// The platform answers with a status that is no final one. Guards against taking the write for
// refused, though it may have had its effect.
func TestBrokenStatusRefusesNothing(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		client := plat.NewClient(listenRaw(t, func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" OK\r\nContent-Length: 2\r\n\r\n{}")
			_ = conn.Close()
		}))
		if err := client.Put(t.Context(), "snapshot", []byte("x")); !code.Is(err, code.WriteUnknown) {
			t.Errorf("status %s: Put() = %v, want code %v", status, err, code.WriteUnknown)
		}
	}
}
