package place

import (
	"container/list"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangopier.example/mangopier/internal/protocol/site"
)

// cacheShare is the part of an engine's memory that is taken to hold parts of
// prompts; the rest is in use by running requests.
const cacheShare = 0.8

func cacheOf(engine *site.Engine) int {
	return int(float64(engine.Memory) * cacheShare)
}

// cache models the parts that an engine keeps: the least recently used yield.
// A part is of use only if all parts before it are kept too, so it is named by
// the hash of itself and these.
type cache struct {
	capacity int
	tokens   int
	entries  map[uint64]*list.Element
	recent   *list.List // of entry, newest first
}

type entry struct {
	name   uint64
	tokens int
	ready  time.Time // when the engine has read it
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, entries: map[uint64]*list.Element{}, recent: list.New()}
}

// kept returns the tokens of the leading parts that the engine keeps.
func (cache *cache) kept(parts []namedPart) int {
	tokens := 0
	for _, part := range parts {
		if _, ok := cache.entries[part.Name]; !ok {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}

// ready returns the tokens of the leading parts that others can fetch from the
// engine, since it has read them.
func (cache *cache) ready(parts []namedPart, now time.Time) int {
	tokens := 0
	for _, part := range parts {
		element, ok := cache.entries[part.Name]
		if !ok || now.Before(element.Value.(*entry).ready) { //nolint:forcetypeassert // the list holds entries only
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}

// use records that the engine will have read parts at some time.
func (cache *cache) use(parts []namedPart, ready time.Time) {
	for i := len(parts) - 1; i >= 0; i-- {
		cache.touch(parts[i], ready)
	}
	for cache.tokens > cache.capacity {
		oldest := cache.recent.Back()
		evicted := cache.recent.Remove(oldest).(*entry) //nolint:forcetypeassert // the list holds entries only
		delete(cache.entries, evicted.name)
		cache.tokens -= evicted.tokens
	}
}

func (cache *cache) touch(part namedPart, ready time.Time) {
	if element, ok := cache.entries[part.Name]; ok {
		cache.recent.MoveToFront(element)
		if kept := element.Value.(*entry); ready.Before(kept.ready) { //nolint:forcetypeassert // the list holds entries only
			kept.ready = ready
		}
		return
	}
	cache.entries[part.Name] = cache.recent.PushFront(&entry{name: part.Name, tokens: part.Tokens, ready: ready})
	cache.tokens += part.Tokens
}

// namedPart is a part of a prompt under the hash of itself and all before it.
type namedPart struct {
	Name   uint64 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

func nameParts(prompt *site.Prompt) []namedPart {
	named := make([]namedPart, 0, len(prompt.Parts))
	digest := xxhash.New()
	_, _ = digest.WriteString(prompt.Model)
	for _, part := range prompt.Parts {
		_, _ = digest.WriteString("\x00" + part.ID + ":" + strconv.Itoa(part.Tokens))
		named = append(named, namedPart{Name: digest.Sum64(), Tokens: part.Tokens})
	}
	return named
}
