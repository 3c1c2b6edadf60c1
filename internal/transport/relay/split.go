package relay

import (
	"context"

	"mangopier.example/mangopier/internal/coordination/retry"
	"mangopier.example/mangopier/internal/coordination/route"
	"mangopier.example/mangopier/internal/protocol/engine"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/transport/back"
)

// splits reports whether the request is to be processed by two engines, one
// for the prompt and one for the answer: where no engine takes whole requests,
// or where a prefill engine is expected to be done with the prompt sooner.
func (relay *Relay) splits(view *route.View, exchange *exchange) bool {
	if exchange.kvSource != "" {
		return false
	}
	whole, first := exchange.ask, exchange.ask
	first.Role = note.RolePrefill
	if view.Size(&first) <= view.Size(&whole) {
		return false
	}
	prefill, err := relay.picker.Pick(view, &first)
	if err != nil || prefill.Target.Role != note.RolePrefill {
		return false
	}
	mixed, err := relay.picker.Pick(view, &whole)
	return err != nil || prefill.Delay < mixed.Delay
}

// prefill has an engine process the prompt and keep its KV cache for the
// engine that will decode.
func (relay *Relay) prefill(ctx context.Context, exchange *exchange, view *route.View) *retry.Attempt {
	ask := exchange.ask
	ask.Role, ask.Predicted = note.RolePrefill, 0
	choice, err := relay.pick(ctx, exchange, ask)
	if err != nil {
		return relay.attemptOf(ctx, exchange, retry.NotSent, err)
	}
	exchange.phase = note.RolePrefill
	failure := relay.tryAt(ctx, exchange, view, choice, relay.takeHandle)
	exchange.phase = ""
	if failure == nil {
		exchange.ask.Role = note.RoleDecode
	}
	return failure
}

// takeHandle notes where the KV cache of the prompt is.
func (relay *Relay) takeHandle(_ context.Context, exchange *exchange, flight *flight, answer *back.Response) error {
	handle := answer.Header.Get(engine.HeaderKVHandle)
	if handle == "" {
		return errTruncated
	}
	relay.heard(flight)
	exchange.kvSource = flight.choice.Target.Address + " " + handle
	return nil
}
