package retry

import (
	"sync/atomic"
	"time"
)

const milliPerAttempt = 1000

// Budget is a token bucket of attempts. Each new request adds a share of an
// attempt. Attempts are also added at a low constant rate, so that some retries
// are possible with few requests. It is safe for concurrent use and lock-free.
type Budget struct {
	shareMilli     int64 // thousandths of an attempt per new request
	refillMilli    int64 // thousandths of an attempt per second
	limitMilli     int64
	remainingMilli atomic.Int64
	refilledAtMS   atomic.Int64 // Unix time up to which refills are counted, zero before the first Spend
}

// NewBudget returns a full budget. A new request adds share attempts, and each
// second adds refillPerSecond attempts, up to limit.
func NewBudget(share, refillPerSecond, limit float64) *Budget {
	budget := &Budget{
		shareMilli:  int64(share * milliPerAttempt),
		refillMilli: int64(refillPerSecond * milliPerAttempt),
		limitMilli:  int64(limit * milliPerAttempt),
	}
	budget.remainingMilli.Store(budget.limitMilli)
	return budget
}

// CountRequest counts a new request, not its retries.
func (budget *Budget) CountRequest() {
	budget.add(budget.shareMilli)
}

// Spend takes one attempt from the budget as of now, or returns false if none is
// left.
func (budget *Budget) Spend(now time.Time) bool {
	budget.refill(now)
	for {
		milli := budget.remainingMilli.Load()
		if milli < milliPerAttempt {
			return false
		}
		if budget.remainingMilli.CompareAndSwap(milli, milli-milliPerAttempt) {
			return true
		}
	}
}

// Remaining returns the number of attempts left.
func (budget *Budget) Remaining() float64 {
	return float64(budget.remainingMilli.Load()) / milliPerAttempt
}

func (budget *Budget) refill(now time.Time) {
	nowMS := now.UnixMilli()
	last := budget.refilledAtMS.Load()
	if last == 0 {
		budget.refilledAtMS.CompareAndSwap(0, nowMS)
		return
	}
	gained := (nowMS - last) * budget.refillMilli / milliPerAttempt
	if gained > 0 && budget.refilledAtMS.CompareAndSwap(last, nowMS) {
		budget.add(gained)
	}
}

func (budget *Budget) add(milli int64) {
	for {
		before := budget.remainingMilli.Load()
		after := min(budget.limitMilli, before+milli)
		if after == before || budget.remainingMilli.CompareAndSwap(before, after) {
			return
		}
	}
}
