package place

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
)

// Summary is the work in flight in one service, of all instances.
type Summary struct {
	Prefill, Decode, Plain int     // targets in use
	WorkMS                 float64 // prompts to read
	Runs                   int
	Tokens                 int
	Memory                 int // of the engines that make tokens
}

// Summarize adds up the work in flight in a service.
func (book *Book) Summarize(service string) Summary {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	var summary Summary
	now := time.Now()
	for _, state := range book.services[service] {
		if !state.usable(now) {
			continue
		}
		switch state.Stage {
		case site.Prefill:
			summary.Prefill++
		case site.Decode:
			summary.Decode++
			summary.Memory += state.engine.Memory
		case site.NoStage:
			summary.Plain++
		}
		summary.WorkMS += state.own.ahead(tiers-1) + state.others.ahead(tiers-1)
		summary.Runs += state.own.Runs + state.others.Runs
		summary.Tokens += state.own.Tokens + state.others.Tokens
	}
	return summary
}
