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

// peerReplica copies usage figures to another instance, which has to be in another
// data centre if otherDataCenter is set.
type peerReplica struct {
	instance        *Instance
	otherDataCenter bool
}

// Store sends batches to the candidates in turn until one accepts them, and returns
// the ID of the instance that holds the copy.
func (replica *peerReplica) Store(ctx context.Context, batches []usage.Batch) (string, error) {
	payload, err := json.Marshal(batches)
	if err != nil {
		return "", code.Wrap(err, code.Internal, "encode usage")
	}
	origin := replica.instance.meter.Origin()
	message := &peerpb.UsageCopy{Origin: origin.Instance, Incarnation: origin.Incarnation, Payload: payload}
	lastErr := code.Errorf(code.WriteUnknown, "no peer can hold a copy")
	for _, peer := range replica.candidates() {
		ack, err := replica.instance.peerClient.CopyUsage(ctx, peer.PeerAddress, message)
		if err == nil {
			return ack.GetHolder(), nil
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return "", lastErr
}

// candidates returns the live peers that are not shutting down, in the order of
// their IDs, starting after this instance's own and wrapping around. The order is
// stable, so that successive copies go to the same holder while it lives.
func (replica *peerReplica) candidates() []gossip.Peer {
	var peers []gossip.Peer
	for _, peer := range replica.instance.members.Peers() {
		remote := peer.DataCenter != replica.instance.settings.DataCenter
		if peer.Alive && !peer.Leaving && (remote || !replica.otherDataCenter) {
			peers = append(peers, peer)
		}
	}
	self := replica.instance.settings.Instance
	next, _ := slices.BinarySearchFunc(peers, self, func(peer gossip.Peer, id string) int {
		if peer.ID < id {
			return -1
		}
		return 1
	})
	return append(slices.Clone(peers[next:]), peers[:next]...)
}

// usageHandler serves the usage calls of other instances.
type usageHandler struct {
	instance *Instance
}

// CopyUsage stores a copy of another instance's usage figures.
func (handler *usageHandler) CopyUsage(ctx context.Context, message *peerpb.UsageCopy) (*peerpb.UsageAck, error) {
	var batches []usage.Batch
	if err := json.Unmarshal(message.GetPayload(), &batches); err != nil {
		return nil, code.Wrap(err, code.MessageMalformed, "usage copy")
	}
	holder, err := handler.instance.replicaStore.Store(ctx, batches)
	if err != nil {
		return nil, err
	}
	return &peerpb.UsageAck{Holder: holder, Incarnation: message.GetIncarnation()}, nil
}

// CollectUsage returns the usage figures of this instance and the copies that it
// holds for others.
func (handler *usageHandler) CollectUsage(_ context.Context, message *peerpb.UsageAsk) (*peerpb.UsageFigures, error) {
	var request usage.CollectRequest
	if err := json.Unmarshal(message.GetPayload(), &request); err != nil {
		return nil, code.Wrap(err, code.MessageMalformed, "usage ask")
	}
	payload, err := json.Marshal(handler.instance.usageFigures(request))
	if err != nil {
		return nil, code.Wrap(err, code.Internal, "encode usage")
	}
	return &peerpb.UsageFigures{Payload: payload}, nil
}

func (instance *Instance) usageFigures(request usage.CollectRequest) []usage.Batch {
	return append(instance.meter.Collect(request), instance.replicaStore.Collect(request)...)
}
