package proxy

import (
	"context"
	"net/http"
	"time"

	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
)

// maxCleanups bounds the background calls under way, which release prompts and check
// targets. Beyond it, a prompt stays with its engine until the engine releases it by
// itself, and a target is checked after the next call that it does not answer.
const maxCleanups = 8

// cleanupTimeout bounds one call that releases a prompt.
const cleanupTimeout = time.Second

// releaseHandle has an engine release a prefilled prompt that no engine will
// fetch. The call runs in the background. An engine that leaves, wants a pause or has
// reached its limit gets none; it releases the prompt by itself.
func (exchange *exchange) releaseHandle(handle *site.KVHandle) {
	if handle == nil {
		return
	}
	proxy := exchange.proxy
	if proxy.scheduler.IsLeaving(place.NewLeavingTarget(handle.Engine)) || !proxy.scheduler.TakeCall(handle.Engine.ID) {
		return
	}
	proxy.cleanUp(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
		defer cancel()
		sentAt := time.Now()
		response, err := proxy.client.Do(ctx, &back.Call{
			Address: handle.Address, Method: http.MethodDelete, Path: proxy.codec.KVHandlePath(handle.ID), ReuseConnection: true,
		})
		if err == nil {
			proxy.observe(handle.Engine, response, sentAt)
			discard(response)
		}
	})
}

// cleanUp runs a call in the background, unless maxCleanups are under way.
func (proxy *Proxy) cleanUp(call func()) {
	select {
	case proxy.cleanupSlots <- struct{}{}:
	default:
		return
	}
	proxy.cleanups.Go(func() {
		defer func() { <-proxy.cleanupSlots }()
		call()
	})
}
