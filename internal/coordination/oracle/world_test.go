package oracle_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/coordination/gossip"
	"mangopier.example/mangopier/internal/state/memory"
)

const (
	dataCenter = "kosice-1"
	operator   = "operator"
	listLag    = 2 * time.Second // of the platform's list
)

// world is the surroundings of the instances: the network, the store, the
// targets, the platform and a service, each of which can fail.
type world struct {
	t     *testing.T
	store *memory.Store

	trap   atomic.Pointer[trap]
	actor  atomic.Pointer[life]    // of an operation
	result atomic.Pointer[string]  // of it
	parts  func(life *life) []part // that instances run

	mu       sync.Mutex
	lives    []*life // every instance ever started, in order
	cuts     map[[2]string]bool
	storeCut map[string]bool      // by instance
	down     bool                 // store, for all
	slow     time.Duration        // store, for all
	lossy    map[string]bool      // instances that get no answers to commits
	fate     map[string]fate      // of the next order, by target; "platform" too
	targets  map[string]*engine   // by ID
	late     []message            // orders that arrive after their sender gave up
	random   *rand.Rand           // of instances
	model    model                // what must hold
	reports  map[uint64][]byte    // taken by the usage interface
	wants    map[string]*tally    // usage by team
	platform []uint64             // numbers of orders that took effect
	removed  map[string]time.Time // instances killed, for the platform's list
	begun    time.Time
}

// model is the plain account of promises. Broken ones are collected.
type model struct {
	broken   []string
	step     int
	notes    []time.Time          // acceptance of each note
	withdraw map[string]time.Time // acceptance of the withdrawal, by key
	runs     map[string][]string  // answers of the service, by idempotency key
	quiet    time.Time            // when the last fault ended
}

func newWorld(t *testing.T, seed uint64) *world {
	world := &world{
		parts: allParts,
		t:     t, store: memory.New(), random: rand.New(rand.NewPCG(seed, 1)),
		cuts: map[[2]string]bool{}, storeCut: map[string]bool{}, lossy: map[string]bool{},
		fate: map[string]fate{}, targets: map[string]*engine{}, removed: map[string]time.Time{},
		reports: map[uint64][]byte{}, wants: map[string]*tally{}, begun: time.Now(),
	}
	world.model = model{withdraw: map[string]time.Time{}, runs: map[string][]string{}, quiet: time.Now()}
	world.store.SetFault(world.storeFault)
	return world
}

// storeFault decides what a call to the store suffers. The operator's calls
// pass, so that notes are accepted behind the back of instances.
func (world *world) storeFault(call memory.Call) memory.Fault {
	world.mu.Lock()
	defer world.mu.Unlock()
	if call.Client == operator {
		return memory.Fault{}
	}
	return memory.Fault{
		Unavailable:  world.down || world.storeCut[call.Client],
		Delay:        world.slow,
		LoseResponse: world.lossy[call.Client] && call.Method == "commit",
	}
}

// fail records a broken promise. The caller holds the lock.
func (world *world) fail(promise, format string, args ...any) {
	text := fmt.Sprintf("step %d at %v: %s: ", world.model.step, time.Since(world.begun), promise)
	world.model.broken = append(world.model.broken, text+fmt.Sprintf(format, args...))
}

func (world *world) alive() []*life {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.aliveLocked()
}

func (world *world) aliveLocked() []*life {
	var alive []*life
	for _, life := range world.lives {
		if !life.dead() {
			alive = append(alive, life)
		}
	}
	return alive
}

// list is the platform's list of instances, which keeps the killed for a while.
func (world *world) list() []gossip.Instance {
	world.mu.Lock()
	defer world.mu.Unlock()
	var list []gossip.Instance
	for _, life := range world.lives {
		if removed, gone := world.removed[life.id]; !gone || time.Since(removed) < listLag {
			list = append(list, life.self())
		}
	}
	return list
}

// reaches reports whether a message passes from one instance to another. The
// caller holds the lock.
func (world *world) reaches(from, to string) bool {
	return !world.cuts[[2]string{from, to}] && !world.cuts[[2]string{to, from}]
}

func (world *world) find(id string) *life {
	for _, life := range world.lives {
		if life.id == id || life.address == id {
			return life
		}
	}
	return nil
}
