package relay

import (
	"context"

	"mangopier.example/mangopier/internal/coordination/retry"
	"mangopier.example/mangopier/internal/coordination/route"
	"mangopier.example/mangopier/internal/protocol/engine"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/transport/back"
)

// shouldSplit reports whether prefill and decode of the request should run on
// different engines: if no engine runs both, or if a prefill engine is expected to
// process the prompt sooner.
func (relay *Relay) shouldSplit(view *route.View, exchange *chatExchange) bool {
	if exchange.kvSource != "" {
		return false
	}
	mixedRequest, prefillRequest := exchange.routeRequest, exchange.routeRequest
	prefillRequest.Role = note.RolePrefill
	if view.PoolSize(&prefillRequest) <= view.PoolSize(&mixedRequest) {
		return false
	}
	prefill, err := relay.picker.Pick(view, &prefillRequest)
	if err != nil || prefill.Target.Role != note.RolePrefill {
		return false
	}
	mixed, err := relay.picker.Pick(view, &mixedRequest)
	return err != nil || prefill.ExpectedTTFT < mixed.ExpectedTTFT
}

// prefill sends the prompt to a prefill engine, which keeps the KV cache for the
// engine that will decode.
func (relay *Relay) prefill(ctx context.Context, exchange *chatExchange, view *route.View) *retry.Attempt {
	prefillRequest := exchange.routeRequest
	prefillRequest.Role, prefillRequest.PredictedTokens = note.RolePrefill, 0
	choice, err := relay.pickTarget(ctx, exchange, prefillRequest)
	if err != nil {
		return relay.newFailure(ctx, exchange, retry.NotSent, err)
	}
	exchange.phase = note.RolePrefill
	failure := relay.tryTarget(ctx, exchange, view, choice, relay.saveKVHandle)
	exchange.phase = ""
	if failure == nil {
		exchange.routeRequest.Role = note.RoleDecode
	}
	return failure
}

// saveKVHandle stores the address and handle of the prompt's KV cache.
func (relay *Relay) saveKVHandle(_ context.Context, exchange *chatExchange, attempt *attempt, response *back.Response) error {
	handle := response.Header.Get(engine.HeaderKVHandle)
	if handle == "" {
		return errIncomplete
	}
	relay.recordReceived(attempt)
	exchange.kvSource = attempt.choice.Target.Address + " " + handle
	return nil
}
