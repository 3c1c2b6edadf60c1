// Package once ensures that a call runs at most once per idempotency key,
// across all instances.
//
// A call with an idempotency key claims a row of the table before it is sent.
// Only the ticket that wrote the row may send the call. A repeat of a claimed
// call gets the stored outcome or code.OutcomeUnknown and does not run again. If
// nothing was sent under a claim, its writer releases it, and only then can the
// key be claimed again.
//
// A call without a key cannot be recognized when it is repeated. It gets a
// ticket without a claim: one attempt, and no store operation.
//
// A first call costs one write before it is sent, and one read and one write
// after the response. A repeat costs one refused write and one read, plus one
// read for each poll while the first call is still running.
package once

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/state/table"
)

// Store is the part of the platform's table that a Deduplicator uses.
type Store interface {
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	Commit(ctx context.Context, writes ...table.Write) error
}

// ObjectStore is the part of the platform's object store that a Deduplicator uses.
type ObjectStore interface {
	Put(ctx context.Context, key string, data []byte) error
	Fetch(ctx context.Context, key string) ([]byte, error)
}

// Deduplicator issues tickets for calls that must run at most once. It is safe for
// concurrent use.
type Deduplicator struct {
	settings settings
	store    Store
	queue    *queue
	metrics  *metrics

	mu     sync.Mutex
	random *rand.Rand
}

// QueueStatus describes the writes that have not reached the store yet.
type QueueStatus struct {
	PendingWrites int // outcomes and releases that are queued or being written
	BodyBytes     int // total size of the response bodies among them
}

// New returns a Deduplicator that keeps its rows in store. Outcomes and releases
// are written only while Start runs.
func New(store Store, opts ...Option) *Deduplicator {
	settings := defaults()
	for _, opt := range opts {
		opt(&settings)
	}
	return &Deduplicator{
		settings: settings,
		store:    store,
		queue:    newQueue(settings.maxQueueBytes),
		metrics:  newMetrics(settings.registerer),
		random:   rand.New(settings.randSource),
	}
}

// Begin claims the idempotency key of a call. It returns a ticket if this
// instance may send the call, or the stored outcome of an earlier call with the
// same key. Errors have code.IdempotencyMismatch if the key was used with a
// different request, code.OutcomeUnknown if the call may have run, and
// code.StoreUnavailable if the key could not be claimed. This call was not sent
// then; code.RunStatusFromError shows whether a call with the key has run.
func (deduplicator *Deduplicator) Begin(ctx context.Context, call Call) (*Ticket, *Outcome, error) {
	if call.IdempotencyKey == "" {
		return newTicket(deduplicator, "", record{}), nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, deduplicator.settings.claimTimeout)
	defer cancel()
	ticket, outcome, err := newClaim(deduplicator, call).run(ctx)
	deduplicator.metrics.countCall(outcome, err)
	return ticket, outcome, err
}

// Start writes queued outcomes and releases to the store until ctx ends. It then
// keeps writing until the queue is empty or the flush timeout expires. The
// channel yields nil when all workers have ended.
func (deduplicator *Deduplicator) Start(ctx context.Context) <-chan error {
	return deduplicator.queue.start(ctx, deduplicator)
}

// QueueStatus returns the number and size of the writes that have not reached the
// store yet.
func (deduplicator *Deduplicator) QueueStatus() QueueStatus {
	return deduplicator.queue.status()
}

// jitter returns a random duration between half of delay and one and a half.
func (deduplicator *Deduplicator) jitter(delay time.Duration) time.Duration {
	deduplicator.mu.Lock()
	defer deduplicator.mu.Unlock()
	return delay/2 + time.Duration(deduplicator.random.Int64N(int64(delay)))
}

func (deduplicator *Deduplicator) logger() *zerolog.Logger {
	return &deduplicator.settings.logger
}
