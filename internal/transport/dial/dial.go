// Package dial offers the dialer of all outgoing connections. It gives up on
// connections whose other end has gone without a word.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	defaultTimeout = 500 * time.Millisecond
	// silence is how long sent bytes may stay unacknowledged. Four resends
	// on the usual 200 ms timer fit in it.
	silence = 2 * time.Second
	// keepAliveIdle and keepAliveInterval find a silent connection in 3 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Option changes a dialer under construction.
type Option func(*net.Dialer)

// WithTimeout bounds the time to connect.
func WithTimeout(timeout time.Duration) Option {
	return func(dialer *net.Dialer) { dialer.Timeout = timeout }
}

// New returns a dialer.
func New(opts ...Option) *net.Dialer {
	dialer := &net.Dialer{
		Timeout: defaultTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		ControlContext: limitSilence,
	}
	for _, opt := range opts {
		opt(dialer)
	}
	return dialer
}

func limitSilence(_ context.Context, _, _ string, conn syscall.RawConn) error {
	var failure error
	err := conn.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
