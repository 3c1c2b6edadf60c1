package route

import (
	"math"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	hintGain        = 0.05
	hintFullTokens  = 4096 // shorter prompts teach less
	hintsPerChooser = 256  // teams that share a slot share what is learnt
)

// share is a learnt number from 0 to 1, kept without a lock. It is a first
// value until something is learnt.
type share struct {
	bits atomic.Uint64 // of the share plus one, 0 for none
}

func (share *share) value(first float64) float64 {
	bits := share.bits.Load()
	if bits == 0 {
		return first
	}
	return math.Float64frombits(bits) - 1
}

func (share *share) set(value float64) {
	share.bits.Store(math.Float64bits(min(1, max(0, value)) + 1))
}

func (share *share) learn(first, ratio, gain float64) {
	value := share.value(first)
	share.set(value + gain*(ratio-value))
}

// hints hold, per team, the share of a prompt that the owner of its prefix was
// found to have in its cache.
type hints struct {
	first float64
	slots [hintsPerChooser]share
}

func (hints *hints) of(team string) hint {
	return hint{first: hints.first, share: &hints.slots[xxhash.Sum64String(team)%hintsPerChooser]}
}

// hint is the learnt share of one team.
type hint struct {
	first float64
	share *share
}

func (hint *hint) value() float64 {
	return hint.share.value(hint.first)
}

func (hint *hint) learn(found, prompt int) {
	if prompt <= 0 {
		return
	}
	weight := min(1, float64(prompt)/hintFullTokens)
	hint.share.learn(hint.first, float64(found)/float64(prompt), hintGain*weight)
}
