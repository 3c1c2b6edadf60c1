// Package lease keeps one process in charge of a duty, on the platform's table
// alone.
//
// A lease has two rows. The epoch row changes only when another process takes
// the lease over; transactions that act under the lease check its version. The
// heartbeat row changes with each renewal; challengers watch its version. So
// renewals never conflict with the transactions that the lease protects.
//
// A lease says who should act. It does not make an action safe by itself: a
// process may be paused between Held and what follows. Include Grant.Check in
// the transaction that has to precede the action.
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

// Grant proves that a process took the lease over as the given epoch.
type Grant struct {
	Epoch   uint64 // goes up with each takeover, from 1
	Key     string // key of the epoch row
	Version uint64 // version of the epoch row
}

// Check returns the condition to include in every transaction that acts under
// the lease. It fails with code.RowConflict once another process took over.
func (grant Grant) Check() table.Write {
	return table.Write{Key: grant.Key, Version: grant.Version, CheckOnly: true}
}

// Lease takes part in the contest for one duty. It is safe for concurrent use.
type Lease struct {
	store   Store
	duty    string
	holder  string
	session string // distinguishes this process from an earlier one of the same name
	options options
	belief  atomic.Pointer[belief]
}

// New returns a lease on a duty, such as "orders/kosice-1", for the process
// that holder names. It does nothing before Start.
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

// Start contests the lease until ctx ends and then releases it. Whoever acts
// under the lease should have stopped by then. The channel delivers the result
// of the release and is closed.
func (lease *Lease) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		contest := &contest{lease: lease}
		done <- contest.run(ctx)
	}()
	return done
}

// Held returns the grant while the process may believe that it holds the
// lease: for the term less a margin from the moment at which it sent the last
// renewal that took effect, unless the clocks have jumped apart since.
func (lease *Lease) Held() (Grant, bool) {
	belief := lease.belief.Load()
	if belief == nil || !lease.holds(belief) {
		return Grant{}, false
	}
	return belief.grant, true
}

// belief is what the last renewal that took effect entitles to.
type belief struct {
	grant Grant
	sent  moment
}

// moment is a reading of the monotonic and of the wall clock.
type moment struct {
	monotonic time.Time
	wall      time.Time
}

func (lease *Lease) now() moment {
	return moment{monotonic: time.Now(), wall: lease.options.wall()}
}

func (lease *Lease) holds(belief *belief) bool {
	elapsed := time.Since(belief.sent.monotonic)
	if elapsed >= lease.options.term-lease.options.margin() {
		return false
	}
	jump := lease.options.wall().Sub(belief.sent.wall) - elapsed
	return jump.Abs() <= lease.options.margin()
}

func (lease *Lease) epochKey() string {
	return "lease/" + lease.duty + "/epoch"
}

func (lease *Lease) heartbeatKey() string {
	return "lease/" + lease.duty + "/heartbeat"
}
