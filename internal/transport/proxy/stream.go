package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"mangopier.example/mangopier/internal/transport/back"
)

// stream forwards server-sent events to the caller. If the route is resumable,
// the events of several runs form one stream.
type stream struct {
	exchange    *exchange
	lastEventID string // of the last event that the caller has
	endReason   string // how the last run ended, for the log
	endErr      error  // of the last run's connection, nil if it ended otherwise
	callerGone  bool
	lastEventAt time.Time // when the last events were received
}

// eventSeparator is the empty line that ends an event.
var eventSeparator = []byte("\n\n")

const (
	streamBufferBytes = 16 << 10 // of one read
	maxEventBytes     = 1 << 20
	// silenceGaps is how many times the route's maximum gap between events a
	// run may be silent before the stream is resumed at another engine.
	silenceGaps       = 3
	minSilenceTimeout = 700 * time.Millisecond
)

// watchdog cancels a run from which nothing is received within its timeout.
type watchdog struct {
	timer   *time.Timer // nil if the run is never cancelled
	timeout time.Duration
	fired   atomic.Bool
}

// startWatchdog starts the watchdog of the next run. It cancels the run only if
// another run may resume the stream.
func (stream *stream) startWatchdog(cancel context.CancelFunc) *watchdog {
	route := stream.exchange.route
	watchdog := &watchdog{timeout: max(minSilenceTimeout, silenceGaps*route.MaxEventGap, 2*route.LatencyObjective)}
	if !route.Resumable || stream.exchange.runs+1 >= route.MaxAttempts {
		return watchdog
	}
	watchdog.timer = time.AfterFunc(watchdog.timeout, func() {
		watchdog.fired.Store(true)
		cancel()
	})
	return watchdog
}

// Reset restarts the timeout, after bytes were received.
func (watchdog *watchdog) Reset() {
	if watchdog.timer != nil {
		watchdog.timer.Reset(watchdog.timeout)
	}
}

// Stop stops the watchdog.
func (watchdog *watchdog) Stop() {
	if watchdog.timer != nil {
		watchdog.timer.Stop()
	}
}

// forward sends complete events to the caller until the response ends. An
// incomplete event at the end is dropped, so that the stream can be resumed
// after the last complete one.
func (stream *stream) forward(response *back.Response, watchdog *watchdog) callOutcome {
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, streamBufferBytes)
	var pending []byte
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			watchdog.Reset()
			pending = append(pending, buffer[:count]...)
			lastSeparator := bytes.LastIndex(pending, eventSeparator)
			if lastSeparator >= 0 {
				if !stream.writeEvents(response, pending[:lastSeparator+len(eventSeparator)]) {
					return outcomeFailed
				}
				pending = append(pending[:0], pending[lastSeparator+len(eventSeparator):]...)
			}
		}
		switch {
		case err == nil && len(pending) > maxEventBytes:
			stream.endReason = "event-too-large"
			return outcomeFailed
		case err == nil:
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) == 0:
			return stream.complete(response)
		default:
			stream.endReason, stream.endErr = "broken", err
			if watchdog.fired.Load() {
				stream.endReason = "silent"
			}
			return outcomeFailed
		}
	}
}

// writeEvents sends complete events to the caller, and returns false if the
// caller has gone.
func (stream *stream) writeEvents(response *back.Response, events []byte) bool {
	exchange := stream.exchange
	stream.writeHeader(response)
	now := time.Now()
	if !stream.lastEventAt.IsZero() {
		exchange.maxGap = max(exchange.maxGap, now.Sub(stream.lastEventAt))
	}
	stream.lastEventAt = now
	if _, err := exchange.w.Write(events); err != nil {
		stream.endReason, stream.callerGone = "caller-gone", true
		return false
	}
	if flusher, ok := exchange.w.(http.Flusher); ok {
		flusher.Flush()
	}
	if id := findLastEventID(events); id != "" {
		stream.lastEventID = id
	}
	return true
}

// writeHeader sends the header of the first run's response. For later runs it
// does nothing.
func (stream *stream) writeHeader(response *back.Response) {
	exchange := stream.exchange
	if exchange.headerSent {
		return
	}
	exchange.copyHeader(response)
	exchange.w.WriteHeader(response.Status)
	exchange.headerSent = true
	exchange.firstByte = time.Since(exchange.started)
}

// complete records that the caller has the whole stream.
func (stream *stream) complete(response *back.Response) callOutcome {
	stream.writeHeader(response)
	stream.endReason = "complete"
	stream.exchange.status = "answered"
	stream.exchange.code = response.Status
	return outcomeSucceeded
}

// findLastEventID returns the last event id in events, empty if there is none.
func findLastEventID(events []byte) string {
	text := string(events)
	at := strings.LastIndex(text, "\nid:")
	if at >= 0 {
		text = text[at+1:]
	} else if !strings.HasPrefix(text, "id:") {
		return ""
	}
	line, _, _ := strings.Cut(text, "\n")
	return strings.TrimSpace(strings.TrimPrefix(line, "id:"))
}
