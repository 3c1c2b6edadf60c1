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
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/pause"
)

const (
	// period is the time between heartbeats in a small site.
	period = 100 * time.Millisecond
	// perMember is added to the period for each instance in the same data
	// centre, so that an instance gets some 80 heartbeats a second from there
	// at most.
	perMember = 12 * time.Millisecond
	// crowd is the number of instances beyond which those in other data
	// centres get only every farRatio-th heartbeat.
	crowd    = 12
	farRatio = 13
	// liveFor is how many heartbeats may fail to come before an instance
	// counts as quiet; datagrams get lost at times.
	liveFor = 4
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
	Instance   string
	DataCenter string
	Address    netip.AddrPort
}

// Mesh sends and receives heartbeats on one port.
type Mesh struct {
	self    string
	home    string // data centre
	compose func(rounds int) []byte
	receive func(datagram []byte, from netip.AddrPort)
	logger  zerolog.Logger
	conn    *net.UDPConn

	mutex   sync.Mutex
	members map[string]*member
	round   uint64
	urgent  bool // the next heartbeat goes to all
	left    func(instance string)
}

type member struct {
	Member

	heard time.Time
	live  bool
}

// Callbacks are what a mesh calls, each on one goroutine at a time.
type Callbacks struct {
	Compose func(rounds int) []byte                    // returns the datagram for those who get one in so many rounds
	Receive func(datagram []byte, from netip.AddrPort) // takes one that came
	Left    func(instance string)                      // an instance has gone quiet
}

// New returns a mesh for the instance self, whose address is not needed.
func New(self Member, callbacks Callbacks, logger zerolog.Logger) *Mesh {
	return &Mesh{
		self: self.Instance, home: self.DataCenter,
		compose: callbacks.Compose, receive: callbacks.Receive, left: callbacks.Left,
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
		mesh.members[added.Instance] = &member{Member: added}
		return
	}
	known.Member = added
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
	names := []string{mesh.self}
	for _, member := range mesh.Members() {
		names = append(names, member.Instance)
	}
	slices.Sort(names)
	return names
}

// Members returns the other instances heard of lately.
func (mesh *Mesh) Members() []Member {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	var members []Member
	for _, member := range mesh.members {
		if member.live {
			members = append(members, member.Member)
		}
	}
	return members
}

// Known returns how many instances are known, this one and quiet ones included.
func (mesh *Mesh) Known() int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return len(mesh.members) + 1
}

// Urge sends the next heartbeat to all.
func (mesh *Mesh) Urge() {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.urgent = true
}

// Longest returns the longest time between two heartbeats to an instance.
func (mesh *Mesh) Longest() time.Duration {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	near, far := mesh.periods()
	return max(near, far)
}

// periods returns the times between heartbeats to instances in the same data
// centre and in others.
func (mesh *Mesh) periods() (near, far time.Duration) {
	count := 0
	for _, member := range mesh.members {
		if member.DataCenter == mesh.home {
			count++
		}
	}
	near = max(period, time.Duration(count)*perMember)
	if len(mesh.members) <= crowd {
		return near, near
	}
	return near, near * farRatio
}

func (mesh *Mesh) send(ctx context.Context) {
	for ctx.Err() == nil {
		near, far, wait := mesh.recipients(time.Now())
		mesh.sendTo(far, farRatio)
		mesh.sendTo(near, 1)
		pause.For(ctx, wait)
	}
}

// sendTo sends a heartbeat to instances that get one in so many rounds.
func (mesh *Mesh) sendTo(recipients []netip.AddrPort, rounds int) {
	if len(recipients) == 0 && rounds > 1 {
		return
	}
	datagram := mesh.compose(rounds)
	if len(datagram) > maxDatagram {
		mesh.logger.Error().Int("bytes", len(datagram)).Msg("heartbeat is too large")
		return
	}
	for _, recipient := range recipients {
		_, _ = mesh.conn.WriteToUDPAddrPort(datagram, recipient)
	}
}

// recipients returns to whom this round's heartbeats go, and ages the members.
// Those in other data centres of a large site take turns, as a heartbeat to all
// at once fills the link of a weak machine and gets lost.
func (mesh *Mesh) recipients(now time.Time) (near, far []netip.AddrPort, wait time.Duration) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.round++
	nearPeriod, farPeriod := mesh.periods()
	urgent := mesh.urgent
	mesh.urgent = false
	for i, name := range slices.Sorted(maps.Keys(mesh.members)) {
		member := mesh.members[name]
		isNear := member.DataCenter == mesh.home || farPeriod == nearPeriod
		interval := farPeriod
		if isNear {
			interval = nearPeriod
		}
		mesh.age(member, now, max(leastLive, liveFor*interval))
		turn := uint64(i)%farRatio == mesh.round%farRatio
		switch {
		case !member.live:
			if mesh.round%quietRatio == 1 {
				far = append(far, member.Address)
			}
		case isNear:
			near = append(near, member.Address)
		case turn || urgent:
			far = append(far, member.Address)
		}
	}
	return near, far, nearPeriod
}

// age marks a member as quiet of which nothing was heard for too long.
func (mesh *Mesh) age(member *member, now time.Time, patience time.Duration) {
	quiet := now.Sub(member.heard)
	if !member.live || quiet <= patience {
		return
	}
	member.live = false
	mesh.logger.Warn().Str("peer", member.Instance).Dur("quiet-ms", quiet).Msg("instance went quiet")
	mesh.left(member.Instance)
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
