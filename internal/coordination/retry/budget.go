package retry

import (
	"sync/atomic"
	"time"
)

const milliPerTry = 1000

// Budget is an allowance of tries that fresh work fills: each fresh request
// adds a share of a try, and time adds a small floor. Its methods may be
// called by several goroutines and take no lock.
type Budget struct {
	shareMilli int64 // thousandths of a try per fresh request
	floorMilli int64 // thousandths of a try per second
	limitMilli int64
	milli      atomic.Int64
	filledMS   atomic.Int64 // time up to which the floor is counted
}

// NewBudget returns a full budget. Share is the part of a try that a fresh
// request adds, floor the tries added per second, limit the most tries kept.
func NewBudget(share, floor, limit float64) *Budget {
	budget := &Budget{
		shareMilli: int64(share * milliPerTry),
		floorMilli: int64(floor * milliPerTry),
		limitMilli: int64(limit * milliPerTry),
	}
	budget.milli.Store(budget.limitMilli)
	return budget
}

// Fresh counts a fresh request.
func (budget *Budget) Fresh() {
	budget.add(budget.shareMilli)
}

// Spend takes one try at the time, or returns false when none is left.
func (budget *Budget) Spend(now time.Time) bool {
	budget.fill(now)
	for {
		milli := budget.milli.Load()
		if milli < milliPerTry {
			return false
		}
		if budget.milli.CompareAndSwap(milli, milli-milliPerTry) {
			return true
		}
	}
}

// Left returns the tries left.
func (budget *Budget) Left() float64 {
	return float64(budget.milli.Load()) / milliPerTry
}

func (budget *Budget) fill(now time.Time) {
	nowMS := now.UnixMilli()
	last := budget.filledMS.Load()
	if last == 0 {
		budget.filledMS.CompareAndSwap(0, nowMS)
		return
	}
	gained := (nowMS - last) * budget.floorMilli / milliPerTry
	if gained > 0 && budget.filledMS.CompareAndSwap(last, nowMS) {
		budget.add(gained)
	}
}

func (budget *Budget) add(milli int64) {
	for {
		before := budget.milli.Load()
		after := min(budget.limitMilli, before+milli)
		if after == before || budget.milli.CompareAndSwap(before, after) {
			return
		}
	}
}
