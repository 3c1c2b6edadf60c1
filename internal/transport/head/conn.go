package head

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync/atomic"
)

// errFolded is the error of a head with a line that begins with a blank.
var errFolded = fmt.Errorf("%w: a line begins with a blank", ErrMalformed)

// Conn is a connection on which the head of a response may have no line that begins with a
// blank. net/http joins such a line to the value before it, and no field tells of that.
type Conn struct {
	net.Conn

	begins atomic.Bool // the next byte that is read begins a response
	lines  lines
	err    error // from the beginning of a folded line on
}

// Wrap returns a Conn that uses the given connection.
func Wrap(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// dialFunc makes a connection, as http.Transport.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// wrapDial returns a function that makes connections of type *Conn.
func wrapDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Wrap(conn), nil
	}
}

// BeginResponse states that the next byte that is read begins a response. It is called before
// a request is written.
func (conn *Conn) BeginResponse() { conn.begins.Store(true) }

// Read reads data from the connection. It ends before a line of a head that begins with a
// blank; the next call then returns an error with ErrMalformed.
func (conn *Conn) Read(buffer []byte) (int, error) {
	if conn.err != nil {
		return 0, conn.err
	}
	count, err := conn.Conn.Read(buffer)
	if count == 0 {
		return 0, err
	}
	if conn.begins.Swap(false) {
		conn.lines = lines{open: true}
	}
	if sound := conn.lines.scan(buffer[:count]); sound < count {
		conn.err = errFolded
		if sound == 0 {
			return 0, conn.err
		}
		return sound, nil
	}
	return count, err
}

// maxStatusLine is how much of a status line is kept, in bytes: the version, blanks and the
// status.
const maxStatusLine = 32

// lines follows the lines of a head, and of the interim heads before it.
type lines struct {
	open   bool   // the end of the head was not read yet
	count  int    // complete lines
	length int    // of the current line, without its end
	status []byte // beginning of the status line
	last   byte   // of the current line
}

// scan reads the next part of a response. It returns the number of bytes before a line of the
// head that begins with a blank, all of them if there is none.
func (lines *lines) scan(data []byte) int {
	read := 0
	for lines.open && read < len(data) {
		part, _, complete := bytes.Cut(data[read:], []byte("\n"))
		if lines.count > 0 && lines.length == 0 && len(part) > 0 && (part[0] == ' ' || part[0] == '\t') {
			return read
		}
		lines.add(part)
		if !complete {
			break
		}
		read += len(part) + 1
		lines.end()
	}
	return len(data)
}

// add adds a part of the current line.
func (lines *lines) add(part []byte) {
	if len(part) == 0 {
		return
	}
	if lines.count == 0 {
		lines.status = append(lines.status, part[:min(len(part), maxStatusLine-len(lines.status))]...)
	}
	lines.length += len(part)
	lines.last = part[len(part)-1]
}

// end ends the current line. An empty one ends the head, and begins the next one after an
// interim response.
func (lines *lines) end() {
	empty := lines.length == 0 || (lines.length == 1 && lines.last == '\r')
	lines.length = 0
	lines.count++
	if !empty {
		return
	}
	fields := bytes.Fields(lines.status)
	lines.open = len(fields) > 1 && fields[1][0] == '1'
	lines.count, lines.status = 0, lines.status[:0]
}
