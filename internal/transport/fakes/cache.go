package fakes

import (
	"container/list"
	"sync"

	"mangopier.example/mangopier/internal/protocol/engine"
)

// maxCacheEvents bounds the events that are kept for readers; older ones are lost.
const maxCacheEvents = 1024

// cache is a prefix cache of prompt blocks with least-recently-used eviction. It
// publishes an event for each block that is added or evicted.
type cache struct {
	mu           sync.Mutex
	capacity     int
	dropEveryNth int
	lru          *list.List
	blocks       map[uint64]*list.Element
	sequence     uint64
	events       []engine.CacheEvent
}

func newCache(capacity, dropEveryNth int) *cache {
	return &cache{capacity: capacity, dropEveryNth: dropEveryNth, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// matchPrefix returns the number of leading blocks that are cached, and marks
// them as recently used.
func (cache *cache) matchPrefix(blocks []uint64) int {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	for i, block := range blocks {
		element, ok := cache.blocks[block]
		if !ok {
			return i
		}
		cache.lru.MoveToFront(element)
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
		cache.blocks[block] = cache.lru.PushFront(block)
		cache.publish(engine.CacheEvent{BlockHash: block})
	}
	for cache.lru.Len() > cache.capacity {
		block, _ := cache.lru.Remove(cache.lru.Back()).(uint64)
		delete(cache.blocks, block)
		cache.publish(engine.CacheEvent{BlockHash: block, Evicted: true})
	}
}

func (cache *cache) clear() {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cache.lru.Init()
	cache.blocks = map[uint64]*list.Element{}
	cache.events = nil
}

// publish numbers an event and keeps it. Every dropEveryNth event is numbered but
// not kept, which readers see as a gap in the sequence.
func (cache *cache) publish(event engine.CacheEvent) {
	cache.sequence++
	if cache.dropEveryNth > 0 && cache.sequence%uint64(cache.dropEveryNth) == 0 {
		return
	}
	event.Sequence = cache.sequence
	cache.events = append(cache.events, event)
	if len(cache.events) > maxCacheEvents {
		cache.events = cache.events[1:]
	}
}

func (cache *cache) eventsAfter(sequence uint64) engine.CacheEvents {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	reply := engine.CacheEvents{NextSequence: cache.sequence}
	for _, event := range cache.events {
		if event.Sequence > sequence {
			reply.Events = append(reply.Events, event)
		}
	}
	return reply
}
