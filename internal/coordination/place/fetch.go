package place

import (
	"slices"
	"time"
)

// offer is what an engine keeps of a prompt for others to fetch.
type offer struct {
	address    string
	dataCenter string
	tokens     int
}

// sources returns the best offer of each data centre for a prompt. Of equal
// ones any may be chosen, so that no link carries all.
func (book *Book) sources(service string, parts []namedPart, now time.Time) []offer {
	var offers []offer
	equal := map[string]int{}
	for _, state := range book.services[service] {
		if state.cache == nil || !state.answers(now) {
			continue
		}
		tokens := state.cache.ready(parts, now)
		if tokens == 0 {
			continue
		}
		found := offer{address: state.Address, dataCenter: state.DataCenter, tokens: tokens}
		at := slices.IndexFunc(offers, func(offer offer) bool { return offer.dataCenter == state.DataCenter })
		switch {
		case at < 0:
			offers, equal[state.DataCenter] = append(offers, found), 1
		case tokens > offers[at].tokens:
			offers[at], equal[state.DataCenter] = found, 1
		case tokens == offers[at].tokens:
			equal[state.DataCenter]++
			if book.random.IntN(equal[state.DataCenter]) == 0 {
				offers[at] = found
			}
		}
	}
	return offers
}

// fetch returns the offer that lets the engine read a prompt in the least time,
// and that time in milliseconds. The offer is empty if nothing is worth
// fetching.
func (state *state) fetch(tokens, cached int, offers []offer) (offer, float64) {
	var best offer
	least := workMS(tokens, cached)
	for _, offer := range offers {
		kept := min(offer.tokens, tokens-1)
		if kept <= cached {
			continue
		}
		if work := state.moveMS(kept-cached, offer.dataCenter) + workMS(tokens, kept); work < least {
			best, least = offer, work
		}
	}
	return best, least
}

// moveMS returns how long it takes to move the memory of tokens to the engine.
func (state *state) moveMS(tokens int, from string) float64 {
	bits := float64(tokens) * state.engine.TokenBytes * 8
	move := moveSetupMS + bits/(max(1, state.engine.LinkMbps)*1e3)
	if from != state.DataCenter {
		move = move*crossingFactor + crossingPenalty
	}
	return move
}
