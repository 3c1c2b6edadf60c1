package oracle_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mangopier.example/mangopier/internal/coordination/feed"
	"mangopier.example/mangopier/internal/coordination/gossip"
	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/coordination/once"
	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/memory"
)

const (
	// messageDelay is the delay of messages after an instance resumes its own
	// work. Any positive delay serves, as virtual time advances only when all
	// goroutines are blocked.
	messageDelay = time.Millisecond
	// workDelay is the delay of an instance's own work after it receives
	// messages again. It is longer than the time in which a new lease holder
	// asks again: it asks every second and waits 2 s for a response.
	workDelay = 5 * time.Second
)

// instance is one run of an instance process. All its calls to the simulated
// environment wait at its gates, which a pause closes.
type instance struct {
	simulator *simulator
	id        string
	address   string
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	client    *memory.Client
	stopped   []<-chan error
	work      sync.WaitGroup

	mu          sync.Mutex
	workGate    gate        // for calls that the instance makes
	messageGate gate        // for messages that it receives
	delayedOpen *time.Timer // opens the second of the two gates after a pause
	killed      chan struct{}

	members        *gossip.Members
	feed           *feed.Feed
	orderLease     *lease.Lease
	usageLease     *lease.Lease
	issuer         *order.Issuer
	deduplicator   *once.Deduplicator
	replicaStore   *usage.ReplicaStore
	meter          *usage.Meter
	windowReporter *usage.WindowReporter

	// State of the model for this instance.
	highestNumber   uint64    // highest note number that was in force
	staleAllowedAt  time.Time // last time at which the model allowed it to serve an old note
	storeImpairedAt time.Time // last time at which it was paused or without a working store
	reportedEffects sync.Map  // number of effects in the last report, by target ID
}

func (simulator *simulator) startInstance() *instance {
	simulator.mu.Lock()
	n := len(simulator.instances)
	instance := &instance{
		simulator: simulator, id: fmt.Sprintf("i%d", n), address: fmt.Sprintf("10.0.0.%d:7000", n+1),
		startedAt: time.Now(), storeImpairedAt: time.Now(), killed: make(chan struct{}),
	}
	instance.ctx, instance.cancel = context.WithCancel(context.Background())
	instance.client = simulator.store.Client(instance.id)
	newSource := func() rand.Source { return rand.NewPCG(simulator.random.Uint64(), 1) }
	instance.buildComponents(newSource)
	simulator.instances = append(simulator.instances, instance)
	simulator.mu.Unlock()
	instance.startComponents()
	return instance
}

func (instance *instance) self() gossip.Instance {
	return gossip.Instance{ID: instance.id, DataCenter: dataCenter, PeerAddress: instance.address}
}

func (instance *instance) buildComponents(newSource func() rand.Source) {
	faultyStore := &faultyStore{instance}
	faultyNetwork := &faultyNetwork{instance}
	instance.members = gossip.New(instance.self(), faultyNetwork, faultyNetwork, gossip.WithRandSource(newSource()))
	instance.feed = feed.New(faultyStore, feed.WithPeers(instance.members), feed.WithRandSource(newSource()))
	instance.members.SetNoteFeed(instance.feed)
	instance.orderLease = lease.New(faultyStore, "orders/"+dataCenter, instance.id, lease.WithRandSource(newSource()))
	instance.usageLease = lease.New(faultyStore, "usage", instance.id, lease.WithRandSource(newSource()))
	instance.issuer = order.New(dataCenter, instance.id, order.Dependencies{
		Store: faultyStore, Lease: &issuerLease{instance, instance.orderLease}, Targets: &faultyTargets{instance}, Platform: &faultyPlatform{instance}, WriterStatus: &writerStatus{instance},
	}, order.WithSendTimeout(sendTimeout), order.WithOutcomeTimeout(outcomeTimeout), order.WithRandSource(newSource()))
	instance.deduplicator = once.New(faultyStore, once.WithRandSource(newSource()), once.WithFlushTimeout(time.Second))
	instance.buildUsage(newSource, faultyStore)
}

// component is a part of an instance that runs in the background.
type component interface {
	Start(ctx context.Context) <-chan error
}

func allComponents(instance *instance) []component {
	return []component{instance.members, instance.feed, instance.orderLease, instance.usageLease, instance.deduplicator, instance.meter, instance.windowReporter}
}

func (instance *instance) startComponents() {
	for _, component := range instance.simulator.components(instance) {
		instance.stopped = append(instance.stopped, component.Start(instance.ctx))
	}
	instance.work.Go(instance.recoverTickets)
}

// recoverTickets closes open tickets while the instance holds the lease on
// orders.
func (instance *instance) recoverTickets() {
	for instance.ctx.Err() == nil {
		if _, held := instance.orderLease.Held(); held {
			_, _ = instance.issuer.Recover(instance.ctx)
		}
		instance.sleep(time.Second)
	}
}

func (instance *instance) sleep(duration time.Duration) {
	select {
	case <-instance.ctx.Done():
	case <-time.After(duration):
	}
}

// recordStep reports a step of the instance to the fault injector, if any.
func (instance *instance) recordStep(name string) {
	if faultInjector := instance.simulator.injector.Load(); faultInjector != nil {
		faultInjector.recordStep(instance, name)
	}
}

// gate blocks goroutines while the instance is paused. The instance's mutex
// guards it.
type gate struct{ opened chan struct{} } // nil while the gate is open

func (gate *gate) close() {
	if gate.opened == nil {
		gate.opened = make(chan struct{})
	}
}

func (gate *gate) open() {
	if gate.opened != nil {
		close(gate.opened)
		gate.opened = nil
	}
}

// waitToRun blocks while the instance is paused and returns an error once it is
// killed.
func (instance *instance) waitToRun() error { return instance.waitAt(&instance.workGate) }

// waitToReceive does the same as waitToRun for messages to the instance.
func (instance *instance) waitToReceive() error { return instance.waitAt(&instance.messageGate) }

func (instance *instance) waitAt(gate *gate) error {
	for {
		instance.mu.Lock()
		opened := gate.opened
		instance.mu.Unlock()
		if instance.isKilled() {
			return code.Errorf(code.StoreDown, "%s is killed", instance.id)
		}
		if opened == nil {
			return nil
		}
		select {
		case <-opened:
		case <-instance.killed:
		}
	}
}

func (instance *instance) isKilled() bool {
	select {
	case <-instance.killed:
		return true
	default:
		return false
	}
}

func (instance *instance) isPaused() bool {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.workGate.opened != nil
}

func (instance *instance) pause() {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	instance.workGate.close()
	instance.messageGate.close()
	if instance.delayedOpen != nil {
		instance.delayedOpen.Stop()
		instance.delayedOpen = nil
	}
}

// resumeWorkFirst ends a pause. The instance continues its own work before it
// receives pending messages.
func (instance *instance) resumeWorkFirst() {
	instance.openGates(&instance.workGate, &instance.messageGate, messageDelay)
}

// resumeMessagesFirst ends a pause. The instance receives pending messages
// before it continues its own work.
func (instance *instance) resumeMessagesFirst() {
	instance.openGates(&instance.messageGate, &instance.workGate, workDelay)
}

func (instance *instance) openGates(first, second *gate, delay time.Duration) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	first.open()
	if second.opened == nil || instance.delayedOpen != nil {
		return
	}
	instance.delayedOpen = time.AfterFunc(delay, func() {
		instance.mu.Lock()
		defer instance.mu.Unlock()
		if instance.delayedOpen != nil {
			second.open()
			instance.delayedOpen = nil
		}
	})
}

// kill ends the instance at once: nothing that it does from now on has an
// effect.
func (instance *instance) kill() {
	instance.simulator.mu.Lock()
	instance.simulator.killedAt[instance.id] = time.Now()
	close(instance.killed)
	instance.simulator.mu.Unlock()
	instance.resumeWorkFirst()
	instance.cancel()
}

// waitStopped waits until the goroutines of a killed instance have ended.
func (instance *instance) waitStopped() {
	for _, stopped := range instance.stopped {
		<-stopped //nolint:errcheck // a killed instance cannot write its state to the store
	}
	instance.work.Wait()
}
