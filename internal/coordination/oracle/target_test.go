package oracle_test

import (
	"context"
	"fmt"
	"maps"
	"time"

	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
)

const (
	sendTimeout    = 2 * time.Second
	outcomeTimeout = 5 * time.Second
	reportLag      = 500 * time.Millisecond
)

// fate is what the network or the receiver does with one message.
type fate string

const (
	arrives       fate = "arrives"
	answerLost    fate = "answer lost"
	neverArrives  fate = "never arrives"
	arrivesLate   fate = "arrives late"
	crashes       fate = "crash"
	refused       fate = "refused"
	connectFailed fate = "connect failed"
)

// engine is one target.
type engine struct {
	target    note.Target
	boots     bool // tells its boot
	boot      int
	reclaimed bool
	accepted  uint64 // highest number accepted, if it fences
	last      uint64 // number of the last order that took effect
	history   []snapshot
}

// snapshot is a state of a target and the count of orders that led to it.
type snapshot struct {
	at      time.Time
	effects int
	boot    int
	phase   order.Phase
	models  map[string]string
}

// message is an order on a connection to one boot of a target.
type message struct {
	engine *engine
	order  order.Order
	boot   int
	seen   int // effects in the sender's last report
	sender string
}

func (world *world) add(id string, fences, boots bool) {
	target := note.Target{ID: id, DataCenter: dataCenter, Kind: note.KindEngine, ChecksFencingToken: fences}
	first := snapshot{at: time.Now().Add(-time.Hour), phase: order.PhaseServing, models: map[string]string{}}
	world.targets[id] = &engine{target: target, boots: boots, history: []snapshot{first}}
}

func (engine *engine) state() snapshot { return engine.history[len(engine.history)-1] }

func (engine *engine) change(edit func(*snapshot)) {
	next := engine.state()
	next.at = time.Now()
	next.models = maps.Clone(next.models)
	edit(&next)
	engine.history = append(engine.history, next)
}

func (engine *engine) bootName(boot int) string {
	if !engine.boots {
		return ""
	}
	return fmt.Sprint("boot-", boot)
}

func (engine *engine) crash() {
	engine.boot++
	engine.change(func(next *snapshot) {
		next.boot = engine.boot
		next.phase = order.PhaseServing
		next.models = map[string]string{}
	})
}

// deliver lets an order arrive, and checks the model if it takes effect.
func (world *world) deliver(message message) bool {
	engine, got := message.engine, message.order
	if message.boot != engine.boot || engine.reclaimed {
		return false
	}
	fence := got.Kind == order.KindFence
	if engine.target.ChecksFencingToken && (got.Number < engine.accepted || got.Number == engine.accepted && !fence) {
		return false
	}
	engine.accepted = got.Number
	if fence {
		return true
	}
	if got.Number <= engine.last {
		world.fail("stale order", "%d of %s to %s after %d", got.Number, message.sender, engine.target.ID, engine.last)
	}
	if missed := engine.state().effects - message.seen; missed != 0 {
		world.fail("conflicting order", "%d of %s to %s without regard to %d before", got.Number, message.sender, engine.target.ID, missed)
	}
	engine.last = got.Number
	engine.change(func(next *snapshot) {
		next.effects++
		switch got.Kind {
		case order.KindDrain:
			next.phase = order.PhaseDrained
		case order.KindServe:
			next.phase = order.PhaseServing
		default:
			next.models[got.Model] = got.Version
		}
	})
	return true
}

// deliverLate lets the orders that are still under way arrive.
func (world *world) deliverLate() {
	world.mu.Lock()
	defer world.mu.Unlock()
	for _, message := range world.late {
		world.deliver(message)
	}
	world.late = nil
}

func (world *world) takeFate(name string) fate {
	next, ok := world.fate[name]
	delete(world.fate, name)
	if !ok {
		return arrives
	}
	return next
}

// targets are the targets as seen by one instance.
type targets struct{ life *life }

func (targets *targets) Send(ctx context.Context, target note.Target, got order.Order) (order.Ack, error) {
	life := targets.life
	life.step("before order")
	if err := life.gate(); err != nil {
		return order.Ack{}, code.Errorf(code.TargetTimeout, "killed")
	}
	ack, wait, err := life.send(target, got)
	if wait {
		<-ctx.Done()
	}
	life.step("after order")
	_ = life.gate()
	return ack, err
}

func (life *life) send(target note.Target, got order.Order) (order.Ack, bool, error) {
	world := life.world
	world.mu.Lock()
	defer world.mu.Unlock()
	engine := world.targets[target.ID]
	if life.dead() || engine.reclaimed {
		return order.Ack{}, true, code.Errorf(code.TargetTimeout, "silent")
	}
	seen, _ := life.seen.Load(target.ID)
	message := message{engine: engine, order: got, boot: engine.boot, sender: life.id}
	message.seen, _ = seen.(int)
	ack := order.Ack{Number: got.Number, BootID: engine.bootName(engine.boot)}
	switch world.takeFate(target.ID) {
	case arrives:
		if !world.deliver(message) {
			return ack, false, code.Errorf(code.OrderRefused, "old number")
		}
		return ack, false, nil
	case refused:
		return ack, false, code.Errorf(code.OrderRefused, "busy")
	case answerLost:
		world.deliver(message)
	case arrivesLate:
		world.late = append(world.late, message)
	case crashes:
		world.deliver(message)
		engine.crash()
	default:
	}
	return ack, true, code.Errorf(code.TargetTimeout, "no answer")
}

func (targets *targets) FetchReport(_ context.Context, target note.Target) (order.TargetReport, error) {
	return pass(targets.life, "report", func() (order.TargetReport, error) { return targets.life.report(target) })
}

func (life *life) report(target note.Target) (order.TargetReport, error) {
	world := life.world
	world.mu.Lock()
	defer world.mu.Unlock()
	engine := world.targets[target.ID]
	if engine.reclaimed {
		return order.TargetReport{}, code.Errorf(code.TargetTimeout, "reclaimed")
	}
	old := engine.history[0]
	for _, snapshot := range engine.history {
		if time.Since(snapshot.at) >= reportLag {
			old = snapshot
		}
	}
	life.seen.Store(target.ID, old.effects)
	report := order.TargetReport{Phase: old.phase, Models: old.models, Age: reportLag, BootID: engine.bootName(old.boot)}
	if engine.target.ChecksFencingToken {
		report.AcceptedNumber = engine.accepted
	}
	return report, nil
}

// platform takes orders for the data centre. It does not ignore repeats, so
// none may come.
type platform struct{ life *life }

func (platform *platform) SendOrder(ctx context.Context, got order.PlatformOrder) error {
	life, world := platform.life, platform.life.world
	life.step("before platform order")
	if err := life.gate(); err != nil {
		return code.Errorf(code.TargetTimeout, "killed")
	}
	world.mu.Lock()
	fate := world.takeFate("platform")
	if !life.dead() && fate != neverArrives {
		if n := len(world.platform); n > 0 && world.platform[n-1] >= got.Number {
			world.fail("second stream to the platform", "order %d of %s after %d", got.Number, life.id, world.platform[n-1])
		}
		world.platform = append(world.platform, got.Number)
	}
	world.mu.Unlock()
	life.step("after platform order")
	if fate != arrives {
		<-ctx.Done()
		return code.Errorf(code.TargetTimeout, "no answer")
	}
	return life.gate()
}

// writers tells what became of other instances.
type writers struct{ life *life }

func (writers *writers) RequestDrop(ctx context.Context, instance string, reference order.TicketID) (bool, error) {
	world := writers.life.world
	world.mu.Lock()
	other := world.find(instance)
	world.mu.Unlock()
	if other == nil {
		return false, code.Errorf(code.PeerUnreachable, "%s is unknown", instance)
	}
	peer, err := (&link{writers.life}).reach(ctx, other.address)
	if err != nil {
		return false, err
	}
	return pass(writers.life, "message", func() (bool, error) { return peer.issuer.Drop(reference), nil })
}

func (writers *writers) HasEnded(_ context.Context, id string) (bool, error) {
	return pass(writers.life, "message", func() (bool, error) {
		world := writers.life.world
		world.mu.Lock()
		defer world.mu.Unlock()
		if engine := world.targets[id]; engine != nil {
			return engine.reclaimed, nil
		}
		removed, gone := world.removed[id]
		return gone && time.Since(removed) >= listLag, nil
	})
}
