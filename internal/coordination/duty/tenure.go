package duty

import (
	"sync"
	"time"

	"mangopier.example/mangopier/internal/coordination/lease"
)

// tenure tells since when this instance has held the lease.
type tenure struct {
	lease Lease
	wait  time.Duration

	mutex sync.Mutex
	epoch uint64
	since time.Time
}

// held returns the grant if the instance may act under it: it has held the
// lease for long enough that no other holder's act lies within the time in
// which holders must not alternate. The first holder of all need not wait.
func (tenure *tenure) held() (lease.Grant, bool) {
	grant, ok := tenure.lease.Held()
	if !ok {
		return lease.Grant{}, false
	}
	tenure.mutex.Lock()
	defer tenure.mutex.Unlock()
	if grant.Epoch != tenure.epoch {
		tenure.epoch, tenure.since = grant.Epoch, time.Now()
	}
	return grant, grant.Epoch == 1 || time.Since(tenure.since) >= tenure.wait
}
