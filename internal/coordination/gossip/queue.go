package gossip

// queue is a FIFO of the IDs of origins whose state is to be forwarded. It holds
// each ID at most once.
type queue struct {
	ids    []string
	queued map[string]bool
}

func (queue *queue) push(id string) {
	if queue.queued[id] {
		return
	}
	if queue.queued == nil {
		queue.queued = map[string]bool{}
	}
	queue.queued[id] = true
	queue.ids = append(queue.ids, id)
}

func (queue *queue) pop() string {
	id := queue.ids[0]
	queue.ids = queue.ids[1:]
	delete(queue.queued, id)
	return id
}

func (queue *queue) size() int {
	return len(queue.ids)
}
