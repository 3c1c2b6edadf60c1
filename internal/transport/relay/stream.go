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
	doneEvent        = "[DONE]"
	maxEventBytes    = 1 << 20
	maxResponseBytes = 32 << 20
)

// forwardStream forwards a streamed response, event by event. The final event is sent
// only after the usage of the complete response was recorded.
func (relay *Relay) forwardStream(ctx context.Context, exchange *chatExchange, attempt *attempt, body io.Reader) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return err
		}
		relay.recordReceived(attempt)
		if event.Data == doneEvent {
			return relay.finishStream(ctx, exchange, attempt)
		}
		if err := exchange.forwardEvent(event.Data); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return errIncomplete
}

func (relay *Relay) finishStream(ctx context.Context, exchange *chatExchange, attempt *attempt) error {
	if !exchange.progress.finished {
		return errIncomplete
	}
	if reported := exchange.progress.usage; reported != nil {
		attempt.choice.RecordCachedTokens(reported.CachedTokens())
	}
	relay.recordUsage(ctx, exchange)
	writeEvent(exchange.w, []byte(doneEvent))
	return nil
}

// forwardEvent updates the progress from an event and sends the event to the caller.
// Usage that the caller did not ask for is not sent.
func (exchange *chatExchange) forwardEvent(data string) error {
	var chunk chat.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	progress := &exchange.progress
	if progress.id == "" {
		progress.id = chunk.ID
	}
	if chunk.ID != progress.id {
		return errIncomplete
	}
	if chunk.Usage != nil {
		progress.usage = chunk.Usage
		if len(chunk.Choices) == 0 && !exchange.callerWantsUsage {
			return nil
		}
	}
	progress.addChunk(&chunk)
	exchange.startResponse()
	writeEvent(exchange.w, []byte(data))
	return nil
}

func (progress *progress) addChunk(chunk *chat.Chunk) {
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

// startResponse sends the status and headers, once.
func (exchange *chatExchange) startResponse() {
	if exchange.progress.started {
		return
	}
	exchange.progress.started = true
	header := exchange.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Transfer-Encoding", "chunked")
	exchange.w.WriteHeader(http.StatusOK)
}

// writeEvent sends an event and flushes it. Write errors are ignored: if the caller
// disconnects, the context of its request is cancelled.
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

// forwardBody forwards a response that is not streamed, after it was received in full
// and its usage recorded.
func (relay *Relay) forwardBody(ctx context.Context, exchange *chatExchange, attempt *attempt, body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err != nil {
		return err
	}
	relay.healthTracker.RecordReceived(attempt.choice.Target.ID, attempt.number)
	var completion chat.Chunk
	if err := json.Unmarshal(data, &completion); err != nil {
		return errIncomplete
	}
	exchange.progress.usage = completion.Usage
	if completion.Usage != nil {
		attempt.choice.RecordCachedTokens(completion.Usage.CachedTokens())
	}
	relay.recordUsage(ctx, exchange)
	writeOK(exchange.w, "application/json", data)
	return nil
}
