package proxy

import (
	"context"
	"net/http"
	"time"

	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
)

// maxCleanups bounds the calls under way that release prompts. Beyond it, a
// prompt stays with its engine until the engine releases it by itself.
const maxCleanups = 8

// cleanupTimeout bounds one call that releases a prompt.
const cleanupTimeout = time.Second

// releaseHandle has an engine release a prefilled prompt that no engine will
// fetch. The call runs in the background. An engine that leaves gets none; it
// releases the prompt by itself.
func (exchange *exchange) releaseHandle(handle *site.KVHandle) {
	if handle == nil {
		return
	}
	proxy := exchange.proxy
	if proxy.scheduler.IsLeaving(place.NewLeavingTarget(handle.Engine)) {
		return
	}
	select {
	case proxy.cleanupSlots <- struct{}{}:
	default:
		return
	}
	proxy.cleanups.Add(1)
	go func() {
		defer proxy.cleanups.Done()
		defer func() { <-proxy.cleanupSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
		defer cancel()
		response, err := proxy.client.Do(ctx, &back.Call{
			Address: handle.Address, Method: http.MethodDelete, Path: proxy.codec.KVHandlePath(handle.ID), ReuseConnection: true,
		})
		if err == nil {
			proxy.observe(handle.Engine, response)
			discard(response)
		}
	}()
}
