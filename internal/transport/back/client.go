// Package back offers the client towards targets. It tells for each call
// whether the target may have run it, never replays a call by itself, and
// gives up on connections that went silent.
//
// It uses the standard library's transport: the client of nbhttp hands over an
// answer only when all of it has arrived, which no token stream can wait for.
package back

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/engine"
	"mangopier.example/mangopier/internal/transport/dial"
)

const (
	defaultDialTimeout  = 500 * time.Millisecond
	defaultProbeTimeout = time.Second
	idleTimeout         = 60 * time.Second
	maxIdlePerTarget    = 256
	maxControlBytes     = 4 << 20
)

// State is how far a call came.
type State int

// States of calls.
const (
	NotSent    State = iota // no byte can have reached the target
	MayHaveRun              // the call was sent, at least in part
	Answered                // the target answered, at least in part
)

// Call is one attempt of a request at a target.
type Call struct {
	Address    string // IP:port
	Method     string
	Path       string // with the query
	Header     http.Header
	Body       []byte
	Attempt    string // identifies the attempt; the answer has to echo it
	Repeatable bool   // may share a kept connection
	// Kept lets a call that is not repeatable use a kept connection. It saves
	// the set-up, and costs a call now and then whose outcome is unknown, as
	// the target may have closed the connection meanwhile.
	Kept bool
}

// Answer is a target's answer whose body is still to be read.
type Answer struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	Refused bool // the target states that it did not run the call
}

// Failure is a call without an answer.
type Failure struct {
	State State
	Err   error
}

// Error returns the cause.
func (failure *Failure) Error() string { return failure.Err.Error() }

// Unwrap returns the cause.
func (failure *Failure) Unwrap() error { return failure.Err }

// Option changes a client under construction.
type Option func(*Client)

// WithDialTimeout bounds the time to connect to a target.
func WithDialTimeout(timeout time.Duration) Option {
	return func(client *Client) { client.dialer.Timeout = timeout }
}

// WithProbeTimeout bounds a probe and a control call.
func WithProbeTimeout(timeout time.Duration) Option {
	return func(client *Client) { client.probeTimeout = timeout }
}

// WithHeaders sets the headers by which targets echo the attempt and state
// that they did not run a call.
func WithHeaders(attempt, notRun string) Option {
	return func(client *Client) { client.attemptHeader, client.notRunHeader = attempt, notRun }
}

// WithIdleTimeout sets how long an unused connection is kept.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(client *Client) { client.idleTimeout = timeout }
}

// Client calls targets, each over connections of its own.
type Client struct {
	dialer        *net.Dialer
	probeTimeout  time.Duration
	idleTimeout   time.Duration
	attemptHeader string
	notRunHeader  string

	pools  sync.Map        // address to *http.Transport
	single *http.Transport // a connection for each call
}

// New returns a client without connections.
func New(opts ...Option) *Client {
	client := &Client{
		dialer:        dial.New(dial.WithTimeout(defaultDialTimeout)),
		probeTimeout:  defaultProbeTimeout,
		idleTimeout:   idleTimeout,
		attemptHeader: engine.HeaderAttempt,
		notRunHeader:  engine.HeaderNotRun,
	}
	for _, opt := range opts {
		opt(client)
	}
	client.single = &http.Transport{DialContext: client.dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return client
}

// Do sends a call and returns the answer as soon as its headers are there.
// Errors are of type *Failure. The call ends when ctx does.
func (client *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := client.newRequest(ctx, call)
	if err != nil {
		return nil, &Failure{State: NotSent, Err: err}
	}
	answer, err := client.transport(call).RoundTrip(request)
	if err != nil {
		return nil, &Failure{State: stateOf(&sent), Err: causeOf(ctx, err)}
	}
	if echo := answer.Header.Get(client.attemptHeader); echo != "" && echo != call.Attempt {
		_ = answer.Body.Close()
		client.Drop(call.Address)
		return nil, &Failure{State: MayHaveRun, Err: errCrossed}
	}
	return &Answer{
		Status:  answer.StatusCode,
		Header:  answer.Header,
		Body:    answer.Body,
		Refused: answer.Header.Get(client.notRunHeader) != "",
	}, nil
}

// Drop closes the kept connections to a target and leaves those in use to end
// with their calls. Later calls take new connections.
func (client *Client) Drop(address string) {
	if pool, ok := client.pools.LoadAndDelete(address); ok {
		if transport, ok := pool.(*http.Transport); ok {
			transport.CloseIdleConnections()
		}
	}
}

// Close closes all kept connections.
func (client *Client) Close() {
	client.pools.Range(func(address, _ any) bool {
		if text, ok := address.(string); ok {
			client.Drop(text)
		}
		return true
	})
}

// Probe asks a target for its load on a new connection and reports whether it
// answered in time.
func (client *Client) Probe(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, client.probeTimeout)
	defer cancel()
	call := &Call{Address: address, Method: http.MethodGet, Path: engine.PathLoad}
	answer, err := client.Do(ctx, call)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	return answer.Status == http.StatusOK
}

// Load asks a target for its load report.
func (client *Client) Load(ctx context.Context, address string) (engine.Load, error) {
	var load engine.Load
	err := client.control(ctx, &Call{Address: address, Method: http.MethodGet, Path: engine.PathLoad, Repeatable: true}, &load)
	return load, err
}

// CacheEvents asks an engine for the events after a sequence number.
func (client *Client) CacheEvents(ctx context.Context, address, after string) (engine.CacheEvents, error) {
	var events engine.CacheEvents
	path := engine.PathCache + "?after=" + after
	err := client.control(ctx, &Call{Address: address, Method: http.MethodGet, Path: path, Repeatable: true}, &events)
	return events, err
}

// Order sends an order. An error that is a *Failure with the state NotSent
// means that the target has not seen it.
func (client *Client) Order(ctx context.Context, address string, order engine.Order) (engine.OrderReply, error) {
	var reply engine.OrderReply
	body, err := json.Marshal(order)
	if err != nil {
		return reply, &Failure{State: NotSent, Err: err}
	}
	err = client.control(ctx, &Call{Address: address, Method: http.MethodPost, Path: engine.PathOrders, Body: body}, &reply)
	return reply, err
}

// Cancel tells a target that nobody waits for an attempt any longer.
func (client *Client) Cancel(ctx context.Context, address, attempt string) {
	ctx, cancel := context.WithTimeout(ctx, client.probeTimeout)
	defer cancel()
	call := &Call{
		Address: address, Method: http.MethodPost, Path: engine.PathCancel, Repeatable: true,
		Header: http.Header{engine.HeaderAttempt: {attempt}},
	}
	if answer, err := client.Do(ctx, call); err == nil {
		_ = answer.Body.Close()
	}
}

func (client *Client) control(ctx context.Context, call *Call, dst any) error {
	ctx, cancel := context.WithTimeout(ctx, client.probeTimeout)
	defer cancel()
	answer, err := client.Do(ctx, call)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			client.Drop(call.Address)
		}
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Status != http.StatusOK && answer.Status != http.StatusConflict {
		return &Failure{State: Answered, Err: code.Errorf(code.TargetFailed, "control call answers with status %d", answer.Status)}
	}
	if err := json.UnmarshalRead(io.LimitReader(answer.Body, maxControlBytes), dst); err != nil {
		return &Failure{State: Answered, Err: code.Wrap(err, code.TargetFailed, "control call")}
	}
	return nil
}

func (client *Client) transport(call *Call) *http.Transport {
	if !call.Repeatable && !call.Kept {
		return client.single
	}
	if pool, ok := client.pools.Load(call.Address); ok {
		return asTransport(pool)
	}
	pool, _ := client.pools.LoadOrStore(call.Address, &http.Transport{
		DialContext:         client.dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerTarget,
		IdleConnTimeout:     client.idleTimeout,
		DisableCompression:  true,
	})
	return asTransport(pool)
}

func asTransport(pool any) *http.Transport {
	transport, _ := pool.(*http.Transport)
	return transport
}

// newRequest gives the body, also an empty one, in a form that the transport
// cannot rewind, so that it never sends a call twice.
func (client *Client) newRequest(ctx context.Context, call *Call) (*http.Request, error) {
	var body io.Reader
	switch {
	case len(call.Body) > 0:
		body = bytes.NewReader(call.Body)
	case call.Kept && !call.Repeatable:
		body = io.NopCloser(bytes.NewReader(nil))
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, body)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.ContentLength = int64(len(call.Body))
	for name, values := range call.Header {
		request.Header[name] = values
	}
	if call.Attempt != "" {
		request.Header.Set(client.attemptHeader, call.Attempt)
	}
	return request, nil
}

func stateOf(sent *atomic.Bool) State {
	if sent.Load() {
		return MayHaveRun
	}
	return NotSent
}

func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

var errCrossed = errors.New("the answer belongs to another attempt")
