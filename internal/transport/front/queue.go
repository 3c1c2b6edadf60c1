package front

import "sync"

// queue runs jobs one after another on a goroutine that exists while there are
// jobs.
type queue struct {
	maxWaiting int // limit for tryPush

	mu      sync.Mutex
	jobs    []func()
	running bool
}

// tryPush adds a job and returns true, or returns false if maxWaiting jobs are
// waiting.
func (queue *queue) tryPush(job func()) bool {
	return queue.add(job, queue.maxWaiting)
}

// pushUnbounded adds a job regardless of the limit.
func (queue *queue) pushUnbounded(job func()) {
	queue.add(job, int(^uint(0)>>1))
}

func (queue *queue) add(job func(), limit int) bool {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if len(queue.jobs) >= limit {
		return false
	}
	if queue.running {
		queue.jobs = append(queue.jobs, job)
		return true
	}
	queue.running = true
	go queue.run(job)
	return true
}

// busy reports whether a job is running or waiting.
func (queue *queue) busy() bool {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return queue.running
}

// hasWaiting reports whether a job waits for the running one.
func (queue *queue) hasWaiting() bool {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return len(queue.jobs) > 0
}

func (queue *queue) run(job func()) {
	for job != nil {
		job()
		job = queue.nextJob()
	}
}

func (queue *queue) nextJob() func() {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if len(queue.jobs) == 0 {
		queue.running = false
		queue.jobs = nil
		return nil
	}
	job := queue.jobs[0]
	queue.jobs = queue.jobs[1:]
	return job
}
