package route

import (
	"sync/atomic"
)

const (
	prefixSlots  = 4096 // blocks remembered per target
	trustGain    = 0.05
	trustGapLoss = 0.8 // factor on trust for each gap in the events
	trustMin     = 0.1
)

// CacheEvent states that a target stored or evicted a block of a prompt.
type CacheEvent struct {
	Sequence uint64 // number of the event at its target, without gaps when none is lost
	Block    uint64
	Evicted  bool
}

// prefixes remembers which blocks a target is expected to hold. It forgets a
// block when another takes its slot, so its size is bounded.
type prefixes struct {
	slots atomic.Pointer[[prefixSlots]atomic.Uint64]
	last  atomic.Uint64 // sequence of the newest event
	trust share         // of expected blocks that are found
}

// found returns the share of expected blocks that are found.
func (prefixes *prefixes) found() float64 {
	return prefixes.trust.value(1)
}

func (prefixes *prefixes) has(block uint64) bool {
	slots := prefixes.slots.Load()
	return slots != nil && slots[block%prefixSlots].Load() == block
}

// count returns how many leading blocks are expected in the cache.
func (prefixes *prefixes) count(blocks []uint64) int {
	slots := prefixes.slots.Load()
	if slots == nil {
		return 0
	}
	for i, block := range blocks {
		if slots[block%prefixSlots].Load() != block {
			return i
		}
	}
	return len(blocks)
}

func (prefixes *prefixes) store(blocks []uint64) {
	slots := prefixes.allocate()
	for _, block := range blocks {
		slots[block%prefixSlots].Store(block)
	}
}

func (prefixes *prefixes) apply(events []CacheEvent) {
	slots := prefixes.allocate()
	for _, event := range events {
		prefixes.follow(event.Sequence)
		slot := &slots[event.Block%prefixSlots]
		if event.Evicted {
			slot.CompareAndSwap(event.Block, 0)
			continue
		}
		slot.Store(event.Block)
	}
}

// follow lowers the trust when events before this one were lost.
func (prefixes *prefixes) follow(sequence uint64) {
	last := prefixes.last.Load()
	if sequence <= last {
		return
	}
	prefixes.last.Store(sequence)
	if last > 0 && sequence > last+1 {
		prefixes.trust.set(max(trustMin, prefixes.found()*trustGapLoss))
	}
}

func (prefixes *prefixes) learn(expected, found int) {
	if expected <= 0 {
		return
	}
	ratio := max(trustMin, float64(found)/float64(expected))
	prefixes.trust.learn(1, ratio, trustGain)
}

func (prefixes *prefixes) allocate() *[prefixSlots]atomic.Uint64 {
	if slots := prefixes.slots.Load(); slots != nil {
		return slots
	}
	prefixes.slots.CompareAndSwap(nil, new([prefixSlots]atomic.Uint64))
	return prefixes.slots.Load()
}
