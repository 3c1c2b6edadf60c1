package peer_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/protocol/peerpb"
	"mangopier.example/mangopier/internal/transport/fakes"
	"mangopier.example/mangopier/internal/transport/peer"
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

// Another instance begins to answer without a length and resets the connection while a copy of
// the usage is being written. Guards against taking the copy for stored: a message may be whole
// after each of its fields.
func TestResetDuringCopyConfirmsNothing(t *testing.T) {
	const upload = 8 << 20 // more than the buffers of the connection hold
	client := peer.NewClient()
	t.Cleanup(client.Close)
	address := listenRaw(t, fakes.ResetAfter("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n", time.Millisecond))
	for range 20 {
		if ack, err := client.CopyUsage(t.Context(), address, &peerpb.UsageCopy{Payload: make([]byte, upload)}); err == nil {
			t.Errorf("CopyUsage() = %v, nil, want an error", ack)
		}
	}
}

// Another instance, or what has its address now, answers with a name of a field that holds a blank.
// Guards against taking the copy for stored.
func TestBrokenFieldNameConfirmsNothing(t *testing.T) {
	client := peer.NewClient()
	t.Cleanup(client.Close)
	address := listenRaw(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nX Broken: 1\r\nContent-Length: 0\r\n\r\n")
	})
	if ack, err := client.CopyUsage(t.Context(), address, &peerpb.UsageCopy{Payload: []byte("x")}); err == nil {
		t.Errorf("CopyUsage() = %v, nil, want an error", ack)
	}
}

// What has the address of another instance answers with a status that is no final one. Guards
// against taking the copy for stored.
func TestBrokenStatusConfirmsNothing(t *testing.T) {
	client := peer.NewClient()
	t.Cleanup(client.Close)
	for _, status := range []string{"000", "099", "101"} {
		address := listenRaw(t, func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" OK\r\nContent-Type: application/proto\r\nContent-Length: 0\r\n\r\n")
		})
		if ack, err := client.CopyUsage(t.Context(), address, &peerpb.UsageCopy{Payload: []byte("x")}); err == nil {
			t.Errorf("status %s: CopyUsage() = %v, nil, want an error", status, ack)
		}
	}
}
