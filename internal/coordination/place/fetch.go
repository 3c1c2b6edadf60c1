package place

import (
	"slices"
	"time"
)

// cacheSource is an engine from which others can fetch the cached prefix of a
// prompt.
type cacheSource struct {
	address    string
	dataCenter string
	tokens     int // length of the cached prefix
}

// fetchSources returns for each data centre the engine with the longest cached
// prefix of a prompt. Ties are broken at random, so that no single link carries
// all transfers.
func (scheduler *Scheduler) fetchSources(service string, parts []hashedPart, now time.Time) []cacheSource {
	var sources []cacheSource
	ties := map[string]int{}
	for _, state := range scheduler.services[service] {
		if state.cache == nil || !state.isResponsive(now) {
			continue
		}
		tokens := state.cache.fetchableTokens(parts, now)
		if tokens == 0 {
			continue
		}
		candidate := cacheSource{address: state.Address, dataCenter: state.DataCenter, tokens: tokens}
		i := slices.IndexFunc(sources, func(source cacheSource) bool { return source.dataCenter == state.DataCenter })
		switch {
		case i < 0:
			sources, ties[state.DataCenter] = append(sources, candidate), 1
		case tokens > sources[i].tokens:
			sources[i], ties[state.DataCenter] = candidate, 1
		case tokens == sources[i].tokens:
			ties[state.DataCenter]++
			if scheduler.random.IntN(ties[state.DataCenter]) == 0 {
				sources[i] = candidate
			}
		}
	}
	return sources
}

// bestSource returns the source with which the engine completes prefill of a
// prompt soonest, and the time for transfer and prefill in milliseconds. The
// source is empty if fetching from none of them saves time.
func (state *targetState) bestSource(tokens, cached int, sources []cacheSource) (cacheSource, float64) {
	var best cacheSource
	bestMS := prefillWorkMS(tokens, cached)
	for _, source := range sources {
		available := min(source.tokens, tokens-1)
		if available <= cached {
			continue
		}
		if totalMS := state.transferMS(available-cached, source.dataCenter) + prefillWorkMS(tokens, available); totalMS < bestMS {
			best, bestMS = source, totalMS
		}
	}
	return best, bestMS
}

// transferMS returns the expected time to transfer the KV of tokens from a data
// centre to the engine.
func (state *targetState) transferMS(tokens int, from string) float64 {
	bits := float64(tokens) * state.engine.KVBytesPerToken * 8
	transfer := transferSetupMS + bits/(max(1, state.engine.LinkMbps)*1e3)
	if from != state.DataCenter {
		transfer = transfer*crossDataCenterFactor + crossDataCenterPenaltyMS
	}
	return transfer
}
