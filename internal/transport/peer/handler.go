// Package peer carries the messages among entry instances over connect-go and
// HTTP/1.1.
package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// Largest messages in bytes.
const (
	RequestMaxBytes = 1 << 20
	ReplyMaxBytes   = 64 << 20
)

// Exchanger merges the soft state of another instance and returns its own.
type Exchanger interface {
	Handle(ctx context.Context, state *peerpb.State) (*peerpb.State, error)
}

// Reporter tells the status of this instance.
type Reporter interface {
	Status(ctx context.Context, request *peerpb.StatusRequest) (*peerpb.StatusReply, error)
}

// Copier keeps copies of other instances' usage counters.
type Copier interface {
	CopyUsage(ctx context.Context, usage *peerpb.UsageCopy) (*peerpb.UsageAck, error)
}

// Collector returns usage figures to the instance that reports them.
type Collector interface {
	CollectUsage(ctx context.Context, ask *peerpb.UsageAsk) (*peerpb.UsageFigures, error)
}

// Dropper gives up order tickets that this instance wrote.
type Dropper interface {
	DropTicket(ctx context.Context, request *peerpb.DropTicketRequest) (*peerpb.DropTicketReply, error)
}

// Notes returns release notes and catalogs.
type Notes interface {
	FetchNote(ctx context.Context, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error)
}

// Handlers holds the parts that answer other instances. The calls of an
// absent part are refused with code.NotReady.
type Handlers struct {
	Exchanger Exchanger
	Reporter  Reporter
	Copier    Copier
	Collector Collector
	Dropper   Dropper
	Notes     Notes
}

// NewHandler returns the handler of the calls of other instances and the path
// prefix under which it is mounted.
func NewHandler(handlers Handlers) (path string, handler http.Handler) {
	return peerpb.NewPeerServiceHandler(&service{handlers: handlers},
		connect.WithReadMaxBytes(RequestMaxBytes),
		connect.WithSendMaxBytes(ReplyMaxBytes),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(encodeErrors)),
	)
}

type service struct {
	handlers Handlers
}

func (service *service) Exchange(ctx context.Context, state *peerpb.State) (*peerpb.State, error) {
	part := service.handlers.Exchanger
	if part == nil {
		return nil, absent()
	}
	return part.Handle(ctx, state)
}

func (service *service) Status(ctx context.Context, request *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	part := service.handlers.Reporter
	if part == nil {
		return nil, absent()
	}
	return part.Status(ctx, request)
}

func (service *service) CopyUsage(ctx context.Context, usage *peerpb.UsageCopy) (*peerpb.UsageAck, error) {
	part := service.handlers.Copier
	if part == nil {
		return nil, absent()
	}
	return part.CopyUsage(ctx, usage)
}

func (service *service) CollectUsage(ctx context.Context, ask *peerpb.UsageAsk) (*peerpb.UsageFigures, error) {
	part := service.handlers.Collector
	if part == nil {
		return nil, absent()
	}
	return part.CollectUsage(ctx, ask)
}

func (service *service) DropTicket(ctx context.Context, request *peerpb.DropTicketRequest) (*peerpb.DropTicketReply, error) {
	part := service.handlers.Dropper
	if part == nil {
		return nil, absent()
	}
	return part.DropTicket(ctx, request)
}

func (service *service) FetchNote(ctx context.Context, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	part := service.handlers.Notes
	if part == nil {
		return nil, absent()
	}
	return part.FetchNote(ctx, request)
}

func absent() error {
	return code.Errorf(code.NotReady, "this instance does not offer the call yet")
}
