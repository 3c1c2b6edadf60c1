package route

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangopier.example/mangopier/internal/protocol/note"
)

const (
	defaultPrefillTPS = 8000.0
	defaultDecodeTPS  = 1000.0
	defaultSlots      = 16
	decodeDelayWeight = 0.25 // share of the decode time that counts as delay
)

// LoadReport is the work that a target reported, with the time of the measurement.
type LoadReport struct {
	MeasuredAt time.Time // time of the measurement, on this instance's clock
	Work       Work      // accepted and not finished, from all instances
}

// targetState is the mutable state of one target that all views share.
type targetState struct {
	idHash      uint64
	inFlight    workCounter // of this instance
	prefixIndex prefixIndex
	external    atomic.Pointer[externalLoad] // nil before the first report of the target or a peer
}

// externalLoad is the load of a target without this instance's in-flight work.
type externalLoad struct {
	work Work // reported work and peers' unreported work, less own work in the report
}

// viewTarget is one target of a view. The rates and slots are defaults where the
// target declares none.
type viewTarget struct {
	*targetState
	target       *note.Target
	rank         uint64  // rendezvous rank for this instance within a data centre
	weight       float64 // share of its normal traffic that its health permits
	delaySeconds float64 // one way, to its data centre
	prefillTPS   float64
	decodeTPS    float64 // over the whole batch
	slots        int64
}

func newTargetState(id string) *targetState {
	return &targetState{idHash: xxhash.Sum64String(id)}
}

func newViewTarget(shared *targetState, target *note.Target, weight, delaySeconds float64) *viewTarget {
	return &viewTarget{
		targetState:  shared,
		target:       target,
		weight:       weight,
		delaySeconds: delaySeconds,
		prefillTPS:   orDefault(target.PrefillTPS, defaultPrefillTPS),
		decodeTPS:    orDefault(target.DecodeTPS, defaultDecodeTPS),
		slots:        int64(orDefault(float64(target.Slots), defaultSlots)),
	}
}

func orDefault(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}

// backlog returns the work of all instances that is expected at the target now.
func (targetState *targetState) backlog() Work {
	own := targetState.inFlight.total.load()
	load := targetState.external.Load()
	if load == nil {
		return own
	}
	return load.work.plus(own).atLeast(own)
}

// workAhead returns the part of the backlog that the target runs before a new
// request of the priority.
func (targetState *targetState) workAhead(priority Priority) Work {
	work := targetState.backlog().plus(targetState.inFlight.lowerPriorityWork(priority).negate())
	return work.atLeast(Work{})
}

// expectedCachedTokens estimates how many prompt tokens of the request the
// target has cached.
func (viewTarget *viewTarget) expectedCachedTokens(request *Request) int {
	if len(request.BlockHashes) == 0 {
		return 0
	}
	cachedBlocks := viewTarget.prefixIndex.countLeading(request.BlockHashes)
	share := float64(cachedBlocks) / float64(len(request.BlockHashes))
	return int(share * viewTarget.prefixIndex.currentAccuracy() * float64(request.PromptTokens))
}

// secondsToFirstToken estimates the time until the first token: network delay,
// prefill of the queue and of the request, and the wait for a slot if all are busy.
func (viewTarget *viewTarget) secondsToFirstToken(work, ahead Work) float64 {
	seconds := viewTarget.delaySeconds + float64(ahead.PrefillTokens+work.PrefillTokens)/viewTarget.prefillTPS
	if queued := ahead.Requests + 1 - viewTarget.slots; queued > 0 {
		seconds += float64(queued) * viewTarget.secondsToFreeSlot(ahead)
	}
	return seconds
}

// secondsToFreeSlot estimates the time until one of the busy slots is free.
func (viewTarget *viewTarget) secondsToFreeSlot(ahead Work) float64 {
	if ahead.Requests == 0 {
		return 0
	}
	meanDecodeTokens := float64(ahead.DecodeTokens) / float64(ahead.Requests)
	return meanDecodeTokens / viewTarget.decodeTPS
}

// costSeconds returns the expected time until the first token plus a share
// (decodeDelayWeight) of the decode time.
func (viewTarget *viewTarget) costSeconds(work, ahead Work) float64 {
	decodeSeconds := float64(ahead.DecodeTokens+work.DecodeTokens) / viewTarget.decodeTPS
	return viewTarget.secondsToFirstToken(work, ahead) + decodeDelayWeight*decodeSeconds
}
