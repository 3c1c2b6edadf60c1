package entry

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// Status tells operators how the instance stands.
func (instance *Instance) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	reply := &peerpb.StatusReply{
		Instance:   instance.settings.Instance,
		DataCenter: instance.settings.DataCenter,
		Version:    instance.version,
		Number:     instance.feed.Number(),
		Serving:    true,
		InFlight:   uint64(max(0, instance.callers.ActiveRequests())),
		Members:    uint32(instance.members.Count()),
		StoreDown:  instance.feed.StoreDown(),
	}
	if fresh := instance.feed.Fresh(); !fresh.IsZero() {
		reply.ProofAgeMs = uint64(max(0, time.Since(fresh).Milliseconds()))
	}
	if err := instance.relay.Ready(); err != nil {
		reply.Serving, reply.Refusal = false, err.Error()
	}
	return reply, nil
}
