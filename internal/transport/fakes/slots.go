package fakes

import (
	"context"
	"sync"
)

// slots bounds the number of calls that run at once. Waiting calls are ordered by
// priority, highest first, then by age.
type slots struct {
	mu      sync.Mutex
	free    int
	active  int
	waiting []*waiter
}

type waiter struct {
	priority int
	granted  chan struct{}
}

func newSlots(count int) *slots {
	return &slots{free: count}
}

// acquire waits for a slot and reports whether it got one before ctx ended.
func (slots *slots) acquire(ctx context.Context, priority int) bool {
	slots.mu.Lock()
	if slots.free > 0 {
		slots.free--
		slots.active++
		slots.mu.Unlock()
		return true
	}
	waiter := &waiter{priority: priority, granted: make(chan struct{})}
	slots.insert(waiter)
	slots.mu.Unlock()
	select {
	case <-waiter.granted:
		return true
	case <-ctx.Done():
		slots.cancelWait(waiter)
		return false
	}
}

func (slots *slots) release() {
	slots.mu.Lock()
	defer slots.mu.Unlock()
	if len(slots.waiting) == 0 {
		slots.free++
		slots.active--
		return
	}
	first := slots.waiting[0]
	slots.waiting = slots.waiting[1:]
	close(first.granted)
}

func (slots *slots) running() int {
	slots.mu.Lock()
	defer slots.mu.Unlock()
	return slots.active
}

func (slots *slots) queued() int {
	slots.mu.Lock()
	defer slots.mu.Unlock()
	return len(slots.waiting)
}

func (slots *slots) insert(waiter *waiter) {
	index := len(slots.waiting)
	for index > 0 && slots.waiting[index-1].priority < waiter.priority {
		index--
	}
	slots.waiting = append(slots.waiting, nil)
	copy(slots.waiting[index+1:], slots.waiting[index:])
	slots.waiting[index] = waiter
}

func (slots *slots) cancelWait(cancelled *waiter) {
	slots.mu.Lock()
	defer slots.mu.Unlock()
	for i, waiter := range slots.waiting {
		if waiter == cancelled {
			slots.waiting = append(slots.waiting[:i], slots.waiting[i+1:]...)
			return
		}
	}
	// The slot was granted between the end of the context and this call: pass it on.
	go slots.release()
}
