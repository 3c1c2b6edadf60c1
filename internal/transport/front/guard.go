package front

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"golang.org/x/net/http/httpguts"

	"mangopier.example/mangopier/internal/protocol/code"
)

// parseState is how much of the current request has arrived.
type parseState int

const (
	stateIdle parseState = iota
	stateHeader
	stateBody
	stateRefused
)

// processor wraps the nbhttp processor of one connection. It rejects requests that
// the lenient parser accepts, before they reach a handler.
//
// Its methods run within receive, except for Close, which the engine calls on
// another goroutine under the parser's lock.
type processor struct {
	nbhttp.Processor

	server *Server
	parser *nbhttp.Parser
	conn   *conn
	ctx    context.Context
	cancel context.CancelFunc
	queue  queue
	active atomic.Int64 // requests that run or wait for an earlier one
	late   bool         // of the request that runs; used by its handler's goroutine

	mu                  sync.Mutex // held by receive and release
	state               parseState
	headerBytes         int
	headerCount         int
	bodyBytes           int
	reservedBytes       int64 // share of the current request in server.reservedBodyBytes
	hostCount           int
	contentLength       string
	hasTransferEncoding bool
	expectsContinue     bool
	headerErr           error
	head                requestHead
	receivedBytes       int  // since the last whole request, without the rest of its data
	closedByStop        bool // and no data has been dropped yet
	timer               *time.Timer
	timerState          atomic.Int32 // settles the race between the timer and the last byte
}

// Values of processor.timerState.
const (
	timerStopped int32 = iota
	timerRunning
	timerExpired
)

// newProcessor wraps the parser's processor. It also takes over the execution of
// handlers, since the engine would not report a closed connection until the
// running handler returns.
func newProcessor(server *Server, parser *nbhttp.Parser, raw *nbio.Conn) *processor {
	server.stopSilenceTimer(raw)
	processor := &processor{Processor: parser.Processor, server: server, parser: parser}
	processor.ctx, processor.cancel = context.WithCancel(context.Background())
	processor.conn = newConn(processor.ctx, raw, parser.Conn, server.limits, func() { server.report(Refusal{Cause: CauseIdle}, raw.RemoteAddr()) })
	parser.Conn = processor.conn
	processor.queue.maxWaiting = server.limits.PipelineDepth
	parser.Processor = processor
	parser.Execute = processor.execute
	server.processors.Store(processor, struct{}{})
	return processor
}

// closeIfIdle closes the connection if no request is arriving, waiting or running
// and no answer is on its way. Data that arrives later is dropped, until the caller has
// closed its end: the last answer could be lost otherwise.
func (processor *processor) closeIfIdle() {
	processor.mu.Lock()
	defer processor.mu.Unlock()
	if processor.state == stateIdle && !processor.queue.busy() && !processor.conn.sending() {
		processor.state, processor.closedByStop = stateRefused, true
		_ = processor.conn.Close()
	}
}

// refuseArriving refuses the request that is arriving, if there is one.
func (processor *processor) refuseArriving() {
	processor.mu.Lock()
	defer processor.mu.Unlock()
	if processor.state == stateHeader || processor.state == stateBody {
		processor.refuse(ShuttingDownError())
	}
}

// requestsBehind reports whether a request is waiting for the running one or arriving.
func (processor *processor) requestsBehind() bool {
	processor.mu.Lock()
	defer processor.mu.Unlock()
	return processor.queue.hasWaiting() || processor.state == stateHeader || processor.state == stateBody
}

// hasEnded reports whether the connection has closed.
func (processor *processor) hasEnded() bool {
	raw := processor.conn.raw
	raw.Lock()
	defer raw.Unlock()
	closed, _ := raw.IsClosed()
	return closed
}

// sendsAnswer reports whether an answer is on its way and no handler is running.
func (processor *processor) sendsAnswer() bool {
	return processor.active.Load() == 0 && processor.conn.sending()
}

// receive parses data and responds to malformed requests with an error.
func (processor *processor) receive(data []byte) {
	processor.mu.Lock()
	defer processor.mu.Unlock()
	if processor.state == stateRefused || processor.conn.closing.Load() {
		processor.drop(data)
		return
	}
	processor.receivedBytes += len(data)
	if err := processor.parser.Parse(data); err != nil {
		processor.refuse(code.Errorf(code.MalformedRequest, "request cannot be parsed: %v", err))
		return
	}
	switch processor.state {
	case stateIdle, stateHeader:
		processor.countHeaderBytes(len(data))
	case stateBody:
		processor.reserveBodyBytes(int64(len(data)))
	case stateRefused:
	}
	processor.startTimer()
}

// OnMethod begins a new request.
func (processor *processor) OnMethod(parser *nbhttp.Parser, method string) {
	if processor.state == stateRefused {
		return
	}
	processor.state = stateHeader
	processor.headerCount, processor.bodyBytes, processor.hostCount = 0, 0, 0
	processor.contentLength, processor.hasTransferEncoding, processor.expectsContinue = "", false, false
	processor.headerErr = nil
	processor.head = requestHead{method: method, bytes: len(method)}
	processor.Processor.OnMethod(parser, method)
}

// OnURL counts the bytes of the request target.
func (processor *processor) OnURL(parser *nbhttp.Parser, uri string) error {
	if processor.state == stateRefused {
		return nil
	}
	processor.headerBytes += len(uri)
	processor.head.path = uri
	processor.head.bytes += len(uri)
	return processor.Processor.OnURL(parser, uri)
}

// OnProto checks the protocol version.
func (processor *processor) OnProto(parser *nbhttp.Parser, proto string) error {
	if processor.state == stateRefused {
		return nil
	}
	if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		processor.recordHeaderErr(code.Errorf(code.MalformedRequest, "protocol %q is not served", proto))
		proto = "HTTP/1.1"
	}
	return processor.Processor.OnProto(parser, proto)
}

// OnHeader checks the headers that define the framing and counts all headers.
func (processor *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	if processor.state == stateRefused {
		return
	}
	processor.headerCount++
	processor.headerBytes += len(key) + len(value)
	processor.head.bytes += len(key) + len(value)
	if !httpguts.ValidHeaderFieldName(key) || !httpguts.ValidHeaderFieldValue(value) {
		processor.recordHeaderErr(code.Errorf(code.MalformedRequest, "header field %q has a name or a value that HTTP does not allow", key))
	}
	switch key {
	case "Host":
		processor.hostCount++
		processor.head.host = value
	case "Content-Length":
		processor.checkContentLength(value)
	case "Transfer-Encoding":
		processor.checkTransferEncoding(value)
	case "Expect":
		processor.expectsContinue = strings.EqualFold(value, "100-continue")
	case processor.server.idHeader:
		processor.head.id = value
	}
	processor.Processor.OnHeader(parser, key, value)
}

// OnContentLength is called at the end of the headers. It refuses the request if
// its headers are invalid or exceed the limits.
func (processor *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	if processor.state == stateRefused {
		return
	}
	if err := processor.checkHeader(length); err != nil {
		processor.refuse(err)
		return
	}
	processor.state, processor.headerBytes = stateBody, 0
	if processor.expectsContinue && length != 0 {
		if processor.server.refusesLate.Load() {
			processor.refuse(ShuttingDownError())
			return
		}
		processor.queue.tryPush(processor.sendContinue)
	}
	processor.Processor.OnContentLength(parser, length)
}

// OnBody checks the size of the body and passes its bytes on.
func (processor *processor) OnBody(parser *nbhttp.Parser, data []byte) error {
	if processor.state == stateRefused {
		return nil
	}
	processor.bodyBytes += len(data)
	processor.head.bytes += len(data)
	if processor.bodyBytes > processor.server.limits.BodyBytes {
		processor.refuse(processor.bodyTooLarge())
		return nil
	}
	return processor.Processor.OnBody(parser, data)
}

// OnTrailerHeader drops trailers, which no route uses.
func (processor *processor) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete passes a complete request to its handler.
func (processor *processor) OnComplete(parser *nbhttp.Parser) {
	if processor.state == stateRefused {
		return
	}
	if !processor.stopTimer() {
		processor.state = stateRefused
		return
	}
	processor.state = stateIdle
	processor.conn.keepOpen()
	processor.reserveBodyBytes(max(0, int64(processor.bodyBytes)-processor.reservedBytes))
	processor.Processor.OnComplete(parser)
	processor.reservedBytes, processor.receivedBytes = 0, 0
}

// Close cancels the context of the requests of a closed connection and releases
// its reservations.
func (processor *processor) Close(parser *nbhttp.Parser, err error) {
	processor.cancel()
	processor.server.processors.Delete(processor)
	processor.queue.pushUnbounded(func() { processor.release(err) })
	processor.Processor.Close(parser, err)
}

// release stops the timers, returns the reserved body bytes and reports a request that
// was still arriving when the connection closed with err.
func (processor *processor) release(err error) {
	processor.mu.Lock()
	defer processor.mu.Unlock()
	arriving := processor.state == stateHeader || processor.state == stateBody
	if processor.stopTimer() && arriving {
		processor.report(processor.describe(processor.closeCause(err), nil))
	}
	processor.conn.timer.Stop()
	processor.server.reservedBodyBytes.Add(-processor.reservedBytes)
	processor.reservedBytes = 0
	processor.state = stateRefused
}

// closeCause returns why a connection closed with err.
func (processor *processor) closeCause(err error) Cause {
	switch {
	case processor.conn.closing.Load():
		return CauseClosing
	case err == nil || processor.server.stopping.Load():
		return CauseStop
	default:
		return CauseCallerLeft
	}
}

// execute queues a handler after the earlier requests of the connection. It
// returns false and refuses the request if too many are waiting. The handler is
// not run if an earlier answer closes the connection.
func (processor *processor) execute(handle func()) bool {
	reserved := processor.reservedBytes
	server := processor.server
	dropped := processor.describe(CauseClosing, nil)
	late := server.refusesLate.Load()
	server.activeRequests.Add(1)
	processor.active.Add(1)
	accepted := processor.queue.tryPush(func() {
		defer processor.startIdleTimeout()
		defer server.activeRequests.Add(-1)
		defer processor.active.Add(-1)
		defer server.reservedBodyBytes.Add(-reserved)
		if processor.conn.closing.Load() {
			processor.report(dropped)
			return
		}
		processor.late = late
		handle()
	})
	if !accepted {
		server.activeRequests.Add(-1)
		processor.active.Add(-1)
		server.reservedBodyBytes.Add(-reserved)
		processor.reservedBytes = 0
		processor.refuse(code.Errorf(code.MalformedRequest, "more than %d pipelined requests", server.limits.PipelineDepth))
	}
	return accepted
}

// startIdleTimeout limits the time until the next request, unless one is arriving,
// waiting or running.
func (processor *processor) startIdleTimeout() {
	processor.mu.Lock()
	defer processor.mu.Unlock()
	if processor.state == stateIdle && processor.active.Load() == 0 {
		processor.conn.closeAfter(processor.server.limits.IdleTimeout)
	}
}

func (processor *processor) checkContentLength(value string) {
	value = strings.TrimSpace(value)
	if processor.contentLength != "" && processor.contentLength != value {
		processor.recordHeaderErr(code.Errorf(code.AmbiguousFraming, "two different Content-Length headers"))
	}
	if value == "" || strings.Trim(value, "0123456789") != "" {
		processor.recordHeaderErr(code.Errorf(code.MalformedRequest, "Content-Length %q is not a length", value))
	}
	processor.contentLength = value
}

func (processor *processor) checkTransferEncoding(value string) {
	if processor.hasTransferEncoding || !strings.EqualFold(strings.TrimSpace(value), "chunked") {
		processor.recordHeaderErr(code.Errorf(code.AmbiguousFraming, "Transfer-Encoding is not a single chunked"))
	}
	processor.hasTransferEncoding = true
}

func (processor *processor) recordHeaderErr(err error) {
	if processor.headerErr == nil {
		processor.headerErr = err
	}
}

func (processor *processor) checkHeader(length int) error {
	limits := processor.server.limits
	switch {
	case processor.headerErr != nil:
		return processor.headerErr
	case processor.hasTransferEncoding && processor.contentLength != "":
		return code.Errorf(code.AmbiguousFraming, "both Content-Length and Transfer-Encoding")
	case processor.hostCount != 1:
		return code.Errorf(code.HostMissing, "%d Host headers", processor.hostCount)
	case processor.headerCount > limits.HeaderCount || processor.headerBytes > limits.HeaderBytes:
		return code.Errorf(code.HeaderTooLarge, "%d headers of %d bytes", processor.headerCount, processor.headerBytes)
	case length > limits.BodyBytes:
		return processor.bodyTooLarge()
	default:
		return nil
	}
}

func (processor *processor) bodyTooLarge() error {
	return code.Errorf(code.BodyTooLarge, "body is larger than %d bytes", processor.server.limits.BodyBytes)
}

// countHeaderBytes limits headers that have not ended, since the parser may buffer
// an incomplete field of any length.
func (processor *processor) countHeaderBytes(bytes int) {
	if processor.state == stateIdle {
		processor.headerBytes = 0
		return
	}
	processor.headerBytes += bytes
	if processor.headerBytes > processor.server.limits.HeaderBytes {
		processor.refuse(code.Errorf(code.HeaderTooLarge, "headers are larger than %d bytes", processor.server.limits.HeaderBytes))
	}
}

// reserveBodyBytes counts body bytes against the limit for all connections together
// and refuses the request if they exceed it.
func (processor *processor) reserveBodyBytes(bytes int64) {
	processor.reservedBytes += bytes
	if processor.server.reservedBodyBytes.Add(bytes) > processor.server.limits.TotalBodyBytes && processor.state == stateBody {
		processor.refuse(code.Errorf(code.BodyMemoryFull, "bodies on their way in take more than %d bytes", processor.server.limits.TotalBodyBytes))
	}
}

// startTimer limits the time from the first byte of a request to its last. It does
// nothing between requests or if the timer is running. The timer refuses the
// request after the earlier ones, whose handlers may run for longer.
func (processor *processor) startTimer() {
	partial := processor.state == stateHeader || processor.state == stateBody
	if !partial || processor.timer != nil {
		return
	}
	processor.conn.keepOpen()
	processor.timerState.Store(timerRunning)
	processor.timer = time.AfterFunc(processor.server.limits.RequestTimeout, processor.refuseOnTimeout)
}

// refuseOnTimeout refuses a request that has not arrived completely in time.
func (processor *processor) refuseOnTimeout() {
	if !processor.timerState.CompareAndSwap(timerRunning, timerExpired) {
		return
	}
	processor.mu.Lock()
	defer processor.mu.Unlock()
	processor.answer(code.Errorf(code.BodyTimeout, "request did not arrive whole in %v", processor.server.limits.RequestTimeout))
}

// stopTimer stops the timer. It returns false if the timer has already refused the
// request.
func (processor *processor) stopTimer() bool {
	if processor.timer == nil {
		return true
	}
	processor.timer.Stop()
	processor.timer = nil
	return processor.timerState.CompareAndSwap(timerRunning, timerStopped)
}

// refuse responds with an error after the earlier requests of the connection and
// drops the data that still arrives. The connection closes after the response.
func (processor *processor) refuse(err error) {
	if processor.state == stateRefused {
		return
	}
	processor.state = stateRefused
	if !processor.stopTimer() {
		return
	}
	processor.server.reservedBodyBytes.Add(-processor.reservedBytes)
	processor.reservedBytes = 0
	processor.answer(err)
}

// answer responds to the current request with an error after the earlier requests of
// the connection, and closes the connection.
func (processor *processor) answer(err error) {
	refusal := processor.describe(CauseRefused, err)
	processor.queue.pushUnbounded(func() {
		refusal.Status = writeErrorToConn(processor.conn, err)
		processor.report(refusal)
	})
}

func (processor *processor) sendContinue() {
	_, _ = processor.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
}
