package back

import (
	"context"
	"net"
	"sync/atomic"
)

// dialTarget makes a connection for calls to a target.
func (client *Client) dialTarget(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := client.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &callConn{Conn: conn}, nil
}

// callConn is a connection to a target. If it is closed while a call has no answer, it
// is reset: otherwise the kernel goes on sending what it has buffered, and the target
// gets the call after its caller has left.
type callConn struct {
	net.Conn

	unanswered atomic.Bool // bytes were written, and none were read since
}

func (conn *callConn) Write(data []byte) (int, error) {
	conn.unanswered.Store(true)
	return conn.Conn.Write(data)
}

func (conn *callConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.unanswered.Store(false)
	}
	return count, err
}

func (conn *callConn) Close() error {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok && conn.unanswered.Load() {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	return conn.Conn.Close()
}
