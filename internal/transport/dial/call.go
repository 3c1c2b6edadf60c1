package dial

import (
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// CallConn is a connection for calls. If it is closed while a call has no answer, or while
// a part of the call waits to be sent, it is reset: otherwise the kernel goes on sending
// what it has buffered, and the peer gets the call, or its end, after its caller has left.
// It is reset while it is busy too: a peer that does not read while it serves a call sees
// a reset, but not the end of the connection.
type CallConn struct {
	*Conn

	unanswered atomic.Bool // bytes were written, and none were read since
	busy       atomic.Bool
}

// ForCalls wraps a connection on which calls are sent that may be left.
func ForCalls(conn net.Conn) *CallConn { return &CallConn{Conn: Wrap(conn)} }

// SetBusy states whether a call is under way, false by default.
func (conn *CallConn) SetBusy(busy bool) { conn.busy.Store(busy) }

// Write writes a part of a call.
func (conn *CallConn) Write(data []byte) (int, error) {
	conn.unanswered.Store(true)
	return conn.Conn.Write(data)
}

// Read reads a part of an answer.
func (conn *CallConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.unanswered.Store(false)
	}
	return count, err
}

// Close closes or resets the connection.
func (conn *CallConn) Close() error {
	if tcp, ok := conn.wrapped().(*net.TCPConn); ok && (conn.unanswered.Load() || conn.busy.Load() || hasUnacknowledged(tcp)) {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	return conn.Conn.Close()
}

// hasUnacknowledged reports whether the peer has not acknowledged all that was written.
func hasUnacknowledged(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	unacknowledged := 0
	err = raw.Control(func(descriptor uintptr) {
		unacknowledged, _ = unix.IoctlGetInt(int(descriptor), unix.TIOCOUTQ) // 0 if the connection has ended
	})
	return err == nil && unacknowledged > 0
}
