// Package dial provides the dialer for outgoing connections. Its connections fail
// within seconds if the peer no longer acknowledges data or keep-alive probes, and
// survive a peer that is silent for a moment.
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
	// An idle connection is probed after keepAliveIdle, and fails when
	// keepAliveCount probes in a row were not acknowledged.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// unacknowledgedTimeout is how long sent data may stay unacknowledged before
	// the connection fails. The kernel also applies it to keep-alive probes, in
	// place of their count, so it must not end before the last of them.
	unacknowledgedTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval
)

// Option configures a dialer.
type Option func(*net.Dialer)

// WithTimeout sets the connect timeout, 500 ms by default.
func WithTimeout(timeout time.Duration) Option {
	return func(dialer *net.Dialer) { dialer.Timeout = timeout }
}

// WithUserTimeout sets how long a peer may acknowledge nothing before the
// connection fails, 5 s by default. Less than that suits calls that are repeated
// at once, since a sound peer that is silent for a moment loses its connections.
func WithUserTimeout(timeout time.Duration) Option {
	return func(dialer *net.Dialer) { dialer.ControlContext = userTimeoutSetter(timeout) }
}

// New returns a dialer with connect timeout, TCP keep-alive and user timeout.
func New(opts ...Option) *net.Dialer {
	dialer := &net.Dialer{
		Timeout: defaultDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		ControlContext: userTimeoutSetter(unacknowledgedTimeout),
	}
	for _, opt := range opts {
		opt(dialer)
	}
	return dialer
}

// userTimeoutSetter returns a function that sets TCP_USER_TIMEOUT before the
// connection is made.
func userTimeoutSetter(timeout time.Duration) func(context.Context, string, string, syscall.RawConn) error {
	return func(_ context.Context, _, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(descriptor uintptr) {
			optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
