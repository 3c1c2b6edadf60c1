package front

import (
	"bytes"
	"net"
	"net/http"
	"strings"

	"mangopier.example/mangopier/internal/transport/logs"
)

// Cause tells why the server itself ended a request or closed a connection.
type Cause string

// Causes of refusals.
const (
	CauseRefused     Cause = "refused"     // the request was not passed to the handler; it got an error response
	CausePanic       Cause = "panic"       // the handler panicked
	CauseClosing     Cause = "closing"     // the request came behind a response that closes the connection
	CauseStop        Cause = "stop"        // the server stopped before the request had arrived whole
	CauseCallerLeft  Cause = "caller-left" // the caller closed the connection before the request had arrived whole
	CauseIdle        Cause = "idle"        // the connection was idle for too long
	CauseConnections Cause = "connections" // the connection was one too many
	CauseAccept      Cause = "accept"      // the connection could not be accepted
)

// Refusal is a request, or a connection without one, that the server did not pass to
// its handler or ended in the handler's place. Texts of the caller are cut and are
// valid UTF-8.
type Refusal struct {
	Cause         Cause
	Err           error  // nil for causes without an error response
	Status        int    // of the error response, 0 if none was written
	ID            string // value of the header of WithIDHeader
	Method        string
	Host          string
	Path          string // without the query
	RemoteAddress string
	Bytes         int // that had arrived, at least
}

// WithRefusalHandler sets a function that is called once for each request that the
// server refuses or drops, and each connection that it closes without one. It may be
// called on several goroutines and must not block.
func WithRefusalHandler(handle func(Refusal)) Option {
	return func(server *Server) { server.onRefusal = handle }
}

// WithIDHeader sets the name of the header that identifies requests in refusals.
func WithIDHeader(name string) Option {
	return func(server *Server) { server.idHeader = http.CanonicalHeaderKey(name) }
}

// report passes a refusal on.
func (server *Server) report(refusal Refusal, address net.Addr) {
	refusal.ID, refusal.Method, refusal.Host = logs.Sanitize(refusal.ID), logs.Sanitize(refusal.Method), logs.Sanitize(refusal.Host)
	path, _, _ := strings.Cut(refusal.Path, "?")
	refusal.Path = logs.Sanitize(path)
	if address != nil {
		refusal.RemoteAddress = address.String()
	}
	server.onRefusal(refusal)
}

// requestHead is what has been read of the current request of a connection.
type requestHead struct {
	id     string
	method string
	host   string
	path   string
	bytes  int // as far as they were parsed
}

// describe returns the refusal of the current request.
func (processor *processor) describe(cause Cause, err error) Refusal {
	head := &processor.head
	return Refusal{
		Cause: cause, Err: err, ID: head.id, Method: head.method, Host: head.host, Path: head.path,
		Bytes: max(head.bytes, processor.receivedBytes),
	}
}

func (processor *processor) report(refusal Refusal) {
	processor.server.report(refusal, processor.conn.RemoteAddr())
}

// drop reports the first data behind a response that closes the connection, or that
// arrives after Stop has closed it. The data behind a refused request may be the rest
// of that request, and is not reported.
func (processor *processor) drop(data []byte) {
	cause := CauseClosing
	switch {
	case processor.closedByStop:
		cause = CauseStop
	case processor.state == stateRefused:
		return
	}
	arriving := processor.state == stateHeader || processor.state == stateBody
	processor.state, processor.closedByStop = stateRefused, false
	if !processor.stopTimer() {
		return
	}
	processor.receivedBytes += len(data)
	if !arriving {
		processor.head = scanHead(data, processor.server.idHeader)
	}
	processor.report(processor.describe(cause, nil))
}

// scanHead returns what can be read of a request that is not parsed.
func scanHead(data []byte, idHeader string) requestHead {
	const lineEnd = "\r\n"
	var head requestHead
	header, _, _ := bytes.Cut(data, []byte(lineEnd+lineEnd))
	requestLine, fields, _ := strings.Cut(string(header), lineEnd)
	parts := strings.SplitN(requestLine, " ", 3)
	if len(parts) > 1 {
		head.method, head.path = parts[0], parts[1]
	}
	for field := range strings.SplitSeq(fields, lineEnd) {
		name, value, _ := strings.Cut(field, ":")
		switch http.CanonicalHeaderKey(name) {
		case "Host":
			head.host = strings.TrimSpace(value)
		case idHeader:
			head.id = strings.TrimSpace(value)
		}
	}
	return head
}
