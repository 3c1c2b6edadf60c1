package front

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// listener accepts connections whose file descriptors are safe to be polled.
//
// The library fetches events in batches and applies them by descriptor. If a
// connection is closed on another goroutine in the meantime, its descriptor may
// belong to a new connection, which then gets the event, for instance the close,
// of the old one. So a new connection, which holds its descriptor already, is
// handed over only after the poller has finished its batch. Connections that arrive
// together wait for it together.
type listener struct {
	net.Listener

	server   *Server
	barriers []*barrier // one for each poller
	accepted chan accepted
	ready    []*nbio.Conn // handed over next; used by Accept
	handed   *nbio.Conn   // handed over last; used by Accept
	opened   uint64       // connections of the server before that
	stopped  chan struct{}
}

// accepted is a new connection, or the error of an accept.
type accepted struct {
	conn net.Conn
	err  error
}

// maxAccepted bounds the connections that wait for a poller.
const maxAccepted = 256

// newListener wraps inner for an engine that has started pollers. Close and stop have
// to be called, in this order.
func newListener(inner net.Listener, engine *nbio.Engine, server *Server) (*listener, error) {
	listener := &listener{Listener: inner, server: server, accepted: make(chan accepted, maxAccepted), stopped: make(chan struct{})}
	for poller := range engine.NPoller {
		barrier, err := newBarrier(engine, poller)
		if err != nil {
			listener.closeBarriers()
			return nil, err
		}
		listener.barriers = append(listener.barriers, barrier)
	}
	go listener.acceptConnections()
	return listener, nil
}

// acceptConnections accepts connections until the listener is closed. It closes the
// channel at its end.
func (listener *listener) acceptConnections() {
	defer close(listener.accepted)
	for {
		conn, err := listener.Listener.Accept()
		select {
		case listener.accepted <- accepted{conn: conn, err: err}:
		case <-listener.stopped:
			if conn != nil {
				listener.close(conn, CauseStop, nil)
			}
			return
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptErrorBackoff)
		}
	}
}

// Accept returns the next connection as a *nbio.Conn. It is called by one goroutine.
func (listener *listener) Accept() (net.Conn, error) {
	listener.reportNotOpened()
	for len(listener.ready) == 0 {
		next, ok := <-listener.accepted
		if !ok {
			return nil, net.ErrClosed
		}
		if next.err != nil {
			return nil, next.err
		}
		if err := listener.prepare(next.conn); err != nil {
			return nil, err
		}
	}
	conn := listener.ready[0]
	listener.ready = listener.ready[1:]
	listener.handed, listener.opened = conn, listener.server.accepted.Load()
	return conn, nil
}

// reportNotOpened reports the last connection if the engine has closed it at once, since
// too many are open. The engine opens each before it accepts the next one.
func (listener *listener) reportNotOpened() {
	handed := listener.handed
	listener.handed = nil
	if handed != nil && listener.server.accepted.Load() == listener.opened {
		listener.server.report(Refusal{Cause: CauseConnections}, handed.RemoteAddr())
	}
}

func (listener *listener) close(conn net.Conn, cause Cause, err error) {
	listener.server.report(Refusal{Cause: cause, Err: err}, conn.RemoteAddr())
	_ = conn.Close()
}

// prepare makes a connection, and all others that have been accepted since, ready to
// be handed over.
func (listener *listener) prepare(conn net.Conn) error {
	pollers := map[int]bool{}
	for more := true; more; {
		converted, err := nbio.NBConn(conn)
		if err != nil {
			listener.close(conn, CauseAccept, err)
		} else {
			listener.ready = append(listener.ready, converted)
			pollers[converted.Hash()%len(listener.barriers)] = true
		}
		conn, more = listener.acceptedNow()
	}
	for poller := range pollers {
		if !listener.barriers[poller].wait(listener.stopped) {
			listener.closeReady()
			return net.ErrClosed
		}
	}
	return nil
}

// acceptedNow returns a connection that has been accepted, if there is one. Errors of
// an accept are left out, since the next accept returns them again.
func (listener *listener) acceptedNow() (net.Conn, bool) {
	if len(listener.ready) >= maxAccepted {
		return nil, false
	}
	select {
	case next, ok := <-listener.accepted:
		return next.conn, ok && next.err == nil
	default:
		return nil, false
	}
}

func (listener *listener) closeReady() {
	for _, conn := range listener.ready {
		listener.close(conn, CauseStop, nil)
	}
	listener.ready = nil
}

// stop ends an Accept that waits for a poller, and closes the connections that have
// not been handed over. The engine closes its ends of the barriers.
func (listener *listener) stop() {
	close(listener.stopped)
	for next := range listener.accepted {
		if next.conn != nil {
			listener.close(next.conn, CauseStop, nil)
		}
	}
	listener.closeBarriers()
}

func (listener *listener) closeBarriers() {
	for _, barrier := range listener.barriers {
		_ = barrier.peer.Close()
	}
}

// barrier is a pair of connected sockets, one of which is polled. A byte written
// to the other one is read in a later batch than the current one.
type barrier struct {
	peer   net.Conn
	passed chan struct{} // gets a value when the byte has been read
}

// newBarrier returns a barrier for the poller with this index.
func newBarrier(engine *nbio.Engine, poller int) (*barrier, error) {
	polled, peer, err := newSocketPair()
	if err != nil {
		return nil, err
	}
	conn, err := convertForPoller(polled, engine.NPoller, poller)
	if err != nil {
		_ = peer.Close()
		return nil, err
	}
	barrier := &barrier{peer: peer, passed: make(chan struct{}, 1)}
	conn.SetSession(barrier)
	if _, err := engine.AddConn(conn); err != nil {
		_ = peer.Close()
		return nil, err
	}
	return barrier, nil
}

// wait returns after the poller has finished its batch, or returns false when
// stopped is closed. Only one goroutine may wait at a time.
func (barrier *barrier) wait(stopped <-chan struct{}) bool {
	if _, err := barrier.peer.Write([]byte{0}); err != nil {
		return false
	}
	select {
	case <-barrier.passed:
		return true
	case <-stopped:
		return false
	}
}

// pass is called by the poller when it has read the byte.
func (barrier *barrier) pass() {
	select {
	case barrier.passed <- struct{}{}:
	default:
	}
}

func newSocketPair() (polled, peer net.Conn, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, err
	}
	if polled, err = connFromDescriptor(fds[0]); err != nil {
		_ = syscall.Close(fds[1])
		return nil, nil, err
	}
	if peer, err = connFromDescriptor(fds[1]); err != nil {
		_ = polled.Close()
		return nil, nil, err
	}
	return polled, peer, nil
}

func connFromDescriptor(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "barrier")
	defer func() { _ = file.Close() }()
	return net.FileConn(file)
}

// convertForPoller converts conn. The library chooses the poller by the number of
// the descriptor, which is the lowest free one, so the lower ones that belong to
// other pollers are taken until it is done.
func convertForPoller(conn net.Conn, pollers, poller int) (*nbio.Conn, error) {
	var taken []*nbio.Conn
	defer func() {
		for _, conn := range taken {
			_ = conn.Close()
		}
	}()
	for {
		converted, err := nbio.NBConn(conn)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		if converted.Hash()%pollers == poller {
			return converted, nil
		}
		taken = append(taken, converted)
		if conn, err = duplicate(converted); err != nil {
			return nil, err
		}
	}
}

// duplicate returns another descriptor of the same socket.
func duplicate(conn *nbio.Conn) (net.Conn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd, dupErr := -1, error(nil)
	if err := raw.Control(func(original uintptr) { fd, dupErr = syscall.Dup(int(original)) }); err != nil {
		return nil, err
	}
	if dupErr != nil {
		return nil, dupErr
	}
	return connFromDescriptor(fd)
}
