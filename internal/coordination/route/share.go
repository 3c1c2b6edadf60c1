package route

import (
	"math"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	hitRatioGain         = 0.05 // weight of the newest observation of a long prompt
	fullGainPromptTokens = 4096 // shorter prompts get a proportionally smaller gain
	hitRatioSlots        = 256  // bounds the memory; teams whose hashes collide share a ratio
)

// learnedRatio is an exponential moving average between 0 and 1, kept without a
// lock. It has an initial value, given by the caller, until the first update.
// Concurrent updates may overwrite one another.
type learnedRatio struct {
	bits atomic.Uint64 // of the ratio plus one, 0 before the first update
}

func (learnedRatio *learnedRatio) value(initial float64) float64 {
	bits := learnedRatio.bits.Load()
	if bits == 0 {
		return initial
	}
	return math.Float64frombits(bits) - 1
}

func (learnedRatio *learnedRatio) set(value float64) {
	learnedRatio.bits.Store(math.Float64bits(min(1, max(0, value)) + 1))
}

func (learnedRatio *learnedRatio) update(initial, ratio, gain float64) {
	value := learnedRatio.value(initial)
	learnedRatio.set(value + gain*(ratio-value))
}

// teamHitRatios holds, per team, the share of a prompt that the first owner of
// its prefix had in its cache.
type teamHitRatios struct {
	initial float64
	slots   [hitRatioSlots]learnedRatio
}

func (teamHitRatios *teamHitRatios) forTeam(team string) hitRatio {
	return hitRatio{initial: teamHitRatios.initial, learned: &teamHitRatios.slots[xxhash.Sum64String(team)%hitRatioSlots]}
}

// hitRatio is the learned hit ratio of one team.
type hitRatio struct {
	initial float64
	learned *learnedRatio
}

func (hitRatio *hitRatio) value() float64 {
	return hitRatio.learned.value(hitRatio.initial)
}

func (hitRatio *hitRatio) record(cachedTokens, promptTokens int) {
	if promptTokens <= 0 {
		return
	}
	weight := min(1, float64(promptTokens)/fullGainPromptTokens)
	hitRatio.learned.update(hitRatio.initial, float64(cachedTokens)/float64(promptTokens), hitRatioGain*weight)
}
