package mirror

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"mangopier.example/mangopier/internal/coordination/follow"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
	"mangopier.example/mangopier/internal/transport/dial"
)

const (
	// longestWatch bounds one wait at a mirror, and answerSlack how long after
	// it the answer may come, so that a mirror that has stopped is noticed well
	// within the 3 s after which a leaving target may get no more requests.
	longestWatch = time.Second
	answerSlack  = 400 * time.Millisecond
	// freshAge is how old what a mirror has may be: longer than two feeds of the
	// store lie apart, and also well within those 3 s.
	freshAge = 2500 * time.Millisecond
	// avoid is how long the store is left alone after it failed, if another
	// instance serves the table, and an instance if the store does.
	avoid = 2 * time.Second
)

// Client calls the mirrors of other instances.
type Client struct{ http *http.Client }

// ClientOption changes a client under construction.
type ClientOption func(*http.Transport)

// WithDial sets how connections are made.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(transport *http.Transport) { transport.DialContext = dial }
}

// NewClient returns a client.
func NewClient(opts ...ClientOption) *Client {
	const idle = 10 * time.Second
	transport := &http.Transport{DialContext: dial.New().DialContext, IdleConnTimeout: idle, DisableCompression: true}
	for _, opt := range opts {
		opt(transport)
	}
	return &Client{http: &http.Client{Transport: transport}}
}

// Close closes the connections that rest.
func (client *Client) Close() { client.http.CloseIdleConnections() }

func (client *Client) watch(ctx context.Context, address string, message *WatchRequest) (*WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(message.WaitMS)*time.Millisecond+answerSlack)
	defer cancel()
	call := connect.NewClient[WatchRequest, WatchResponse](client.http, "http://"+address+procedure, connect.WithCodec(codec{}))
	response, err := call.CallUnary(ctx, connect.NewRequest(message))
	if err != nil {
		return nil, code.Wrap(err, code.PeerUnreachable, "mirror "+address)
	}
	if response.Msg.AgeMS > freshAge.Milliseconds() {
		return nil, code.Errorf(code.PeerUnreachable, "what mirror %s has is %d ms old", address, response.Msg.AgeMS)
	}
	return response.Msg, nil
}

// Fetch returns the rows of a table that the instance at address has.
func (client *Client) Fetch(ctx context.Context, address, name string) ([]table.Change, error) {
	response, err := client.watch(ctx, address, &WatchRequest{Table: name})
	if err != nil {
		return nil, err
	}
	return response.Changes, nil
}

// Source is a table that comes from the store or from a mirror. It is a
// follow.Source; only one goroutine may use it.
type Source struct {
	name   string
	store  follow.Source
	client *Client
	// choose returns the address of a mirror to ask, empty for none, and
	// whether the store is to be asked first.
	choose func() (mirror string, direct bool)

	mirror string // in use, empty if the store is
	boot   uint64
	lost   time.Time // when the store failed last
	failed time.Time // when a mirror failed last
	heard  atomic.Int64
}

// NewSource returns a source of the table that name stands for.
func NewSource(name string, store follow.Source, client *Client, choose func() (string, bool)) *Source {
	return &Source{name: name, store: store, client: client, choose: choose}
}

// Heard returns when the store was last heard of, directly or by a mirror.
func (source *Source) Heard() time.Time { return time.Unix(0, source.heard.Load()) }

// List returns all rows, from the store or a mirror.
func (source *Source) List(ctx context.Context) (table.Page, error) {
	mirror, direct := source.choose()
	direct = direct && time.Since(source.lost) > avoid
	if mirror != "" && !direct {
		page, err := source.listMirror(ctx, mirror)
		if err == nil {
			return page, nil
		}
		source.failed = time.Now()
	}
	page, err := source.store.List(ctx)
	if err == nil {
		source.mirror = ""
		source.hear(0)
		return page, nil
	}
	source.lost = time.Now()
	if mirror != "" && direct {
		return source.listMirror(ctx, mirror)
	}
	return page, err
}

// Watch waits for changes where the last list came from.
func (source *Source) Watch(ctx context.Context, after uint64, wait time.Duration) (table.Page, error) {
	if source.mirror == "" {
		if mirror, direct := source.choose(); mirror != "" && !direct && time.Since(source.failed) > avoid {
			return table.Page{}, code.Errorf(code.RowMissing, "another instance serves the table")
		}
		page, err := source.store.Watch(ctx, after, wait)
		switch {
		case err == nil:
			source.hear(0)
		case !code.Is(err, code.RowMissing):
			source.lost = time.Now() // a mirror is asked first now
		}
		return page, err
	}
	response, err := source.client.watch(ctx, source.mirror, &WatchRequest{
		Table: source.name, Boot: source.boot, After: after, WaitMS: min(wait, longestWatch).Milliseconds(),
	})
	if err != nil {
		return table.Page{}, err
	}
	if response.Whole {
		return table.Page{}, code.Errorf(code.RowMissing, "the mirror has started anew")
	}
	source.hear(response.AgeMS)
	return table.Page{Changes: response.Changes, Version: response.Next}, nil
}

func (source *Source) listMirror(ctx context.Context, mirror string) (table.Page, error) {
	response, err := source.client.watch(ctx, mirror, &WatchRequest{Table: source.name})
	if err != nil {
		return table.Page{}, err
	}
	source.mirror, source.boot = mirror, response.Boot
	source.hear(response.AgeMS)
	return table.Page{Changes: response.Changes, Version: response.Next}, nil
}

func (source *Source) hear(ageMS int64) {
	source.heard.Store(time.Now().Add(-time.Duration(ageMS) * time.Millisecond).UnixNano())
}
