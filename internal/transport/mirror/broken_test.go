package mirror_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"mangopier.example/mangopier/internal/transport/fakes"
	"mangopier.example/mangopier/internal/transport/mirror"
)

// What has the address of a mirror answers with a name of a field that holds a blank. Guards
// against taking what follows for the table.
func TestBrokenFieldNameOfMirrorIsRejected(t *testing.T) {
	server, err := fakes.ListenRaw(func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/cbor\r\nX Broken: 1\r\nContent-Length: 1\r\n\r\n\xa0")
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	client := mirror.NewClient()
	t.Cleanup(client.Close)
	if changes, err := client.FetchTable(t.Context(), server.Address(), "targets"); err == nil {
		t.Errorf("FetchTable() = %v, nil, want an error", changes)
	}
}
