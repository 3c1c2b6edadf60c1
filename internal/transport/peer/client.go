package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"mangopier.example/mangopier/internal/protocol/peerpb"
	"mangopier.example/mangopier/internal/transport/dial"
	"mangopier.example/mangopier/internal/transport/head"
)

const (
	dialTimeout         = 500 * time.Millisecond
	exchangeTimeout     = time.Second
	callTimeout         = 2 * time.Second
	fetchTimeout        = 5 * time.Second
	idleTimeout         = 30 * time.Second
	maxIdleConns        = 64
	maxConnsPerPeer     = 4
	maxIdleConnsPerPeer = 2
	maxHeaderBytes      = 16 << 10
	maxExchangeBytes    = 64 << 10
)

// Client calls other instances at their peer address, IP:port. A call fails with
// code.PeerUnreachable if the peer does not respond in time, and otherwise with the
// result code that the peer returned.
type Client struct {
	httpClient *http.Client
	transport  *head.Transport
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := head.New(&http.Transport{
		DialContext:            dial.Context(dialer),
		MaxIdleConns:           maxIdleConns,
		MaxConnsPerHost:        maxConnsPerPeer,
		MaxIdleConnsPerHost:    maxIdleConnsPerPeer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	})
	return &Client{
		httpClient: &http.Client{Transport: transport},
		transport:  transport,
	}
}

// Close closes the idle connections.
func (client *Client) Close() {
	client.transport.CloseIdleConnections()
}

// Exchange sends the state of this instance and returns that of the other one.
func (client *Client) Exchange(ctx context.Context, address string, state *peerpb.State) (*peerpb.State, error) {
	stub := client.stub(address, maxExchangeBytes)
	return call(ctx, client, address, exchangeTimeout, stub.Exchange, state)
}

// Status returns the status of another instance.
func (client *Client) Status(ctx context.Context, address string) (*peerpb.StatusReply, error) {
	stub := client.stub(address, MaxRequestBytes)
	return call(ctx, client, address, callTimeout, stub.Status, &peerpb.StatusRequest{})
}

// CopyUsage stores a copy of this instance's usage figures at another instance.
func (client *Client) CopyUsage(ctx context.Context, address string, usage *peerpb.UsageCopy) (*peerpb.UsageAck, error) {
	stub := client.stub(address, MaxRequestBytes)
	return call(ctx, client, address, callTimeout, stub.CopyUsage, usage)
}

// CollectUsage returns the usage figures of another instance and the copies that
// it holds.
func (client *Client) CollectUsage(ctx context.Context, address string, request *peerpb.UsageAsk) (*peerpb.UsageFigures, error) {
	stub := client.stub(address, MaxReplyBytes)
	return call(ctx, client, address, fetchTimeout, stub.CollectUsage, request)
}

// DropTicket asks the instance that wrote an order ticket to drop it.
func (client *Client) DropTicket(ctx context.Context, address string, request *peerpb.DropTicketRequest) (*peerpb.DropTicketReply, error) {
	stub := client.stub(address, MaxRequestBytes)
	return call(ctx, client, address, callTimeout, stub.DropTicket, request)
}

// FetchNote returns a release note or the latest catalog from another instance.
func (client *Client) FetchNote(ctx context.Context, address string, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	stub := client.stub(address, MaxReplyBytes)
	return call(ctx, client, address, fetchTimeout, stub.FetchNote, request)
}

// call limits a call to timeout and decodes its error. A call that timed out may
// have used a connection that no longer carries data, and other pooled connections
// may be in the same state, so the idle ones are closed and the next call dials.
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
