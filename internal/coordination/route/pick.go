package route

import (
	"math/rand/v2"
	"time"
)

const (
	scanLimit      = 64   // targets of a pool looked at per request
	affinityBlocks = 8    // leading blocks that decide where a prompt belongs
	loadBound      = 1.25 // factor on the mean backlog that affinity may cause
	randomChoices  = 2
	holderChoices  = 2
	ownerChoices   = 2
	candidateLimit = randomChoices + holderChoices + ownerChoices
)

// Chooser is the picker by expected cost among few candidates: the owners of
// the prompt's prefix by rendezvous hashing, targets known to hold it, and
// random ones.
type Chooser struct {
	random func() uint64
	hint   float64
}

// Option changes a setting of a picker.
type Option func(*Chooser)

// WithRandom sets the source of random numbers. It has to be safe for use by
// several goroutines when the picker is.
func WithRandom(source func() uint64) Option {
	return func(chooser *Chooser) { chooser.random = source }
}

// WithAffinityHint sets the share of a prompt that is expected in the cache
// of the prefix's owner when nothing else is known.
func WithAffinityHint(share float64) Option {
	return func(chooser *Chooser) { chooser.hint = share }
}

// New returns a picker by expected cost.
func New(opts ...Option) *Chooser {
	chooser := &Chooser{random: rand.Uint64, hint: 0.5}
	for _, opt := range opts {
		opt(chooser)
	}
	return chooser
}

// candidates is the small set of targets that are compared by cost.
type candidates struct {
	members [candidateLimit]*member
	count   int
	owner   *member // first owner of the prefix, nil without one
	mean    float64 // mean prefill backlog of the targets looked at
}

// Pick returns the candidate with the least expected cost.
func (chooser *Chooser) Pick(view *View, request *Request) (Choice, error) {
	pool := view.pools[request.pool()]
	for len(pool) > 0 {
		part := pool[:min(len(pool), scanLimit)]
		if choice, ok := chooser.pickFrom(part, request); ok {
			return choice, nil
		}
		pool = pool[len(part):]
	}
	return Choice{}, noTarget(request)
}

func (chooser *Chooser) pickFrom(pool []*member, request *Request) (Choice, bool) {
	var found candidates
	chooser.collect(&found, pool, request)
	best, bestCost := Choice{}, 0.0
	for _, member := range found.members[:found.count] {
		choice, cost := chooser.rate(&found, member, request)
		if best.node == nil || cost < bestCost {
			best, bestCost = choice, cost
		}
	}
	return best, best.node != nil
}

func (chooser *Chooser) rate(found *candidates, member *member, request *Request) (Choice, float64) {
	cached := member.expect(request)
	ahead := member.ahead(request.Priority)
	if member == found.owner && float64(ahead.PrefillTokens) <= loadBound*found.mean {
		cached = max(cached, int(chooser.hint*float64(request.PromptTokens)))
	}
	work := request.work(cached)
	choice := choose(member, request, work, ahead)
	choice.Cached = cached
	return choice, member.cost(work, ahead)
}

// collect looks once at each target of the pool, from a random one on.
func (chooser *Chooser) collect(found *candidates, pool []*member, request *Request) {
	key, probe := affinity(request.Blocks)
	var first, second *member
	var firstRank, secondRank uint64
	var holders [holderChoices]*member
	held, usable, backlog := 0, 0, int64(0)
	draw := chooser.random()
	start := int(draw % uint64(len(pool)))
	for i := range pool {
		member := pool[(start+i)%len(pool)]
		if request.excludes(member.target.ID) || !chooser.drawn(member) {
			continue
		}
		usable++
		backlog += member.backlog().PrefillTokens
		if usable <= randomChoices {
			found.add(member)
		}
		if key == 0 {
			continue
		}
		switch rank := mix(key ^ member.hash); {
		case first == nil || rank > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = member, rank
		case second == nil || rank > secondRank:
			second, secondRank = member, rank
		}
		if held < holderChoices && member.prefixes.has(probe) {
			holders[held] = member
			held++
		}
	}
	if usable == 0 {
		return
	}
	found.owner, found.mean = first, float64(backlog)/float64(usable)
	found.add(first)
	found.add(second)
	for _, holder := range holders[:held] {
		found.add(holder)
	}
}

// drawn decides whether a target that returns from an ejection takes part.
func (chooser *Chooser) drawn(member *member) bool {
	const unit = 1 << 32
	return member.weight >= 1 || float64(chooser.random()%unit) < member.weight*unit
}

func (found *candidates) add(candidate *member) {
	if candidate == nil {
		return
	}
	for _, member := range found.members[:found.count] {
		if member == candidate {
			return
		}
	}
	found.members[found.count] = candidate
	found.count++
}

// affinity returns the hash that decides the owners of a prompt's prefix, and
// the block whose presence shows that a target holds that prefix.
func affinity(blocks []uint64) (key, probe uint64) {
	if len(blocks) == 0 {
		return 0, 0
	}
	probe = blocks[min(len(blocks), affinityBlocks)-1]
	return mix(probe) | 1, probe
}

func choose(member *member, request *Request, work, ahead Work) Choice {
	return Choice{
		Target:   member.target,
		Work:     work,
		Priority: request.Priority,
		Delay:    time.Duration(member.firstToken(work, ahead) * float64(time.Second)),
		node:     member.node,
	}
}

// mix spreads the bits of a hash.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
