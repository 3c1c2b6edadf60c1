package route

import (
	"sync/atomic"
	"time"
)

const (
	sampleMS   = 16 // milliseconds between samples of a counter
	sampleSize = 64 // samples kept, about one second
)

// Work is an amount of work at a target.
type Work struct {
	Requests      int64
	PrefillTokens int64 // prompt tokens not in the cache
	DecodeTokens  int64 // expected tokens of answers
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

func (work Work) atLeast(other Work) Work {
	return Work{
		max(work.Requests, other.Requests),
		max(work.PrefillTokens, other.PrefillTokens),
		max(work.DecodeTokens, other.DecodeTokens),
	}
}

// counter holds the work in flight at one target and samples of its past.
type counter struct {
	total   atomicWork
	low     atomicWork                         // part of total below normal priority
	high    atomicWork                         // part of total above normal priority
	samples atomic.Pointer[[sampleSize]sample] // nil until the first work
}

type atomicWork struct {
	requests, prefill, decode atomic.Int64
}

// sample holds the work just before the first change within a period.
type sample struct {
	period atomic.Int64
	work   atomicWork
}

func (work *atomicWork) load() Work {
	return Work{work.requests.Load(), work.prefill.Load(), work.decode.Load()}
}

func (work *atomicWork) store(value Work) {
	work.requests.Store(value.Requests)
	work.prefill.Store(value.PrefillTokens)
	work.decode.Store(value.DecodeTokens)
}

func (work *atomicWork) add(value Work) {
	work.requests.Add(value.Requests)
	work.prefill.Add(value.PrefillTokens)
	work.decode.Add(value.DecodeTokens)
}

func (counter *counter) add(now time.Time, priority Priority, work Work) {
	counter.record(periodOf(now))
	counter.total.add(work)
	switch {
	case priority < PriorityNormal:
		counter.low.add(work)
	case priority > PriorityNormal:
		counter.high.add(work)
	}
}

// behind returns the own work that a request of the priority does not wait
// for, as the target runs it later.
func (counter *counter) behind(priority Priority) Work {
	switch {
	case priority > PriorityNormal:
		return counter.total.load().plus(counter.high.load().negate())
	case priority == PriorityNormal:
		return counter.low.load()
	default:
		return Work{}
	}
}

func (counter *counter) record(period int64) {
	slot := &counter.history()[period%sampleSize]
	last := slot.period.Load()
	if last >= period || !slot.period.CompareAndSwap(last, period) {
		return
	}
	slot.work.store(counter.total.load())
}

func (counter *counter) history() *[sampleSize]sample {
	if samples := counter.samples.Load(); samples != nil {
		return samples
	}
	counter.samples.CompareAndSwap(nil, new([sampleSize]sample))
	return counter.samples.Load()
}

// at returns the work in flight at a time in the past, to the precision of
// the samples.
func (counter *counter) at(then time.Time) Work {
	from := periodOf(then) + 1
	best := int64(-1)
	work := counter.total.load()
	samples := counter.samples.Load()
	if samples == nil {
		return work
	}
	for i := range samples {
		slot := &samples[i]
		period := slot.period.Load()
		if period < from || (best >= 0 && period >= best) {
			continue
		}
		best, work = period, slot.work.load()
	}
	return work
}

func periodOf(now time.Time) int64 {
	return max(1, now.UnixMilli()/sampleMS)
}
