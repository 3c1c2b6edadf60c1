// Package dial provides the dialer for outgoing connections. Its connections fail
// within seconds if the peer no longer acknowledges data or keep-alive probes.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	defaultDialTimeout = 500 * time.Millisecond
	// unacknowledgedTimeout is how long sent data may stay unacknowledged before
	// the connection fails. Four retransmissions with the usual 200 ms timer fit
	// in it.
	unacknowledgedTimeout = 2 * time.Second
	// keepAliveIdle and keepAliveInterval detect an idle connection whose peer has
	// gone within 3 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Option configures a dialer.
type Option func(*net.Dialer)

// WithTimeout sets the connect timeout, 500 ms by default.
func WithTimeout(timeout time.Duration) Option {
	return func(dialer *net.Dialer) { dialer.Timeout = timeout }
}

// New returns a dialer with connect timeout, TCP keep-alive and user timeout.
func New(opts ...Option) *net.Dialer {
	dialer := &net.Dialer{
		Timeout: defaultDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		ControlContext: setUserTimeout,
	}
	for _, opt := range opts {
		opt(dialer)
	}
	return dialer
}

// setUserTimeout sets TCP_USER_TIMEOUT before the connection is made.
func setUserTimeout(_ context.Context, _, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
