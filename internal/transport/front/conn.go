package front

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// conn is the connection of one caller. The library's connection drops what it has
// not sent when it closes, so conn counts its bytes and closes after the last one.
type conn struct {
	net.Conn

	raw           *nbio.Conn
	done          <-chan struct{} // closed when the connection has closed
	room          chan struct{}   // gets a value when bytes have been sent
	bufferBytes   int64
	sendTimeout   time.Duration // for a wait for room, and from Close until all bytes have been sent
	lingerTimeout time.Duration // from the last byte until the caller has closed its end
	timer         *time.Timer   // closes the connection

	writtenBytes atomic.Int64
	sentBytes    atomic.Int64
	status       atomic.Int32 // to be written in place of placeholderStatus, 0 for none
	failed       atomic.Bool  // a write has failed
	closing      atomic.Bool  // Close has been called
	ended        bool         // the caller has been sent the end; guarded by the lock of raw
}

// newConn wraps a connection. Writes return when ctx ends. OnIdle is called when the
// connection is closed after the idle timeout.
func newConn(ctx context.Context, raw *nbio.Conn, inner net.Conn, limits Limits, onIdle func()) *conn {
	conn := &conn{
		Conn: inner, raw: raw, done: ctx.Done(), room: make(chan struct{}, 1),
		bufferBytes: int64(limits.WriteBufferBytes), sendTimeout: limits.IdleTimeout, lingerTimeout: limits.LingerTimeout,
	}
	conn.timer = time.AfterFunc(limits.IdleTimeout, func() {
		if !conn.closing.Load() {
			onIdle()
		}
		_ = raw.Close()
	})
	return conn
}

// placeholderStatus is the status that the library writes where the connection puts
// another one.
const placeholderStatus = http.StatusBadGateway

// replaceStatus has the next response that is written with placeholderStatus get another
// status, of three digits.
func (conn *conn) replaceStatus(status int) { conn.status.Store(int32(status)) }

// placeStatus returns data with the pending status, if data begins a response.
func (conn *conn) placeStatus(data []byte) []byte {
	status := conn.status.Load()
	if status == 0 {
		return data
	}
	line := " " + strconv.Itoa(placeholderStatus) + " " + http.StatusText(placeholderStatus) + "\r\n"
	protocol, rest, found := bytes.Cut(data, []byte(line))
	if !found || len(protocol) != len("HTTP/1.1") {
		return data
	}
	conn.status.Store(0)
	return slices.Concat(protocol, fmt.Appendf(nil, " %03d \r\n", status), rest)
}

// Write queues data for the caller. It waits while the buffer is full, since the
// library closes a connection whose buffer overflows. It returns net.ErrClosed
// after Close and os.ErrDeadlineExceeded if the caller does not read.
func (conn *conn) Write(data []byte) (int, error) {
	unchanged := len(data)
	data = conn.placeStatus(data)
	for written := 0; written < len(data); {
		piece := data[written:min(len(data), written+conn.pieceBytes())]
		if err := conn.writePiece(piece); err != nil {
			conn.failed.Store(true)
			return min(written, unchanged), err
		}
		written += len(piece)
	}
	return unchanged, nil
}

// pieceBytes returns how much is written at once. Half of the buffer lets one piece
// be sent while the next one is written.
func (conn *conn) pieceBytes() int {
	return max(1, int(conn.bufferBytes/2))
}

func (conn *conn) writePiece(piece []byte) error {
	if conn.closing.Load() {
		return net.ErrClosed
	}
	bytes := int64(len(piece))
	if err := conn.waitForRoom(bytes); err != nil {
		return err
	}
	conn.writtenBytes.Add(bytes)
	if _, err := conn.Conn.Write(piece); err != nil {
		conn.writtenBytes.Add(-bytes)
		return err
	}
	return nil
}

// waitForRoom waits until the buffer can take the bytes. It ends the connection if
// that takes longer than the send timeout.
func (conn *conn) waitForRoom(bytes int64) error {
	if conn.unsentBytes()+bytes <= conn.bufferBytes {
		return nil
	}
	timer := time.NewTimer(conn.sendTimeout)
	defer timer.Stop()
	for conn.unsentBytes()+bytes > conn.bufferBytes {
		select {
		case <-conn.room:
		case <-conn.done:
			return net.ErrClosed
		case <-timer.C:
			conn.endBothWays()
			return os.ErrDeadlineExceeded
		}
	}
	return nil
}

// Close lets the caller read what has been written and then the end of the
// connection. It does not wait for that.
func (conn *conn) Close() error {
	if conn.closing.Swap(true) {
		return nil
	}
	conn.closeAfter(conn.sendTimeout)
	conn.raw.Lock()
	defer conn.raw.Unlock()
	if !conn.sending() {
		conn.end()
	}
	return nil
}

// SetReadDeadline does nothing. The library sets its idle timeout through it after
// each response, also when the next request is already running.
func (conn *conn) SetReadDeadline(time.Time) error {
	return nil
}

// closeAfter closes the connection after the timeout, with all that is unsent.
func (conn *conn) closeAfter(timeout time.Duration) {
	conn.timer.Reset(timeout)
}

// keepOpen ends the effect of an earlier closeAfter, but not of Close, which may
// run at the same time.
func (conn *conn) keepOpen() {
	conn.timer.Stop()
	if conn.closing.Load() {
		conn.closeAfter(conn.sendTimeout)
	}
}

// sending reports whether written bytes wait to be sent.
func (conn *conn) sending() bool {
	return conn.unsentBytes() > 0
}

func (conn *conn) unsentBytes() int64 {
	return conn.writtenBytes.Load() - conn.sentBytes.Load()
}

// countSent counts bytes that the kernel has taken. The library holds the lock of
// raw when it reports them.
func (conn *conn) countSent(bytes int) {
	conn.sentBytes.Add(int64(bytes))
	select {
	case conn.room <- struct{}{}:
	default:
	}
	if conn.closing.Load() && !conn.sending() {
		conn.end()
	}
}

// end sends the end of the connection but goes on reading: closing a connection
// with unread bytes resets it, and the caller would lose the answer. The caller
// holds the lock of raw.
func (conn *conn) end() {
	if conn.ended {
		return
	}
	conn.ended = true
	conn.shutdown(syscall.SHUT_WR)
	time.AfterFunc(conn.lingerTimeout, conn.endBothWays)
}

// endBothWays makes the poller close the connection.
func (conn *conn) endBothWays() {
	conn.raw.Lock()
	defer conn.raw.Unlock()
	conn.shutdown(syscall.SHUT_RDWR)
}

// shutdown does nothing on a closed connection, whose file descriptor may belong
// to another one. The caller holds the lock of raw.
func (conn *conn) shutdown(how int) {
	if closed, _ := conn.raw.IsClosed(); closed {
		return
	}
	raw, err := conn.raw.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), how) })
}

// countSent reports the bytes that the library has sent to the connection that
// wrote them.
func countSent(raw *nbio.Conn, _ []byte, bytes int) {
	parser, ok := raw.Session().(*nbhttp.Parser)
	if !ok {
		return
	}
	if conn, ok := parser.Conn.(*conn); ok {
		conn.countSent(bytes)
	}
}
