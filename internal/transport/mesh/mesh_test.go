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

// listen opens a socket that receives heartbeats.
func listen(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func start(t *testing.T, dataCenter string, receive func([]byte, netip.AddrPort)) *mesh.Mesh {
	t.Helper()
	return startComposing(t, dataCenter, func(int) []byte { return []byte("heartbeat") }, receive)
}

func startComposing(t *testing.T, dataCenter string, compose func(int) []byte, receive func([]byte, netip.AddrPort)) *mesh.Mesh {
	t.Helper()
	callbacks := mesh.Callbacks{
		Compose:    compose,
		Receive:    receive,
		MemberDown: func(string) {},
	}
	instance := mesh.New(mesh.Member{Instance: "self", DataCenter: dataCenter}, callbacks, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done, err := instance.Start(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return instance
}

// In a large site, instances in other data centres that have not sent a
// heartbeat yet must get heartbeats too. Otherwise neither side ever marks the
// other as live.
func TestSendsToRemoteMembersThatAreDown(t *testing.T) {
	instance := start(t, "tas-a", func([]byte, netip.AddrPort) {})
	conn, address := listen(t)
	for i := range 20 {
		instance.Add(mesh.Member{Instance: fmt.Sprintf("remote-%d", i), DataCenter: "tas-b", Address: address})
	}
	buffer := make([]byte, 64)
	count, _, err := conn.ReadFromUDPAddrPort(buffer) // bounded by the deadline of the test run
	if err != nil || string(buffer[:count]) != "heartbeat" {
		t.Fatalf("received %q, %v, want %q", buffer[:count], err, "heartbeat")
	}
}

func TestLiveMembersAreThoseWithHeartbeats(t *testing.T) {
	instance := start(t, "tas-a", func([]byte, netip.AddrPort) {})
	_, address := listen(t)
	instance.Add(mesh.Member{Instance: "b", DataCenter: "tas-a", Address: address})
	instance.Add(mesh.Member{Instance: "a", DataCenter: "tas-b", Address: address})
	instance.Add(mesh.Member{Instance: "self", Address: address})
	if live := instance.LiveNames(); len(live) != 1 || live[0] != "self" {
		t.Errorf("LiveNames() before any heartbeat = %v, want [self]", live)
	}
	if known := instance.KnownCount(); known != 3 {
		t.Errorf("KnownCount() = %d, want 3: self and two that are down", known)
	}
	instance.RecordHeartbeat("b")
	instance.RecordHeartbeat("unknown")
	if live := instance.LiveNames(); len(live) != 2 || live[0] != "b" {
		t.Errorf("LiveNames() after a heartbeat of b = %v, want [b self]", live)
	}
	if members := instance.LiveMembers(); len(members) != 1 || members[0].Address != address {
		t.Errorf("LiveMembers() = %v, want one with address %v", members, address)
	}
}

// Heartbeats to all instances of a large site at once fill the link of a weak
// machine, and most of them are lost. Those to other data centres are therefore
// spread over the rounds: of 39 live instances three get one in each round, and
// all of them within 13 rounds.
func TestSpreadsRemoteHeartbeatsOverRounds(t *testing.T) {
	const (
		members            = 39
		roundsPerHeartbeat = 13
	)
	var number atomic.Int64
	var allAdded atomic.Bool
	compose := func(rounds int) []byte {
		if !allAdded.Load() {
			return []byte("early")
		}
		return fmt.Appendf(nil, "%d of %d", number.Add(1), rounds)
	}
	instance := startComposing(t, "tas-a", compose, func([]byte, netip.AddrPort) {})
	conn, address := listen(t)
	for i := range members {
		name := fmt.Sprintf("remote-%02d", i)
		instance.Add(mesh.Member{Instance: name, DataCenter: "tas-b", Address: address})
		instance.RecordHeartbeat(name)
	}
	allAdded.Store(true)
	recipients := map[string]int{}
	buffer := make([]byte, 64)
	for received := 0; received < members; {
		count, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			t.Fatal(err)
		}
		heartbeat := string(buffer[:count])
		// The recipients of the first may have been chosen before all members
		// were added.
		if heartbeat != "early" && !strings.HasPrefix(heartbeat, "1 of ") {
			recipients[heartbeat]++
			received++
		}
	}
	for heartbeat, count := range recipients {
		if count > members/roundsPerHeartbeat || !strings.HasSuffix(heartbeat, fmt.Sprintf(" of %d", roundsPerHeartbeat)) {
			t.Errorf("heartbeat %q went to %d instances, want one in %d rounds to at most %d", heartbeat, count, roundsPerHeartbeat, members/roundsPerHeartbeat)
		}
	}
}

// Guards against a datagram that ends the process: the same one reaches all instances.
func TestDatagramThatPanicsIsDropped(t *testing.T) {
	received := make(chan string, 1)
	instance := start(t, "tas-a", func(datagram []byte, _ netip.AddrPort) {
		if string(datagram) == "faulty" {
			panic("cannot be handled")
		}
		received <- string(datagram)
	})
	conn, address := listen(t)
	instance.Add(mesh.Member{Instance: "other", DataCenter: "tas-a", Address: address})
	_, from, err := conn.ReadFromUDPAddrPort(make([]byte, 64))
	if err != nil {
		t.Fatal(err)
	}
	for _, datagram := range []string{"faulty", "sound"} {
		if _, err := conn.WriteToUDPAddrPort([]byte(datagram), from); err != nil {
			t.Fatal(err)
		}
	}
	if got := <-received; got != "sound" {
		t.Errorf("received %q, want %q", got, "sound")
	}
}
