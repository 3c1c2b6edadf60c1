package front

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"mangopier.example/mangopier/internal/protocol/code"
)

// stage is how far the request that is arriving has come.
type stage int

const (
	stageIdle stage = iota
	stageHead
	stageBody
	stageRefused
)

// guard is the processor of one connection. It checks what the lenient
// parser lets through, before the request reaches a handler.
//
// Its methods run within receive, but for Close, which the engine calls on
// another goroutine under the parser's lock.
type guard struct {
	nbhttp.Processor

	server *Server
	parser *nbhttp.Parser
	ctx    context.Context
	cancel context.CancelFunc
	queue  queue

	mu            sync.Mutex // held by receive and release
	stage         stage
	headBytes     int
	headerCount   int
	bodyBytes     int
	heldBytes     int64 // counted in server.bodyBytes for the arriving request
	hosts         int
	contentLength string
	transferCoded bool
	expects       bool
	fault         error
	timer         *time.Timer
	arrival       atomic.Int32 // decides between the timer and the last byte
}

// Values of guard.arrival.
const (
	arrivalUnwatched int32 = iota
	arrivalWatched
	arrivalExpired
)

// newGuard puts a guard in front of the parser's processor and takes over the
// execution of handlers, since the engine would hold back the news of a
// closed connection until a running handler returns.
func newGuard(server *Server, parser *nbhttp.Parser) *guard {
	guard := &guard{Processor: parser.Processor, server: server, parser: parser}
	guard.ctx, guard.cancel = context.WithCancel(context.Background())
	guard.queue.limit = server.limits.PipelineDepth
	parser.Processor = guard
	parser.Execute = guard.execute
	server.guards.Store(guard, struct{}{})
	return guard
}

// closeIfIdle closes the connection if nothing is under way on it. What still
// comes on it is dropped.
func (guard *guard) closeIfIdle() {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if guard.stage != stageIdle || guard.queue.busy() {
		return
	}
	guard.stage = stageRefused
	_ = guard.parser.Conn.Close()
}

// receive parses data and answers a fault with a coded refusal.
func (guard *guard) receive(data []byte) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if guard.stage == stageRefused {
		return
	}
	if err := guard.parser.Parse(data); err != nil {
		guard.refuse(code.Errorf(code.MalformedRequest, "request cannot be parsed: %v", err))
		return
	}
	switch guard.stage {
	case stageIdle, stageHead:
		guard.countHead(len(data))
	case stageBody:
		guard.hold(int64(len(data)))
	case stageRefused:
	}
	guard.watch()
}

// OnMethod begins a request.
func (guard *guard) OnMethod(parser *nbhttp.Parser, method string) {
	if guard.stage == stageRefused {
		return
	}
	guard.stage = stageHead
	guard.headerCount, guard.bodyBytes, guard.hosts = 0, 0, 0
	guard.contentLength, guard.transferCoded, guard.expects = "", false, false
	guard.fault = nil
	guard.Processor.OnMethod(parser, method)
}

// OnURL takes the request target.
func (guard *guard) OnURL(parser *nbhttp.Parser, uri string) error {
	if guard.stage == stageRefused {
		return nil
	}
	guard.headBytes += len(uri)
	return guard.Processor.OnURL(parser, uri)
}

// OnProto takes the protocol version.
func (guard *guard) OnProto(parser *nbhttp.Parser, proto string) error {
	if guard.stage == stageRefused {
		return nil
	}
	if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		guard.blame(code.Errorf(code.MalformedRequest, "protocol %q is not served", proto))
		proto = "HTTP/1.1"
	}
	return guard.Processor.OnProto(parser, proto)
}

// OnHeader checks the framing headers and counts the rest.
func (guard *guard) OnHeader(parser *nbhttp.Parser, key, value string) {
	if guard.stage == stageRefused {
		return
	}
	guard.headerCount++
	guard.headBytes += len(key) + len(value)
	switch key {
	case "Host":
		guard.hosts++
	case "Content-Length":
		guard.checkLength(value)
	case "Transfer-Encoding":
		guard.checkCoding(value)
	case "Expect":
		guard.expects = strings.EqualFold(value, "100-continue")
	}
	guard.Processor.OnHeader(parser, key, value)
}

// OnContentLength ends the headers; it is the last chance to refuse before
// the body.
func (guard *guard) OnContentLength(parser *nbhttp.Parser, length int) {
	if guard.stage == stageRefused {
		return
	}
	if fault := guard.headFault(length); fault != nil {
		guard.refuse(fault)
		return
	}
	guard.stage, guard.headBytes = stageBody, 0
	if guard.expects && length != 0 {
		guard.queue.push(guard.sendContinue)
	}
	guard.Processor.OnContentLength(parser, length)
}

// OnBody counts and keeps body bytes.
func (guard *guard) OnBody(parser *nbhttp.Parser, data []byte) error {
	if guard.stage == stageRefused {
		return nil
	}
	guard.bodyBytes += len(data)
	if guard.bodyBytes > guard.server.limits.BodyBytes {
		guard.refuse(guard.tooLarge())
		return nil
	}
	return guard.Processor.OnBody(parser, data)
}

// OnTrailerHeader drops trailers: no route uses them.
func (guard *guard) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete hands a whole request to its handler.
func (guard *guard) OnComplete(parser *nbhttp.Parser) {
	if guard.stage == stageRefused {
		return
	}
	if !guard.stopTimer() {
		guard.stage = stageRefused
		return
	}
	guard.stage = stageIdle
	_ = parser.Conn.SetReadDeadline(time.Time{})
	guard.hold(max(0, int64(guard.bodyBytes)-guard.heldBytes))
	guard.Processor.OnComplete(parser)
	guard.heldBytes = 0
}

// Close ends the contexts of requests whose connection is closed.
func (guard *guard) Close(parser *nbhttp.Parser, err error) {
	guard.cancel()
	guard.server.guards.Delete(guard)
	guard.queue.force(guard.release)
	guard.Processor.Close(parser, err)
}

// release returns what the connection holds.
func (guard *guard) release() {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	_ = guard.stopTimer()
	guard.server.bodyBytes.Add(-guard.heldBytes)
	guard.heldBytes = 0
	guard.stage = stageRefused
}

// execute queues a handler behind the earlier requests of the connection.
func (guard *guard) execute(handle func()) bool {
	held := guard.heldBytes
	server := guard.server
	server.active.Add(1)
	accepted := guard.queue.push(func() {
		defer server.active.Add(-1)
		defer server.bodyBytes.Add(-held)
		handle()
	})
	if !accepted {
		server.active.Add(-1)
		server.bodyBytes.Add(-held)
		guard.heldBytes = 0
		guard.refuse(code.Errorf(code.MalformedRequest, "more than %d pipelined requests", server.limits.PipelineDepth))
	}
	return accepted
}

func (guard *guard) checkLength(value string) {
	value = strings.TrimSpace(value)
	if guard.contentLength != "" && guard.contentLength != value {
		guard.blame(code.Errorf(code.AmbiguousFraming, "two different Content-Length headers"))
	}
	if value == "" || strings.Trim(value, "0123456789") != "" {
		guard.blame(code.Errorf(code.MalformedRequest, "Content-Length %q is not a length", value))
	}
	guard.contentLength = value
}

func (guard *guard) checkCoding(value string) {
	if guard.transferCoded || !strings.EqualFold(strings.TrimSpace(value), "chunked") {
		guard.blame(code.Errorf(code.AmbiguousFraming, "Transfer-Encoding is not a single chunked"))
	}
	guard.transferCoded = true
}

func (guard *guard) blame(fault error) {
	if guard.fault == nil {
		guard.fault = fault
	}
}

func (guard *guard) headFault(length int) error {
	limits := guard.server.limits
	switch {
	case guard.fault != nil:
		return guard.fault
	case guard.transferCoded && guard.contentLength != "":
		return code.Errorf(code.AmbiguousFraming, "both Content-Length and Transfer-Encoding")
	case guard.hosts != 1:
		return code.Errorf(code.HostMissing, "%d Host headers", guard.hosts)
	case guard.headerCount > limits.HeaderCount || guard.headBytes > limits.HeaderBytes:
		return code.Errorf(code.HeaderTooLarge, "%d headers of %d bytes", guard.headerCount, guard.headBytes)
	case length > limits.BodyBytes:
		return guard.tooLarge()
	default:
		return nil
	}
}

func (guard *guard) tooLarge() error {
	return code.Errorf(code.BodyTooLarge, "body is larger than %d bytes", guard.server.limits.BodyBytes)
}

// countHead bounds a head that has not ended, in which the parser may hold an
// unfinished field of any length.
func (guard *guard) countHead(bytes int) {
	if guard.stage == stageIdle {
		guard.headBytes = 0
		return
	}
	guard.headBytes += bytes
	if guard.headBytes > guard.server.limits.HeaderBytes {
		guard.refuse(code.Errorf(code.HeaderTooLarge, "headers are larger than %d bytes", guard.server.limits.HeaderBytes))
	}
}

// hold counts bytes of a body against the bound of all connections.
func (guard *guard) hold(bytes int64) {
	guard.heldBytes += bytes
	if guard.server.bodyBytes.Add(bytes) > guard.server.limits.AllBodiesBytes && guard.stage == stageBody {
		guard.refuse(code.Errorf(code.BodyMemoryFull, "bodies on their way in take more than %d bytes", guard.server.limits.AllBodiesBytes))
	}
}

// watch bounds the time from the first byte of a request to its last.
func (guard *guard) watch() {
	partial := guard.stage == stageHead || guard.stage == stageBody
	if !partial || guard.timer != nil {
		return
	}
	conn := guard.parser.Conn
	_ = conn.SetReadDeadline(time.Now().Add(guard.server.limits.RequestTimeout + guard.server.limits.LingerTimeout))
	guard.arrival.Store(arrivalWatched)
	guard.timer = time.AfterFunc(guard.server.limits.RequestTimeout, guard.expire)
}

// expire refuses a request that is still arriving.
func (guard *guard) expire() {
	if !guard.arrival.CompareAndSwap(arrivalWatched, arrivalExpired) {
		return
	}
	limits := guard.server.limits
	fault := code.Errorf(code.BodyTimeout, "request did not arrive whole in %v", limits.RequestTimeout)
	guard.queue.force(func() { refusal(guard.parser.Conn, fault, limits.LingerTimeout) })
}

// stopTimer reports whether the request was not refused by the timer.
func (guard *guard) stopTimer() bool {
	if guard.timer == nil {
		return true
	}
	guard.timer.Stop()
	guard.timer = nil
	return guard.arrival.CompareAndSwap(arrivalWatched, arrivalUnwatched)
}

// refuse answers behind the earlier requests of the connection, drops what
// still arrives and lets the connection close.
func (guard *guard) refuse(fault error) {
	if guard.stage == stageRefused {
		return
	}
	guard.stage = stageRefused
	if !guard.stopTimer() {
		return
	}
	guard.server.bodyBytes.Add(-guard.heldBytes)
	guard.heldBytes = 0
	conn := guard.parser.Conn
	guard.queue.force(func() { refusal(conn, fault, guard.server.limits.LingerTimeout) })
}

func (guard *guard) sendContinue() {
	_, _ = guard.parser.Conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
}
