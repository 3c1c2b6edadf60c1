package mesh_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/transport/mesh"
)

// peer is a socket that takes heartbeats.
func peer(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func start(t *testing.T, home string, receive func([]byte, netip.AddrPort)) *mesh.Mesh {
	t.Helper()
	return startWith(t, home, func(int) []byte { return []byte("heartbeat") }, receive)
}

func startWith(t *testing.T, home string, compose func(int) []byte, receive func([]byte, netip.AddrPort)) *mesh.Mesh {
	t.Helper()
	callbacks := mesh.Callbacks{
		Compose: compose,
		Receive: receive,
		Left:    func(string) {},
	}
	subject := mesh.New(mesh.Member{Instance: "self", DataCenter: home}, callbacks, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done, err := subject.Start(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return subject
}

// Pattern: a large site whose instances in other data centres have not been
// heard of yet. They must get heartbeats, or neither side ever learns of the
// other.
func TestFarInstancesThatAreQuietGetHeartbeats(t *testing.T) {
	subject := start(t, "tas-a", func([]byte, netip.AddrPort) {})
	conn, address := peer(t)
	for i := range 20 {
		subject.Add(mesh.Member{Instance: fmt.Sprintf("far-%d", i), DataCenter: "tas-b", Address: address})
	}
	buffer := make([]byte, 64)
	count, _, err := conn.ReadFromUDPAddrPort(buffer) // the test's own deadline ends a wait in vain
	if err != nil || string(buffer[:count]) != "heartbeat" {
		t.Fatalf("got %q, %v", buffer[:count], err)
	}
}

func TestLiveInstancesAreThoseHeardOf(t *testing.T) {
	subject := start(t, "tas-a", func([]byte, netip.AddrPort) {})
	_, address := peer(t)
	subject.Add(mesh.Member{Instance: "b", DataCenter: "tas-a", Address: address})
	subject.Add(mesh.Member{Instance: "a", DataCenter: "tas-b", Address: address})
	subject.Add(mesh.Member{Instance: "self", Address: address})
	if live := subject.Live(); len(live) != 1 || live[0] != "self" {
		t.Errorf("before any heartbeat: %v", live)
	}
	if known := subject.Known(); known != 3 {
		t.Errorf("%d known, want this one and two that are quiet", known)
	}
	subject.Heard("b")
	subject.Heard("stranger")
	if live := subject.Live(); len(live) != 2 || live[0] != "b" {
		t.Errorf("after one: %v", live)
	}
	if members := subject.Members(); len(members) != 1 || members[0].Address != address {
		t.Errorf("members %v", members)
	}
}

// Pattern: a heartbeat to all instances of a large site at once fills the link
// of a weak machine, and most of it is lost. Those in other data centres take
// turns: of 39 live ones three in each round, all of them in 13.
func TestFarInstancesTakeTurns(t *testing.T) {
	const (
		members = 39
		rounds  = 13
	)
	var number atomic.Int64
	var known atomic.Bool // all members are
	compose := func(covered int) []byte {
		if !known.Load() {
			return []byte("early")
		}
		return fmt.Appendf(nil, "%d of %d", number.Add(1), covered)
	}
	subject := startWith(t, "tas-a", compose, func([]byte, netip.AddrPort) {})
	conn, address := peer(t)
	for i := range members {
		name := fmt.Sprintf("far-%02d", i)
		subject.Add(mesh.Member{Instance: name, DataCenter: "tas-b", Address: address})
		subject.Heard(name)
	}
	known.Store(true)
	sent := map[string]int{}
	buffer := make([]byte, 64)
	for received := 0; received < members; {
		count, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			t.Fatal(err)
		}
		heartbeat := string(buffer[:count])
		// The recipients of the first may have been chosen before all were known.
		if heartbeat != "early" && !strings.HasPrefix(heartbeat, "1 of ") {
			sent[heartbeat]++
			received++
		}
	}
	for heartbeat, count := range sent {
		if count > members/rounds || !strings.HasSuffix(heartbeat, fmt.Sprintf(" of %d", rounds)) {
			t.Errorf("heartbeat %q went to %d instances", heartbeat, count)
		}
	}
}
