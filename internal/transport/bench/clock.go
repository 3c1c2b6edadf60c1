package bench

import (
	"container/heap"
	"time"
)

// simulationEpoch is the wall time at which every simulation begins.
var simulationEpoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// eventLoop runs the events of a simulation in the order of their times.
// Events of the same time run in the order in which they were scheduled.
type eventLoop struct {
	now       time.Duration
	events    eventHeap
	scheduled int
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// scheduleAfter schedules run after a delay. A negative delay counts as 0.
func (loop *eventLoop) scheduleAfter(delay time.Duration, run func()) {
	loop.scheduled++
	heap.Push(&loop.events, event{loop.now + max(delay, 0), loop.scheduled, run})
}

// scheduleEvery runs a function at a fixed interval until the loop ends.
func (loop *eventLoop) scheduleEvery(interval time.Duration, run func()) {
	loop.scheduleAfter(interval, func() {
		run()
		loop.scheduleEvery(interval, run)
	})
}

// runUntil runs all events up to and including end.
func (loop *eventLoop) runUntil(end time.Duration) {
	for len(loop.events) > 0 && loop.events[0].at <= end {
		next := heap.Pop(&loop.events).(event)
		loop.now = next.at
		next.run()
	}
	loop.now = end
}

// wallTime returns the simulated time of day.
func (loop *eventLoop) wallTime() time.Time {
	return simulationEpoch.Add(loop.now)
}

type eventHeap []event

func (events eventHeap) Len() int { return len(events) }

func (events eventHeap) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].sequence < events[j].sequence
}

func (events eventHeap) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

func (events *eventHeap) Push(item any) { *events = append(*events, item.(event)) }

func (events *eventHeap) Pop() any {
	last := len(*events) - 1
	item := (*events)[last]
	*events = (*events)[:last]
	return item
}
