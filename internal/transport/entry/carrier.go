package entry

import (
	"context"
	"errors"
	"time"

	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/engine"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/protocol/peerpb"
	"mangopier.example/mangopier/internal/transport/back"
)

// carrier takes orders to targets and to the platform.
type carrier struct {
	instance *Instance
}

var kinds = map[order.Kind]engine.OrderKind{
	order.KindLoadModel:   engine.OrderLoadModel,
	order.KindLoadAdapter: engine.OrderLoadAdapter,
	order.KindChangeRole:  engine.OrderRole,
	order.KindDrain:       engine.OrderDrain,
	order.KindServe:       engine.OrderUndrain,
	order.KindStop:        engine.OrderStop,
	order.KindFence:       engine.OrderFence,
}

// Send delivers one order to a target.
func (carrier *carrier) Send(ctx context.Context, target note.Target, issued order.Order) (order.Ack, error) {
	name := issued.Model
	if issued.Kind == order.KindLoadAdapter {
		name = issued.Adapter
	}
	reply, err := carrier.instance.client.SendOrder(ctx, target.Address, engine.Order{
		Number: issued.Number, Fence: issued.Number, Kind: kinds[issued.Kind],
		Model: name, Version: issued.Version, Role: issued.Role,
	})
	if err != nil {
		return order.Ack{}, sendError(err)
	}
	ack := order.Ack{Number: issued.Number, BootID: reply.Incarnation}
	if !reply.Accepted {
		return ack, code.Errorf(code.OrderRefused, "target %s refuses: %s", target.ID, reply.Reason)
	}
	return ack, nil
}

// sendError says of an order that was not sent that it has no effect.
func sendError(err error) error {
	var failure *back.CallError
	if errors.As(err, &failure) && failure.State == back.NotSent {
		return code.WithRun(code.Wrap(err, code.TargetFailed, "order"), code.NotRun)
	}
	return code.WithRun(code.Wrap(err, code.TargetFailed, "order"), code.RunUnknown)
}

// FetchReport reads the state of a target.
func (carrier *carrier) FetchReport(ctx context.Context, target note.Target) (order.TargetReport, error) {
	asked := time.Now()
	load, err := carrier.instance.client.FetchLoad(ctx, target.Address)
	if err != nil {
		return order.TargetReport{}, code.Wrap(err, code.TargetFailed, "report")
	}
	return reportOf(reading{load: load, asked: asked}), nil
}

// SendOrder delivers one order to the platform.
func (carrier *carrier) SendOrder(ctx context.Context, issued order.PlatformOrder) error {
	message := infra.TargetOrder{
		Number: issued.Number, DataCenter: issued.DataCenter,
		Stop: issued.TargetIDs, Cheap: issued.Cheap, Pool: issued.Pool,
	}
	if issued.Kind == order.PlatformStart {
		message.Start = max(1, issued.Count)
	}
	reply, err := carrier.instance.platform.Order(ctx, message)
	if err != nil {
		return err
	}
	if !reply.Accepted {
		return code.Errorf(code.OrderRefused, "platform refuses: %s", reply.Reason)
	}
	return nil
}

// RequestDrop asks an instance to drop a ticket that it may have written.
func (carrier *carrier) RequestDrop(ctx context.Context, instance string, reference order.TicketID) (bool, error) {
	for _, peer := range carrier.instance.members.Peers() {
		if peer.ID != instance {
			continue
		}
		reply, err := carrier.instance.peers.DropTicket(ctx, peer.Address, &peerpb.DropTicketRequest{
			Key: reference.RowKey, Session: reference.Session, Number: reference.Number,
		})
		return reply.GetDropped(), err
	}
	return false, code.Errorf(code.NotReady, "instance %s is not known", instance)
}

// HasEnded reports whether the platform's lists have an instance or target as
// ended. One that is not listed may be starting, so it does not count.
func (carrier *carrier) HasEnded(ctx context.Context, id string) (bool, error) {
	instances, err := carrier.instance.platform.Instances(ctx)
	if err != nil {
		return false, err
	}
	for _, instance := range instances {
		if instance.ID == id {
			return instance.Life == infra.Ended, nil
		}
	}
	targets, err := carrier.instance.platform.Targets(ctx)
	if err != nil {
		return false, err
	}
	for _, target := range targets {
		if target.ID == id {
			return target.Life == infra.Ended, nil
		}
	}
	return false, nil
}

// DropTicket answers a successor that asks to drop a ticket.
func (instance *Instance) DropTicket(_ context.Context, request *peerpb.DropTicketRequest) (*peerpb.DropTicketReply, error) {
	reference := order.TicketID{RowKey: request.GetKey(), Session: request.GetSession(), Number: request.GetNumber()}
	for _, steward := range instance.control.all() {
		if steward.issuer.Drop(reference) {
			return &peerpb.DropTicketReply{Dropped: true}, nil
		}
	}
	return &peerpb.DropTicketReply{}, nil
}
