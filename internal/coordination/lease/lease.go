// Package lease elects one process at a time as the holder of a duty. It needs
// nothing but the platform's table.
//
// A lease has two rows. The epoch row changes only on a takeover; transactions
// that act under the lease check its version. The heartbeat row changes with
// each renewal; the other candidates watch its version. Renewals therefore
// never conflict with the transactions that the lease protects.
//
// Holding a lease does not by itself make an action safe: the process may be
// paused between the call of Held and the action. Include Grant.Condition in
// the transaction that precedes the action.
package lease

import (
	"context"
	crand "crypto/rand"
	"sync/atomic"
	"time"

	"mangopier.example/mangopier/internal/state/table"
)

// Store is the part of the platform's table that a lease needs.
type Store interface {
	// Get returns the row of a key.
	Get(ctx context.Context, key string) (table.Row, error)
	// Commit applies all writes or none.
	Commit(ctx context.Context, writes ...table.Write) error
}

// Grant proves that a process took the lease over with the given epoch.
type Grant struct {
	Epoch   uint64 // increases with each takeover, also over restores of the table from a copy
	Key     string // key of the epoch row
	Version uint64 // version of the epoch row
	First   bool   // there was no holder before
	Era     uint64 // of the table at the takeover
}

// Condition returns the condition to include in every transaction that acts
// under the lease. The transaction fails with code.RowConflict once another
// process has taken over.
func (grant Grant) Condition() table.Write {
	return table.Write{Key: grant.Key, ExpectedVersion: grant.Version, CheckOnly: true}
}

// Lease is one process's candidacy for a duty. It is safe for concurrent use.
type Lease struct {
	store       Store
	duty        string
	holder      string
	session     string // distinguishes this process from an earlier one of the same name
	options     options
	lastRenewal atomic.Pointer[renewal] // nil before a takeover and after a loss or a release
}

// New returns a lease on a duty, such as "orders/kosice-1", for the process
// named holder. It makes no store call before Start.
func New(store Store, duty, holder string, opts ...Option) *Lease {
	lease := &Lease{
		store:   store,
		duty:    duty,
		holder:  holder,
		session: crand.Text(),
		options: defaults(),
	}
	for _, opt := range opts {
		opt(&lease.options)
	}
	lease.options.complete(duty)
	return lease
}

// Start competes for the lease until ctx ends and then releases it. Whatever
// acts under the lease must have stopped by then. The channel delivers the
// result of the release and is then closed.
func (lease *Lease) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		candidate := &candidate{lease: lease}
		done <- candidate.run(ctx)
	}()
	return done
}

// Held returns the grant while this process holds the lease. The lease counts
// as held for its duration less a safety margin, measured from the sending of
// the last renewal that took effect, and only while the wall clock and the
// monotonic clock have not diverged since.
func (lease *Lease) Held() (Grant, bool) {
	renewal := lease.lastRenewal.Load()
	if renewal == nil || !lease.isValid(renewal) {
		return Grant{}, false
	}
	return renewal.grant, true
}

// renewal is a renewal or takeover that took effect.
type renewal struct {
	grant  Grant
	era    uint64 // in which the lease was taken over
	sentAt clockReading
}

type clockReading struct {
	monotonic time.Time
	wall      time.Time
}

func (lease *Lease) now() clockReading {
	return clockReading{monotonic: time.Now(), wall: lease.options.wallClock()}
}

// isValid reports whether the lease is still held on the strength of renewal.
// Clocks that diverge can mean that the machine slept while its monotonic clock
// stood still, so that the lease expired unnoticed. A restore of the table takes back
// the renewal.
func (lease *Lease) isValid(renewal *renewal) bool {
	if renewal.era != lease.options.era() {
		return false
	}
	elapsed := time.Since(renewal.sentAt.monotonic)
	if elapsed >= lease.options.duration-lease.options.safetyMargin() {
		return false
	}
	divergence := lease.options.wallClock().Sub(renewal.sentAt.wall) - elapsed
	return divergence.Abs() <= lease.options.safetyMargin()
}

func (lease *Lease) epochKey() string {
	return "lease/" + lease.duty + "/epoch"
}

func (lease *Lease) heartbeatKey() string {
	return "lease/" + lease.duty + "/heartbeat"
}
