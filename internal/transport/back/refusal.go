package back

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// refusalMemory is how long an attempt that a target refused is kept: longer than
	// the target keeps idle connections.
	refusalMemory = time.Minute
	// maxRefusals bounds the attempts of one generation.
	maxRefusals = 20_000
)

// refusals keeps the attempts that targets refused a while ago.
type refusals struct {
	mutex             sync.Mutex
	current, previous map[uint64]struct{} // generations, each for refusalMemory at least
	start             time.Time           // of the current generation
}

func refusalHash(call *Call) uint64 {
	return xxhash.Sum64String(call.Address + " " + call.AttemptID)
}

func (refusals *refusals) add(call *Call) {
	if call.AttemptID == "" {
		return
	}
	refusals.mutex.Lock()
	defer refusals.mutex.Unlock()
	if refusals.current == nil || time.Since(refusals.start) > refusalMemory || len(refusals.current) >= maxRefusals {
		refusals.previous, refusals.current, refusals.start = refusals.current, map[uint64]struct{}{}, time.Now()
	}
	refusals.current[refusalHash(call)] = struct{}{}
}

func (refusals *refusals) contains(call *Call) bool {
	if call.AttemptID == "" {
		return false
	}
	refusals.mutex.Lock()
	defer refusals.mutex.Unlock()
	hash := refusalHash(call)
	_, inCurrent := refusals.current[hash]
	_, inPrevious := refusals.previous[hash]
	return inCurrent || inPrevious
}
