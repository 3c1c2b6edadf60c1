package duty

import (
	"sync"
	"time"

	"mangopier.example/mangopier/internal/coordination/lease"
)

// delayedLease withholds the grant for some time after each takeover.
type delayedLease struct {
	lease Lease
	delay time.Duration

	mutex     sync.Mutex
	epoch     uint64
	heldSince time.Time
}

// held returns the grant and whether this instance may act under it. It may once
// it has held the lease for delay: the last action of an earlier holder is then
// longer ago than the period in which holders must not alternate. The first holder
// has no predecessor and need not wait.
func (delayedLease *delayedLease) held() (lease.Grant, bool) {
	grant, ok := delayedLease.lease.Held()
	if !ok {
		return lease.Grant{}, false
	}
	delayedLease.mutex.Lock()
	defer delayedLease.mutex.Unlock()
	if grant.Epoch != delayedLease.epoch {
		delayedLease.epoch, delayedLease.heldSince = grant.Epoch, time.Now()
	}
	return grant, grant.First || time.Since(delayedLease.heldSince) >= delayedLease.delay
}
