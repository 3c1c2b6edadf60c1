package mirror_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"mangopier.example/mangopier/internal/transport/fakes"
	"mangopier.example/mangopier/internal/transport/mirror"
)

// What has the address of a mirror answers with a name of a field that holds a blank, or with a
// status that is no final one. Guards against taking what follows for the table.
func TestBrokenHeadOfMirrorIsRejected(t *testing.T) {
	for _, begin := range []string{"HTTP/1.1 200 OK\r\nX Broken: 1\r\n", "HTTP/1.1 200 OK\r\nX-Sound: 1\r\n X-Broken: 1\r\n", "HTTP/1.1 103 Early Hints\r\nX Broken: 1\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 000 OK\r\n", "HTTP/1.1 101 OK\r\n"} {
		testBrokenHead(t, begin)
	}
}

func testBrokenHead(t *testing.T, begin string) {
	t.Helper()
	server, err := fakes.ListenRaw(func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, begin+"Content-Type: application/cbor\r\nContent-Length: 1\r\n\r\n\xa0")
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	client := mirror.NewClient()
	t.Cleanup(client.Close)
	if changes, err := client.FetchTable(t.Context(), server.Address(), "targets"); err == nil {
		t.Errorf("FetchTable() of a response that begins with %q = %v, nil, want an error", begin, changes)
	}
}
