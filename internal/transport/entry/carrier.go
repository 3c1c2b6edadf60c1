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

// carrier delivers orders to targets and to the platform, reads the state of
// targets, and finds out what became of the writers of tickets.
type carrier struct {
	instance *Instance
}

var engineOrderKinds = map[order.Kind]engine.OrderKind{
	order.KindLoadModel:   engine.OrderLoadModel,
	order.KindLoadAdapter: engine.OrderLoadAdapter,
	order.KindChangeRole:  engine.OrderRole,
	order.KindDrain:       engine.OrderDrain,
	order.KindServe:       engine.OrderUndrain,
	order.KindStop:        engine.OrderStop,
	order.KindFence:       engine.OrderFence,
}

// Send delivers one order to a target. The error has code.OrderRefused if the
// target refuses it.
func (transport *carrier) Send(ctx context.Context, target note.Target, issued order.Order) (order.Ack, error) {
	modelName := issued.Model
	if issued.Kind == order.KindLoadAdapter {
		modelName = issued.Adapter
	}
	reply, err := transport.instance.targetClient.SendOrder(ctx, target.Address, engine.Order{
		Number: issued.Number, Fence: issued.Number, Kind: engineOrderKinds[issued.Kind],
		Model: modelName, Version: issued.Version, Role: issued.Role,
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

// sendError returns err with its run status: an order that was not sent has had
// no effect, and of any other it is unknown whether it was carried out.
func sendError(err error) error {
	var failure *back.CallError
	if errors.As(err, &failure) && failure.State == back.NotSent {
		return code.WithRun(code.Wrap(err, code.TargetFailed, "order"), code.NotRun)
	}
	return code.WithRun(code.Wrap(err, code.TargetFailed, "order"), code.RunUnknown)
}

// FetchReport reads the current state of a target.
func (transport *carrier) FetchReport(ctx context.Context, target note.Target) (order.TargetReport, error) {
	requestedAt := time.Now()
	load, err := transport.instance.targetClient.FetchLoad(ctx, target.Address)
	if err != nil {
		return order.TargetReport{}, code.Wrap(err, code.TargetFailed, "report")
	}
	return targetReport(loadReading{load: load, requestedAt: requestedAt}), nil
}

// SendOrder delivers one order to the platform. The error has code.OrderRefused if
// the platform refuses it.
func (transport *carrier) SendOrder(ctx context.Context, issued order.PlatformOrder) error {
	message := infra.TargetOrder{
		Number: issued.Number, DataCenter: issued.DataCenter,
		Stop: issued.TargetIDs, Cheap: issued.Cheap, Pool: issued.Pool,
	}
	if issued.Kind == order.PlatformStart {
		message.Start = max(1, issued.Count)
	}
	reply, err := transport.instance.platform.Order(ctx, message)
	if err != nil {
		return err
	}
	if !reply.Accepted {
		return code.Errorf(code.OrderRefused, "platform refuses: %s", reply.Reason)
	}
	return nil
}

// RequestDrop asks an instance to drop a ticket that it may have written, and reports
// whether it promised never to send the order. The error has code.NotReady if the
// instance is not known.
func (transport *carrier) RequestDrop(ctx context.Context, writer string, ticketID order.TicketID) (bool, error) {
	for _, peer := range transport.instance.members.Peers() {
		if peer.ID != writer {
			continue
		}
		reply, err := transport.instance.peerClient.DropTicket(ctx, peer.Address, &peerpb.DropTicketRequest{
			Key: ticketID.RowKey, Session: ticketID.Session, Number: ticketID.Number,
		})
		return reply.GetDropped(), err
	}
	return false, code.Errorf(code.NotReady, "instance %s is not known", writer)
}

// HasEnded reports whether the platform lists an instance or target as ended. One
// that is not listed does not count as ended, since it may be starting.
func (transport *carrier) HasEnded(ctx context.Context, id string) (bool, error) {
	instances, err := transport.instance.platform.Instances(ctx)
	if err != nil {
		return false, err
	}
	for _, instance := range instances {
		if instance.ID == id {
			return instance.Life == infra.Ended, nil
		}
	}
	targets, err := transport.instance.platform.Targets(ctx)
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

// DropTicket drops an order ticket at the request of the instance that took over
// its data center, and reports whether this instance promises never to send the order.
func (instance *Instance) DropTicket(_ context.Context, request *peerpb.DropTicketRequest) (*peerpb.DropTicketReply, error) {
	ticketID := order.TicketID{RowKey: request.GetKey(), Session: request.GetSession(), Number: request.GetNumber()}
	for _, controller := range instance.coordinator.allControllers() {
		if controller.issuer.Drop(ticketID) {
			return &peerpb.DropTicketReply{Dropped: true}, nil
		}
	}
	return &peerpb.DropTicketReply{}, nil
}
