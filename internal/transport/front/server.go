// Package front provides the HTTP server for callers and peers, built on nbhttp.
// It refuses requests that have ambiguous framing or exceed its limits with an
// error response that carries a result code. It cancels the context of a request
// when its connection closes, and shuts down after the running requests have
// ended.
package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"mangopier.example/mangopier/internal/protocol/code"
)

// Limits bound the sizes, counts and durations that a server accepts.
type Limits struct {
	HeaderBytes      int           // request line and headers
	HeaderCount      int           // header fields
	BodyBytes        int           // one body
	TotalBodyBytes   int64         // bodies that are arriving or in use, all connections together
	Connections      int           // open connections
	PipelineDepth    int           // requests of one connection that wait for the running one
	WriteBufferBytes int           // response bytes that are buffered for a slow caller; further writes wait
	RequestTimeout   time.Duration // from the first byte of a request to its last
	IdleTimeout      time.Duration // between requests, for a write that waits, and from the end of a handler to the last byte of its response
	LingerTimeout    time.Duration // from the end of a closing response until the caller must have closed its end
}

// DefaultLimits returns the limits that New uses unless WithLimits is given.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:      32 << 10,
		HeaderCount:      100,
		BodyBytes:        4 << 20,
		TotalBodyBytes:   64 << 20,
		Connections:      20_000,
		PipelineDepth:    8,
		WriteBufferBytes: 4 << 20,
		RequestTimeout:   15 * time.Second,
		IdleTimeout:      2 * time.Minute,
		LingerTimeout:    time.Second,
	}
}

// Option configures a server.
type Option func(*Server)

// WithLimits replaces the default limits.
func WithLimits(limits Limits) Option {
	return func(server *Server) { server.limits = limits }
}

// WithPanicHandler sets a function that is called with the value of a handler's
// panic. Only the request that panicked and its connection end. Its caller gets an
// internal error if the response has not begun.
func WithPanicHandler(handle func(cause any)) Option {
	return func(server *Server) { server.onPanic = handle }
}

// Server serves HTTP/1.1 on one address. Its handler must call WriteHeader before
// it writes a body.
type Server struct {
	limits            Limits
	handler           http.Handler
	engine            *nbhttp.Engine
	address           string
	listener          *listener
	reservedBodyBytes atomic.Int64
	activeRequests    atomic.Int64
	accepted          atomic.Uint64
	refusesLate       atomic.Bool
	finishOnce        sync.Once
	closeOnce         sync.Once
	onPanic           func(cause any)
	onRefusal         func(Refusal)
	idHeader          string
	stopping          atomic.Bool
	processors        sync.Map // keys are *processor, of connections that have sent data
	silenceTimers     sync.Map // *time.Timer by net.Conn, of connections that have sent nothing
}

// New returns a server that serves handler on an address of the form IP:port. With
// port 0 it takes any free port.
func New(address string, handler http.Handler, opts ...Option) *Server {
	server := &Server{limits: DefaultLimits(), handler: handler, address: address, onPanic: func(any) {}, onRefusal: func(Refusal) {}}
	for _, opt := range opts {
		opt(server)
	}
	server.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:            "tcp",
		Addrs:              []string{address},
		Handler:            http.HandlerFunc(server.serve),
		Listen:             server.listen,
		MaxLoad:            server.limits.Connections,
		ReadLimit:          server.limits.BodyBytes + server.limits.HeaderBytes + readBufferBytes,
		MaxHTTPBodySize:    server.limits.BodyBytes + readBufferBytes,
		ReadBufferSize:     readBufferBytes,
		MaxWriteBufferSize: server.limits.WriteBufferBytes,
		KeepaliveTime:      libraryIdleTimeout,
		SupportServerOnly:  true,
	})
	server.engine.OnAcceptError(func(err error) {
		if !errors.Is(err, net.ErrClosed) {
			server.report(Refusal{Cause: CauseAccept, Err: err}, nil)
		}
		time.Sleep(acceptErrorBackoff)
	})
	server.engine.OnOpen(server.handleOpen)
	server.engine.OnClose(func(conn net.Conn, _ error) { server.stopSilenceTimer(conn) })
	server.engine.OnData(server.handleData)
	server.engine.OnWrittenSize(countSent)
	return server
}

const (
	readBufferBytes    = 64 << 10
	acceptErrorBackoff = 50 * time.Millisecond
	shutdownTimeout    = 2 * time.Second

	// libraryIdleTimeout keeps the library from closing idle connections. It starts
	// the timeout of a new connection when the first request may be running.
	libraryIdleTimeout = 100 * 365 * 24 * time.Hour
)

func init() {
	logging.SetLevel(logging.LevelNone)
}

// Start listens on the address and accepts connections. It returns an error if it
// cannot listen.
func (server *Server) Start() error {
	return server.engine.Start()
}

// Address returns the IP:port that the server listens on. The server must have
// been started.
func (server *Server) Address() string {
	return server.listener.Addr().String()
}

// ActiveRequests returns the number of requests that are running or waiting for
// an earlier one of their connection.
func (server *Server) ActiveRequests() int64 {
	return server.activeRequests.Load()
}

// ReservedBodyBytes returns the number of bytes of bodies that are arriving or in
// use, over all connections.
func (server *Server) ReservedBodyBytes() int64 {
	return server.reservedBodyBytes.Load()
}

// AcceptedConnections returns the number of connections accepted since the start.
func (server *Server) AcceptedConnections() uint64 {
	return server.accepted.Load()
}

// RefuseLate marks the requests that are complete only from now on, see IsLate. A caller
// that asks before it sends a body is refused at once.
func (server *Server) RefuseLate() { server.refusesLate.Store(true) }

type lateKey struct{}

// IsLate reports whether the request of a handler, whose context is ctx, was complete only
// after RefuseLate. The handler is to refuse it.
func IsLate(ctx context.Context) bool { return ctx.Value(lateKey{}) != nil }

// RefuseArriving refuses the requests that are not complete, with code.ShuttingDown.
func (server *Server) RefuseArriving() {
	for processor := range server.eachProcessor {
		processor.refuseArriving()
	}
}

// shuttingDownRetryAfter is short, since another instance can take the request at once.
const shuttingDownRetryAfter = 100 * time.Millisecond

// ShuttingDownError returns the error of a request that has not run before the instance
// ends.
func ShuttingDownError() error {
	err := code.Errorf(code.ShuttingDown, "the request has not run before the instance ends")
	return code.WithRetryDelay(err, shuttingDownRetryAfter)
}

// Stop is Finish and Close.
func (server *Server) Stop(ctx context.Context) int64 {
	interrupted := server.Finish(ctx)
	server.Close()
	return interrupted
}

// Finish closes the listener and idle connections and waits until the requests that are
// arriving or being handled have got their whole response, and their callers have had time
// to read it, or ctx ends. It returns the number of requests that the end of ctx
// interrupted, without those that had not arrived. Calls after the first return 0.
func (server *Server) Finish(ctx context.Context) int64 {
	var interrupted int64
	server.finishOnce.Do(func() {
		server.stopping.Store(true)
		_ = server.listener.Close()
		interrupted = server.waitForRequests(ctx)
	})
	return interrupted
}

// Close closes all connections and ends the goroutines of the server. It is called after
// Finish.
func (server *Server) Close() {
	server.closeOnce.Do(func() {
		server.listener.stop()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.engine.Shutdown(ctx)
	})
}

// waitForRequests returns the number of requests whose response has not been sent
// when ctx ends. It polls, since the end of the last request is rare and does not
// justify a signal on the path of every request.
func (server *Server) waitForRequests(ctx context.Context) int64 {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for server.closeIdleConnections() > 0 {
		select {
		case <-ctx.Done():
			return server.activeRequests.Load() + server.countAnswersOnTheirWay()
		case <-ticker.C:
		}
	}
	return 0
}

// closeIdleConnections closes the connections on which no request is arriving or
// being handled and no response is on its way. It returns the number of connections that
// have not ended.
func (server *Server) closeIdleConnections() int {
	open := 0
	for processor := range server.eachProcessor {
		processor.closeIfIdle()
		if !processor.hasEnded() {
			open++
		}
	}
	return open
}

// countAnswersOnTheirWay returns the number of connections whose handlers have
// ended but whose responses have not been sent.
func (server *Server) countAnswersOnTheirWay() int64 {
	var answers int64
	for processor := range server.eachProcessor {
		if processor.sendsAnswer() {
			answers++
		}
	}
	return answers
}

// eachProcessor is an iterator over the connections that have sent data.
func (server *Server) eachProcessor(yield func(*processor) bool) {
	server.processors.Range(func(key, _ any) bool {
		processor, ok := key.(*processor)
		return !ok || yield(processor)
	})
}

// listen is called by the engine after its pollers have started.
func (server *Server) listen(network, address string) (net.Listener, error) {
	var config net.ListenConfig
	inner, err := config.Listen(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	server.listener, err = newListener(inner, server.engine.Engine, server)
	if err != nil {
		_ = inner.Close()
		return nil, err
	}
	return server.listener, nil
}

// serve runs the handler of one request, on a goroutine that no other connection
// uses.
func (server *Server) serve(w http.ResponseWriter, r *http.Request) {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	processor, ok := response.Parser.Processor.(*processor)
	if !ok {
		return
	}
	defer server.recoverPanic(processor.conn, r, processor.conn.writtenBytes.Load())
	ctx := processor.ctx
	if processor.late {
		ctx = context.WithValue(ctx, lateKey{}, true)
	}
	server.handler.ServeHTTP(&writer{response: response, request: r, conn: processor.conn, processor: processor}, r.WithContext(ctx))
	if strings.EqualFold(response.Header().Get("Connection"), "close") {
		r.Close = true
	}
}

// recoverPanic closes the connection of a handler that panicked. If none of its
// response has been written since bytesBefore, the caller gets an internal error.
// It reports the panic unless it is http.ErrAbortHandler, which aborts a response
// on purpose.
func (server *Server) recoverPanic(conn *conn, r *http.Request, bytesBefore int64) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler { //nolint:errorlint,err113 // a panic's value, by identity
		_ = conn.Close()
		return
	}
	server.onPanic(cause)
	refusal := Refusal{
		Cause: CausePanic, Err: code.Errorf(code.Internal, "handler panicked"),
		ID: r.Header.Get(server.idHeader), Method: r.Method, Host: r.Host, Path: r.URL.Path, Bytes: int(max(0, r.ContentLength)),
	}
	if conn.writtenBytes.Load() == bytesBefore {
		refusal.Status = writeErrorToConn(conn, refusal.Err)
	} else {
		_ = conn.Close()
	}
	server.report(refusal, conn.RemoteAddr())
}

// handleOpen closes a new connection that sends nothing within the idle timeout. The
// engine calls it before it reads from the connection.
func (server *Server) handleOpen(conn net.Conn) {
	timer := time.AfterFunc(server.limits.IdleTimeout, func() {
		server.silenceTimers.Delete(conn)
		server.report(Refusal{Cause: CauseIdle}, conn.RemoteAddr())
		_ = conn.Close()
	})
	server.silenceTimers.Store(conn, timer)
	server.accepted.Add(1)
}

func (server *Server) stopSilenceTimer(conn net.Conn) {
	value, _ := server.silenceTimers.LoadAndDelete(conn)
	if timer, ok := value.(*time.Timer); ok {
		timer.Stop()
	}
}

// handleData replaces the engine's own data handler, so that a request that cannot
// be parsed gets a response before its connection closes.
func (server *Server) handleData(conn *nbio.Conn, data []byte) {
	// The kernel orders the accept of a connection before its data, but the race
	// detector does not know this. Reading the counter that the accept wrote
	// makes the order visible to it.
	_ = server.accepted.Load()
	if barrier, ok := conn.Session().(*barrier); ok {
		barrier.pass()
		return
	}
	parser, ok := conn.Session().(*nbhttp.Parser)
	if !ok {
		_ = conn.Close()
		return
	}
	current, ok := parser.Processor.(*processor)
	if !ok {
		current = newProcessor(server, parser, conn)
	}
	current.receive(data)
}
