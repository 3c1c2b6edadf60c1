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

// Lease is the lease on the orders of a data centre. *lease.Lease implements
// it.
type Lease interface {
	// Held returns the current grant and whether this process holds the lease.
	Held() (lease.Grant, bool)
}

// Targets sends orders to targets and fetches their state.
type Targets interface {
	// Send sends one order, on a connection of its own and at most once. An
	// error with code.OrderRefused, or one for which code.RunStatusFromError returns
	// code.NotRun, guarantees that the order has no effect, now or later. After
	// any other error the outcome is unknown. The boot ID in the Ack is valid
	// also if there is an error.
	Send(ctx context.Context, target note.Target, order Order) (Ack, error)
	// FetchReport returns the state of the target, which may be outdated by at most
	// TargetReport.Age.
	FetchReport(ctx context.Context, target note.Target) (TargetReport, error)
}

// Platform sends orders to the platform.
type Platform interface {
	// SendOrder sends one order. Errors have the same meaning as those of
	// Targets.Send.
	SendOrder(ctx context.Context, order PlatformOrder) error
}

// WriterStatus finds out whether the process that opened a ticket may still
// send its order, and whether instances and targets have ended.
type WriterStatus interface {
	// RequestDrop asks an instance to call Issuer.Drop for a ticket, and
	// returns the result.
	RequestDrop(ctx context.Context, instance string, ticketID TicketID) (bool, error)
	// HasEnded reports whether the platform lists an instance or target as ended.
	HasEnded(ctx context.Context, id string) (bool, error)
}

// Dependencies holds the external dependencies of an issuer.
type Dependencies struct {
	Store        table.Table
	Lease        Lease
	Targets      Targets
	Platform     Platform
	WriterStatus WriterStatus // nil if other processes cannot be asked
}

// Issuer issues the orders of one data centre while this process holds the
// lease. It is safe for concurrent use.
type Issuer struct {
	dataCenter   string
	instance     string
	session      string
	dependencies Dependencies
	options      options

	mu          sync.Mutex
	records     map[string]*record // by row key
	epoch       uint64             // of the last grant returned by grant
	grantSeenAt time.Time          // when this process first saw that grant
	rowsListed  bool               // all rows have been listed under that grant
}

// New returns an issuer for the orders of a data centre. instance is the name of
// the instance that this process runs as.
func New(dataCenter, instance string, dependencies Dependencies, opts ...Option) *Issuer {
	issuer := &Issuer{
		dataCenter:   dataCenter,
		instance:     instance,
		session:      crand.Text(),
		dependencies: dependencies,
		options:      defaultOptions(),
		records:      map[string]*record{},
	}
	for _, opt := range opts {
		opt(&issuer.options)
	}
	issuer.options.initialize(dataCenter)
	return issuer
}

// Drop implements the receiving end of WriterStatus.RequestDrop. If it returns
// true, this process never sends the order of the ticket. It returns false if
// the order may already have been sent or if another process opened the ticket.
func (issuer *Issuer) Drop(ticketID TicketID) bool {
	if ticketID.Session != issuer.session {
		return false
	}
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	record := issuer.recordFor(ticketID.RowKey)
	if record.lastSend.number >= ticketID.Number {
		return false
	}
	record.highestDropped = max(record.highestDropped, ticketID.Number)
	return true
}

func (issuer *Issuer) recordFor(key string) *record {
	existing, ok := issuer.records[key]
	if !ok {
		existing = &record{key: key}
		issuer.records[key] = existing
	}
	return existing
}

// grant returns the current grant, or an error with code.LeaseLost. When the
// grant is new it invalidates all cached rows, and only reports from after this
// time count from then on: another process may have issued orders in between.
func (issuer *Issuer) grant() (lease.Grant, error) {
	grant, ok := issuer.dependencies.Lease.Held()
	if !ok {
		return grant, code.Errorf(code.LeaseLost, "this process does not hold the lease on orders in %s", issuer.dataCenter)
	}
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	if grant.Epoch == issuer.epoch {
		return grant, nil
	}
	issuer.epoch = grant.Epoch
	issuer.rowsListed = false
	issuer.grantSeenAt = time.Now()
	for _, record := range issuer.records {
		record.cacheValid = false
	}
	return grant, nil
}
