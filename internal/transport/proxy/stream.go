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

// stream gives the events of one or, where a route may be resumed, several
// runs to the caller.
type stream struct {
	exchange   *exchange
	last       string // id of the last event that the caller has
	end        string // how the last run ended, for the log
	callerGone bool
	heard      time.Time // when the last events came
}

// eventEnd is the empty line that ends an event.
var eventEnd = []byte("\n\n")

const (
	streamBuffer = 16 << 10 // bytes read at once
	maxEvent     = 1 << 20  // bytes of one event
	// silencePauses is how many times its longest pause a stream that may go
	// on elsewhere may be silent.
	silencePauses = 3
	leastSilence  = 700 * time.Millisecond
)

// watchdog ends a run that is silent for too long.
type watchdog struct {
	timer   *time.Timer
	silence time.Duration
	fired   atomic.Bool
}

// watch starts the watchdog of a run. Only runs that may go on elsewhere have
// one that ends them.
func (stream *stream) watch(cancel context.CancelFunc) *watchdog {
	route := stream.exchange.route
	watch := &watchdog{silence: max(leastSilence, silencePauses*route.Pause, 2*route.Objective)}
	if !route.Resumable || stream.exchange.runs+1 >= route.Attempts {
		return watch
	}
	watch.timer = time.AfterFunc(watch.silence, func() {
		watch.fired.Store(true)
		cancel()
	})
	return watch
}

// Heard records that bytes came.
func (watch *watchdog) Heard() {
	if watch.timer != nil {
		watch.timer.Reset(watch.silence)
	}
}

// Stop ends the watchdog.
func (watch *watchdog) Stop() {
	if watch.timer != nil {
		watch.timer.Stop()
	}
}

// copy gives whole events to the caller until the answer ends.
func (stream *stream) copy(answer *back.Answer, watch *watchdog) verdict {
	defer func() { _ = answer.Body.Close() }()
	buffer := make([]byte, streamBuffer)
	var pending []byte
	for {
		count, err := answer.Body.Read(buffer)
		if count > 0 {
			watch.Heard()
			pending = append(pending, buffer[:count]...)
			whole := bytes.LastIndex(pending, eventEnd)
			if whole >= 0 {
				if !stream.write(answer, pending[:whole+len(eventEnd)]) {
					return failed
				}
				pending = append(pending[:0], pending[whole+len(eventEnd):]...)
			}
		}
		switch {
		case err == nil && len(pending) > maxEvent:
			stream.end = "event-too-large"
			return failed
		case err == nil:
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) == 0:
			return stream.finish(answer)
		default:
			stream.end = "broken"
			if watch.fired.Load() {
				stream.end = "silent"
			}
			return failed
		}
	}
}

// write gives whole events to the caller.
func (stream *stream) write(answer *back.Answer, events []byte) bool {
	exchange := stream.exchange
	stream.begin(answer)
	now := time.Now()
	if !stream.heard.IsZero() {
		exchange.pause = max(exchange.pause, now.Sub(stream.heard))
	}
	stream.heard = now
	if _, err := exchange.w.Write(events); err != nil {
		stream.end, stream.callerGone = "caller-gone", true
		return false
	}
	if flusher, ok := exchange.w.(http.Flusher); ok {
		flusher.Flush()
	}
	if id := lastID(events); id != "" {
		stream.last = id
	}
	return true
}

// begin sends the head of the first run's answer.
func (stream *stream) begin(answer *back.Answer) {
	exchange := stream.exchange
	if exchange.began {
		return
	}
	exchange.copyHeader(answer)
	exchange.w.WriteHeader(answer.Status)
	exchange.began = true
	exchange.first = time.Since(exchange.begun)
}

// finish ends the answer as complete.
func (stream *stream) finish(answer *back.Answer) verdict {
	stream.begin(answer)
	stream.end = "complete"
	stream.exchange.status = "answered"
	stream.exchange.code = answer.Status
	return answered
}

// lastID returns the id of the last event, empty if none has one.
func lastID(events []byte) string {
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
