package relay

import (
	"context"
	"io"
	"net/http"

	"github.com/go-json-experiment/json"
	"github.com/tmaxmax/go-sse"

	"mangopier.example/mangopier/internal/protocol/chat"
)

const (
	doneMark       = "[DONE]"
	maxEventBytes  = 1 << 20
	maxAnswerBytes = 32 << 20
)

// copyStream passes a streamed answer on, event by event. The end of the
// stream goes to the caller only after a whole answer was counted.
func (relay *Relay) copyStream(ctx context.Context, exchange *exchange, flight *flight, body io.Reader) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return err
		}
		relay.heard(flight)
		if event.Data == doneMark {
			return relay.finishStream(ctx, exchange, flight)
		}
		if err := exchange.pass(event.Data); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return errTruncated
}

func (relay *Relay) finishStream(ctx context.Context, exchange *exchange, flight *flight) error {
	if !exchange.progress.finished {
		return errTruncated
	}
	if count := exchange.progress.usage; count != nil {
		flight.choice.Learn(count.CachedTokens())
	}
	relay.record(ctx, exchange)
	writeEvent(exchange.w, []byte(doneMark))
	return nil
}

// pass notes what an event holds and hands it to the caller.
func (exchange *exchange) pass(data string) error {
	var chunk chat.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	progress := &exchange.progress
	if progress.id == "" {
		progress.id = chunk.ID
	}
	if chunk.ID != progress.id {
		return errTruncated
	}
	if chunk.Usage != nil {
		progress.usage = chunk.Usage
		if len(chunk.Choices) == 0 && !exchange.wantsUsage {
			return nil
		}
	}
	progress.add(&chunk)
	exchange.begin()
	writeEvent(exchange.w, []byte(data))
	return nil
}

func (progress *progress) add(chunk *chat.Chunk) {
	for _, choice := range chunk.Choices {
		if choice.Delta != nil && choice.Delta.Content != "" {
			progress.tokens++
			progress.text.WriteString(choice.Delta.Content)
		}
		if choice.FinishReason != nil {
			progress.finished = true
		}
	}
}

func (exchange *exchange) begin() {
	if exchange.progress.begun {
		return
	}
	exchange.progress.begun = true
	header := exchange.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Transfer-Encoding", "chunked")
	exchange.w.WriteHeader(http.StatusOK)
}

// writeEvent sends one event at once. A caller that is gone shows by the
// context of its request.
func writeEvent(w http.ResponseWriter, data []byte) {
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	_, _ = w.Write(event)
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}

// copyWhole passes on an answer that is not streamed, once it is there.
func (relay *Relay) copyWhole(ctx context.Context, exchange *exchange, flight *flight, body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return err
	}
	relay.health.RecordReceived(flight.choice.Target.ID, flight.id)
	var whole chat.Chunk
	if err := json.Unmarshal(data, &whole); err != nil {
		return errTruncated
	}
	exchange.progress.usage = whole.Usage
	if whole.Usage != nil {
		flight.choice.Learn(whole.Usage.CachedTokens())
	}
	relay.record(ctx, exchange)
	reply(exchange.w, "application/json", data)
	return nil
}
