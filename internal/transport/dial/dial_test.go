package dial_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mangopier.example/mangopier/internal/transport/dial"
)

// longestSilence is for how long a sound peer may acknowledge nothing. Callers
// leave a stream that is silent for longer.
const longestSilence = 2 * time.Second

// Guards against connections that the kernel gives up while a sound peer is silent
// for a moment: a user timeout replaces the number of unanswered keep-alive probes.
func TestConnectionSurvivesSilentPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := dial.New().DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	rawConn, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(name int) int {
		var value int
		var optionErr error
		if err := rawConn.Control(func(descriptor uintptr) {
			value, optionErr = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, name)
		}); err != nil || optionErr != nil {
			t.Fatal(err, optionErr)
		}
		return value
	}
	userTimeout := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond
	idle := time.Duration(option(unix.TCP_KEEPIDLE)) * time.Second
	interval := time.Duration(option(unix.TCP_KEEPINTVL)) * time.Second
	// As in Linux: the first probe is sent after idle, and each further one checks
	// whether to give up, by the user timeout if there is one.
	survived := time.Duration(option(unix.TCP_KEEPCNT)) * interval
	if userTimeout > 0 {
		survived = interval
		for idle+survived < userTimeout {
			survived += interval
		}
		if userTimeout < longestSilence {
			t.Errorf("user timeout = %v, want at least %v", userTimeout, longestSilence)
		}
	}
	if survived < longestSilence {
		t.Errorf("an idle connection survives %v of silence from its first probe, want at least %v", survived, longestSilence)
	}
}
