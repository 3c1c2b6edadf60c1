package route

import (
	"math/rand/v2"
	"time"
)

const (
	scanLimit    = 64   // targets of a pool looked at per request
	affinityHint = 0.95 // share of a prompt first expected at the owner of its prefix
	loadBound    = 2.0  // factor on the mean backlog up to which affinity counts
	missWeight   = 2.0  // prefill time of a miss counts so often again, for what it evicts
)

// Chooser is the picker by expected cost among few candidates: the owners of
// the prompt's prefix by rendezvous hashing, targets known to hold it, and
// random ones.
type Chooser struct {
	random func() uint64
	hints  hints
}

// Option changes a setting of a picker.
type Option func(*Chooser)

// WithRandom sets the source of random numbers. It has to be safe for use by
// several goroutines when the picker is.
func WithRandom(source func() uint64) Option {
	return func(chooser *Chooser) { chooser.random = source }
}

// WithAffinityHint sets the share of a prompt that is expected in the cache
// of the prefix's owner before something was learnt of the team.
func WithAffinityHint(share float64) Option {
	return func(chooser *Chooser) { chooser.hints.first = share }
}

// New returns a picker by expected cost.
func New(opts ...Option) *Chooser {
	chooser := &Chooser{random: rand.Uint64, hints: hints{first: affinityHint}}
	for _, opt := range opts {
		opt(chooser)
	}
	return chooser
}

// Pick returns the candidate with the least expected cost.
func (chooser *Chooser) Pick(view *View, request *Request) (Choice, error) {
	pool := view.pools[request.pool()]
	if choice, ok := chooser.pickByParts(pool, request, chooser.drawn); ok {
		return choice, nil
	}
	if choice, ok := chooser.pickByParts(pool, request, always); ok {
		return choice, nil
	}
	return Choice{}, noTarget(request)
}

// pickByParts looks at the farther targets of a large pool only when none of
// the nearer ones can be used.
func (chooser *Chooser) pickByParts(pool []*member, request *Request, takesPart func(*member) bool) (Choice, bool) {
	for len(pool) > 0 {
		part := pool[:min(len(pool), scanLimit)]
		if choice, ok := chooser.pickFrom(part, request, takesPart); ok {
			return choice, true
		}
		pool = pool[len(part):]
	}
	return Choice{}, false
}

func (chooser *Chooser) pickFrom(pool []*member, request *Request, takesPart func(*member) bool) (Choice, bool) {
	found := candidates{hint: chooser.hints.of(request.Team)}
	chooser.collect(&found, pool, request, takesPart)
	var best candidate
	for _, member := range found.members[:found.count] {
		if rated := rate(&found, member, request); best.member == nil || rated.cost < best.cost {
			best = rated
		}
	}
	if best.member == nil {
		return Choice{}, false
	}
	choice := choose(best.member, request, best.work, best.ahead)
	choice.Cached = best.cached
	if best.member == found.owner {
		choice.flight.hint = found.hint
	}
	return choice, true
}

// rate works out the expected cost of sending the request to a target, and
// what a cache miss there costs later requests. The first owner of the prefix
// counts as holding what owners were found to hold, as other instances send it
// there too, unless it has much more to do than the others.
func rate(found *candidates, member *member, request *Request) candidate {
	cached := member.expect(request)
	ahead := member.ahead(request.Priority)
	work := request.work(cached)
	credit := cached
	if member == found.owner && float64(ahead.PrefillTokens) <= loadBound*found.mean {
		credit = max(credit, int(found.hint.value()*float64(request.PromptTokens)))
	}
	missed := float64(request.PromptTokens-credit) / member.prefill
	cost := member.cost(work, ahead) + missWeight*missed - float64(credit-cached)/member.prefill
	return candidate{member: member, cached: cached, work: work, ahead: ahead, cost: cost}
}

// collect looks once at each target of the pool, from a random one on.
func (chooser *Chooser) collect(found *candidates, pool []*member, request *Request, takesPart func(*member) bool) {
	key, probe := affinity(request.Blocks)
	owners := owners{key: key}
	var holders holders
	usable, backlog := 0, int64(0)
	start := int(chooser.random() % uint64(len(pool)))
	for i := range pool {
		member := pool[(start+i)%len(pool)]
		if request.excludes(member.target.ID) || !takesPart(member) {
			continue
		}
		usable++
		backlog += member.backlog().PrefillTokens
		if usable <= randomChoices {
			found.add(member)
		}
		if key != 0 {
			owners.see(member)
			holders.see(member, probe)
		}
	}
	found.mean = float64(backlog) / float64(max(1, usable))
	found.addOwners(&owners)
	found.addHolders(&holders)
}

// drawn decides whether a target that returns from an ejection takes part.
func (chooser *Chooser) drawn(member *member) bool {
	const unit = 1 << 32
	return member.weight >= 1 || float64(chooser.random()%unit) < member.weight*unit
}

func always(*member) bool {
	return true
}

func choose(member *member, request *Request, work, ahead Work) Choice {
	return Choice{
		Target:   member.target,
		Work:     work,
		Priority: request.Priority,
		Delay:    time.Duration(member.firstToken(work, ahead) * float64(time.Second)),
		flight:   &flight{node: member.node, prompt: request.PromptTokens},
	}
}
