package place

import (
	"container/list"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangopier.example/mangopier/internal/protocol/site"
)

// prefixCacheShare is the share of an engine's memory that is assumed to hold
// cached prompt parts; running requests use the rest.
const prefixCacheShare = 0.8

func prefixCacheTokens(engine *site.Engine) int {
	return int(float64(engine.KVCapacityTokens) * prefixCacheShare)
}

// prefixCache models the prompt parts in an engine's prefix cache, with
// least-recently-used eviction. A part is of use only if all parts before it
// are cached too, so its key is the hash of itself and those before it.
type prefixCache struct {
	capacity int // tokens
	tokens   int
	entries  map[uint64]*list.Element // by hash
	lru      *list.List               // of cacheEntry, most recently used first
}

type cacheEntry struct {
	hash    uint64
	tokens  int
	readyAt time.Time // when prefill of the part is expected to be complete, zero if unknown
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, entries: map[uint64]*list.Element{}, lru: list.New()}
}

// cachedTokens returns the tokens of the leading parts that are in the cache.
func (cache *prefixCache) cachedTokens(parts []hashedPart) int {
	tokens := 0
	for _, part := range parts {
		if _, ok := cache.entries[part.Hash]; !ok {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}

// fetchableTokens returns the tokens of the leading parts that other engines
// can fetch, that is, those whose prefill is complete.
func (cache *prefixCache) fetchableTokens(parts []hashedPart, now time.Time) int {
	tokens := 0
	for _, part := range parts {
		element, ok := cache.entries[part.Hash]
		if !ok || !element.Value.(*cacheEntry).isReady(now) { //nolint:forcetypeassert // the list holds entries only
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}

func (entry *cacheEntry) isReady(now time.Time) bool {
	return !entry.readyAt.IsZero() && !now.Before(entry.readyAt)
}

// add inserts parts whose prefill completes at readyAt, or marks them as
// recently used, and evicts the least recently used parts beyond the capacity. A
// zero readyAt means that the end of the prefill is not known yet.
func (cache *prefixCache) add(parts []hashedPart, readyAt time.Time) {
	for i := len(parts) - 1; i >= 0; i-- {
		cache.touch(parts[i], readyAt)
	}
	for cache.tokens > cache.capacity {
		oldest := cache.lru.Back()
		evicted := cache.lru.Remove(oldest).(*cacheEntry) //nolint:forcetypeassert // the list holds entries only
		delete(cache.entries, evicted.hash)
		cache.tokens -= evicted.tokens
	}
}

func (cache *prefixCache) touch(part hashedPart, readyAt time.Time) {
	if element, ok := cache.entries[part.Hash]; ok {
		cache.lru.MoveToFront(element)
		element.Value.(*cacheEntry).lowerReadyAt(readyAt) //nolint:forcetypeassert // the list holds entries only
		return
	}
	cache.entries[part.Hash] = cache.lru.PushFront(&cacheEntry{hash: part.Hash, tokens: part.Tokens, readyAt: readyAt})
	cache.tokens += part.Tokens
}

// lowerReadyAt sets the earliest known time at which a prefill of the part is complete.
func (entry *cacheEntry) lowerReadyAt(readyAt time.Time) {
	if readyAt.IsZero() {
		return
	}
	if entry.readyAt.IsZero() || readyAt.Before(entry.readyAt) {
		entry.readyAt = readyAt
	}
}

// hashedPart is a part of a prompt with the hash of itself and all parts
// before it.
type hashedPart struct {
	Hash   uint64 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

func hashParts(prompt *site.Prompt) []hashedPart {
	hashed := make([]hashedPart, 0, len(prompt.Parts))
	digest := xxhash.New()
	_, _ = digest.WriteString(prompt.Model)
	for _, part := range prompt.Parts {
		_, _ = digest.WriteString("\x00" + part.ID + ":" + strconv.Itoa(part.Tokens))
		hashed = append(hashed, hashedPart{Hash: digest.Sum64(), Tokens: part.Tokens})
	}
	return hashed
}
