// Package front offers the HTTP server towards callers and peers, built on
// nbhttp. It refuses requests whose framing is ambiguous or that exceed its
// limits with a coded error, cancels the context of a request whose
// connection closes, and stops without cutting a request.
package front

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
)

// Limits bound what a connection may ask of the server.
type Limits struct {
	HeaderBytes    int           // request line and headers
	HeaderCount    int           // header fields
	BodyBytes      int           // one body
	AllBodiesBytes int64         // bodies on their way in and in use, all connections together
	Connections    int           // open connections
	PipelineDepth  int           // requests of one connection that wait behind the running one
	WriteBytes     int           // answer bytes that wait for a slow caller
	RequestTimeout time.Duration // from the first byte of a request to its last
	IdleTimeout    time.Duration // between requests
	LingerTimeout  time.Duration // from a refusal that ends the connection to its close
}

// DefaultLimits returns the limits that New uses unless WithLimits is given.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:    32 << 10,
		HeaderCount:    100,
		BodyBytes:      4 << 20,
		AllBodiesBytes: 64 << 20,
		Connections:    20_000,
		PipelineDepth:  8,
		WriteBytes:     4 << 20,
		RequestTimeout: 15 * time.Second,
		IdleTimeout:    2 * time.Minute,
		LingerTimeout:  time.Second,
	}
}

// Option changes a server under construction.
type Option func(*Server)

// WithLimits replaces the default limits.
func WithLimits(limits Limits) Option {
	return func(server *Server) { server.limits = limits }
}

// WithPanicReport sets who is told of a handler that panicked. Its request and
// connection end, the others go on.
func WithPanicReport(report func(cause any)) Option {
	return func(server *Server) { server.onPanic = report }
}

// Server serves HTTP/1.1 on one address. Its handler calls WriteHeader before
// it writes a body.
type Server struct {
	limits    Limits
	handler   http.Handler
	engine    *nbhttp.Engine
	address   string
	listener  net.Listener
	bodyBytes atomic.Int64
	active    atomic.Int64
	opened    atomic.Uint64
	stopOnce  sync.Once
	onPanic   func(cause any)
	guards    sync.Map // of *guard, the connections that sent something
}

// New returns a server of handler for the address, which is IP:port; port 0
// takes any free one.
func New(address string, handler http.Handler, opts ...Option) *Server {
	server := &Server{limits: DefaultLimits(), handler: handler, address: address, onPanic: func(any) {}}
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
		MaxWriteBufferSize: server.limits.WriteBytes,
		KeepaliveTime:      server.limits.IdleTimeout,
		SupportServerOnly:  true,
	})
	server.engine.OnAcceptError(func(error) { time.Sleep(acceptErrorPause) })
	server.engine.OnOpen(func(net.Conn) { server.opened.Add(1) })
	server.engine.OnData(server.data)
	return server
}

const (
	readBufferBytes  = 64 << 10
	acceptErrorPause = 50 * time.Millisecond
	stopTimeout      = 2 * time.Second
)

func init() {
	logging.SetLevel(logging.LevelNone)
}

// Start begins to accept connections.
func (server *Server) Start() error {
	return server.engine.Start()
}

// Address returns the IP:port that the server listens on, once started.
func (server *Server) Address() string {
	return server.listener.Addr().String()
}

// Active returns the number of requests that are being handled.
func (server *Server) Active() int64 {
	return server.active.Load()
}

// BodyBytes returns the bytes of bodies on their way in and in use.
func (server *Server) BodyBytes() int64 {
	return server.bodyBytes.Load()
}

// Opened returns the number of connections accepted so far.
func (server *Server) Opened() uint64 {
	return server.opened.Load()
}

// Stop closes the listener and idle connections, waits until no request is
// being handled or ctx ends, and closes all connections. It returns the
// requests that were cut.
func (server *Server) Stop(ctx context.Context) int64 {
	var cut int64
	server.stopOnce.Do(func() {
		_ = server.listener.Close()
		cut = server.awaitIdle(ctx)
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		_ = server.engine.Shutdown(stopCtx)
	})
	return cut
}

// awaitIdle polls, since the end of the last request is rare and its path is
// not worth a signal.
func (server *Server) awaitIdle(ctx context.Context) int64 {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		server.closeIdle()
		active := server.active.Load()
		if active == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return active
		case <-ticker.C:
		}
	}
}

// closeIdle closes the connections on which no request is arriving or being
// handled.
func (server *Server) closeIdle() {
	server.guards.Range(func(key, _ any) bool {
		if guard, ok := key.(*guard); ok {
			guard.closeIfIdle()
		}
		return true
	})
}

func (server *Server) listen(network, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), network, address)
	server.listener = listener
	return listener, err
}

// serve runs on a goroutine of its own for each request.
func (server *Server) serve(w http.ResponseWriter, r *http.Request) {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	guard, ok := response.Parser.Processor.(*guard)
	if !ok {
		return
	}
	defer server.recover(response)
	server.handler.ServeHTTP(writer{response}, r.WithContext(guard.ctx))
	if strings.EqualFold(response.Header().Get("Connection"), "close") {
		r.Close = true
	}
}

// recover ends the request of a handler that panicked, and its connection.
// http.ErrAbortHandler breaks an answer off on purpose; anything else is
// reported.
func (server *Server) recover(response *nbhttp.Response) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler { //nolint:errorlint,err113 // a panic's value, by identity
		server.onPanic(cause)
	}
	_ = response.Parser.Conn.Close()
}

// writer hides the ReadFrom method of the response, which io.Copy would
// prefer, since it does not frame a body without a stated length.
type writer struct {
	response *nbhttp.Response
}

func (writer writer) Header() http.Header            { return writer.response.Header() }
func (writer writer) WriteHeader(status int)         { writer.response.WriteHeader(status) }
func (writer writer) Write(data []byte) (int, error) { return writer.response.Write(data) }
func (writer writer) Flush()                         { writer.response.Flush() }

// data takes the place of the engine's own data handler, so that a request
// that cannot be parsed gets an answer before its connection closes.
func (server *Server) data(conn *nbio.Conn, data []byte) {
	// The accept of a connection happens before its data through the kernel;
	// reading what the accept wrote says so to the race detector.
	_ = server.opened.Load()
	parser, ok := conn.Session().(*nbhttp.Parser)
	if !ok {
		_ = conn.Close()
		return
	}
	guarded, ok := parser.Processor.(*guard)
	if !ok {
		guarded = newGuard(server, parser)
	}
	guarded.receive(data)
}
