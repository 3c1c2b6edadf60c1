package fakes

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// rawReceiveBuffer is the receive buffer of a RawServer's connections, in bytes. A long
// upload does not fit into it and is still being written when its answer arrives.
const rawReceiveBuffer = 16 << 10

// RawHandler answers a request with bytes that it writes to the connection itself. The body of
// the request is unread. The next request on the connection is handled after it returns.
type RawHandler func(conn *net.TCPConn, request *http.Request)

// RawServer is a target or a platform whose answers need not be HTTP.
type RawServer struct {
	listener net.Listener
	handler  RawHandler

	mutex  sync.Mutex
	conns  map[net.Conn]struct{} // nil after Close
	served sync.WaitGroup
}

// ListenRaw starts a server on a free port of the loopback device.
func ListenRaw(handler RawHandler) (*RawServer, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &RawServer{listener: listener, handler: handler, conns: map[net.Conn]struct{}{}}
	server.served.Go(server.accept)
	return server, nil
}

func limitReceiveBuffer(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, rawReceiveBuffer)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Address returns the IP:port that the server listens on.
func (server *RawServer) Address() string { return server.listener.Addr().String() }

// Close closes the listener and all connections, and waits until the handlers have returned.
func (server *RawServer) Close() {
	_ = server.listener.Close()
	server.mutex.Lock()
	for conn := range server.conns {
		_ = conn.Close()
	}
	server.conns = nil
	server.mutex.Unlock()
	server.served.Wait()
}

func (server *RawServer) accept() {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return // closed
		}
		tcp, ok := conn.(*net.TCPConn)
		server.mutex.Lock()
		if !ok || server.conns == nil {
			_ = conn.Close()
		} else {
			server.conns[conn] = struct{}{}
			server.served.Go(func() { server.serve(tcp) })
		}
		server.mutex.Unlock()
	}
}

func (server *RawServer) serve(conn *net.TCPConn) {
	defer func() {
		server.mutex.Lock()
		delete(server.conns, conn)
		server.mutex.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		server.handler(conn, request)
	}
}

// ResetAfter returns a handler that sends the beginning of an answer and resets the connection
// after a pause. The body of the request stays unread.
func ResetAfter(beginning string, pause time.Duration) RawHandler {
	return func(conn *net.TCPConn, _ *http.Request) {
		_, _ = conn.Write([]byte(beginning)) // fails only if the caller has gone
		time.Sleep(pause)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}
