package usage

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// ReplicaStore stores copies of the counts of other instances. It is a Replica and is
// safe for concurrent use.
type ReplicaStore struct {
	settings settings
	name     string

	mu              sync.Mutex
	batches         map[batchKey]*mergedBatch
	completeUntilMS map[Origin]int64 // time up to which all counts of an origin are here
	lineCount       int
}

// ReplicaStoreStatus is the size of a ReplicaStore.
type ReplicaStoreStatus struct {
	Name    string
	Batches int // one per origin and window
	Lines   int
}

// NewReplicaStore returns an empty ReplicaStore for the instance self.
func NewReplicaStore(self string, opts ...Option) *ReplicaStore {
	settings := newSettings(opts)
	run := strconv.FormatUint(rand.New(settings.randSource).Uint64(), 36)
	return &ReplicaStore{
		settings:        settings,
		name:            self + "/" + run,
		batches:         map[batchKey]*mergedBatch{},
		completeUntilMS: map[Origin]int64{},
	}
}

// Store stores batches and returns the name of this run of the ReplicaStore,
// which changes when a restart has lost its content. It returns
// code.MessageMalformed for a malformed batch and code.BodyMemoryFull when
// there is no room; nothing is stored then.
func (store *ReplicaStore) Store(_ context.Context, batches []Batch) (string, error) {
	if slices.ContainsFunc(batches, Batch.isMalformed) {
		return "", code.Errorf(code.MessageMalformed, "a batch of usage is malformed")
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if !store.hasRoomFor(batches) {
		store.evictExpired()
	}
	if !store.hasRoomFor(batches) {
		return "", code.Errorf(code.BodyMemoryFull, "the copies hold %d lines already", store.lineCount)
	}
	for _, batch := range batches {
		store.merge(batch.forReplica(store.name))
	}
	return store.name, nil
}

// Collect evicts batches that are settled or older than the allowed lateness,
// and returns the remaining ones that match the request.
func (store *ReplicaStore) Collect(request CollectRequest) []Batch {
	store.mu.Lock()
	defer store.mu.Unlock()
	through := request.settledThrough()
	var batches []Batch
	for key, merged := range store.batches {
		last, ok := through[key.origin]
		if ok && key.window <= last || key.window <= request.LastWindow-store.settings.allowedLateness {
			store.evict(key)
			continue
		}
		batches = append(batches, merged.toBatch())
	}
	return request.response(append(batches, store.completenessBatches(request.LastWindow)...))
}

// completenessBatches returns an empty batch for each known origin, with the
// time up to which all counts of the origin are here. It drops origins older
// than the allowed lateness.
func (store *ReplicaStore) completenessBatches(window Window) []Batch {
	oldest := store.settings.schedule.WindowStart(window - store.settings.allowedLateness).UnixMilli()
	var batches []Batch
	for origin, untilMS := range store.completeUntilMS {
		if untilMS < oldest {
			delete(store.completeUntilMS, origin)
			continue
		}
		batches = append(batches, Batch{Origin: origin, Window: window, CompleteUntilMS: untilMS})
	}
	return batches
}

// copies returns all batches for storage at another replica. It clears Replica,
// so that the other replica discards the completeness times: they apply only to
// this one.
func (store *ReplicaStore) copies() []Batch {
	store.mu.Lock()
	defer store.mu.Unlock()
	var batches []Batch
	for _, merged := range store.batches {
		batch := merged.toBatch()
		batch.Replica = ""
		batches = append(batches, batch)
	}
	return batches
}

// Status returns the number of batches and lines.
func (store *ReplicaStore) Status() ReplicaStoreStatus {
	store.mu.Lock()
	defer store.mu.Unlock()
	return ReplicaStoreStatus{Name: store.name, Batches: len(store.batches), Lines: store.lineCount}
}

func (store *ReplicaStore) merge(batch Batch) {
	key := batch.mergeKey()
	if store.batches[key] == nil {
		store.batches[key] = newMergedBatch(key)
		store.lineCount++
	}
	store.lineCount += store.batches[key].merge(batch)
	store.completeUntilMS[batch.Origin] = max(store.completeUntilMS[batch.Origin], batch.CompleteUntilMS)
}

func (store *ReplicaStore) evict(key batchKey) {
	store.lineCount -= 1 + len(store.batches[key].lines)
	delete(store.batches, key)
}

func (store *ReplicaStore) hasRoomFor(batches []Batch) bool {
	return store.lineCount+store.addedLines(batches) <= store.settings.maxLines
}

// addedLines returns the number of lines that batches would add. Each new
// origin and window counts as one more line.
func (store *ReplicaStore) addedLines(batches []Batch) int {
	added := 0
	for _, batch := range batches {
		merged := store.batches[batch.mergeKey()]
		if merged == nil {
			added += 1 + len(batch.Lines)
			continue
		}
		for _, line := range batch.Lines {
			if _, ok := merged.lines[line.key()]; !ok {
				added++
			}
		}
	}
	return added
}

// evictExpired evicts windows too old for corrections in any report.
func (store *ReplicaStore) evictExpired() {
	oldest := store.settings.schedule.WindowAt(time.Now()) - 2*store.settings.allowedLateness
	for key := range store.batches {
		if key.window < oldest {
			store.evict(key)
		}
	}
}
