// Package plat offers a client of the platform's interfaces over HTTP.
package plat

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/state/table"
)

const (
	maxAnswerBytes = 64 << 20
	dialTimeout    = time.Second
	// defaultTimeout bounds one call, so that a connection that went silent
	// is given up.
	defaultTimeout = 3 * time.Second
	idleTimeout    = 30 * time.Second
	maxConnections = 16
)

// Option changes a client under construction.
type Option func(*Client)

// WithTimeout bounds each call.
func WithTimeout(timeout time.Duration) Option {
	return func(client *Client) { client.timeout = timeout }
}

// Client calls the platform at one address. It is a table.Table and a
// table.Objects.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	pool    *http.Transport
}

// New returns a client for the platform at address, which is IP:port.
func New(address string, opts ...Option) *Client {
	client := &Client{base: "http://" + address, timeout: defaultTimeout}
	for _, opt := range opts {
		opt(client)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	client.pool = &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
	}
	client.http = &http.Client{Transport: client.pool}
	return client
}

// Get returns the row of a key.
func (client *Client) Get(ctx context.Context, key string) (table.Row, error) {
	var row table.Row
	err := client.read(ctx, infra.PathRow+"?key="+url.QueryEscape(key), &row)
	return row, err
}

// List returns up to limit rows whose keys begin with prefix and follow after.
func (client *Client) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var list infra.RowList
	err := client.read(ctx, infra.PathRows+"?"+query.Encode(), &list)
	return list.Rows, err
}

// Commit applies all writes or none.
func (client *Client) Commit(ctx context.Context, writes ...table.Write) error {
	if len(writes) == 0 {
		return nil
	}
	_, err := client.send(ctx, http.MethodPost, infra.PathCommit, infra.CommitRequest{Writes: writes})
	return err
}

// Put stores an object once.
func (client *Client) Put(ctx context.Context, key string, data []byte) error {
	_, err := client.call(ctx, http.MethodPut, infra.PathObjects+key, data)
	return err
}

// Fetch returns the bytes of an object.
func (client *Client) Fetch(ctx context.Context, key string) ([]byte, error) {
	return client.call(ctx, http.MethodGet, infra.PathObjects+key, nil)
}

// Instances returns the platform's list of instances.
func (client *Client) Instances(ctx context.Context) ([]infra.Instance, error) {
	var list infra.InstanceList
	err := client.read(ctx, infra.PathInstances, &list)
	return list.Instances, err
}

// Targets returns the platform's list of targets.
func (client *Client) Targets(ctx context.Context) ([]infra.Target, error) {
	var list infra.TargetList
	err := client.read(ctx, infra.PathTargets, &list)
	return list.Targets, err
}

// Order sends an order for a target to the platform.
func (client *Client) Order(ctx context.Context, order infra.TargetOrder) (infra.TargetOrderReply, error) {
	var reply infra.TargetOrderReply
	data, err := client.send(ctx, http.MethodPost, infra.PathOrders, order)
	if err != nil {
		return reply, err
	}
	return reply, decode(data, &reply)
}

// Report sends a usage report to the platform.
func (client *Client) Report(ctx context.Context, report infra.UsageReport) error {
	_, err := client.send(ctx, http.MethodPost, infra.PathUsage, report)
	return err
}

func (client *Client) read(ctx context.Context, path string, dst any) error {
	data, err := client.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return decode(data, dst)
}

func (client *Client) send(ctx context.Context, method, path string, message any) ([]byte, error) {
	data, err := json.Marshal(message)
	if err != nil {
		return nil, code.Wrap(err, code.Internal, "encode "+path)
	}
	return client.call(ctx, method, path, data)
}

// call tells failures before the first byte was sent, which have no effect,
// from those after it, which may have had one.
func (client *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, client.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, code.Wrap(err, code.Internal, "build platform call")
	}
	if method != http.MethodGet {
		request.GetBody = nil
	}
	answer, err := client.http.Do(request)
	if err != nil {
		return nil, client.failed(err, method, path, sent.Load())
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return nil, client.failed(err, method, path, true)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, failure(answer.StatusCode, data, method, path)
	}
	return data, nil
}

// failed drops idle connections after a timeout, since one that went silent
// would be picked again.
func (client *Client) failed(err error, method, path string, sent bool) error {
	if errors.Is(err, context.DeadlineExceeded) {
		client.pool.CloseIdleConnections()
	}
	if sent && method != http.MethodGet {
		return code.Wrap(err, code.WriteUnknown, "platform "+path)
	}
	return code.Wrap(err, code.StoreDown, "platform "+path)
}

func failure(status int, data []byte, method, path string) error {
	var failure infra.Failure
	if err := json.Unmarshal(data, &failure); err == nil && failure.Code != 0 {
		return code.Errorf(code.Code(failure.Code), "platform %s: %s", path, failure.Message)
	}
	if status >= http.StatusInternalServerError && method != http.MethodGet {
		return code.Errorf(code.WriteUnknown, "platform %s answers with status %d", path, status)
	}
	return code.Errorf(code.StoreDown, "platform %s answers with status %d", path, status)
}

func decode(data []byte, dst any) error {
	if err := json.Unmarshal(data, dst); err != nil {
		return code.Wrap(err, code.RowMalformed, "platform answer")
	}
	return nil
}
