package detour

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/codec"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/dial"
	"mangopier.example/mangopier/internal/transport/head"
)

// Client has other instances run requests. Its methods may be called by several
// goroutines.
type Client struct{ transport *head.Transport }

// ClientOption configures a client's transport.
type ClientOption func(*http.Transport)

// WithDialContext sets the function that makes connections.
func WithDialContext(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(transport *http.Transport) { transport.DialContext = dial }
}

// WithLocalAddress sets the address from which connections are made: instances serve only
// those from the address of an instance, and a machine may have several. By default the
// system chooses one.
func WithLocalAddress(address netip.Addr) ClientOption {
	return func(transport *http.Transport) { transport.DialContext = dialFrom(address) }
}

const dialTimeout = 300 * time.Millisecond

// dialFrom returns a function that makes connections from an address, or from any if it is
// not valid or the machine does not have it.
func dialFrom(local netip.Addr) func(ctx context.Context, network, address string) (net.Conn, error) {
	anywhere, dialer := dial.New(dial.WithTimeout(dialTimeout)), dial.New(dial.WithTimeout(dialTimeout))
	if local.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if errors.Is(err, syscall.EADDRNOTAVAIL) {
			conn, err = anywhere.DialContext(ctx, network, address)
		}
		if err != nil {
			return nil, err
		}
		return dial.ForCalls(conn), nil
	}
}

// NewClient returns a client without connections.
func NewClient(opts ...ClientOption) *Client {
	const (
		idleTimeout         = 5 * time.Second
		maxIdleConnsPerPeer = 64
	)
	transport := &http.Transport{
		DialContext:         dialFrom(netip.Addr{}),
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	for _, opt := range opts {
		opt(transport)
	}
	return &Client{transport: head.New(transport)}
}

// Close closes idle connections. Calls in progress go on.
func (client *Client) Close() { client.transport.CloseIdleConnections() }

// Do has the instance at an address (IP:port) run a request, without the caller's
// API key. It returns the response as soon as its header has arrived. Reading the
// body returns io.EOF only at the end of a complete response, and an
// io.ErrUnexpectedEOF that wraps the cause otherwise. Errors are of type
// *back.CallError. The end of ctx ends the call, and the reading of the body too.
func (client *Client) Do(ctx context.Context, address string, request *site.ForwardedRequest) (*back.Response, error) {
	var sent atomic.Bool
	ctx, cancel := context.WithCancel(ctx)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	stream, header, err := client.call(ctx, address, newWireRequest(request))
	if err != nil {
		callError := &back.CallError{State: callState(err, &sent), Err: contextCause(ctx, err)}
		cancel()
		return nil, callError
	}
	response := &back.Response{
		Status: header.Status,
		Header: header.Header,
		Body:   &responseBody{ctx: ctx, cancel: cancel, stream: stream},

		Software: header.Software,
	}
	if response.Header == nil {
		response.Header = http.Header{}
	}
	return response, nil
}

// call sends a request and waits for the header of its response.
func (client *Client) call(ctx context.Context, address string, request *wireRequest) (*connect.ServerStreamForClient[wireResponse], *wireResponse, error) {
	call := connect.NewClient[wireRequest, wireResponse](
		sender{transport: client.transport}, "http://"+address+procedure,
		connect.WithCodec(codec.CBOR{}), connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxResponseBytes),
	)
	stream, err := call.CallServerStream(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, nil, err
	}
	if stream.Receive() {
		// An instance of an earlier build hands on what a target wrote.
		if err = head.Check(stream.Msg().Status, stream.Msg().Header); err == nil {
			return stream, stream.Msg(), nil
		}
		err = code.Wrap(err, code.MessageMalformed, "response of instance "+address)
	} else if err = stream.Err(); err == nil {
		err = code.Errorf(code.MessageMalformed, "response of instance %s has no header", address)
	}
	_ = stream.Close() // the call has failed already
	return nil, nil, err
}

// sender sends each request once. It implements connect.HTTPClient.
type sender struct{ transport *head.Transport }

// Do sends a request. Without GetBody, the transport cannot send it again.
func (sender sender) Do(request *http.Request) (*http.Response, error) {
	request.GetBody = nil
	return sender.transport.RoundTrip(request)
}

// callState returns how far a call without a response header got.
func callState(err error, sent *atomic.Bool) back.State {
	if !sent.Load() {
		return back.NotSent
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnimplemented: // also status 404
		return back.NotSent
	case connect.CodePermissionDenied, connect.CodeUnavailable:
		if connect.IsWireError(err) { // connect reports a broken connection as unavailable too
			return back.NotSent
		}
		return back.MayHaveRun
	default:
		return back.MayHaveRun
	}
}

func contextCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// responseBody is the body of a response. It implements io.ReadCloser.
type responseBody struct {
	ctx    context.Context
	cancel context.CancelFunc
	stream *connect.ServerStreamForClient[wireResponse]
	part   []byte // received but not read yet
	err    error  // that ended the stream
}

// Read reads from the part received last, or waits for the next one.
func (responseBody *responseBody) Read(buffer []byte) (int, error) {
	for len(responseBody.part) == 0 {
		if responseBody.err != nil {
			return 0, responseBody.err
		}
		if !responseBody.stream.Receive() {
			responseBody.end()
			continue
		}
		responseBody.part = responseBody.stream.Msg().Body
	}
	n := copy(buffer, responseBody.part)
	responseBody.part = responseBody.part[n:]
	return n, nil
}

// end records how the stream ended.
func (responseBody *responseBody) end() {
	responseBody.err = io.EOF
	if err := responseBody.stream.Err(); err != nil {
		responseBody.err = fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, contextCause(responseBody.ctx, err))
	}
	_ = responseBody.Close()
}

// Close cancels the call if it has not ended.
func (responseBody *responseBody) Close() error {
	responseBody.cancel()
	_ = responseBody.stream.Close() // fails only since the call was canceled
	return nil
}
