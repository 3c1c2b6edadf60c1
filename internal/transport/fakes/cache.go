package fakes

import (
	"container/list"
	"sync"

	"mangopier.example/mangopier/internal/protocol/engine"
)

const maxCacheEvents = 1024

// cache is a prefix cache with least-recently-used eviction that publishes
// what enters and leaves it.
type cache struct {
	mu       sync.Mutex
	capacity int
	dropNth  int
	order    *list.List
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []engine.CacheEvent
}

func newCache(capacity, dropNth int) *cache {
	return &cache{capacity: capacity, dropNth: dropNth, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns how many leading blocks are there.
func (cache *cache) match(blocks []uint64) int {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	for i, block := range blocks {
		element, ok := cache.blocks[block]
		if !ok {
			return i
		}
		cache.order.MoveToFront(element)
	}
	return len(blocks)
}

func (cache *cache) add(blocks []uint64) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	for _, block := range blocks {
		if _, ok := cache.blocks[block]; ok {
			continue
		}
		cache.blocks[block] = cache.order.PushFront(block)
		cache.publish(engine.CacheEvent{BlockHash: block})
	}
	for cache.order.Len() > cache.capacity {
		block, _ := cache.order.Remove(cache.order.Back()).(uint64)
		delete(cache.blocks, block)
		cache.publish(engine.CacheEvent{BlockHash: block, Evicted: true})
	}
}

func (cache *cache) clear() {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cache.order.Init()
	cache.blocks = map[uint64]*list.Element{}
	cache.events = nil
}

func (cache *cache) publish(event engine.CacheEvent) {
	cache.sequence++
	if cache.dropNth > 0 && cache.sequence%uint64(cache.dropNth) == 0 {
		return
	}
	event.Sequence = cache.sequence
	cache.events = append(cache.events, event)
	if len(cache.events) > maxCacheEvents {
		cache.events = cache.events[1:]
	}
}

func (cache *cache) eventsAfter(after uint64) engine.CacheEvents {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	reply := engine.CacheEvents{NextSequence: cache.sequence}
	for _, event := range cache.events {
		if event.Sequence > after {
			reply.Events = append(reply.Events, event)
		}
	}
	return reply
}
