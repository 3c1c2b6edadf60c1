package node

import (
	"net/netip"

	"mangopier.example/mangopier/internal/coordination/origin"
)

// keepers is a snapshot of the live instances that keep origins of streams, with this one.
type keepers struct {
	members   []origin.Member
	addresses map[string]netip.AddrPort // of the other ones
}

// updateKeepers takes a new snapshot. Instances of builds without the ability would take
// what is sent to keepers for heartbeats.
func (node *Node) updateKeepers() {
	current := &keepers{
		members:   []origin.Member{origin.NewMember(node.settings.Instance, node.settings.DataCenter)},
		addresses: map[string]netip.AddrPort{},
	}
	for _, member := range node.mesh.LiveMembers() {
		if node.builds.isAble(member.Instance, abilityKeeps) {
			current.members = append(current.members, origin.NewMember(member.Instance, member.DataCenter))
			current.addresses[member.Instance] = member.Address
		}
	}
	node.keepers.Store(current)
}

// originPeers implements origin.Peers with datagrams.
type originPeers struct{ node *Node }

// Members returns the live instances that keep origins, with this one.
func (peers originPeers) Members() []origin.Member {
	if current := peers.node.keepers.Load(); current != nil {
		return current.members
	}
	return nil
}

// Tell has instances keep the origin of streams.
func (peers originPeers) Tell(instances []string, streams origin.Streams) {
	peers.send(instances, heartbeat{KeptOrigins: []origin.Streams{streams}})
}

// Ask asks instances for the origin of a stream.
func (peers originPeers) Ask(instances []string, hash uint64) {
	peers.send(instances, heartbeat{OriginQuery: []uint64{hash}})
}

func (peers originPeers) send(instances []string, message heartbeat) {
	current := peers.node.keepers.Load()
	if current == nil {
		return
	}
	for _, instance := range instances {
		if address, ok := current.addresses[instance]; ok {
			peers.node.sendMessage(message, address)
		}
	}
}

// answerOriginQuery sends the origins that are known of the streams asked for.
func (node *Node) answerOriginQuery(hashes []uint64, to netip.AddrPort) {
	if known := node.origins.Kept(hashes); len(known) > 0 {
		node.sendMessage(heartbeat{KeptOrigins: known}, to)
	}
}
