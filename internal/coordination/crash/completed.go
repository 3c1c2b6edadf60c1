package crash

import "sync/atomic"

// completedSlots bounds the features of either kind that are known to have completed.
const completedSlots = 1 << 12

// completedSet holds fingerprints of features whose runs completed. A newer one may take
// the place of an older one.
type completedSet struct {
	slots [completedSlots]atomic.Uint64
}

func (set *completedSet) add(fingerprint Fingerprint) {
	slot := &set.slots[fingerprint%completedSlots]
	if slot.Load() != uint64(fingerprint) {
		slot.Store(uint64(fingerprint))
	}
}

func (set *completedSet) has(fingerprint Fingerprint) bool {
	return set.slots[fingerprint%completedSlots].Load() == uint64(fingerprint)
}
