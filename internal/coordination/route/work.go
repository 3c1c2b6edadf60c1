package route

import (
	"sync/atomic"
	"time"
)

const (
	sampleIntervalMS = 16
	sampleCount      = 64 // per target, about one second
)

// Work is an amount of work at a target.
type Work struct {
	Requests      int64
	PrefillTokens int64 // prompt tokens not in the cache
	DecodeTokens  int64 // expected tokens of responses
}

func (work Work) negate() Work {
	return Work{-work.Requests, -work.PrefillTokens, -work.DecodeTokens}
}

func (work Work) plus(other Work) Work {
	return Work{
		work.Requests + other.Requests,
		work.PrefillTokens + other.PrefillTokens,
		work.DecodeTokens + other.DecodeTokens,
	}
}

// atLeast raises each field to that of other where it is less.
func (work Work) atLeast(other Work) Work {
	return Work{
		max(work.Requests, other.Requests),
		max(work.PrefillTokens, other.PrefillTokens),
		max(work.DecodeTokens, other.DecodeTokens),
	}
}

// workCounter holds the in-flight work at one target and samples of its recent
// values.
type workCounter struct {
	total        atomicWork
	lowPriority  atomicWork                          // part of total below normal priority
	highPriority atomicWork                          // part of total above normal priority
	samples      atomic.Pointer[[sampleCount]sample] // ring, nil before the first add
}

type atomicWork struct {
	requests, prefillTokens, decodeTokens atomic.Int64
}

// sample holds the in-flight work just before the first change within a period of
// sampleIntervalMS.
type sample struct {
	period atomic.Int64
	work   atomicWork
}

func (work *atomicWork) load() Work {
	return Work{work.requests.Load(), work.prefillTokens.Load(), work.decodeTokens.Load()}
}

func (work *atomicWork) store(value Work) {
	work.requests.Store(value.Requests)
	work.prefillTokens.Store(value.PrefillTokens)
	work.decodeTokens.Store(value.DecodeTokens)
}

func (work *atomicWork) add(value Work) {
	work.requests.Add(value.Requests)
	work.prefillTokens.Add(value.PrefillTokens)
	work.decodeTokens.Add(value.DecodeTokens)
}

func (workCounter *workCounter) add(now time.Time, priority Priority, work Work) {
	workCounter.recordSample(samplePeriod(now))
	workCounter.total.add(work)
	switch {
	case priority < PriorityNormal:
		workCounter.lowPriority.add(work)
	case priority > PriorityNormal:
		workCounter.highPriority.add(work)
	}
}

// lowerPriorityWork returns the own work that a request of the priority does not
// wait for, as the target runs it later.
func (workCounter *workCounter) lowerPriorityWork(priority Priority) Work {
	switch {
	case priority > PriorityNormal:
		return workCounter.total.load().plus(workCounter.highPriority.load().negate())
	case priority == PriorityNormal:
		return workCounter.lowPriority.load()
	default:
		return Work{}
	}
}

func (workCounter *workCounter) recordSample(period int64) {
	slot := &workCounter.allocateSamples()[period%sampleCount]
	previous := slot.period.Load()
	if previous >= period || !slot.period.CompareAndSwap(previous, period) {
		return
	}
	slot.work.store(workCounter.total.load())
}

func (workCounter *workCounter) allocateSamples() *[sampleCount]sample {
	if samples := workCounter.samples.Load(); samples != nil {
		return samples
	}
	workCounter.samples.CompareAndSwap(nil, new([sampleCount]sample))
	return workCounter.samples.Load()
}

// workAt returns the work in flight at a past time, to the precision of the
// sample interval.
func (workCounter *workCounter) workAt(past time.Time) Work {
	firstPeriod := samplePeriod(past) + 1
	earliest := int64(-1)
	work := workCounter.total.load()
	samples := workCounter.samples.Load()
	if samples == nil {
		return work
	}
	for i := range samples {
		slot := &samples[i]
		period := slot.period.Load()
		if period < firstPeriod || (earliest >= 0 && period >= earliest) {
			continue
		}
		earliest, work = period, slot.work.load()
	}
	return work
}

func samplePeriod(now time.Time) int64 {
	return max(1, now.UnixMilli()/sampleIntervalMS)
}
