package node_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// soakHistory publishes manifests, and brings the store back from copies.
type soakHistory struct {
	mutex     sync.Mutex
	version   int // of the latest manifest
	published []soakPublished
	copies    []storeCopy
	restoring bool
}

const (
	// copyInterval is the time between two copies of the store, of which maxCopies are kept.
	copyInterval = 500 * time.Millisecond
	maxCopies    = 20
)

// publish writes the next manifest.
func (history *soakHistory) publish(store *fakeStore) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.version += 3
	published := soakPublished{version: history.version, sent: time.Now()}
	store.put("op", "config", soakManifest(history.version))
	published.confirmed = time.Now()
	history.published = append(history.published, published)
}

// keepCopies copies the store from time to time until stop is closed.
func (history *soakHistory) keepCopies(store *fakeStore, stop <-chan struct{}) {
	go func() {
		for {
			copied := store.copy()
			history.mutex.Lock()
			history.copies = append(history.copies, copied)
			history.copies = history.copies[max(0, len(history.copies)-maxCopies):]
			history.mutex.Unlock()
			select {
			case <-stop:
				return
			case <-time.After(copyInterval):
			}
		}
	}()
}

// restore takes the store away for a time and brings it back from one of the latest copies.
func (history *soakHistory) restore(store *fakeStore, seed uint64, away time.Duration) {
	history.mutex.Lock()
	if history.restoring || len(history.copies) == 0 {
		history.mutex.Unlock()
		return
	}
	history.restoring = true
	kept := rand.New(rand.NewPCG(seed, seed)).IntN(len(history.copies))
	copied := history.copies[kept]
	history.copies = history.copies[:kept+1] // the later ones are of a history that is gone
	history.mutex.Unlock()
	store.away.Store(true)
	time.Sleep(away)
	store.restore(copied)
	store.away.Store(false)
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.restoring = false
}

// awaitManifest waits until every instance serves the route that only the latest manifest
// has, and then checks that none serves that of the one before.
func (soak *soak) awaitManifest() {
	for _, instance := range soak.instances {
		send := func(version int) int {
			status, _ := soak.send(instance, fmt.Sprintf("/latest-%d/", version), "probe-"+strconv.FormatUint(rand.Uint64(), 36))
			return status
		}
		eventually(soak.t, instance.name+" has the latest manifest in force", func() bool { return send(soak.history.version) == http.StatusOK })
		if status := send(soak.history.version - 3); status != http.StatusNotFound {
			soak.t.Errorf("%s: status of a route of the manifest before = %d, want %d", instance.name, status, http.StatusNotFound)
		}
	}
}
