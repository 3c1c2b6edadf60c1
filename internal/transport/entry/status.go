package entry

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// Status returns the status of the instance for operators.
func (instance *Instance) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	reply := &peerpb.StatusReply{
		Instance:   instance.settings.Instance,
		DataCenter: instance.settings.DataCenter,
		Version:    instance.version,
		Number:     instance.noteFeed.Number(),
		Serving:    true,
		InFlight:   uint64(max(0, instance.callerServer.ActiveRequests())),
		Members:    uint32(instance.members.InstanceCount()),
		StoreDown:  instance.noteFeed.StoreDown(),
	}
	if provenAt := instance.noteFeed.ProvenAt(); !provenAt.IsZero() {
		reply.ProofAgeMs = uint64(max(0, time.Since(provenAt).Milliseconds()))
	}
	if err := instance.relay.CheckReady(); err != nil {
		reply.Serving, reply.Refusal = false, err.Error()
	}
	return reply, nil
}
