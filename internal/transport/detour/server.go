package detour

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"

	"connectrpc.com/connect"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/codec"
	"mangopier.example/mangopier/internal/protocol/site"
)

// ServeFunc runs a request and writes its response. Each Write is sent at once, and
// fails if the calling instance has gone. ctx ends when that instance cancels the
// call or its connection breaks. A panic with http.ErrAbortHandler ends the response
// so that it does not look complete.
type ServeFunc func(ctx context.Context, w http.ResponseWriter, request *site.ForwardedRequest)

// Option configures a server.
type Option func(*Server)

// WithAllowed sets the function that decides whether the instance with an address
// may have requests run. Without it, every instance may.
func WithAllowed(allowed func(netip.Addr) bool) Option {
	return func(server *Server) { server.allowed = allowed }
}

// WithPanicHandler sets the function that is called with the cause of a panic of
// the ServeFunc other than http.ErrAbortHandler. Without it, net/http logs the panic.
func WithPanicHandler(handle func(cause any)) Option {
	return func(server *Server) { server.handlePanic = handle }
}

// Server runs requests for other instances.
type Server struct {
	serve       ServeFunc
	allowed     func(netip.Addr) bool
	handlePanic func(cause any)

	activeRequests atomic.Int64
	refuses        atomic.Bool
}

// NewServer returns a server that runs requests with serve.
func NewServer(serve ServeFunc, opts ...Option) *Server {
	server := &Server{
		serve:       serve,
		allowed:     func(netip.Addr) bool { return true },
		handlePanic: func(cause any) { panic(cause) },
	}
	for _, opt := range opts {
		opt(server)
	}
	return server
}

// ActiveRequests returns the number of requests whose response has not ended yet.
func (server *Server) ActiveRequests() int64 { return server.activeRequests.Load() }

// Refuse refuses further requests. Their callers learn that they have not been run.
func (server *Server) Refuse() { server.refuses.Store(true) }

// Handler returns the path of the Serve call and its handler.
func (server *Server) Handler() (string, http.Handler) {
	withCodec := connect.WithCodec(codec.CBOR{})
	handler := connect.NewServerStreamHandler(procedure, server.run, withCodec, connect.WithReadMaxBytes(maxRequestBytes))
	errorWriter := connect.NewErrorWriter(withCodec)
	return procedure, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if !server.isAllowed(request.RemoteAddr) {
			denied := code.Errorf(code.PeerUnreachable, "%s is not the address of an instance", request.RemoteAddr)
			_ = errorWriter.Write(w, request, connect.NewError(connect.CodePermissionDenied, denied)) // fails if the peer has gone
			return
		}
		server.activeRequests.Add(1)
		defer server.activeRequests.Add(-1)
		handler.ServeHTTP(w, request)
	})
}

func (server *Server) isAllowed(remoteAddress string) bool {
	address, err := netip.ParseAddrPort(remoteAddress)
	return err == nil && server.allowed(address.Addr().Unmap())
}

// run runs one request. Once it has begun to, its errors never have a code with which a
// peer states that it ran nothing.
func (server *Server) run(ctx context.Context, request *connect.Request[wireRequest], stream *connect.ServerStream[wireResponse]) (err error) {
	if server.refuses.Load() {
		return connect.NewError(connect.CodeUnavailable, code.Errorf(code.ShuttingDown, "the instance is stopping"))
	}
	responseWriter := &responseWriter{ctx: ctx, stream: stream, header: http.Header{}}
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		err = connect.NewError(connect.CodeAborted, code.Errorf(code.AnswerTruncated, "response aborted"))
		if causeErr, ok := cause.(error); !ok || !errors.Is(causeErr, http.ErrAbortHandler) {
			server.handlePanic(cause)
		}
	}()
	server.serve(ctx, responseWriter, request.Msg.forwardedRequest())
	return responseWriter.finish()
}

// responseWriter sends a response to the calling instance. It implements
// http.ResponseWriter and http.Flusher.
type responseWriter struct {
	ctx         context.Context
	stream      *connect.ServerStream[wireResponse]
	header      http.Header
	wroteHeader bool
	err         error // of the first message that could not be sent
}

// Header returns the header that WriteHeader sends.
func (responseWriter *responseWriter) Header() http.Header { return responseWriter.header }

// WriteHeader sends the status and the header. Informational statuses and calls
// after the first are ignored.
func (responseWriter *responseWriter) WriteHeader(status int) {
	if responseWriter.wroteHeader || status < http.StatusOK {
		return
	}
	responseWriter.wroteHeader = true
	response := &wireResponse{Status: status, Header: responseWriter.header}
	if values := responseWriter.header[HeaderSoftware]; len(values) > 0 {
		response.Software = &values[0]
		delete(responseWriter.header, HeaderSoftware)
	}
	responseWriter.send(response)
}

// Write sends a part of the body, in messages of maxPartBytes at most, after the header
// with status 200 if there was none yet.
func (responseWriter *responseWriter) Write(part []byte) (int, error) {
	responseWriter.WriteHeader(http.StatusOK)
	for message := range slices.Chunk(part, maxPartBytes) {
		responseWriter.send(&wireResponse{Body: message})
	}
	if responseWriter.err != nil {
		return 0, responseWriter.err
	}
	return len(part), nil
}

// Flush does nothing, since each part is sent at once.
func (responseWriter *responseWriter) Flush() {}

func (responseWriter *responseWriter) send(message *wireResponse) {
	if responseWriter.err == nil {
		responseWriter.err = context.Cause(responseWriter.ctx)
	}
	if responseWriter.err == nil {
		responseWriter.err = responseWriter.stream.Send(message)
	}
}

// finish ends the response. A response during which ctx ended is not complete.
func (responseWriter *responseWriter) finish() error {
	responseWriter.WriteHeader(http.StatusOK)
	err := responseWriter.err
	if err == nil {
		err = context.Cause(responseWriter.ctx)
	}
	if err == nil {
		return nil
	}
	return connect.NewError(connect.CodeAborted, code.Wrap(err, code.AnswerTruncated, "send response"))
}
