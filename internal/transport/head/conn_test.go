package head_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"mangopier.example/mangopier/internal/transport/head"
)

// parts is a connection on which a text arrives in parts of a number of bytes.
type parts struct {
	net.Conn

	text io.Reader
	size int
}

func (parts parts) Read(buffer []byte) (int, error) {
	return parts.text.Read(buffer[:min(parts.size, len(buffer))])
}

// Guards against a line that begins with a blank and is joined to the one before it by net/http,
// and against a body that is taken for a head, however the bytes arrive.
func TestFoldedLineOfHeadIsRejected(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nX-Sound: 1\r\n"
	for _, test := range []struct{ sound, folded string }{
		{begin, " Content-Length: 5\r\n\r\nwhole"},
		{begin, "\tContent-Length: 5\r\n\r\nwhole"},
		{begin, " \r\n\r\nwhole"},
		{begin, " : 1\r\n\r\n"},
		{"HTTP/1.1 200 OK\nX-Sound: 1\n", " Content-Length: 5\n\nwhole"},
		{"HTTP/1.1 200 OK\r\n", " X-Broken: 1\r\n\r\n"},
		{"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + begin, " X-Broken: 1\r\n\r\n"},
		{"HTTP/1.1   100\r\n\r\nHTTP/1.1 103 A\n\n" + begin, " X-Broken: 1\r\n\r\n"},
		{"HTTP/1.1 103 Early Hints\r\n", " X-Broken: 1\r\n\r\n" + begin + "\r\n"},
		{begin + "\r\n body\r\n\tthat begins with blanks\r\n\r\n HTTP/1.1 100\r\n\r\n", ""},
		{begin + "\r\n", ""},
		{"HTTP/1.1 200 OK\n\n body", ""},
		{"HTTP/1.1 200 1\r\n\r\n body", ""},
		{"HTTP/1.1 200 OK\r\nX-Sound: 1 \r\nX-Empty:\r\n\r\n \r\n", ""},
		{"HTTP/1.1 103 Early Hints\r\n\r\n" + begin + "\r\n body", ""},
	} {
		for size := 1; size <= len(test.sound)+len(test.folded); size++ {
			conn := head.Wrap(parts{text: strings.NewReader(test.sound + test.folded), size: size})
			conn.BeginResponse()
			data, err := io.ReadAll(conn)
			if string(data) != test.sound || errors.Is(err, head.ErrMalformed) != (test.folded != "") {
				t.Errorf("ReadAll() in parts of %d bytes = %q, %v, want %q and ErrMalformed: %t", size, data, err, test.sound, test.folded != "")
				break
			}
		}
	}
}

// Guards against the head of a later response on the connection that is not looked at.
func TestFoldedLineOfLaterHeadIsRejected(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n body"
	conn := head.Wrap(parts{text: strings.NewReader(response + response + "HTTP/1.1 200 OK\r\nX-Sound: 1\r\n X-Broken: 1\r\n\r\n"), size: len(response)})
	for i, want := range []string{response, response, "HTTP/1.1 200 OK\r\nX-Sound: 1\r\n"} {
		conn.BeginResponse()
		buffer := make([]byte, 100)
		if count, err := conn.Read(buffer); string(buffer[:count]) != want || err != nil {
			t.Errorf("Read() of response %d = %q, %v, want %q", i, buffer[:count], err, want)
		}
	}
	if _, err := conn.Read(make([]byte, 100)); !errors.Is(err, head.ErrMalformed) {
		t.Errorf("Read() of a folded line = %v, want ErrMalformed", err)
	}
}
