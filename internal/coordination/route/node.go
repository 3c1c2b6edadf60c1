package route

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangopier.example/mangopier/internal/protocol/note"
)

const (
	prefillDefaultTPS = 8000.0
	decodeDefaultTPS  = 1000.0
	slotsDefault      = 16
	decodeWeight      = 0.25 // part of the decode time that counts as delay
)

// Load is what a target reported of itself.
type Load struct {
	At   time.Time // when the target measured it, on this instance's clock
	Work Work      // everything that it had accepted and not finished
}

// node is what all views share of one target.
type node struct {
	hash     uint64
	own      counter
	prefixes prefixes
	load     atomic.Pointer[estimate]
}

// estimate is the load of a target apart from this instance's work in flight.
type estimate struct {
	base Work // reported and peers' work, less own work included in the report
}

// member is one target of a view.
type member struct {
	*node
	target  *note.Target
	rank    uint64  // orders the targets of a data centre for this instance
	weight  float64 // share of its normal traffic, from its health
	delay   float64 // seconds to reach its data centre
	prefill float64 // tokens per second
	decode  float64 // tokens per second
	slots   int64
}

func newNode(id string) *node {
	return &node{hash: xxhash.Sum64String(id)}
}

func newMember(shared *node, target *note.Target, weight, delay float64) *member {
	return &member{
		node:    shared,
		target:  target,
		weight:  weight,
		delay:   delay,
		prefill: orDefault(target.PrefillTPS, prefillDefaultTPS),
		decode:  orDefault(target.DecodeTPS, decodeDefaultTPS),
		slots:   int64(orDefault(float64(target.Slots), slotsDefault)),
	}
}

func orDefault(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}

// backlog returns the work that is expected at the target now.
func (node *node) backlog() Work {
	own := node.own.total.load()
	load := node.load.Load()
	if load == nil {
		return own
	}
	return load.base.plus(own).atLeast(own)
}

// ahead returns the part of the backlog that a request waits for.
func (node *node) ahead(priority Priority) Work {
	work := node.backlog().plus(node.own.behind(priority).negate())
	return work.atLeast(Work{})
}

// expect returns the cached prompt tokens expected for a request.
func (member *member) expect(request *Request) int {
	if len(request.Blocks) == 0 {
		return 0
	}
	count := member.prefixes.count(request.Blocks)
	share := float64(count) / float64(len(request.Blocks))
	return int(share * member.prefixes.found() * float64(request.PromptTokens))
}

// firstToken returns the expected seconds until the first token.
func (member *member) firstToken(work, ahead Work) float64 {
	seconds := member.delay + float64(ahead.PrefillTokens+work.PrefillTokens)/member.prefill
	if waiting := ahead.Requests + 1 - member.slots; waiting > 0 {
		seconds += float64(waiting) * member.perSlot(ahead)
	}
	return seconds
}

// perSlot returns the expected seconds until one of the busy slots is free.
func (member *member) perSlot(ahead Work) float64 {
	if ahead.Requests == 0 {
		return 0
	}
	mean := float64(ahead.DecodeTokens) / float64(ahead.Requests)
	return mean / member.decode
}

// cost returns the seconds of delay that sending work to the target means,
// with a part of the time of its decode phase.
func (member *member) cost(work, ahead Work) float64 {
	decode := float64(ahead.DecodeTokens+work.DecodeTokens) / member.decode
	return member.firstToken(work, ahead) + decodeWeight*decode
}
