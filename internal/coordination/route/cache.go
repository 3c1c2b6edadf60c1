package route

import (
	"sync/atomic"
)

const (
	prefixIndexSlots  = 4096 // block hashes kept per target
	accuracyGain      = 0.05 // weight of the newest observation
	accuracyGapFactor = 0.8  // applied to the accuracy for each gap in the event sequence
	minAccuracy       = 0.1
)

// CacheEvent reports that a target stored or evicted one block of its prefix
// cache.
type CacheEvent struct {
	Sequence  uint64 // consecutive per target; a gap means that events were lost
	BlockHash uint64 // hash of the block and all blocks before it
	Evicted   bool
}

// prefixIndex holds the hashes of the blocks that a target is expected to have
// cached. Its size is bounded: a block overwrites the one in the same slot.
type prefixIndex struct {
	slots        atomic.Pointer[[prefixIndexSlots]atomic.Uint64]
	lastSequence atomic.Uint64 // of the newest event
	accuracy     learnedRatio  // share of the expected cached tokens that the target really had
}

// currentAccuracy returns the share of the expected cached tokens that the
// target is likely to have, 1 before the first observation.
func (prefixIndex *prefixIndex) currentAccuracy() float64 {
	return prefixIndex.accuracy.value(1)
}

func (prefixIndex *prefixIndex) contains(block uint64) bool {
	slots := prefixIndex.slots.Load()
	return slots != nil && slots[block%prefixIndexSlots].Load() == block
}

// countLeading returns how many leading blocks are expected to be cached.
func (prefixIndex *prefixIndex) countLeading(blocks []uint64) int {
	slots := prefixIndex.slots.Load()
	if slots == nil {
		return 0
	}
	for i, block := range blocks {
		if slots[block%prefixIndexSlots].Load() != block {
			return i
		}
	}
	return len(blocks)
}

func (prefixIndex *prefixIndex) add(blocks []uint64) {
	slots := prefixIndex.allocateSlots()
	for _, block := range blocks {
		slots[block%prefixIndexSlots].Store(block)
	}
}

func (prefixIndex *prefixIndex) applyEvents(events []CacheEvent) {
	slots := prefixIndex.allocateSlots()
	for _, event := range events {
		prefixIndex.advanceSequence(event.Sequence)
		slot := &slots[event.BlockHash%prefixIndexSlots]
		if event.Evicted {
			slot.CompareAndSwap(event.BlockHash, 0)
			continue
		}
		slot.Store(event.BlockHash)
	}
}

// advanceSequence lowers the accuracy if events before this one were lost.
func (prefixIndex *prefixIndex) advanceSequence(sequence uint64) {
	previous := prefixIndex.lastSequence.Load()
	if sequence <= previous {
		return
	}
	prefixIndex.lastSequence.Store(sequence)
	if previous > 0 && sequence > previous+1 {
		prefixIndex.accuracy.set(max(minAccuracy, prefixIndex.currentAccuracy()*accuracyGapFactor))
	}
}

func (prefixIndex *prefixIndex) recordHit(expectedTokens, cachedTokens int) {
	if expectedTokens <= 0 {
		return
	}
	ratio := max(minAccuracy, float64(cachedTokens)/float64(expectedTokens))
	prefixIndex.accuracy.update(1, ratio, accuracyGain)
}

func (prefixIndex *prefixIndex) allocateSlots() *[prefixIndexSlots]atomic.Uint64 {
	if slots := prefixIndex.slots.Load(); slots != nil {
		return slots
	}
	prefixIndex.slots.CompareAndSwap(nil, new([prefixIndexSlots]atomic.Uint64))
	return prefixIndex.slots.Load()
}
