package order

import (
	"context"
	crand "crypto/rand"
	"sync"
	"time"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/state/table"
)

// Authority tells whether this process is in charge of the orders of the data
// centre. *lease.Lease is one.
type Authority interface {
	Held() (lease.Grant, bool)
}

// Targets carries orders to targets and reads their state.
type Targets interface {
	// Send delivers one order, on a connection of its own and never twice. An
	// error with code.OrderRefused, or one whose run is code.NotRun, promises
	// that the order has no effect, now or later. After any other error the
	// outcome is unknown. The boot in the Ack counts also beside an error.
	Send(ctx context.Context, target note.Target, order Order) (Ack, error)
	// Report returns the state of the target, which may lag.
	Report(ctx context.Context, target note.Target) (Report, error)
}

// Platform carries orders to the platform.
type Platform interface {
	// Order delivers one order. Errors are as those of Targets.Send.
	Order(ctx context.Context, order PlatformOrder) error
}

// Writers tells what became of the process that opened a ticket.
type Writers interface {
	// Dropped asks the process on an instance to drop a ticket, by its
	// Issuer.Drop, and returns the answer.
	Dropped(ctx context.Context, instance string, reference Reference) (bool, error)
	// Ended reports whether the platform's list has an instance or target as
	// ended.
	Ended(ctx context.Context, id string) (bool, error)
}

// Services are what an issuer works with.
type Services struct {
	Store     table.Table
	Authority Authority
	Targets   Targets
	Platform  Platform
	Writers   Writers // nil if nothing is known of other writers
}

// Issuer issues the orders of one data centre while this process holds the
// lease. It is safe for concurrent use.
type Issuer struct {
	dataCenter string
	instance   string
	session    string
	services   Services
	options    options

	mu     sync.Mutex
	slots  map[string]*slot // by key
	epoch  uint64           // of the last grant seen
	began  time.Time        // when that grant was first seen
	listed bool             // all rows were read under that grant
}

// New returns an issuer for a data centre in the process that instance names.
func New(dataCenter, instance string, services Services, opts ...Option) *Issuer {
	issuer := &Issuer{
		dataCenter: dataCenter,
		instance:   instance,
		session:    crand.Text(),
		services:   services,
		options:    defaults(),
		slots:      map[string]*slot{},
	}
	for _, opt := range opts {
		opt(&issuer.options)
	}
	issuer.options.complete(dataCenter)
	return issuer
}

// Drop is the answer to Writers.Dropped: it promises that this process never
// sends the order of a ticket, and returns false if it cannot promise that,
// because the order may have left or another process opened the ticket.
func (issuer *Issuer) Drop(reference Reference) bool {
	if reference.Session != issuer.session {
		return false
	}
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	slot := issuer.slotOf(reference.Key)
	if slot.sent.number >= reference.Number {
		return false
	}
	slot.dropped = max(slot.dropped, reference.Number)
	return true
}

func (issuer *Issuer) slotOf(key string) *slot {
	found, ok := issuer.slots[key]
	if !ok {
		found = &slot{key: key}
		issuer.slots[key] = found
	}
	return found
}

// grant returns the grant held. Under a new grant, rows have to be read again
// and reports have to be younger than it.
func (issuer *Issuer) grant() (lease.Grant, error) {
	grant, ok := issuer.services.Authority.Held()
	if !ok {
		return grant, code.Errorf(code.LeaseLost, "the lease on orders in %s is not held", issuer.dataCenter)
	}
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	if grant.Epoch == issuer.epoch {
		return grant, nil
	}
	issuer.epoch = grant.Epoch
	issuer.listed = false
	issuer.began = time.Now()
	for _, slot := range issuer.slots {
		slot.known = false
	}
	return grant, nil
}
