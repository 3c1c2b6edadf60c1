// Package once runs calls that may not be repeated at most once per
// idempotency key, over any number of instances.
//
// A call with an idempotency key claims a row of the table before it is sent.
// The row of a claim is never a licence for anyone but the ticket that wrote
// it, so a call that another instance finds claimed is answered from the
// stored outcome or with code.OutcomeUnknown, and is not run again. A claim
// under which nothing was sent is released by its writer, and only then may
// the key be claimed again.
//
// A call without a key has no name under which a second instance could meet it
// again, so it gets a ticket without a claim: one attempt, and no store
// operation.
//
// A first call costs one write before the send, and one read and one write
// after the answer. A repeat costs one refused write and one read, and one
// more read for each poll while the first call is still running.
package once

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/state/table"
)

// Store is the part of the platform's table that a Guard needs.
type Store interface {
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	Commit(ctx context.Context, writes ...table.Write) error
}

// Objects is the part of the platform's object store that a Guard needs.
type Objects interface {
	Put(ctx context.Context, key string, data []byte) error
	Fetch(ctx context.Context, key string) ([]byte, error)
}

// Guard hands out tickets for calls that may run at most once. It is safe for
// concurrent use.
type Guard struct {
	settings settings
	store    Store
	jobs     *queue
	metrics  *metrics

	mu     sync.Mutex
	random *rand.Rand
}

// Status is what a Guard has to store still.
type Status struct {
	Jobs  int // outcomes and releases that wait for the store
	Bytes int // size of the bodies among them
}

// New returns a Guard over the platform's table. Start runs its work in the
// background.
func New(store Store, opts ...Option) *Guard {
	settings := defaults()
	for _, opt := range opts {
		opt(&settings)
	}
	return &Guard{
		settings: settings,
		store:    store,
		jobs:     newQueue(settings.queueBytes),
		metrics:  newMetrics(settings.registerer),
		random:   rand.New(settings.source),
	}
}

// Begin claims the key of a call. It returns a ticket for a call that this
// instance may send, or the stored outcome of an earlier call with the same
// key. Errors have these codes: code.IdempotencyMismatch for a key that was
// used with another request, code.OutcomeUnknown for a call that may have run,
// code.StoreUnavailable when the key could not be claimed; nothing was sent
// then, and code.RunOf tells what is known of the key.
func (guard *Guard) Begin(ctx context.Context, call Call) (*Ticket, *Outcome, error) {
	if call.IdempotencyKey == "" {
		return newTicket(guard, "", record{}), nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, guard.settings.claimTimeout)
	defer cancel()
	ticket, outcome, err := newClaim(guard, call).run(ctx)
	guard.metrics.begin(outcome, err)
	return ticket, outcome, err
}

// Start stores outcomes and releases claims until ctx ends, and then once more
// within the flush timeout. The channel gives nil when all work has ended.
func (guard *Guard) Start(ctx context.Context) <-chan error {
	return guard.jobs.start(ctx, guard)
}

// Status returns what the Guard has to store still.
func (guard *Guard) Status() Status {
	return guard.jobs.status()
}

func (guard *Guard) jitter(delay time.Duration) time.Duration {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return delay/2 + time.Duration(guard.random.Int64N(int64(delay)))
}

func (guard *Guard) logger() *zerolog.Logger {
	return &guard.settings.logger
}
