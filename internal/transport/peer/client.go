package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"mangopier.example/mangopier/internal/protocol/peerpb"
)

const (
	dialTimeout         = 500 * time.Millisecond
	exchangeTimeout     = time.Second
	callTimeout         = 2 * time.Second
	fetchTimeout        = 5 * time.Second
	idleTimeout         = 30 * time.Second
	idleConnsMax        = 64
	connsPerPeerMax     = 4
	idleConnsPerPeerMax = 2
	headerMaxBytes      = 16 << 10
	exchangeMaxBytes    = 64 << 10
)

// Client calls other instances by their peer address, IP:port. Calls fail
// with code.PeerUnreachable when the other side does not answer in time, and
// else with the code that it gave.
type Client struct {
	httpClient *http.Client
	transport  *http.Transport
}

// NewClient returns a client with connections of its own.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConns:           idleConnsMax,
		MaxConnsPerHost:        connsPerPeerMax,
		MaxIdleConnsPerHost:    idleConnsPerPeerMax,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerMaxBytes,
		DisableCompression:     true,
	}
	return &Client{
		httpClient: &http.Client{Transport: transport},
		transport:  transport,
	}
}

// Close ends the idle connections.
func (client *Client) Close() {
	client.transport.CloseIdleConnections()
}

// Exchange hands state over and returns that of the other instance.
func (client *Client) Exchange(ctx context.Context, address string, state *peerpb.State) (*peerpb.State, error) {
	stub := client.stub(address, exchangeMaxBytes)
	return call(ctx, client, address, exchangeTimeout, stub.Exchange, state)
}

// Status returns the status of another instance.
func (client *Client) Status(ctx context.Context, address string) (*peerpb.StatusReply, error) {
	stub := client.stub(address, RequestMaxBytes)
	return call(ctx, client, address, callTimeout, stub.Status, &peerpb.StatusRequest{})
}

// CopyUsage leaves a copy of this instance's usage counters with another one.
func (client *Client) CopyUsage(ctx context.Context, address string, usage *peerpb.UsageCopy) (*peerpb.UsageAck, error) {
	stub := client.stub(address, RequestMaxBytes)
	return call(ctx, client, address, callTimeout, stub.CopyUsage, usage)
}

// CollectUsage asks another instance for its usage figures.
func (client *Client) CollectUsage(ctx context.Context, address string, ask *peerpb.UsageAsk) (*peerpb.UsageFigures, error) {
	stub := client.stub(address, ReplyMaxBytes)
	return call(ctx, client, address, fetchTimeout, stub.CollectUsage, ask)
}

// DropTicket asks the writer of a ticket to give it up.
func (client *Client) DropTicket(ctx context.Context, address string, request *peerpb.DropTicketRequest) (*peerpb.DropTicketReply, error) {
	stub := client.stub(address, RequestMaxBytes)
	return call(ctx, client, address, callTimeout, stub.DropTicket, request)
}

// FetchNote returns a release note or the newest catalog of another instance.
func (client *Client) FetchNote(ctx context.Context, address string, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	stub := client.stub(address, ReplyMaxBytes)
	return call(ctx, client, address, fetchTimeout, stub.FetchNote, request)
}

// call bounds a call's time. A call that ran out of it may have met a silent
// connection, so the idle ones are closed and the next call dials again.
func call[Request, Reply proto.Message](
	ctx context.Context, client *Client, address string, timeout time.Duration,
	method func(context.Context, Request) (Reply, error), request Request,
) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := method(ctx, request)
	if err != nil && ctx.Err() != nil {
		client.transport.CloseIdleConnections()
	}
	return reply, decodeError(err, address)
}

func (client *Client) stub(address string, maxBytes int) peerpb.PeerServiceClient {
	return peerpb.NewPeerServiceClient(client.httpClient, "http://"+address, connect.WithReadMaxBytes(maxBytes))
}
