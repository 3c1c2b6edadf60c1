package proxy

import (
	"net/http"
	"strings"
	"time"

	"mangopier.example/mangopier/internal/transport/back"
)

// stream forwards server-sent events to the caller. If the route is resumable,
// the events of several runs form one stream.
type stream struct {
	exchange    *exchange
	beforeWrite func() // called before events are sent
	lastEventID string // of the last event that the caller has
	endReason   string // how the last run ended, for the log
	endErr      error  // of the last run's connection, nil if it ended otherwise
	callerGone  bool
	writes      int       // of events
	lastEventAt time.Time // when the last events were received
}

// eventSeparator is the empty line that ends an event.
var eventSeparator = []byte("\n\n")

const (
	streamBufferBytes = 16 << 10 // of one read
	maxEventBytes     = 1 << 20
	// silenceGaps is how many times the route's maximum gap between events a
	// run may be silent before another engine is asked to resume the stream.
	silenceGaps       = 3
	minSilenceTimeout = 700 * time.Millisecond
)

// silenceTimeout returns how long a run may be silent before another one is
// started beside it.
func (stream *stream) silenceTimeout() time.Duration {
	route := stream.exchange.route
	return max(minSilenceTimeout, silenceGaps*route.MaxEventGap, 2*route.LatencyObjective)
}

// forward sends the pending complete events of a run to the caller. It returns false
// if the stream cannot go on: the caller has gone, an event is too large, or the run's
// events do not fit to those that the caller has.
func (stream *stream) forward(run *decodeRun) bool {
	if run.eventsEnd > 0 {
		if !stream.exchange.beginStream(run) {
			stream.endReason, stream.endErr = "other-version", nil
			return false
		}
		run.hasSent = true
		if !stream.writeEvents(run.response, run.pending[:run.eventsEnd]) {
			return false
		}
		run.removeEvents()
	}
	if len(run.pending) > maxEventBytes {
		stream.endReason, stream.endErr = "event-too-large", nil
		return false
	}
	return true
}

// end records how a run's response ended, and completes the stream if the run sent
// all of it. An incomplete event at the end is dropped, so that the stream can be
// resumed after the last complete one.
func (stream *stream) end(run *decodeRun) callOutcome {
	if run.isComplete() {
		return stream.complete(run.response)
	}
	stream.endReason, stream.endErr = "broken", run.ended
	return outcomeFailed
}

// writeEvents sends complete events to the caller, and returns false if the
// caller has gone.
func (stream *stream) writeEvents(response *back.Response, events []byte) bool {
	exchange := stream.exchange
	stream.beforeWrite()
	stream.writeHeader(response)
	now := time.Now()
	if !stream.lastEventAt.IsZero() {
		exchange.maxGap = max(exchange.maxGap, now.Sub(stream.lastEventAt))
	}
	stream.lastEventAt = now
	stream.writes++
	if _, err := exchange.w.Write(events); err != nil {
		stream.endReason, stream.endErr, stream.callerGone = "caller-gone", err, true
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
	stream.endReason, stream.endErr = "complete", nil
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
