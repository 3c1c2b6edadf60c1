package order_test

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/state/memory"
	"mangopier.example/mangopier/internal/state/table"
)

const (
	dataCenter = "kosice-1"
	epochKey   = "lease/epoch"
)

// delivery is what the network does with one order.
type delivery int

const (
	arrives delivery = iota
	answerLost
	neverArrives
	arrivesLate // the sender gives up first
	crashesTarget
	refusedBusy
	notSent
	crossed // the answer is that to another order
)

// world is the oracle of targets and platform. It records each effect of an
// order and what is wrong with it.
type world struct {
	store *memory.Store
	lag   time.Duration
	next  func(order.Kind) delivery
	// beforeSend is called when a connection for an order is made.
	beforeSend func()

	mu       sync.Mutex
	targets  map[string]*engine
	late     []message
	platform []order.PlatformOrder
	wrong    []string
	epoch    uint64
	procs    []*process
}

// engine is one target.
type engine struct {
	target   note.Target
	boot     int
	boots    bool // tells its boot
	accepted uint64
	last     uint64 // number of the last order that took effect
	history  []snapshot
}

// snapshot is a state of an engine with the count of effects that led to it.
type snapshot struct {
	at      time.Time
	effects int
	boot    int
	models  map[string]string
}

// message is an order on its way on a connection to one boot of a target.
type message struct {
	engine *engine
	order  order.Order
	boot   int
	seen   int // effects in the sender's last report
}

func newWorld(lag time.Duration) *world {
	return &world{
		store: memory.New(), lag: lag, targets: map[string]*engine{},
		next:       func(order.Kind) delivery { return arrives },
		beforeSend: func() {},
	}
}

func (world *world) add(id string, fences, boots bool) note.Target {
	target := note.Target{ID: id, DataCenter: dataCenter, Kind: note.KindEngine, Fences: fences}
	world.targets[id] = &engine{
		target: target, boots: boots,
		history: []snapshot{{at: time.Now().Add(-time.Hour), models: map[string]string{"layout": "v0"}}},
	}
	return target
}

func (engine *engine) state() snapshot { return engine.history[len(engine.history)-1] }

func (engine *engine) change(edit func(*snapshot)) {
	next := engine.state()
	next.at = time.Now()
	next.models = maps.Clone(next.models)
	edit(&next)
	engine.history = append(engine.history, next)
}

func (engine *engine) crash() {
	engine.boot++
	engine.change(func(next *snapshot) {
		next.boot = engine.boot
		next.models["layout"] = "v0"
	})
}

func (engine *engine) bootName() string {
	if !engine.boots {
		return ""
	}
	return fmt.Sprint("boot-", engine.boot)
}

// deliver lets an order arrive and reports whether the target accepted it.
func (world *world) deliver(message message) bool {
	engine, got := message.engine, message.order
	if message.boot != engine.boot {
		return false
	}
	if engine.target.Fences && (got.Number < engine.accepted || got.Number == engine.accepted && got.Kind != order.KindFence) {
		return false
	}
	engine.accepted = got.Number
	if got.Kind == order.KindFence {
		return true
	}
	if got.Number <= engine.last {
		world.fail("order %d to %s took effect after order %d", got.Number, engine.target.ID, engine.last)
	}
	if message.seen != engine.state().effects {
		world.fail("order %d to %s was decided without %d earlier effects", got.Number, engine.target.ID, engine.state().effects-message.seen)
	}
	engine.last = got.Number
	engine.change(func(next *snapshot) {
		next.effects++
		next.models[got.Model] = got.Version
	})
	return true
}

func (world *world) fail(format string, args ...any) {
	world.wrong = append(world.wrong, fmt.Sprintf(format, args...))
}

func (world *world) faults() []string {
	world.mu.Lock()
	defer world.mu.Unlock()
	return append([]string(nil), world.wrong...)
}

// deliverLate lets all orders that are still under way arrive.
func (world *world) deliverLate() {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.arriveAll()
}

func (world *world) arriveAll() {
	for _, message := range world.late {
		world.deliver(message)
	}
	world.late = nil
}

// process is one instance. It never doubts the last grant that it got.
type process struct {
	name      string
	world     *world
	issuer    *order.Issuer
	grant     atomic.Pointer[lease.Grant]
	client    *memory.Client
	rows      atomic.Int64 // written or checked in the store
	steps     atomic.Int64
	pauseAt   atomic.Int64 // step at which to pause, 0 for none
	paused    chan struct{}
	resume    chan struct{}
	seen      sync.Map // effects in the last report by target
	reachable atomic.Bool
	ended     atomic.Bool
}

func (world *world) start(name string, opts ...order.Option) *process {
	process := &process{
		name: name, world: world, client: world.store.Client(name),
	}
	process.issuer = order.New(dataCenter, name, order.Services{
		Store: process, Authority: process, Targets: process, Platform: process, Writers: process,
	}, append([]order.Option{order.WithSendTimeout(time.Second), order.WithOutcomeTimeout(5 * time.Second)}, opts...)...)
	world.procs = append(world.procs, process)
	return process
}

// takeOver gives the lease to the process. Earlier holders still believe.
func (world *world) takeOver(process *process) {
	ctx, admin := context.Background(), world.store.Client("admin")
	row, err := admin.Get(ctx, epochKey)
	if err != nil && !code.Is(err, code.RowMissing) {
		panic(err)
	}
	world.epoch++
	if err := admin.Commit(ctx, table.Write{Key: epochKey, Version: row.Version, Value: []byte(fmt.Sprint(world.epoch))}); err != nil {
		panic(err)
	}
	row, _ = admin.Get(ctx, epochKey)
	process.grant.Store(&lease.Grant{Epoch: world.epoch, Key: epochKey, Version: row.Version})
}

// step is called before and after each call of the issuer to the outside.
func (process *process) step() {
	if process.steps.Add(1) == process.pauseAt.Load() {
		close(process.paused)
		<-process.resume
	}
}

func (process *process) Held() (lease.Grant, bool) {
	defer process.step()
	grant := process.grant.Load()
	if grant == nil {
		return lease.Grant{}, false
	}
	return *grant, true
}

func (process *process) Get(ctx context.Context, key string) (table.Row, error) {
	process.step()
	defer process.step()
	return process.client.Get(ctx, key)
}

func (process *process) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	process.step()
	defer process.step()
	return process.client.List(ctx, prefix, after, limit)
}

func (process *process) Commit(ctx context.Context, writes ...table.Write) error {
	process.step()
	defer process.step()
	err := process.client.Commit(ctx, writes...)
	if err == nil {
		process.rows.Add(int64(len(writes)))
		process.world.checkWriter(process, writes)
	}
	return err
}

// checkWriter finds tickets that a process without authority opened.
func (world *world) checkWriter(process *process, writes []table.Write) {
	world.mu.Lock()
	defer world.mu.Unlock()
	for _, write := range writes {
		if process.grant.Load().Epoch != world.epoch && bytes.Contains(write.Value, []byte(`"state":"open"`)) {
			world.fail("%s wrote %s without authority", process.name, write.Value)
		}
	}
}

func (process *process) Send(ctx context.Context, target note.Target, got order.Order) (order.Ack, error) {
	process.step()
	defer process.step()
	world := process.world
	world.mu.Lock()
	defer world.mu.Unlock()
	engine := world.targets[target.ID]
	world.beforeSend()
	seen, _ := process.seen.Load(target.ID)
	message := message{engine: engine, order: got, boot: engine.boot}
	message.seen, _ = seen.(int)
	ack := order.Ack{Number: got.Number, Boot: engine.bootName()}
	switch world.next(got.Kind) {
	case arrives:
		if !world.deliver(message) {
			return ack, code.Errorf(code.OrderRefused, "old number")
		}
		return ack, nil
	case refusedBusy:
		return ack, code.Errorf(code.OrderRefused, "busy")
	case notSent:
		return order.Ack{}, code.Errorf(code.NoTarget, "connection refused")
	case answerLost:
		world.deliver(message)
	case crossed:
		world.late = append(world.late, message)
		return order.Ack{Number: got.Number - 1, Boot: ack.Boot}, nil
	case arrivesLate:
		world.late = append(world.late, message)
	case crashesTarget:
		world.deliver(message)
		engine.crash()
	case neverArrives:
	}
	return ack, code.Errorf(code.TargetTimeout, "no answer")
}

func (process *process) Report(_ context.Context, target note.Target) (order.Report, error) {
	process.step()
	defer process.step()
	world := process.world
	world.mu.Lock()
	defer world.mu.Unlock()
	engine := world.targets[target.ID]
	old := engine.history[0]
	for _, snapshot := range engine.history {
		if time.Since(snapshot.at) >= world.lag {
			old = snapshot
		}
	}
	process.seen.Store(target.ID, old.effects)
	report := order.Report{Phase: order.PhaseServing, Models: old.models, Number: engine.accepted, Age: world.lag}
	if engine.boots {
		report.Boot = fmt.Sprint("boot-", old.boot)
	}
	return report, nil
}

// Order is the platform's interface. It ignores repeats.
func (process *process) Order(_ context.Context, got order.PlatformOrder) error {
	process.step()
	defer process.step()
	world := process.world
	world.mu.Lock()
	defer world.mu.Unlock()
	fate := world.next("platform")
	if fate == notSent {
		return code.Errorf(code.NoTarget, "connection refused")
	}
	if fate == neverArrives {
		return code.Errorf(code.TargetTimeout, "no answer")
	}
	for _, earlier := range world.platform {
		switch {
		case earlier.Number == got.Number && !reflect.DeepEqual(earlier, got):
			world.fail("platform order %d came with other bytes", got.Number)
		case earlier.Number > got.Number && !world.repeated(got):
			world.fail("platform order %d came after %d", got.Number, earlier.Number)
		}
	}
	world.platform = append(world.platform, got)
	if fate != arrives {
		return code.Errorf(code.TargetTimeout, "no answer")
	}
	return nil
}

func (world *world) repeated(got order.PlatformOrder) bool {
	for _, earlier := range world.platform {
		if reflect.DeepEqual(earlier, got) {
			return true
		}
	}
	return false
}

func (process *process) Dropped(_ context.Context, instance string, reference order.Reference) (bool, error) {
	for _, other := range process.world.procs {
		if other.name == instance && other.reachable.Load() {
			return other.issuer.Drop(reference), nil
		}
	}
	return false, code.Errorf(code.TargetTimeout, "%s does not answer", instance)
}

func (process *process) Ended(_ context.Context, id string) (bool, error) {
	for _, other := range process.world.procs {
		if other.name == id {
			return other.ended.Load(), nil
		}
	}
	return false, nil
}
