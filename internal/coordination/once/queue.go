package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"mangopier.example/mangopier/internal/coordination/pause"
)

const maxRetryIntervalMS = 5000

// job is the write of an outcome or a release.
type job struct {
	key          string
	record       record // new value of the row
	body         []byte // for the object store, nil if none
	retryBackoff backoff.BackOff
}

// queue holds jobs until they are stored.
type queue struct {
	maxBytes int
	wake     chan struct{}

	mu      sync.Mutex
	pending []*job
	running int
	bytes   int
}

func newQueue(maxBytes int) *queue {
	return &queue{maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// enqueueRelease queues the release of a claim.
func (queue *queue) enqueueRelease(key string, record record) {
	record.State = stateReleased
	queue.push(&job{key: key, record: record})
}

// enqueueOutcome queues an outcome. A body that is too large is omitted.
func (queue *queue) enqueueOutcome(key string, record record, outcome Outcome, settings settings) {
	job := &job{key: key, record: record}
	job.record.State = stateDone
	job.record.Outcome = &outcome
	size := len(outcome.Body)
	switch {
	case size > settings.maxBodyBytes, size > settings.maxInlineBytes && settings.objectStore == nil, !queue.hasRoom(size):
		outcome.Body, outcome.BodyOmitted = nil, true
	case size > settings.maxInlineBytes:
		job.body, outcome.Body = outcome.Body, nil
		job.record.Object = key + "/" + record.Nonce
	}
	queue.push(job)
}

func (queue *queue) hasRoom(size int) bool {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return queue.bytes+size <= queue.maxBytes
}

func (queue *queue) push(job *job) {
	queue.mu.Lock()
	queue.pending = append(queue.pending, job)
	queue.bytes += job.bodyBytes()
	queue.mu.Unlock()
	queue.signal()
}

func (queue *queue) pop() *job {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if len(queue.pending) == 0 {
		return nil
	}
	job := queue.pending[0]
	queue.pending = queue.pending[1:]
	queue.running++
	if len(queue.pending) > 0 {
		queue.signal()
	}
	return job
}

func (queue *queue) complete(job *job) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.running--
	queue.bytes -= job.bodyBytes()
}

func (queue *queue) signal() {
	select {
	case queue.wake <- struct{}{}:
	default:
	}
}

func (queue *queue) status() QueueStatus {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return QueueStatus{PendingWrites: len(queue.pending) + queue.running, BodyBytes: queue.bytes}
}

func (queue *queue) start(ctx context.Context, deduplicator *Deduplicator) <-chan error {
	ended := make(chan error, deduplicator.settings.workers)
	for range deduplicator.settings.workers {
		go func() { ended <- queue.runWorker(ctx, deduplicator) }()
	}
	result := make(chan error, 1)
	go func() {
		var errs []error
		for range deduplicator.settings.workers {
			errs = append(errs, <-ended)
		}
		result <- errors.Join(errs...)
	}()
	return result
}

// runWorker runs jobs until ctx ends, and then the pending ones until the queue
// is empty or the flush timeout expires.
func (queue *queue) runWorker(ctx context.Context, deduplicator *Deduplicator) error {
	for ctx.Err() == nil {
		job := queue.pop()
		if job != nil {
			queue.runJob(ctx, deduplicator, job)
			continue
		}
		select {
		case <-queue.wake:
		case <-ctx.Done():
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deduplicator.settings.flushTimeout)
	defer cancel()
	for ctx.Err() == nil {
		job := queue.pop()
		if job == nil {
			return nil
		}
		queue.runJob(ctx, deduplicator, job)
	}
	return nil
}

// runJob attempts a job with backoff until it is stored. If ctx ends first, the
// job goes back into the queue.
func (queue *queue) runJob(ctx context.Context, deduplicator *Deduplicator, job *job) {
	job.retryBackoff = newBackoff()
	for {
		err := deduplicator.applyJob(ctx, job)
		if err == nil {
			queue.complete(job)
			return
		}
		deduplicator.logger().Warn().Err(err).Str("row", job.key).Msg("outcome or release cannot be stored; retrying")
		if !pause.For(ctx, job.retryBackoff.NextBackOff()) {
			break
		}
	}
	queue.complete(job)
	queue.push(job)
}

func newBackoff() backoff.BackOff {
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval = initialPollIntervalMS * time.Millisecond
	exponential.MaxInterval = maxRetryIntervalMS * time.Millisecond
	return exponential
}

func (job *job) bodyBytes() int {
	size := len(job.body)
	if job.record.Outcome != nil {
		size += len(job.record.Outcome.Body)
	}
	return size
}
