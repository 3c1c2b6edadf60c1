package place

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
)

// Summary is the work in flight in one service, summed over all instances.
type Summary struct {
	Prefill, Decode, Plain int     // targets that accept new work, by stage
	PrefillMS              float64 // prefill work in flight
	InFlight               int     // requests being decoded, or calls
	KVTokens               int     // held by these requests
	KVCapacityTokens       int     // of the decode engines
}

// Summarize adds up the work in flight in a service.
func (scheduler *Scheduler) Summarize(service string) Summary {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	var summary Summary
	now := time.Now()
	for _, state := range scheduler.services[service] {
		if !state.acceptsNewWork(now) {
			continue
		}
		switch state.Stage {
		case site.Prefill:
			summary.Prefill++
		case site.Decode:
			summary.Decode++
			summary.KVCapacityTokens += state.engine.KVCapacityTokens
		case site.NoStage:
			summary.Plain++
		}
		summary.PrefillMS += state.ownLoad.queuedMS(tierCount-1) + state.peerLoad.queuedMS(tierCount-1)
		summary.InFlight += state.ownLoad.InFlight + state.peerLoad.InFlight
		summary.KVTokens += state.ownLoad.KVTokens + state.peerLoad.KVTokens
	}
	return summary
}
