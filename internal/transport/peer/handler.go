// Package peer offers the client and the handler for calls between entry
// instances, over connect-go and HTTP/1.1. It limits the time and the size of calls
// and passes result codes on to the calling instance.
package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// Limits on the size of messages, in bytes.
const (
	MaxRequestBytes = 1 << 20
	MaxReplyBytes   = 64 << 20
)

// Exchanger exchanges soft state with other instances.
type Exchanger interface {
	// HandleExchange merges the state of another instance and returns that of
	// this one.
	HandleExchange(ctx context.Context, state *peerpb.State) (*peerpb.State, error)
}

// StatusReporter returns the status of this instance.
type StatusReporter interface {
	Status(ctx context.Context, request *peerpb.StatusRequest) (*peerpb.StatusReply, error)
}

// UsageCopier stores copies of other instances' usage figures.
type UsageCopier interface {
	CopyUsage(ctx context.Context, usage *peerpb.UsageCopy) (*peerpb.UsageAck, error)
}

// UsageCollector returns usage figures to the instance that reports usage for the
// fleet.
type UsageCollector interface {
	CollectUsage(ctx context.Context, request *peerpb.UsageAsk) (*peerpb.UsageFigures, error)
}

// TicketDropper drops order tickets that this instance wrote.
type TicketDropper interface {
	DropTicket(ctx context.Context, request *peerpb.DropTicketRequest) (*peerpb.DropTicketReply, error)
}

// NoteFetcher returns release notes and catalogs.
type NoteFetcher interface {
	FetchNote(ctx context.Context, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error)
}

// Handlers holds the implementations of the calls. Calls whose implementation is
// nil are refused with code.NotReady.
type Handlers struct {
	Exchanger      Exchanger
	StatusReporter StatusReporter
	UsageCopier    UsageCopier
	UsageCollector UsageCollector
	TicketDropper  TicketDropper
	NoteFetcher    NoteFetcher
}

// NewHandler returns the HTTP handler for the calls of other instances and the
// path prefix to mount it under.
func NewHandler(handlers Handlers) (path string, handler http.Handler) {
	return peerpb.NewPeerServiceHandler(&service{handlers: handlers},
		connect.WithReadMaxBytes(MaxRequestBytes),
		connect.WithSendMaxBytes(MaxReplyBytes),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(encodeErrors)),
	)
}

type service struct {
	handlers Handlers
}

func (service *service) Exchange(ctx context.Context, state *peerpb.State) (*peerpb.State, error) {
	handler := service.handlers.Exchanger
	if handler == nil {
		return nil, notServedError()
	}
	return handler.HandleExchange(ctx, state)
}

func (service *service) Status(ctx context.Context, request *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	handler := service.handlers.StatusReporter
	if handler == nil {
		return nil, notServedError()
	}
	return handler.Status(ctx, request)
}

func (service *service) CopyUsage(ctx context.Context, usage *peerpb.UsageCopy) (*peerpb.UsageAck, error) {
	handler := service.handlers.UsageCopier
	if handler == nil {
		return nil, notServedError()
	}
	return handler.CopyUsage(ctx, usage)
}

func (service *service) CollectUsage(ctx context.Context, request *peerpb.UsageAsk) (*peerpb.UsageFigures, error) {
	handler := service.handlers.UsageCollector
	if handler == nil {
		return nil, notServedError()
	}
	return handler.CollectUsage(ctx, request)
}

func (service *service) DropTicket(ctx context.Context, request *peerpb.DropTicketRequest) (*peerpb.DropTicketReply, error) {
	handler := service.handlers.TicketDropper
	if handler == nil {
		return nil, notServedError()
	}
	return handler.DropTicket(ctx, request)
}

func (service *service) FetchNote(ctx context.Context, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	handler := service.handlers.NoteFetcher
	if handler == nil {
		return nil, notServedError()
	}
	return handler.FetchNote(ctx, request)
}

func notServedError() error {
	return code.Errorf(code.NotReady, "this instance does not offer the call yet")
}
