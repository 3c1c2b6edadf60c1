package entry

import (
	"context"
	"slices"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/coordination/gossip"
	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// replica copies usage figures to another instance: one in another data
// center if distant, and any one otherwise.
type replica struct {
	instance *Instance
	distant  bool
}

// Store leaves batches with the first peer that takes them.
func (replica *replica) Store(ctx context.Context, batches []usage.Batch) (string, error) {
	payload, err := json.Marshal(batches)
	if err != nil {
		return "", code.Wrap(err, code.Internal, "encode usage")
	}
	origin := replica.instance.meter.Origin()
	message := &peerpb.UsageCopy{Origin: origin.Instance, Incarnation: origin.Incarnation, Payload: payload}
	last := code.Errorf(code.WriteUnknown, "no peer can hold a copy")
	for _, peer := range replica.candidates() {
		ack, err := replica.instance.peers.CopyUsage(ctx, peer.Address, message)
		if err == nil {
			return ack.GetHolder(), nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return "", last
}

// candidates returns peers that were heard and stay, always in the same
// order, so that copies stay with one holder while it lives.
func (replica *replica) candidates() []gossip.Peer {
	var peers []gossip.Peer
	for _, peer := range replica.instance.members.Peers() {
		elsewhere := peer.DataCenter != replica.instance.settings.DataCenter
		if peer.Heard && !peer.Leaving && (elsewhere || !replica.distant) {
			peers = append(peers, peer)
		}
	}
	self := replica.instance.settings.Instance
	after, _ := slices.BinarySearchFunc(peers, self, func(peer gossip.Peer, id string) int {
		if peer.ID < id {
			return -1
		}
		return 1
	})
	return append(slices.Clone(peers[after:]), peers[:after]...)
}

// copier answers other instances about usage.
type copier struct {
	instance *Instance
}

// CopyUsage holds a copy for another instance.
func (copier *copier) CopyUsage(ctx context.Context, message *peerpb.UsageCopy) (*peerpb.UsageAck, error) {
	var batches []usage.Batch
	if err := json.Unmarshal(message.GetPayload(), &batches); err != nil {
		return nil, code.Wrap(err, code.MessageMalformed, "usage copy")
	}
	holder, err := copier.instance.holder.Store(ctx, batches)
	if err != nil {
		return nil, err
	}
	return &peerpb.UsageAck{Holder: holder, Incarnation: message.GetIncarnation()}, nil
}

// CollectUsage returns the figures of this instance and those it holds.
func (copier *copier) CollectUsage(_ context.Context, message *peerpb.UsageAsk) (*peerpb.UsageFigures, error) {
	var ask usage.CollectRequest
	if err := json.Unmarshal(message.GetPayload(), &ask); err != nil {
		return nil, code.Wrap(err, code.MessageMalformed, "usage ask")
	}
	payload, err := json.Marshal(copier.instance.figures(ask))
	if err != nil {
		return nil, code.Wrap(err, code.Internal, "encode usage")
	}
	return &peerpb.UsageFigures{Payload: payload}, nil
}

func (instance *Instance) figures(ask usage.CollectRequest) []usage.Batch {
	return append(instance.meter.Collect(ask), instance.holder.Collect(ask)...)
}
