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
	// mailTurn is how much later messages get through than own work when an
	// instance goes on. Any time is right, as all that can go on without
	// waiting does so before the clock of the test moves.
	mailTurn = time.Millisecond
	// ownTurn is how much later own work goes on than messages get through.
	// Successors ask again within it: each second, waiting 2 s for an answer.
	ownTurn = 5 * time.Second
)

// life is one instance from its start to its end. Everything that it does to
// its surroundings passes its gate, which a pause closes.
type life struct {
	world   *world
	id      string
	address string
	begun   time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	client  *memory.Client
	ends    []<-chan error
	work    sync.WaitGroup

	mu     sync.Mutex
	own    barrier     // for its own work
	mail   barrier     // for messages of others
	later  *time.Timer // opens the second of the two barriers
	killed chan struct{}

	members *gossip.Members
	feed    *feed.Feed
	orders  *lease.Lease
	duty    *lease.Lease
	issuer  *order.Issuer
	guard   *once.Deduplicator
	holder  *usage.ReplicaStore
	meter   *usage.Meter
	freezer *usage.WindowReporter

	// What the model knows of the instance.
	number  uint64    // highest note seen in force
	excused time.Time // last moment at which it may have served an old note
	lost    time.Time // last moment without the store
	seen    sync.Map  // effects in the last report, by target
}

// start starts a new instance.
func (world *world) start() *life {
	world.mu.Lock()
	n := len(world.lives)
	life := &life{
		world: world, id: fmt.Sprintf("i%d", n), address: fmt.Sprintf("10.0.0.%d:7000", n+1),
		begun: time.Now(), lost: time.Now(), killed: make(chan struct{}),
	}
	life.ctx, life.cancel = context.WithCancel(context.Background())
	life.client = world.store.Client(life.id)
	sources := func() rand.Source { return rand.NewPCG(world.random.Uint64(), 1) }
	life.build(sources)
	world.lives = append(world.lives, life)
	world.mu.Unlock()
	life.run()
	return life
}

func (life *life) self() gossip.Instance {
	return gossip.Instance{ID: life.id, DataCenter: dataCenter, PeerAddress: life.address}
}

func (life *life) build(source func() rand.Source) {
	rows := &rows{life}
	link := &link{life}
	life.members = gossip.New(life.self(), link, link, gossip.WithRandSource(source()))
	life.feed = feed.New(rows, feed.WithPeers(life.members), feed.WithRandSource(source()))
	life.members.SetNoteFeed(life.feed)
	life.orders = lease.New(rows, "orders/"+dataCenter, life.id, lease.WithRandSource(source()))
	life.duty = lease.New(rows, "usage", life.id, lease.WithRandSource(source()))
	life.issuer = order.New(dataCenter, life.id, order.Dependencies{
		Store: rows, Lease: &authority{life, life.orders}, Targets: &targets{life}, Platform: &platform{life}, WriterStatus: &writers{life},
	}, order.WithSendTimeout(sendTimeout), order.WithOutcomeTimeout(outcomeTimeout), order.WithRandSource(source()))
	life.guard = once.New(rows, once.WithRandSource(source()), once.WithFlushTimeout(time.Second))
	life.buildUsage(source, rows)
}

// part is something of an instance that runs in the background.
type part interface {
	Start(ctx context.Context) <-chan error
}

func allParts(life *life) []part {
	return []part{life.members, life.feed, life.orders, life.duty, life.guard, life.meter, life.freezer}
}

func (life *life) run() {
	for _, part := range life.world.parts(life) {
		life.ends = append(life.ends, part.Start(life.ctx))
	}
	life.work.Go(life.recover)
}

// recover settles open tickets while the instance is in charge.
func (life *life) recover() {
	for life.ctx.Err() == nil {
		if _, held := life.orders.Held(); held {
			_, _ = life.issuer.Recover(life.ctx)
		}
		life.sleep(time.Second)
	}
}

func (life *life) sleep(time_ time.Duration) {
	select {
	case <-life.ctx.Done():
	case <-time.After(time_):
	}
}

// step tells the trap of the world, if any, how far the instance is.
func (life *life) step(name string) {
	if trap := life.world.trap.Load(); trap != nil {
		trap.step(life, name)
	}
}

// barrier holds up goroutines while the instance is paused. The instance's mutex
// guards it.
type barrier struct{ resume chan struct{} } // nil while it runs

func (barrier *barrier) close() {
	if barrier.resume == nil {
		barrier.resume = make(chan struct{})
	}
}

func (barrier *barrier) open() {
	if barrier.resume != nil {
		close(barrier.resume)
		barrier.resume = nil
	}
}

// gate blocks while the instance is paused and fails once it is killed.
func (life *life) gate() error { return life.pass(&life.own) }

// listen is the gate of messages that reach the instance.
func (life *life) listen() error { return life.pass(&life.mail) }

func (life *life) pass(barrier *barrier) error {
	for {
		life.mu.Lock()
		resume := barrier.resume
		life.mu.Unlock()
		if life.dead() {
			return code.Errorf(code.StoreDown, "%s is killed", life.id)
		}
		if resume == nil {
			return nil
		}
		select {
		case <-resume:
		case <-life.killed:
		}
	}
}

func (life *life) dead() bool {
	select {
	case <-life.killed:
		return true
	default:
		return false
	}
}

func (life *life) paused() bool {
	life.mu.Lock()
	defer life.mu.Unlock()
	return life.own.resume != nil
}

func (life *life) pause() {
	life.mu.Lock()
	defer life.mu.Unlock()
	life.own.close()
	life.mail.close()
	if life.later != nil {
		life.later.Stop()
		life.later = nil
	}
}

// wake lets the instance go on. What it was doing comes before the messages
// that wait for it.
func (life *life) wake() { life.openInTurn(&life.own, &life.mail, mailTurn) }

// wakeAsked lets the instance go on, the messages that wait for it first.
func (life *life) wakeAsked() { life.openInTurn(&life.mail, &life.own, ownTurn) }

func (life *life) openInTurn(first, second *barrier, turn time.Duration) {
	life.mu.Lock()
	defer life.mu.Unlock()
	first.open()
	if second.resume == nil || life.later != nil {
		return
	}
	life.later = time.AfterFunc(turn, func() {
		life.mu.Lock()
		defer life.mu.Unlock()
		if life.later != nil {
			second.open()
			life.later = nil
		}
	})
}

// kill ends the instance at once: nothing that it does has an effect any more.
func (life *life) kill() {
	life.world.mu.Lock()
	life.world.removed[life.id] = time.Now()
	close(life.killed)
	life.world.mu.Unlock()
	life.wake()
	life.cancel()
}

// wait waits for the goroutines of a killed instance.
func (life *life) wait() {
	for _, end := range life.ends {
		<-end //nolint:errcheck // a killed instance cannot store what it has
	}
	life.work.Wait()
}
