// Package mesh carries heartbeats between the instances of a site: one
// datagram to each of the others, several times a second. A heartbeat that is
// lost is made up for by the next, so nothing is acknowledged or sent again.
//
// It uses datagrams in place of connections and RPC: a heartbeat is small, the
// newest replaces all before it, and a receiver that stands still costs its
// senders nothing.
package mesh

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// period is the time between heartbeats in a small site.
	period = 100 * time.Millisecond
	// crowd is the number of instances up to which the period holds; beyond,
	// it grows with them, so that an instance gets some 200 heartbeats a
	// second at most.
	crowd = 20
	// liveFor is how many periods an instance counts as live after its last
	// heartbeat; datagrams get lost at times.
	liveFor = 10
	// leastLive keeps a paused process from losing all others at once.
	leastLive = 1500 * time.Millisecond
	// quietRatio is how many heartbeats to an instance that has gone quiet
	// are left out for each that is sent.
	quietRatio = 10
	// maxDatagram is the most that one datagram may hold; larger ones than a
	// link's 1,500 bytes are split below us.
	maxDatagram = 60_000
)

// Member is an instance that heartbeats go to.
type Member struct {
	Instance string
	Address  netip.AddrPort
}

// Mesh sends and receives heartbeats on one port.
type Mesh struct {
	self    string
	compose func() []byte
	receive func(datagram []byte, from netip.AddrPort)
	logger  zerolog.Logger
	conn    *net.UDPConn

	mutex   sync.Mutex
	members map[string]*member
	round   uint64
}

type member struct {
	address netip.AddrPort
	heard   time.Time
	live    bool
}

// New returns a mesh for the instance named self. Compose returns the datagram
// to send, receive takes one that came; both are called by one goroutine each.
func New(self string, compose func() []byte, receive func([]byte, netip.AddrPort), logger zerolog.Logger) *Mesh {
	return &Mesh{
		self: self, compose: compose, receive: receive,
		logger:  logger.With().Str("part", "mesh").Logger(),
		members: map[string]*member{},
	}
}

// Start listens on address and sends until ctx ends. The channel is closed
// when both goroutines have ended.
func (mesh *Mesh) Start(ctx context.Context, address netip.AddrPort) (<-chan struct{}, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	mesh.conn = conn
	received := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(received)
		mesh.read()
	}()
	go func() {
		defer close(done)
		mesh.send(ctx)
		_ = conn.Close()
		<-received
	}()
	return done, nil
}

// Add makes an instance known, from the store or from its own heartbeat.
func (mesh *Mesh) Add(added Member) {
	if added.Instance == mesh.self {
		return
	}
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	known, ok := mesh.members[added.Instance]
	if !ok {
		mesh.members[added.Instance] = &member{address: added.Address}
		return
	}
	known.address = added.Address
}

// Remove forgets an instance that has left for good.
func (mesh *Mesh) Remove(instance string) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	delete(mesh.members, instance)
}

// Heard records a heartbeat of an instance.
func (mesh *Mesh) Heard(instance string) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	known, ok := mesh.members[instance]
	if !ok {
		return
	}
	known.heard = time.Now()
	if !known.live {
		known.live = true
		mesh.logger.Info().Str("peer", instance).Msg("instance is live")
	}
}

// Live returns the names of the instances heard of lately, this one included,
// in order.
func (mesh *Mesh) Live() []string {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	live := []string{mesh.self}
	for name, member := range mesh.members {
		if member.live {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	return live
}

// Period returns the time between heartbeats.
func (mesh *Mesh) Period() time.Duration {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.periodOf(len(mesh.members))
}

func (mesh *Mesh) periodOf(members int) time.Duration {
	return period * time.Duration(max(crowd, members)) / crowd
}

func (mesh *Mesh) send(ctx context.Context) {
	for ctx.Err() == nil {
		recipients, wait := mesh.recipients(time.Now())
		datagram := mesh.compose()
		if len(datagram) > maxDatagram {
			mesh.logger.Error().Int("bytes", len(datagram)).Msg("heartbeat is too large")
			recipients = nil
		}
		for _, recipient := range recipients {
			_, _ = mesh.conn.WriteToUDPAddrPort(datagram, recipient)
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// recipients returns whom to send this heartbeat, and ages the members.
func (mesh *Mesh) recipients(now time.Time) ([]netip.AddrPort, time.Duration) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.round++
	wait := mesh.periodOf(len(mesh.members))
	patience := max(leastLive, liveFor*wait)
	var recipients []netip.AddrPort
	for name, member := range mesh.members {
		if member.live && now.Sub(member.heard) > patience {
			member.live = false
			mesh.logger.Warn().Str("peer", name).Dur("quiet", now.Sub(member.heard)).Msg("instance went quiet")
		}
		if member.live || mesh.round%quietRatio == 1 {
			recipients = append(recipients, member.address)
		}
	}
	return recipients, wait
}

func (mesh *Mesh) read() {
	buffer := make([]byte, maxDatagram)
	for {
		count, from, err := mesh.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // closed by send
		}
		mesh.receive(buffer[:count], from)
	}
}
