package bench

import (
	"container/heap"
	"time"
)

// modelStart is the time at which every model begins.
var modelStart = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// timeline runs the events of a model in the order of their times.
type timeline struct {
	now    time.Duration
	events eventHeap
	count  int
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

// after schedules run for a time from now.
func (timeline *timeline) after(wait time.Duration, run func()) {
	timeline.count++
	heap.Push(&timeline.events, event{timeline.now + max(wait, 0), timeline.count, run})
}

// every runs a function at a fixed interval until the timeline ends.
func (timeline *timeline) every(interval time.Duration, run func()) {
	timeline.after(interval, func() {
		run()
		timeline.every(interval, run)
	})
}

// runUntil runs all events up to end.
func (timeline *timeline) runUntil(end time.Duration) {
	for len(timeline.events) > 0 && timeline.events[0].at <= end {
		next := heap.Pop(&timeline.events).(event)
		timeline.now = next.at
		next.run()
	}
	timeline.now = end
}

// clock returns the time of day at which the timeline is.
func (timeline *timeline) clock() time.Time {
	return modelStart.Add(timeline.now)
}

type eventHeap []event

func (events eventHeap) Len() int { return len(events) }

func (events eventHeap) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].order < events[j].order
}

func (events eventHeap) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

func (events *eventHeap) Push(item any) { *events = append(*events, item.(event)) }

func (events *eventHeap) Pop() any {
	last := len(*events) - 1
	item := (*events)[last]
	*events = (*events)[:last]
	return item
}
