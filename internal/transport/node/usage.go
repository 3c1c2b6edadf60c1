package node

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"mangopier.example/mangopier/internal/coordination/tally"
)

// usageQuery asks an instance for the counts of an ended window.
type usageQuery struct {
	Window int64 `cbor:"1,keyasint"`
}

// usageAnswer holds the counts of the sender, and those of ended runs of
// instances in its data centre.
type usageAnswer struct {
	Window int64             `cbor:"1,keyasint"`
	Counts []tally.RunCounts `cbor:"2,keyasint"`
}

// Collect asks the live instances for their counts of an ended window, unless
// they have answered, and reports whether all have. Queries and answers are
// datagrams; the next call repeats those that got lost.
func (node *Node) Collect(window int64) bool {
	complete := true
	for _, member := range node.mesh.LiveMembers() {
		if !node.meter.IsCollected(member.Instance, window) {
			complete = false
			node.sendMessage(heartbeat{UsageQuery: &usageQuery{Window: window}}, member.Address)
		}
	}
	return complete
}

func (node *Node) answerUsageQuery(query *usageQuery, to netip.AddrPort) {
	counts := node.meter.CountsOf(query.Window, node.instanceRun(), node.mesh.IsLocal)
	node.sendMessage(heartbeat{UsageAnswer: &usageAnswer{Window: query.Window, Counts: counts}}, to)
}

func (node *Node) sendMessage(message heartbeat, to netip.AddrPort) {
	message.Instance, message.BootID = node.settings.Instance, node.bootID
	datagram, err := cbor.Marshal(message)
	if err != nil {
		node.logger.Error().Str("part", "node").Err(err).Msg("message to another instance cannot be encoded")
		return
	}
	node.mesh.Send(datagram, to)
}
