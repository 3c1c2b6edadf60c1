package fakes

import (
	"context"
	"sync"
)

// slots lets a bounded number of calls run; of those that wait, the highest
// priority goes first, then the oldest.
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
		slots.abandon(waiter)
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
	next := slots.waiting[0]
	slots.waiting = slots.waiting[1:]
	close(next.granted)
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
	at := len(slots.waiting)
	for at > 0 && slots.waiting[at-1].priority < waiter.priority {
		at--
	}
	slots.waiting = append(slots.waiting, nil)
	copy(slots.waiting[at+1:], slots.waiting[at:])
	slots.waiting[at] = waiter
}

func (slots *slots) abandon(gone *waiter) {
	slots.mu.Lock()
	defer slots.mu.Unlock()
	for i, waiter := range slots.waiting {
		if waiter == gone {
			slots.waiting = append(slots.waiting[:i], slots.waiting[i+1:]...)
			return
		}
	}
	// The slot was granted at the same moment; pass it on.
	go slots.release()
}
