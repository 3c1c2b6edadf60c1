package retry

import (
	"sync"
	"time"
)

const (
	slotsPerWindow = 10
	slotCount      = slotsPerWindow + 1 // a sliding window overlaps one slot more
)

// WindowBudget limits the retries in a sliding window to a share of the requests in
// it, plus a number of extra retries. The caller passes that number with each
// retry, because it is divided among instances whose count changes. Unused
// retries are not saved, so dividing them anew refills nothing. It is safe for
// concurrent use.
type WindowBudget struct {
	share        float64
	slotDuration time.Duration
	startedAt    time.Time // start of slot 0; carries a monotonic clock reading

	mutex sync.Mutex
	slots [slotCount]slotCounts
}

// slotCounts holds the counts of one slot, a tenth of a window.
type slotCounts struct {
	number   int64 // slots since startedAt
	requests int
	retries  int // calls after the first of a request
}

// NewWindowBudget returns a budget of share retries per request in a window.
// Windows shorter than a second count as one second.
func NewWindowBudget(share float64, window time.Duration) *WindowBudget {
	return &WindowBudget{share: share, slotDuration: max(window, time.Second) / slotsPerWindow, startedAt: time.Now()}
}

// CountRequest counts a request, not its retries.
func (windowBudget *WindowBudget) CountRequest() {
	windowBudget.mutex.Lock()
	defer windowBudget.mutex.Unlock()
	windowBudget.currentSlot().requests++
}

// Spend counts a retry and returns true, or returns false if the retries in the
// window would exceed the share of its requests plus extraRetries.
func (windowBudget *WindowBudget) Spend(extraRetries float64) bool {
	windowBudget.mutex.Lock()
	defer windowBudget.mutex.Unlock()
	current := windowBudget.currentSlot()
	requests, retries := 0, 0
	for _, slot := range windowBudget.slots {
		age := current.number - slot.number
		// The window begins within the oldest slot. To stay below the limit,
		// its requests count as outside the window and its retries as inside.
		if age < slotsPerWindow {
			requests += slot.requests
		}
		if age <= slotsPerWindow {
			retries += slot.retries
		}
	}
	if float64(retries+1) > windowBudget.share*float64(requests)+extraRetries {
		return false
	}
	current.retries++
	return true
}

// currentSlot returns the slot of the current time, cleared if its counts are of
// an earlier round.
func (windowBudget *WindowBudget) currentSlot() *slotCounts {
	number := int64(time.Since(windowBudget.startedAt) / windowBudget.slotDuration)
	slot := &windowBudget.slots[number%slotCount]
	if slot.number != number {
		*slot = slotCounts{number: number}
	}
	return slot
}
