package dial_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"mangopier.example/mangopier/internal/transport/dial"
)

// connect returns a connection and the peer's end of it.
func connect(t *testing.T) (net.Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := dial.Context(dial.New())(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	return conn, peer.(*net.TCPConn)
}

// writeUntilFailure writes until the connection has failed.
func writeUntilFailure(conn net.Conn) error {
	for {
		if _, err := conn.Write([]byte("a part of the request")); err != nil {
			return err
		}
	}
}

func reset(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	if err := errors.Join(conn.SetLinger(0), conn.Close()); err != nil {
		t.Fatal(err)
	}
}

// The kernel tells a Write of a reset, and no Read after it. Guards against the end of the
// stream in place of the reset.
func TestReadFailsAfterResetThatWriteReported(t *testing.T) {
	conn, peer := connect(t)
	if _, err := io.WriteString(peer, "part"); err != nil {
		t.Fatal(err)
	}
	reset(t, peer)
	if err := writeUntilFailure(conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("Write() = %v, want %v", err, syscall.ECONNRESET)
	}
	if data, err := io.ReadAll(conn); string(data) != "part" || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("ReadAll() = %q, %v, want the part and %v", data, err, syscall.ECONNRESET)
	}
	_ = conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("Read() of a closed connection = %v, want an error other than EOF", err)
	}
}

// The peer ends its side and resets the connection afterwards. Guards against a stream that is
// whole and does not end.
func TestReadEndsIfPeerEndedBeforeReset(t *testing.T) {
	conn, peer := connect(t)
	if _, err := io.WriteString(peer, "whole"); err != nil {
		t.Fatal(err)
	}
	if err := peer.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	reset(t, peer)
	if err := writeUntilFailure(conn); !errors.Is(err, syscall.EPIPE) {
		t.Fatalf("Write() = %v, want %v", err, syscall.EPIPE)
	}
	if data, err := io.ReadAll(conn); string(data) != "whole" || err != nil {
		t.Errorf("ReadAll() = %q, %v, want the whole stream", data, err)
	}
}

// toldConn is a connection whose state is not known. Write is told of a reset.
type toldConn struct{ net.Conn }

func (toldConn) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

func (toldConn) Read([]byte) (int, error) { return 0, io.EOF }

// Guards against the end of the stream in place of a reset where the kernel does not tell the
// state of connections.
func TestReadFailsWithoutStateOfConnection(t *testing.T) {
	conn := dial.Wrap(toldConn{})
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("Read() before a write = %v, want EOF", err)
	}
	_, _ = conn.Write([]byte("a part of the request"))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("Read() after a write that was reset = %v, want %v", err, syscall.ECONNRESET)
	}
}
