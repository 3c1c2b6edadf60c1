// Package mesh exchanges heartbeats between the instances of a site and tracks
// which of them are live. Each instance sends one datagram to each of the
// others several times a second. A lost heartbeat is made up for by the next,
// so nothing is acknowledged or sent again.
//
// It uses UDP instead of connections and RPC because a heartbeat is small, the
// newest one replaces all before it, and a stalled receiver must not hold up
// the senders.
package mesh

import (
	"context"
	"fmt"
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
	// minInterval is the time between heartbeats in a small site.
	minInterval = 100 * time.Millisecond
	// intervalPerLocalMember raises the interval with each instance in the same
	// data centre, so that an instance gets at most some 80 heartbeats a second
	// from there.
	intervalPerLocalMember = 12 * time.Millisecond
	// maxSmallSiteMembers is the number of other instances beyond which those
	// in other data centres get only every remoteIntervalFactor-th heartbeat.
	maxSmallSiteMembers  = 12
	remoteIntervalFactor = 13
	// maxMissedHeartbeats is how many heartbeats may be missed before an
	// instance counts as down; single datagrams get lost at times.
	maxMissedHeartbeats = 4
	// minMemberTimeout keeps a process that was paused from marking all other
	// instances as down at once.
	minMemberTimeout = 1500 * time.Millisecond
	// downIntervalFactor is the number of rounds of which one sends a heartbeat
	// to the instances that are down.
	downIntervalFactor = 10
	// maxDatagramBytes bounds a datagram. The network layer fragments those
	// that exceed a link's 1,500 bytes.
	maxDatagramBytes = 60_000
)

// Member is an instance that heartbeats go to.
type Member struct {
	Instance   string
	DataCenter string
	Address    netip.AddrPort
}

// Mesh sends and receives heartbeats on one port.
type Mesh struct {
	self       string
	dataCenter string
	compose    func(rounds int) []byte
	receive    func(datagram []byte, from netip.AddrPort)
	logger     zerolog.Logger
	conn       *net.UDPConn

	mutex         sync.Mutex
	members       map[string]*member
	round         uint64
	broadcastNext bool // the next round goes to all live members
	memberDown    func(instance string)
}

type member struct {
	Member

	lastHeartbeat time.Time
	live          bool
	downSince     time.Time // when it was added or counted as down, if it is not live
}

// Callbacks are the functions that a mesh calls. Each is called on one
// goroutine at a time.
type Callbacks struct {
	Compose    func(rounds int) []byte                    // returns the datagram for recipients that get one in the given number of rounds
	Receive    func(datagram []byte, from netip.AddrPort) // handles a received datagram, which is valid only during the call
	MemberDown func(instance string)                      // reports an instance whose heartbeats have stopped
}

// New returns a mesh for the instance self, whose address is not needed.
func New(self Member, callbacks Callbacks, logger zerolog.Logger) *Mesh {
	return &Mesh{
		self: self.Instance, dataCenter: self.DataCenter,
		compose: callbacks.Compose, receive: callbacks.Receive, memberDown: callbacks.MemberDown,
		logger:  logger.With().Str("part", "mesh").Logger(),
		members: map[string]*member{},
	}
}

// Start listens on address and sends heartbeats until ctx ends. The channel is
// closed when both goroutines have ended.
func (mesh *Mesh) Start(ctx context.Context, address netip.AddrPort) (<-chan struct{}, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	mesh.conn = conn
	receiveDone := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(receiveDone)
		mesh.receiveLoop()
	}()
	go func() {
		defer close(done)
		mesh.sendLoop(ctx)
		_ = conn.Close()
		<-receiveDone
	}()
	return done, nil
}

// Add adds a member, or updates its address and data centre. A new member is
// down until its first heartbeat is recorded.
func (mesh *Mesh) Add(added Member) {
	if added.Instance == mesh.self {
		return
	}
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	known, ok := mesh.members[added.Instance]
	if !ok {
		mesh.members[added.Instance] = &member{Member: added, downSince: time.Now()}
		return
	}
	known.Member = added
}

// RecordHeartbeat marks an instance as live. Unknown instances are ignored.
func (mesh *Mesh) RecordHeartbeat(instance string) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	known, ok := mesh.members[instance]
	if !ok {
		return
	}
	known.lastHeartbeat = time.Now()
	if !known.live {
		known.live = true
		mesh.logger.Info().Str("peer", instance).Msg("instance is live")
	}
}

// LiveNames returns the sorted names of the live instances, including this one.
func (mesh *Mesh) LiveNames() []string {
	names := []string{mesh.self}
	for _, member := range mesh.LiveMembers() {
		names = append(names, member.Instance)
	}
	slices.Sort(names)
	return names
}

// RecentNames returns the sorted names of this instance and of those that are live, or
// were added or went down within a time.
func (mesh *Mesh) RecentNames(within time.Duration) []string {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	names := []string{mesh.self}
	for name, member := range mesh.members {
		if member.live || time.Since(member.downSince) < within {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// LiveMembers returns the live instances, without this one, in no particular
// order.
func (mesh *Mesh) LiveMembers() []Member {
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

// KnownCount returns the number of known instances, including this one and
// those that are down.
func (mesh *Mesh) KnownCount() int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return len(mesh.members) + 1
}

// BroadcastNext makes the next round go to all live instances, also those in
// other data centres whose turn it is not.
func (mesh *Mesh) BroadcastNext() {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.broadcastNext = true
}

// HasAddress reports whether a known instance has an IP address.
func (mesh *Mesh) HasAddress(address netip.Addr) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for _, member := range mesh.members {
		if member.Address.Addr() == address {
			return true
		}
	}
	return false
}

// IsLocal reports whether an instance is known to be in the same data centre.
func (mesh *Mesh) IsLocal(instance string) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	member, ok := mesh.members[instance]
	return ok && member.DataCenter == mesh.dataCenter
}

// Send sends one datagram other than a heartbeat. It may get lost.
func (mesh *Mesh) Send(datagram []byte, to netip.AddrPort) {
	if len(datagram) > maxDatagramBytes {
		mesh.logger.Error().Int("bytes", len(datagram)).Msg("message exceeds the datagram limit; not sent")
		return
	}
	_, _ = mesh.conn.WriteToUDPAddrPort(datagram, to)
}

// intervals returns the times between heartbeats to instances in the same data
// centre and in others.
func (mesh *Mesh) intervals() (local, remote time.Duration) {
	count := 0
	for _, member := range mesh.members {
		if member.DataCenter == mesh.dataCenter {
			count++
		}
	}
	local = max(minInterval, time.Duration(count)*intervalPerLocalMember)
	if len(mesh.members) <= maxSmallSiteMembers {
		return local, local
	}
	return local, local * remoteIntervalFactor
}

func (mesh *Mesh) sendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		local, remote, wait := mesh.recipients(time.Now())
		mesh.sendTo(remote, remoteIntervalFactor)
		mesh.sendTo(local, 1)
		pause.For(ctx, wait)
	}
}

// sendTo sends a heartbeat to recipients that get one in the given number of
// rounds.
func (mesh *Mesh) sendTo(recipients []netip.AddrPort, rounds int) {
	if len(recipients) == 0 && rounds > 1 {
		return
	}
	datagram := mesh.compose(rounds)
	if len(datagram) > maxDatagramBytes {
		mesh.logger.Error().Int("bytes", len(datagram)).Msg("heartbeat exceeds the datagram limit; not sent")
		return
	}
	for _, recipient := range recipients {
		_, _ = mesh.conn.WriteToUDPAddrPort(datagram, recipient)
	}
}

// recipients returns the addresses that this round's heartbeats go to, and the
// time until the next round. It marks members whose heartbeats have stopped as
// down. Members in other data centres of a large site are spread over the
// rounds, since heartbeats to all of them at once fill the link of a weak
// machine and get lost.
func (mesh *Mesh) recipients(now time.Time) (local, remote []netip.AddrPort, wait time.Duration) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.round++
	localInterval, remoteInterval := mesh.intervals()
	broadcast := mesh.broadcastNext
	mesh.broadcastNext = false
	for i, name := range slices.Sorted(maps.Keys(mesh.members)) {
		member := mesh.members[name]
		isLocal := member.DataCenter == mesh.dataCenter || remoteInterval == localInterval
		interval := remoteInterval
		if isLocal {
			interval = localInterval
		}
		mesh.checkTimeout(member, now, max(minMemberTimeout, maxMissedHeartbeats*interval))
		scheduled := uint64(i)%remoteIntervalFactor == mesh.round%remoteIntervalFactor
		switch {
		case !member.live:
			if mesh.round%downIntervalFactor == 1 {
				remote = append(remote, member.Address)
			}
		case isLocal:
			local = append(local, member.Address)
		case scheduled || broadcast:
			remote = append(remote, member.Address)
		}
	}
	return local, remote, localInterval
}

// checkTimeout marks a member as down if its last heartbeat is older than
// timeout.
func (mesh *Mesh) checkTimeout(member *member, now time.Time, timeout time.Duration) {
	age := now.Sub(member.lastHeartbeat)
	if !member.live || age <= timeout {
		return
	}
	member.live, member.downSince = false, now
	mesh.logger.Warn().Str("peer", member.Instance).Dur("quiet-ms", age).Msg("instance is down: no heartbeat within the timeout")
	mesh.memberDown(member.Instance)
}

func (mesh *Mesh) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, from, err := mesh.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // closed when sendLoop has ended
		}
		mesh.receiveDatagram(buffer[:count], from)
	}
}

// receiveDatagram passes a datagram on. A panic over one datagram costs that datagram
// only, since every instance that gets the same one would end otherwise.
func (mesh *Mesh) receiveDatagram(datagram []byte, from netip.AddrPort) {
	defer func() {
		if cause := recover(); cause != nil {
			mesh.logger.Error().Stringer("from", from).Str("cause", fmt.Sprint(cause)).Msg("handler of a datagram panicked; datagram dropped")
		}
	}()
	mesh.receive(datagram, from)
}
