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

// delivery is what happens to one order on the network and at the target.
type delivery int

const (
	delivered delivery = iota
	responseLost
	requestLost
	delayed // arrives after the sender has given up
	targetCrash
	refusedBusy
	notSent
	mismatchedAck // the acknowledgement has the number of another order
)

// simulator simulates the store, the network, the targets and the platform. It
// records each effect of an order, and a violation for each effect that should not
// have happened.
type simulator struct {
	store        *memory.Store
	reportLag    time.Duration
	nextDelivery func(order.Kind) delivery
	// beforeSend is called when the connection for an order is opened.
	beforeSend func()

	mu             sync.Mutex
	targets        map[string]*engine
	delayed        []inFlightOrder
	platformOrders []order.PlatformOrder
	violations     []string
	epoch          uint64
	processes      []*process
}

// engine is one simulated target.
type engine struct {
	target         note.Target
	bootCount      int
	reportsBootID  bool // sends its boot ID
	acceptedNumber uint64
	lastApplied    uint64 // number of the last order that took effect
	history        []snapshot
}

// snapshot is the state of an engine at one time. effects counts the orders that
// have taken effect by then.
type snapshot struct {
	takenAt   time.Time
	effects   int
	bootCount int
	models    map[string]string
}

// inFlightOrder is an order on a connection to one boot of a target.
type inFlightOrder struct {
	engine          *engine
	order           order.Order
	bootCount       int
	observedEffects int // effects in the last report that the sender read
}

func newSimulator(reportLag time.Duration) *simulator {
	return &simulator{
		store: memory.New(), reportLag: reportLag, targets: map[string]*engine{},
		nextDelivery: func(order.Kind) delivery { return delivered },
		beforeSend:   func() {},
	}
}

func (simulator *simulator) addTarget(id string, hasFencing, reportsBootID bool) note.Target {
	target := note.Target{ID: id, DataCenter: dataCenter, Kind: note.KindEngine, ChecksFencingToken: hasFencing}
	simulator.targets[id] = &engine{
		target: target, reportsBootID: reportsBootID,
		history: []snapshot{{takenAt: time.Now().Add(-time.Hour), models: map[string]string{"layout": "v0"}}},
	}
	return target
}

func (engine *engine) current() snapshot { return engine.history[len(engine.history)-1] }

func (engine *engine) appendSnapshot(edit func(*snapshot)) {
	next := engine.current()
	next.takenAt = time.Now()
	next.models = maps.Clone(next.models)
	edit(&next)
	engine.history = append(engine.history, next)
}

func (engine *engine) crash() {
	engine.bootCount++
	engine.appendSnapshot(func(next *snapshot) {
		next.bootCount = engine.bootCount
		next.models["layout"] = "v0"
	})
}

func (engine *engine) bootID() string {
	if !engine.reportsBootID {
		return ""
	}
	return fmt.Sprint("boot-", engine.bootCount)
}

// deliver hands an order to its target and reports whether the target accepted
// it.
func (simulator *simulator) deliver(message inFlightOrder) bool {
	engine, got := message.engine, message.order
	if message.bootCount != engine.bootCount {
		return false
	}
	if engine.target.ChecksFencingToken && (got.Number < engine.acceptedNumber || got.Number == engine.acceptedNumber && got.Kind != order.KindFence) {
		return false
	}
	engine.acceptedNumber = got.Number
	if got.Kind == order.KindFence {
		return true
	}
	if got.Number <= engine.lastApplied {
		simulator.addViolation("order %d to target %s took effect after order %d", got.Number, engine.target.ID, engine.lastApplied)
	}
	if message.observedEffects != engine.current().effects {
		simulator.addViolation("order %d to target %s was issued on a report that lacks %d earlier effects", got.Number, engine.target.ID, engine.current().effects-message.observedEffects)
	}
	engine.lastApplied = got.Number
	engine.appendSnapshot(func(next *snapshot) {
		next.effects++
		next.models[got.Model] = got.Version
	})
	return true
}

func (simulator *simulator) addViolation(format string, args ...any) {
	simulator.violations = append(simulator.violations, fmt.Sprintf(format, args...))
}

func (simulator *simulator) listViolations() []string {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	return append([]string(nil), simulator.violations...)
}

// deliverDelayed delivers all orders that are still in flight.
func (simulator *simulator) deliverDelayed() {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	simulator.deliverDelayedLocked()
}

func (simulator *simulator) deliverDelayedLocked() {
	for _, message := range simulator.delayed {
		simulator.deliver(message)
	}
	simulator.delayed = nil
}

// process is one instance. It keeps the last grant that it got, also after
// another process has taken over the lease.
type process struct {
	name            string
	simulator       *simulator
	issuer          *order.Issuer
	grant           atomic.Pointer[lease.Grant]
	client          *memory.Client
	rowsCommitted   atomic.Int64 // written or checked by its commits
	steps           atomic.Int64
	pauseAt         atomic.Int64 // value of steps at which to pause, 0 for never
	paused          chan struct{}
	resume          chan struct{}
	observedEffects sync.Map // by target: effects in the last report that it read
	reachable       atomic.Bool
	ended           atomic.Bool
}

func (simulator *simulator) startProcess(name string, opts ...order.Option) *process {
	process := &process{
		name: name, simulator: simulator, client: simulator.store.Client(name),
	}
	process.issuer = order.New(dataCenter, name, order.Dependencies{
		Store: process, Lease: process, Targets: process, Platform: process, WriterStatus: process,
	}, append([]order.Option{order.WithSendTimeout(time.Second), order.WithOutcomeTimeout(5 * time.Second)}, opts...)...)
	simulator.processes = append(simulator.processes, process)
	return process
}

// grantLease gives the lease to the process. Earlier holders keep their grants
// and go on as if they held the lease.
func (simulator *simulator) grantLease(process *process) {
	ctx, admin := context.Background(), simulator.store.Client("admin")
	row, err := admin.Get(ctx, epochKey)
	if err != nil && !code.Is(err, code.RowMissing) {
		panic(err)
	}
	simulator.epoch++
	if err := admin.Commit(ctx, table.Write{Key: epochKey, ExpectedVersion: row.Version, Value: []byte(fmt.Sprint(simulator.epoch))}); err != nil {
		panic(err)
	}
	row, _ = admin.Get(ctx, epochKey)
	process.grant.Store(&lease.Grant{Epoch: simulator.epoch, Key: epochKey, Version: row.Version})
}

// step runs before and after each call that the issuer makes to its dependencies,
// and pauses the process at the chosen step.
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
		process.rowsCommitted.Add(int64(len(writes)))
		process.simulator.checkLeaseHeld(process, writes)
	}
	return err
}

// checkLeaseHeld records a violation for each ticket that was opened by a process
// without the lease.
func (simulator *simulator) checkLeaseHeld(process *process, writes []table.Write) {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	for _, write := range writes {
		if process.grant.Load().Epoch != simulator.epoch && bytes.Contains(write.Value, []byte(`"state":"open"`)) {
			simulator.addViolation("process %s opened a ticket without the lease: %s", process.name, write.Value)
		}
	}
}

func (process *process) Send(ctx context.Context, target note.Target, got order.Order) (order.Ack, error) {
	process.step()
	defer process.step()
	simulator := process.simulator
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	engine := simulator.targets[target.ID]
	simulator.beforeSend()
	observed, _ := process.observedEffects.Load(target.ID)
	message := inFlightOrder{engine: engine, order: got, bootCount: engine.bootCount}
	message.observedEffects, _ = observed.(int)
	ack := order.Ack{Number: got.Number, BootID: engine.bootID()}
	switch simulator.nextDelivery(got.Kind) {
	case delivered:
		if !simulator.deliver(message) {
			return ack, code.Errorf(code.OrderRefused, "number is too low")
		}
		return ack, nil
	case refusedBusy:
		return ack, code.Errorf(code.OrderRefused, "busy")
	case notSent:
		return order.Ack{}, code.Errorf(code.NoTarget, "connection refused")
	case responseLost:
		simulator.deliver(message)
	case mismatchedAck:
		simulator.delayed = append(simulator.delayed, message)
		return order.Ack{Number: got.Number - 1, BootID: ack.BootID}, nil
	case delayed:
		simulator.delayed = append(simulator.delayed, message)
	case targetCrash:
		simulator.deliver(message)
		engine.crash()
	case requestLost:
	}
	return ack, code.Errorf(code.TargetTimeout, "no response")
}

func (process *process) FetchReport(_ context.Context, target note.Target) (order.TargetReport, error) {
	process.step()
	defer process.step()
	simulator := process.simulator
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	engine := simulator.targets[target.ID]
	reported := engine.history[0]
	for _, snapshot := range engine.history {
		if time.Since(snapshot.takenAt) >= simulator.reportLag {
			reported = snapshot
		}
	}
	process.observedEffects.Store(target.ID, reported.effects)
	report := order.TargetReport{Phase: order.PhaseServing, Models: reported.models, AcceptedNumber: engine.acceptedNumber, Age: simulator.reportLag}
	if engine.reportsBootID {
		report.BootID = fmt.Sprint("boot-", reported.bootCount)
	}
	return report, nil
}

// SendOrder simulates a platform that ignores repeated orders.
func (process *process) SendOrder(_ context.Context, got order.PlatformOrder) error {
	process.step()
	defer process.step()
	simulator := process.simulator
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	delivery := simulator.nextDelivery("platform")
	if delivery == notSent {
		return code.Errorf(code.NoTarget, "connection refused")
	}
	if delivery == requestLost {
		return code.Errorf(code.TargetTimeout, "no response")
	}
	for _, earlier := range simulator.platformOrders {
		switch {
		case earlier.Number == got.Number && !reflect.DeepEqual(earlier, got):
			simulator.addViolation("platform order %d was sent again with other content", got.Number)
		case earlier.Number > got.Number && !simulator.hasReceived(got):
			simulator.addViolation("platform order %d was first sent after order %d", got.Number, earlier.Number)
		}
	}
	simulator.platformOrders = append(simulator.platformOrders, got)
	if delivery != delivered {
		return code.Errorf(code.TargetTimeout, "no response")
	}
	return nil
}

func (simulator *simulator) hasReceived(got order.PlatformOrder) bool {
	for _, earlier := range simulator.platformOrders {
		if reflect.DeepEqual(earlier, got) {
			return true
		}
	}
	return false
}

func (process *process) RequestDrop(_ context.Context, instance string, ticketID order.TicketID) (bool, error) {
	for _, other := range process.simulator.processes {
		if other.name == instance && other.reachable.Load() {
			return other.issuer.Drop(ticketID), nil
		}
	}
	return false, code.Errorf(code.TargetTimeout, "%s does not respond", instance)
}

func (process *process) HasEnded(_ context.Context, id string) (bool, error) {
	for _, other := range process.simulator.processes {
		if other.name == id {
			return other.ended.Load(), nil
		}
	}
	return false, nil
}
