// Package back provides the HTTP client for calls to targets. For each failed
// call it reports whether the target may have run it. It never resends a call on
// its own, and its connections fail if the target no longer acknowledges data.
//
// It uses net/http's transport: the client of nbhttp returns a response only
// after all of it has arrived, which rules out token streams.
package back

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-json-experiment/json"
	"golang.org/x/net/http/httpguts"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/engine"
	"mangopier.example/mangopier/internal/transport/dial"
	"mangopier.example/mangopier/internal/transport/head"
)

const (
	defaultDialTimeout      = 500 * time.Millisecond
	defaultProbeTimeout     = time.Second
	defaultIdleTimeout      = 60 * time.Second
	maxIdleConnsPerTarget   = 256
	maxControlResponseBytes = 4 << 20
	maxHeaderBytes          = 64 << 10 // of a response
)

// State is how far a failed call got.
type State int

// States of failed calls.
const (
	NotSent    State = iota // no byte can have reached the target
	MayHaveRun              // the call was sent, at least in part
	Responded               // the response arrived, at least in part
)

// Call is one attempt of a request at a target.
type Call struct {
	Address    string // IP:port
	Method     string
	Path       string // including the query
	Header     http.Header
	Body       []byte
	AttemptID  string // ID of the attempt; a response that carries another one is rejected
	Repeatable bool   // safe to repeat, so it may use a pooled connection
	// ReuseConnection lets a call that is not repeatable use a pooled
	// connection. It saves the connection set-up, but the outcome of a call is
	// sometimes unknown, as the target may close the idle connection just when
	// the call is sent.
	ReuseConnection bool
}

// Response is a target's response. The caller has to close its body.
type Response struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	Refused bool // the target states that it did not run the call
	// EndsWithConnection states that the body has neither a length nor chunks: a target
	// that ends while it sends the body may seem to have sent all of it.
	EndsWithConnection bool
	// Software is the version of the software of the target that responded to another
	// instance, nil if that instance does not tell it.
	Software *string
}

// CallError is the error of a call without a usable response.
type CallError struct {
	State State
	Err   error
}

// Error returns the text of the cause.
func (callError *CallError) Error() string { return callError.Err.Error() }

// Unwrap returns the cause.
func (callError *CallError) Unwrap() error { return callError.Err }

// Option configures a client.
type Option func(*Client)

// WithDialTimeout sets the connect timeout, 500 ms by default.
func WithDialTimeout(timeout time.Duration) Option {
	return func(client *Client) { client.dialer.Timeout = timeout }
}

// WithProbeTimeout sets the timeout of probes and control calls, 1 s by default.
func WithProbeTimeout(timeout time.Duration) Option {
	return func(client *Client) { client.probeTimeout = timeout }
}

// WithHeaderNames sets the names of the headers with which targets echo the ID of
// an attempt and state that they did not run a call.
func WithHeaderNames(attemptID, notRun string) Option {
	return func(client *Client) { client.attemptIDHeader, client.notRunHeader = attemptID, notRun }
}

// WithIdleTimeout sets how long an idle connection is kept, 60 s by default. The
// pool of a target without calls for that long is dropped when another is created.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(client *Client) { client.idleTimeout = timeout }
}

// Client calls targets and keeps a connection pool for each of them. Its methods
// may be called by several goroutines.
type Client struct {
	dialer          *net.Dialer
	probeTimeout    time.Duration
	idleTimeout     time.Duration
	attemptIDHeader string
	notRunHeader    string

	pools    sync.Map        // by address, of *pool
	created  time.Time       // from which the pools count the time of their last use
	unpooled *http.Transport // opens a new connection for each call
	refusals refusals
}

// New returns a client without connections.
func New(opts ...Option) *Client {
	client := &Client{
		dialer:          dial.New(dial.WithTimeout(defaultDialTimeout)),
		probeTimeout:    defaultProbeTimeout,
		idleTimeout:     defaultIdleTimeout,
		attemptIDHeader: engine.HeaderAttemptID,
		notRunHeader:    engine.HeaderNotRun,
		created:         time.Now(),
	}
	for _, opt := range opts {
		opt(client)
	}
	client.unpooled = &http.Transport{DialContext: client.dialTarget, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}
	return client
}

// Do sends a call and returns the response as soon as its headers have arrived.
// Errors are of type *CallError. The end of ctx ends the call, and the reading of
// the body too. A call whose connection is reset closes the idle connections to
// its target, since a target that lost its state resets them all.
func (client *Client) Do(ctx context.Context, call *Call) (*Response, error) {
	var sent, reused atomic.Bool
	var conn *dial.CallConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			sent.Store(true)
			reused.Store(info.Reused)
			if response, ok := info.Conn.(*head.Conn); ok {
				response.BeginResponse()
				conn, _ = response.Conn.(*dial.CallConn)
			}
		},
		Got1xxResponse: head.CheckInterim(),
	})
	request, err := client.newRequest(ctx, call)
	if err != nil {
		return nil, &CallError{State: NotSent, Err: errors.Join(ErrInvalidCall, err)}
	}
	response, err := client.transportFor(call).RoundTrip(request)
	if err != nil {
		if isReset(err) {
			client.closeIdleConnections(call.Address)
		}
		return nil, &CallError{State: callState(&sent), Err: contextCause(ctx, err)}
	}
	err = head.Check(response.StatusCode, response.Header)
	if err == nil {
		err = client.checkAttempt(call, response, reused.Load())
	}
	if err != nil {
		_ = response.Body.Close()
		client.DropConnections(call.Address)
		return nil, &CallError{State: MayHaveRun, Err: err}
	}
	response.Body = head.Body(response)
	return &Response{
		Status:  response.StatusCode,
		Header:  response.Header,
		Body:    watchBody(conn, response),
		Refused: response.Header.Get(client.notRunHeader) != "",

		EndsWithConnection: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
	}, nil
}

// checkAttempt returns an error if a response belongs to another attempt, or may: a faulty
// target may send a response once more where a later one is due. A refusal of the same
// attempt is told from its copy by the connection, since later calls of that attempt use a
// new one.
func (client *Client) checkAttempt(call *Call, response *http.Response, reused bool) error {
	echoedID := response.Header.Get(client.attemptIDHeader)
	if echoedID != "" && echoedID != call.AttemptID {
		return errWrongAttempt
	}
	if response.Header.Get(client.notRunHeader) == "" && response.StatusCode != http.StatusMisdirectedRequest {
		return nil
	}
	if echoedID == "" && call.AttemptID != "" && reused {
		return errNoAttempt
	}
	client.refusals.add(call)
	return nil
}

// DropConnections discards the connection pool of a target: idle connections
// are closed now, those in use after their calls. Later calls open new
// connections.
func (client *Client) DropConnections(address string) {
	if loaded, ok := client.pools.LoadAndDelete(address); ok {
		asPool(loaded).transport.CloseIdleConnections()
	}
}

// closeIdleConnections closes the idle connections to a target and keeps its pool.
func (client *Client) closeIdleConnections(address string) {
	if loaded, ok := client.pools.Load(address); ok {
		asPool(loaded).transport.CloseIdleConnections()
	}
}

// Close discards the connection pools of all targets.
func (client *Client) Close() {
	client.pools.Range(func(address, _ any) bool {
		if name, ok := address.(string); ok {
			client.DropConnections(name)
		}
		return true
	})
}

// Connect makes a connection to an address and closes it. It returns an error if no
// connection can be made.
func (client *Client) Connect(ctx context.Context, address string) error {
	conn, err := client.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// Probe requests the load report of a target on a new connection and reports
// whether it returned status 200 within the probe timeout.
func (client *Client) Probe(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, client.probeTimeout)
	defer cancel()
	call := &Call{Address: address, Method: http.MethodGet, Path: engine.PathLoad}
	response, err := client.Do(ctx, call)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.Status == http.StatusOK
}

// FetchLoad returns the load report of a target.
func (client *Client) FetchLoad(ctx context.Context, address string) (engine.LoadReport, error) {
	var load engine.LoadReport
	err := client.callControl(ctx, &Call{Address: address, Method: http.MethodGet, Path: engine.PathLoad, Repeatable: true}, &load)
	return load, err
}

// FetchCacheEvents returns an engine's cache events after a sequence number.
func (client *Client) FetchCacheEvents(ctx context.Context, address, after string) (engine.CacheEvents, error) {
	var events engine.CacheEvents
	path := engine.PathCacheEvents + "?after=" + after
	err := client.callControl(ctx, &Call{Address: address, Method: http.MethodGet, Path: path, Repeatable: true}, &events)
	return events, err
}

// SendOrder sends an order to a target. If the error is a *CallError with the state
// NotSent, the target has not received the order.
func (client *Client) SendOrder(ctx context.Context, address string, order engine.Order) (engine.OrderReply, error) {
	var reply engine.OrderReply
	body, err := json.Marshal(order)
	if err != nil {
		return reply, &CallError{State: NotSent, Err: err}
	}
	err = client.callControl(ctx, &Call{Address: address, Method: http.MethodPost, Path: engine.PathOrders, Body: body}, &reply)
	return reply, err
}

// CancelAttempt asks a target to cancel an attempt whose response is no longer
// needed. Errors are ignored.
func (client *Client) CancelAttempt(ctx context.Context, address, attemptID string) {
	ctx, cancel := context.WithTimeout(ctx, client.probeTimeout)
	defer cancel()
	call := &Call{
		Address: address, Method: http.MethodPost, Path: engine.PathCancel, Repeatable: true,
		Header: http.Header{engine.HeaderAttemptID: {attemptID}},
	}
	if response, err := client.Do(ctx, call); err == nil {
		_ = response.Body.Close()
	}
}

// callControl decodes the JSON response to a control call into dst.
func (client *Client) callControl(ctx context.Context, call *Call, dst any) error {
	ctx, cancel := context.WithTimeout(ctx, client.probeTimeout)
	defer cancel()
	response, err := client.Do(ctx, call)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			client.DropConnections(call.Address)
		}
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.Status != http.StatusOK && response.Status != http.StatusConflict {
		return &CallError{State: Responded, Err: code.Errorf(code.TargetFailed, "control call returned status %d", response.Status)}
	}
	if err := json.UnmarshalRead(io.LimitReader(response.Body, maxControlResponseBytes), dst); err != nil {
		return &CallError{State: Responded, Err: code.Wrap(err, code.TargetFailed, "control call")}
	}
	return nil
}

func (client *Client) transportFor(call *Call) *http.Transport {
	if (!call.Repeatable && !call.ReuseConnection) || client.refusals.contains(call) {
		return client.unpooled
	}
	now := time.Since(client.created)
	loaded, ok := client.pools.Load(call.Address)
	if !ok {
		client.dropUnusedPools(now)
		loaded, _ = client.pools.LoadOrStore(call.Address, client.newPool(now))
	}
	pool := asPool(loaded)
	pool.lastUsed.Store(int64(now))
	return pool.transport
}

// newRequest returns a request whose body, even an empty one, cannot be rewound
// by the transport, so that the transport never sends a call twice.
func (client *Client) newRequest(ctx context.Context, call *Call) (*http.Request, error) {
	var body io.Reader
	switch {
	case len(call.Body) > 0:
		body = bytes.NewReader(call.Body)
	case call.ReuseConnection && !call.Repeatable:
		body = io.NopCloser(bytes.NewReader(nil))
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, body)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.ContentLength = int64(len(call.Body))
	for name, values := range call.Header {
		if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, func(value string) bool { return !httpguts.ValidHeaderFieldValue(value) }) {
			return nil, fmt.Errorf("header field %q cannot be sent", name)
		}
		request.Header[name] = values
	}
	if call.AttemptID != "" {
		request.Header.Set(client.attemptIDHeader, call.AttemptID)
	}
	return request, nil
}

func callState(sent *atomic.Bool) State {
	if sent.Load() {
		return MayHaveRun
	}
	return NotSent
}

// isReset reports whether the target reset the connection, or the kernel gave it up
// since the target acknowledged no data. A plain close does not count: targets close
// single connections that were idle for long.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT)
}

func contextCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// ErrInvalidCall is in the error of a call that cannot be sent to any target.
var ErrInvalidCall = errors.New("invalid call")

var (
	errWrongAttempt = errors.New("response carries the ID of another attempt")
	errNoAttempt    = errors.New("refusal on a used connection carries no ID of an attempt")
)
