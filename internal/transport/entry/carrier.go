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

// orderTransport delivers orders to targets and to the platform, reads the state of
// targets, checks whether the writers of order tickets have ended, and asks them to
// drop tickets.
type orderTransport struct {
	instance *Instance
}

var engineOrderKinds = map[order.Kind]engine.OrderKind{
	order.KindLoadModel:   engine.OrderLoadModel,
	order.KindLoadAdapter: engine.OrderLoadAdapter,
	order.KindChangeRole:  engine.OrderChangeRole,
	order.KindDrain:       engine.OrderDrain,
	order.KindServe:       engine.OrderUndrain,
	order.KindStop:        engine.OrderStop,
	order.KindFence:       engine.OrderAdvanceFence,
}

// Send delivers one order to a target. The error has code.OrderRefused if the
// target refuses it.
func (transport *orderTransport) Send(ctx context.Context, target note.Target, issued order.Order) (order.Ack, error) {
	modelName := issued.Model
	if issued.Kind == order.KindLoadAdapter {
		modelName = issued.Adapter
	}
	reply, err := transport.instance.targetClient.SendOrder(ctx, target.Address, engine.Order{
		Number: issued.Number, FencingToken: issued.Number, Kind: engineOrderKinds[issued.Kind],
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

// sendError returns err with its run status: not run if the order was not sent, and
// otherwise unknown, since the target may have carried it out.
func sendError(err error) error {
	var failure *back.CallError
	if errors.As(err, &failure) && failure.State == back.NotSent {
		return code.WithRunStatus(code.Wrap(err, code.TargetFailed, "order"), code.NotRun)
	}
	return code.WithRunStatus(code.Wrap(err, code.TargetFailed, "order"), code.RunUnknown)
}

// FetchReport reads the current state of a target.
func (transport *orderTransport) FetchReport(ctx context.Context, target note.Target) (order.TargetReport, error) {
	requestedAt := time.Now()
	report, err := transport.instance.targetClient.FetchLoad(ctx, target.Address)
	if err != nil {
		return order.TargetReport{}, code.Wrap(err, code.TargetFailed, "report")
	}
	return targetReport(loadReading{report: report, requestedAt: requestedAt}), nil
}

// SendOrder delivers one order to the platform. The error has code.OrderRefused if
// the platform refuses it.
func (transport *orderTransport) SendOrder(ctx context.Context, issued order.PlatformOrder) error {
	message := infra.TargetOrder{
		Number: issued.Number, DataCenter: issued.DataCenter,
		StopIDs: issued.TargetIDs, Spot: issued.Spot, Pool: issued.Pool,
	}
	if issued.Kind == order.PlatformStart {
		message.StartCount = max(1, issued.Count)
	}
	reply, err := transport.instance.platform.SendOrder(ctx, message)
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
func (transport *orderTransport) RequestDrop(ctx context.Context, writer string, ticketID order.TicketID) (bool, error) {
	for _, peer := range transport.instance.members.Peers() {
		if peer.ID != writer {
			continue
		}
		reply, err := transport.instance.peerClient.DropTicket(ctx, peer.PeerAddress, &peerpb.DropTicketRequest{
			Key: ticketID.RowKey, Session: ticketID.Session, Number: ticketID.Number,
		})
		return reply.GetDropped(), err
	}
	return false, code.Errorf(code.NotReady, "instance %s is not known", writer)
}

// HasEnded reports whether the platform lists an instance or target as ended. One
// that is not listed does not count as ended, since it may be starting.
func (transport *orderTransport) HasEnded(ctx context.Context, id string) (bool, error) {
	instances, err := transport.instance.platform.ListInstances(ctx)
	if err != nil {
		return false, err
	}
	for _, instance := range instances {
		if instance.ID == id {
			return instance.Lifecycle == infra.LifecycleEnded, nil
		}
	}
	targets, err := transport.instance.platform.ListTargets(ctx)
	if err != nil {
		return false, err
	}
	for _, target := range targets {
		if target.ID == id {
			return target.Lifecycle == infra.LifecycleEnded, nil
		}
	}
	return false, nil
}

// DropTicket drops an order ticket at the request of the instance that now holds the
// lease for the orders of the ticket's data centre. The reply says whether this
// instance promises never to send the order.
func (instance *Instance) DropTicket(_ context.Context, request *peerpb.DropTicketRequest) (*peerpb.DropTicketReply, error) {
	ticketID := order.TicketID{RowKey: request.GetKey(), Session: request.GetSession(), Number: request.GetNumber()}
	for _, controller := range instance.coordinator.allControllers() {
		if controller.issuer.Drop(ticketID) {
			return &peerpb.DropTicketReply{Dropped: true}, nil
		}
	}
	return &peerpb.DropTicketReply{}, nil
}
