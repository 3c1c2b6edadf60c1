package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"mangopier.example/mangopier/internal/coordination/pause"
)

const lastRetryMS = 5000

// job is a write that has to reach the store.
type job struct {
	key     string
	record  record // as it is to be stored
	body    []byte // body for the object store
	retries backoff.BackOff
}

// queue holds jobs until the store has taken them.
type queue struct {
	limit int
	wake  chan struct{}

	mu      sync.Mutex
	waiting []*job
	running int
	bytes   int
}

func newQueue(limit int) *queue {
	return &queue{limit: limit, wake: make(chan struct{}, 1)}
}

// release asks for the state released.
func (queue *queue) release(key string, record record) {
	record.State = released
	queue.push(&job{key: key, record: record})
}

// finish asks for the state done. A body that is too large is left out.
func (queue *queue) finish(key string, record record, outcome Outcome, settings settings) {
	job := &job{key: key, record: record}
	job.record.State = done
	job.record.Outcome = &outcome
	size := len(outcome.Body)
	switch {
	case size > settings.bodyBytes, size > settings.inlineBytes && settings.objects == nil, !queue.fits(size):
		outcome.Body, outcome.BodyOmitted = nil, true
	case size > settings.inlineBytes:
		job.body, outcome.Body = outcome.Body, nil
		job.record.Object = key + "/" + record.Nonce
	}
	queue.push(job)
}

func (queue *queue) fits(size int) bool {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return queue.bytes+size <= queue.limit
}

func (queue *queue) push(job *job) {
	queue.mu.Lock()
	queue.waiting = append(queue.waiting, job)
	queue.bytes += job.size()
	queue.mu.Unlock()
	queue.signal()
}

func (queue *queue) pop() *job {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if len(queue.waiting) == 0 {
		return nil
	}
	job := queue.waiting[0]
	queue.waiting = queue.waiting[1:]
	queue.running++
	if len(queue.waiting) > 0 {
		queue.signal()
	}
	return job
}

func (queue *queue) done(job *job) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.running--
	queue.bytes -= job.size()
}

func (queue *queue) signal() {
	select {
	case queue.wake <- struct{}{}:
	default:
	}
}

func (queue *queue) status() Status {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return Status{Jobs: len(queue.waiting) + queue.running, Bytes: queue.bytes}
}

func (queue *queue) start(ctx context.Context, guard *Guard) <-chan error {
	ended := make(chan error, guard.settings.workers)
	for range guard.settings.workers {
		go func() { ended <- queue.work(ctx, guard) }()
	}
	result := make(chan error, 1)
	go func() {
		var errs []error
		for range guard.settings.workers {
			errs = append(errs, <-ended)
		}
		result <- errors.Join(errs...)
	}()
	return result
}

// work runs jobs until ctx ends and then, within the flush timeout, those that
// still wait.
func (queue *queue) work(ctx context.Context, guard *Guard) error {
	for ctx.Err() == nil {
		job := queue.pop()
		if job != nil {
			queue.run(ctx, guard, job)
			continue
		}
		select {
		case <-queue.wake:
		case <-ctx.Done():
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), guard.settings.flushTimeout)
	defer cancel()
	for ctx.Err() == nil {
		job := queue.pop()
		if job == nil {
			return nil
		}
		queue.run(ctx, guard, job)
	}
	return nil
}

// run tries a job until the store has taken it. At the end of ctx the job goes
// back into the queue.
func (queue *queue) run(ctx context.Context, guard *Guard, job *job) {
	job.retries = newBackoff()
	for {
		err := guard.settle(ctx, job)
		if err == nil {
			queue.done(job)
			return
		}
		guard.logger().Warn().Err(err).Str("row", job.key).Msg("store does not take an outcome")
		if !pause.For(ctx, job.retries.NextBackOff()) {
			break
		}
	}
	queue.done(job)
	queue.push(job)
}

func newBackoff() backoff.BackOff {
	retries := backoff.NewExponentialBackOff()
	retries.InitialInterval = firstPollMS * time.Millisecond
	retries.MaxInterval = lastRetryMS * time.Millisecond
	return retries
}

func (job *job) size() int {
	size := len(job.body)
	if job.record.Outcome != nil {
		size += len(job.record.Outcome.Body)
	}
	return size
}
