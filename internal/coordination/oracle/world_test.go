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
	dataCenter        = "kosice-1"
	operator          = "operator"
	platformListDelay = 2 * time.Second // after which the platform's list omits a killed instance
)

// simulator simulates the environment of the instances: the network, the store,
// the targets, the platform and a service, each of which can fail.
type simulator struct {
	t     *testing.T
	store *memory.Store

	injector          atomic.Pointer[faultInjector]
	operationInstance atomic.Pointer[instance]             // instance that runs the operation
	result            atomic.Pointer[string]               // of the operation
	components        func(instance *instance) []component // that each instance runs

	mu               sync.Mutex
	instances        []*instance             // every instance ever started, in order of start
	cutLinks         map[[2]string]bool      // by IDs of sender and receiver; a cut link blocks both directions
	storeUnreachable map[string]bool         // by instance ID
	storeDown        bool                    // for all instances
	storeDelay       time.Duration           // for all instances
	losesResponses   map[string]bool         // by instance ID: commits take effect, but their responses are lost
	nextDelivery     map[string]delivery     // of the next message, by target ID, "platform", "service" or "usage"
	targets          map[string]*fakeTarget  // by ID
	delayedOrders    []message               // orders to deliver after their senders have timed out
	random           *rand.Rand              // source of the seeds of instances
	model            model                   // expected state
	reports          map[uint64][]byte       // accepted by the usage interface, by report number
	expectedUsage    map[string]*usageBounds // by team
	platformOrders   []uint64                // numbers of platform orders that had an effect
	killedAt         map[string]time.Time    // by instance ID
	startedAt        time.Time
}

// model is the expected state, with the violations of invariants found so far.
type model struct {
	violations     []string
	step           int
	noteAcceptedAt []time.Time          // time at which each note was accepted
	withdrawnAt    map[string]time.Time // time at which the withdrawal was accepted, by key
	serviceRuns    map[string][]string  // responses of the service, by idempotency key
	lastFaultAt    time.Time            // when the last fault ended
}

func newSimulator(t *testing.T, seed uint64) *simulator {
	simulator := &simulator{
		components: allComponents,
		t:          t, store: memory.New(), random: rand.New(rand.NewPCG(seed, 1)),
		cutLinks: map[[2]string]bool{}, storeUnreachable: map[string]bool{}, losesResponses: map[string]bool{},
		nextDelivery: map[string]delivery{}, targets: map[string]*fakeTarget{}, killedAt: map[string]time.Time{},
		reports: map[uint64][]byte{}, expectedUsage: map[string]*usageBounds{}, startedAt: time.Now(),
	}
	simulator.model = model{withdrawnAt: map[string]time.Time{}, serviceRuns: map[string][]string{}, lastFaultAt: time.Now()}
	simulator.store.SetFault(simulator.storeFault)
	return simulator
}

// storeFault returns the fault of a call to the store. The operator's calls have
// none, so that notes are accepted also while instances cannot reach the store.
func (simulator *simulator) storeFault(call memory.Call) memory.Fault {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	if call.Client == operator {
		return memory.Fault{}
	}
	return memory.Fault{
		Unavailable:  simulator.storeDown || simulator.storeUnreachable[call.Client],
		Delay:        simulator.storeDelay,
		LoseResponse: simulator.losesResponses[call.Client] && call.Method == "commit",
	}
}

// recordViolation records a violated invariant. The caller holds simulator.mu.
func (simulator *simulator) recordViolation(invariant, format string, args ...any) {
	text := fmt.Sprintf("step %d at %v: %s: ", simulator.model.step, time.Since(simulator.startedAt), invariant)
	simulator.model.violations = append(simulator.model.violations, text+fmt.Sprintf(format, args...))
}

func (simulator *simulator) alive() []*instance {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	return simulator.aliveLocked()
}

func (simulator *simulator) aliveLocked() []*instance {
	var alive []*instance
	for _, instance := range simulator.instances {
		if !instance.isKilled() {
			alive = append(alive, instance)
		}
	}
	return alive
}

// platformList returns the platform's list of instances, which still contains
// instances killed less than platformListDelay ago.
func (simulator *simulator) platformList() []gossip.Instance {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	var list []gossip.Instance
	for _, instance := range simulator.instances {
		if killedAt, killed := simulator.killedAt[instance.id]; !killed || time.Since(killedAt) < platformListDelay {
			list = append(list, instance.self())
		}
	}
	return list
}

// connected reports whether no link between two instances is cut. The caller
// holds simulator.mu.
func (simulator *simulator) connected(from, to string) bool {
	return !simulator.cutLinks[[2]string{from, to}] && !simulator.cutLinks[[2]string{to, from}]
}

func (simulator *simulator) findInstance(id string) *instance {
	for _, instance := range simulator.instances {
		if instance.id == id || instance.address == id {
			return instance
		}
	}
	return nil
}
