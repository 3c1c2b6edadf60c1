// Package plat offers an HTTP client for the platform: its table and object store,
// its lists of instances and targets, and its calls for target orders and usage
// reports.
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
	"mangopier.example/mangopier/internal/transport/dial"
	"mangopier.example/mangopier/internal/transport/head"
)

const (
	maxResponseBytes = 64 << 20
	dialTimeout      = time.Second
	// defaultTimeout limits one call, so that a call over a connection that no
	// longer carries data ends.
	defaultTimeout = 3 * time.Second
	idleTimeout    = 30 * time.Second
	maxConnections = 16
)

// Option changes a client under construction.
type Option func(*Client)

// WithTimeout sets the timeout of each call. The default is 3 s.
func WithTimeout(timeout time.Duration) Option {
	return func(client *Client) { client.timeout = timeout }
}

// Client calls the platform at one address. It implements table.Table and
// table.ObjectStore. A call that had no effect fails with code.StoreDown, and one
// that may have had an effect with code.WriteUnknown, unless the platform
// returned a result code of its own.
type Client struct {
	baseURL    string
	timeout    time.Duration
	httpClient *http.Client
	transport  *head.Transport
}

// NewClient returns a client for the platform at address, an IP:port.
func NewClient(address string, opts ...Option) *Client {
	client := &Client{baseURL: "http://" + address, timeout: defaultTimeout}
	for _, opt := range opts {
		opt(client)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	client.transport = head.New(&http.Transport{
		DialContext:         dial.Context(dialer),
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
	})
	client.httpClient = &http.Client{Transport: client.transport}
	return client
}

// Get returns the row with the given key.
func (client *Client) Get(ctx context.Context, key string) (table.Row, error) {
	var row table.Row
	err := client.fetchJSON(ctx, infra.PathRow+"?key="+url.QueryEscape(key), &row)
	return row, err
}

// List returns up to limit rows whose keys begin with prefix and sort after the
// given key.
func (client *Client) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var list infra.RowList
	err := client.fetchJSON(ctx, infra.PathRows+"?"+query.Encode(), &list)
	return list.Rows, err
}

// Commit applies all writes or none, in one transaction.
func (client *Client) Commit(ctx context.Context, writes ...table.Write) error {
	if len(writes) == 0 {
		return nil
	}
	_, err := client.sendJSON(ctx, http.MethodPost, infra.PathCommit, infra.CommitRequest{Writes: writes})
	return err
}

// Put stores an object. Objects are written once, see table.ObjectStore.
func (client *Client) Put(ctx context.Context, key string, data []byte) error {
	_, err := client.call(ctx, http.MethodPut, infra.PathObjects+key, data)
	return err
}

// Fetch returns the bytes of an object.
func (client *Client) Fetch(ctx context.Context, key string) ([]byte, error) {
	return client.call(ctx, http.MethodGet, infra.PathObjects+key, nil)
}

// ListInstances returns the platform's list of instances.
func (client *Client) ListInstances(ctx context.Context) ([]infra.Instance, error) {
	var list infra.InstanceList
	err := client.fetchJSON(ctx, infra.PathInstances, &list)
	return list.Instances, err
}

// ListTargets returns the platform's list of targets.
func (client *Client) ListTargets(ctx context.Context) ([]infra.Target, error) {
	var list infra.TargetList
	err := client.fetchJSON(ctx, infra.PathTargets, &list)
	return list.Targets, err
}

// SendOrder asks the platform to start or stop targets. The reply says whether the
// platform accepts the order.
func (client *Client) SendOrder(ctx context.Context, order infra.TargetOrder) (infra.TargetOrderReply, error) {
	var reply infra.TargetOrderReply
	data, err := client.sendJSON(ctx, http.MethodPost, infra.PathOrders, order)
	if err != nil {
		return reply, err
	}
	return reply, decodeResponse(data, &reply)
}

// SendUsageReport sends a usage report to the platform.
func (client *Client) SendUsageReport(ctx context.Context, report infra.UsageReport) error {
	_, err := client.sendJSON(ctx, http.MethodPost, infra.PathUsage, report)
	return err
}

func (client *Client) fetchJSON(ctx context.Context, path string, dst any) error {
	data, err := client.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return decodeResponse(data, dst)
}

func (client *Client) sendJSON(ctx context.Context, method, path string, message any) ([]byte, error) {
	data, err := json.Marshal(message)
	if err != nil {
		return nil, code.Wrap(err, code.Internal, "encode "+path)
	}
	return client.call(ctx, method, path, data)
}

// call sends one request and returns the body of the response. It distinguishes
// failures before a connection was obtained, which cannot have had an effect, from
// later ones, which may have.
func (client *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout)
	defer cancel()
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, client.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, code.Wrap(err, code.Internal, "build platform call")
	}
	if method != http.MethodGet {
		request.GetBody = nil
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return nil, client.callError(err, method, path, gotConn.Load())
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, client.callError(err, method, path, true)
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response.StatusCode, data, method, path)
	}
	return data, nil
}

// callError returns the error of a call without a complete response. After a
// timeout it closes the idle connections, since another one that no longer carries
// data could be picked next.
func (client *Client) callError(err error, method, path string, sent bool) error {
	if errors.Is(err, context.DeadlineExceeded) {
		client.transport.CloseIdleConnections()
	}
	if sent && method != http.MethodGet {
		return code.Wrap(err, code.WriteUnknown, "platform "+path)
	}
	return code.Wrap(err, code.StoreDown, "platform "+path)
}

// statusError returns the error of a response whose status is not 200: the result
// code in its body if there is one. Otherwise the outcome of a write with a server
// error is unknown.
func statusError(status int, data []byte, method, path string) error {
	var failure infra.ErrorResponse
	if err := json.Unmarshal(data, &failure); err == nil && failure.Code != 0 {
		return code.Errorf(code.Code(failure.Code), "platform %s: %s", path, failure.Message)
	}
	if status >= http.StatusInternalServerError && method != http.MethodGet {
		return code.Errorf(code.WriteUnknown, "platform %s answers with status %d", path, status)
	}
	return code.Errorf(code.StoreDown, "platform %s answers with status %d", path, status)
}

func decodeResponse(data []byte, dst any) error {
	if err := json.Unmarshal(data, dst); err != nil {
		return code.Wrap(err, code.RowMalformed, "platform answer")
	}
	return nil
}
