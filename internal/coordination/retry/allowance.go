package retry

import (
	"sync"
	"time"
)

const (
	slotsPerWindow = 10
	slotsKept      = slotsPerWindow + 1
)

// Allowance bounds extra calls by what was asked in a sliding window: a share
// of the requests in it, and a slack that the caller gives with each call, as
// it may be divided among instances that come and go. Nothing is saved up, so
// dividing the slack anew fills nothing. Its methods may be called by several
// goroutines.
type Allowance struct {
	share float64
	slot  time.Duration
	begun time.Time // the monotonic clock counts from here

	mutex sync.Mutex
	slots [slotsKept]slotCounts
}

// slotCounts is what came in a tenth of a window.
type slotCounts struct {
	number int64 // of the slot since the begin
	fresh  int   // requests
	extra  int   // calls beyond the first of a request
}

// NewAllowance returns an allowance of a share of the requests in a window.
func NewAllowance(share float64, window time.Duration) *Allowance {
	return &Allowance{share: share, slot: max(window, time.Second) / slotsPerWindow, begun: time.Now()}
}

// Fresh counts a request.
func (allowance *Allowance) Fresh() {
	allowance.mutex.Lock()
	defer allowance.mutex.Unlock()
	allowance.current().fresh++
}

// Spend counts an extra call, or returns false if the window has no room for
// it with the slack given.
func (allowance *Allowance) Spend(slack float64) bool {
	allowance.mutex.Lock()
	defer allowance.mutex.Unlock()
	current := allowance.current()
	fresh, extra := 0, 0
	for _, slot := range allowance.slots {
		age := current.number - slot.number
		// The window begins within the oldest slot. Its requests may be too
		// old to count, its calls too young not to.
		if age < slotsPerWindow {
			fresh += slot.fresh
		}
		if age <= slotsPerWindow {
			extra += slot.extra
		}
	}
	if float64(extra+1) > allowance.share*float64(fresh)+slack {
		return false
	}
	current.extra++
	return true
}

// current returns the slot of this moment.
func (allowance *Allowance) current() *slotCounts {
	number := int64(time.Since(allowance.begun) / allowance.slot)
	slot := &allowance.slots[number%slotsKept]
	if slot.number != number {
		*slot = slotCounts{number: number}
	}
	return slot
}
