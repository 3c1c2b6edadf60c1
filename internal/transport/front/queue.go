package front

import "sync"

// queue runs jobs one after another on a goroutine that lives while there are
// jobs.
type queue struct {
	limit int // waiting jobs

	mu      sync.Mutex
	jobs    []func()
	running bool
}

// push adds a job unless the limit of waiting jobs is reached.
func (queue *queue) push(job func()) bool {
	return queue.add(job, queue.limit)
}

// force adds a job whatever waits.
func (queue *queue) force(job func()) {
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

// busy reports whether a job runs or waits.
func (queue *queue) busy() bool {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return queue.running
}

func (queue *queue) run(job func()) {
	for job != nil {
		job()
		job = queue.next()
	}
}

func (queue *queue) next() func() {
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
