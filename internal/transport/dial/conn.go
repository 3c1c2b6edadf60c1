package dial

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// stateClosed is TCP_CLOSE of the kernel: the connection was reset or given up. After the end
// of the peer's side alone it is in another state.
const stateClosed = 7

// Conn is a connection whose Read returns io.EOF only if the peer has ended its side. The
// kernel reports the failure of a connection to one call. If a Write was told of it, later
// calls to Read see the end of the stream, and a response without a length seems complete.
// Read then returns the error of that Write.
type Conn struct {
	net.Conn

	writing  sync.Mutex // held by Write
	writeErr error      // of the first Write that failed
}

// Wrap returns a Conn that uses the given connection.
func Wrap(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Context returns a function that makes connections of type *Conn.
func Context(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Wrap(conn), nil
	}
}

// wrapped returns the connection that Wrap was given.
func (conn *Conn) wrapped() net.Conn { return conn.Conn }

// Write writes data to the connection.
func (conn *Conn) Write(data []byte) (int, error) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	count, err := conn.Conn.Write(data)
	if err != nil && conn.writeErr == nil {
		conn.writeErr = err
	}
	return count, err
}

// Read reads data from the connection.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = conn.endError()
	}
	return count, err
}

// endError returns io.EOF if the peer has ended its side, and otherwise the error of the Write that
// was told why the connection failed.
func (conn *Conn) endError() error {
	if conn.hasFailed() {
		conn.writing.Lock() // a Write in progress returns at once
	} else if !conn.writing.TryLock() {
		return io.EOF
	}
	defer conn.writing.Unlock()
	var number syscall.Errno
	if errors.As(conn.writeErr, &number) && number != syscall.EPIPE { // EPIPE: the peer had ended its side before
		return conn.writeErr
	}
	return io.EOF
}

// hasFailed reports whether the connection was reset, given up or closed. It returns false if its
// state is not known.
func (conn *Conn) hasFailed() bool {
	tcp, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	state := uint8(0)
	err = raw.Control(func(descriptor uintptr) {
		if info, infoErr := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			state = info.State
		}
	})
	return err != nil || state == stateClosed // an error: it was closed here after a Write that failed
}
