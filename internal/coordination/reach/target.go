package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

// target holds the signs of trouble of one target.
type target struct {
	address string // guarded by the tracker's mutex

	unreachable atomic.Uint64 // number of the newest unreachable record, 0 for none

	mutex sync.Mutex
	calls map[*call]struct{} // outstanding
}

// call is an outstanding call. Its number orders it among the calls, unreachable
// records and received bytes of the service, which may have the same time.
type call struct {
	number uint64
	sentAt time.Duration // since the start of the tracker
}

func newTarget() *target {
	return &target{calls: map[*call]struct{}{}}
}

// begin adds an outstanding call and returns a function that removes it.
func (target *target) begin(number uint64, now time.Duration) (ended func()) {
	call := &call{number: number, sentAt: now}
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.calls[call] = struct{}{}
	return func() { target.end(call) }
}

func (target *target) end(call *call) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	delete(target.calls, call)
}

// isTroubled returns true if the target has an unreachable record, or a call
// outstanding for silenceTimeout, with a number above after.
func (target *target) isTroubled(after uint64, now time.Duration) bool {
	if target.unreachable.Load() > after {
		return true
	}
	target.mutex.Lock()
	defer target.mutex.Unlock()
	for call := range target.calls {
		if call.number > after && now-call.sentAt >= silenceTimeout {
			return true
		}
	}
	return false
}
