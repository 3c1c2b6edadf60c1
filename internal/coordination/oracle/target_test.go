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
	reportAge      = 500 * time.Millisecond // by which reports of targets are out of date
)

// delivery is what happens to one message on the network or at its receiver.
type delivery string

const (
	delivered     delivery = "delivered"
	responseLost  delivery = "response lost"
	dropped       delivery = "dropped"
	delayed       delivery = "delayed"
	crashed       delivery = "target crashed"
	refused       delivery = "refused"
	connectFailed delivery = "connect failed"
)

// fakeTarget simulates a target.
type fakeTarget struct {
	target         note.Target
	reportsBoot    bool // whether reports contain a boot ID
	boot           int
	reclaimed      bool
	acceptedNumber uint64 // highest order number accepted, if the target checks fencing tokens
	lastNumber     uint64 // order number of the last effect
	history        []snapshot
}

// snapshot is the state of a target at a time, and the number of orders that had
// an effect until then.
type snapshot struct {
	at      time.Time
	effects int
	boot    int
	phase   order.Phase
	models  map[string]string
}

// message is an order sent to one boot of a target.
type message struct {
	receiver    *fakeTarget
	order       order.Order
	boot        int
	effectsSeen int // number of effects in the last report that the sender fetched
	sender      string
}

func (simulator *simulator) addTarget(id string, checksFencingToken, reportsBoot bool) {
	target := note.Target{ID: id, DataCenter: dataCenter, Kind: note.KindEngine, ChecksFencingToken: checksFencingToken}
	first := snapshot{at: time.Now().Add(-time.Hour), phase: order.PhaseServing, models: map[string]string{}}
	simulator.targets[id] = &fakeTarget{target: target, reportsBoot: reportsBoot, history: []snapshot{first}}
}

func (fakeTarget *fakeTarget) state() snapshot { return fakeTarget.history[len(fakeTarget.history)-1] }

func (fakeTarget *fakeTarget) update(edit func(*snapshot)) {
	next := fakeTarget.state()
	next.at = time.Now()
	next.models = maps.Clone(next.models)
	edit(&next)
	fakeTarget.history = append(fakeTarget.history, next)
}

func (fakeTarget *fakeTarget) bootID(boot int) string {
	if !fakeTarget.reportsBoot {
		return ""
	}
	return fmt.Sprint("boot-", boot)
}

func (fakeTarget *fakeTarget) crash() {
	fakeTarget.boot++
	fakeTarget.update(func(next *snapshot) {
		next.boot = fakeTarget.boot
		next.phase = order.PhaseServing
		next.models = map[string]string{}
	})
}

// deliver delivers an order to its target, checks the invariants if it has an
// effect, and reports whether the target accepted it. The caller holds
// simulator.mu.
func (simulator *simulator) deliver(message message) bool {
	fakeTarget, incoming := message.receiver, message.order
	if message.boot != fakeTarget.boot || fakeTarget.reclaimed {
		return false
	}
	advancesFence := incoming.Kind == order.KindFence
	if fakeTarget.target.ChecksFencingToken && (incoming.Number < fakeTarget.acceptedNumber || incoming.Number == fakeTarget.acceptedNumber && !advancesFence) {
		return false
	}
	fakeTarget.acceptedNumber = incoming.Number
	if advancesFence {
		return true
	}
	if incoming.Number <= fakeTarget.lastNumber {
		simulator.recordViolation("stale order", "order %d of %s to %s had an effect after order %d", incoming.Number, message.sender, fakeTarget.target.ID, fakeTarget.lastNumber)
	}
	if missed := fakeTarget.state().effects - message.effectsSeen; missed != 0 {
		simulator.recordViolation("conflicting order", "order %d of %s to %s was issued without knowledge of %d earlier orders", incoming.Number, message.sender, fakeTarget.target.ID, missed)
	}
	fakeTarget.lastNumber = incoming.Number
	fakeTarget.update(func(next *snapshot) {
		next.effects++
		switch incoming.Kind {
		case order.KindDrain:
			next.phase = order.PhaseDrained
		case order.KindServe:
			next.phase = order.PhaseServing
		default:
			next.models[incoming.Model] = incoming.Version
		}
	})
	return true
}

// deliverDelayed delivers all delayed orders.
func (simulator *simulator) deliverDelayed() {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	for _, message := range simulator.delayedOrders {
		simulator.deliver(message)
	}
	simulator.delayedOrders = nil
}

func (simulator *simulator) takeDelivery(name string) delivery {
	next, ok := simulator.nextDelivery[name]
	delete(simulator.nextDelivery, name)
	if !ok {
		return delivered
	}
	return next
}

// faultyTargets implements order.Targets for one instance.
type faultyTargets struct{ instance *instance }

func (faultyTargets *faultyTargets) Send(ctx context.Context, target note.Target, incoming order.Order) (order.Ack, error) {
	instance := faultyTargets.instance
	instance.recordStep("before order")
	if err := instance.waitToRun(); err != nil {
		return order.Ack{}, code.Errorf(code.TargetTimeout, "instance is killed")
	}
	ack, timeout, err := instance.sendOrder(target, incoming)
	if timeout {
		<-ctx.Done()
	}
	instance.recordStep("after order")
	_ = instance.waitToRun()
	return ack, err
}

// sendOrder sends an order to a target. The second result reports whether the
// sender gets no response and has to wait until its timeout.
func (instance *instance) sendOrder(target note.Target, incoming order.Order) (order.Ack, bool, error) {
	simulator := instance.simulator
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	fakeTarget := simulator.targets[target.ID]
	if instance.isKilled() || fakeTarget.reclaimed {
		return order.Ack{}, true, code.Errorf(code.TargetTimeout, "target does not respond")
	}
	seen, _ := instance.reportedEffects.Load(target.ID)
	message := message{receiver: fakeTarget, order: incoming, boot: fakeTarget.boot, sender: instance.id}
	message.effectsSeen, _ = seen.(int)
	ack := order.Ack{Number: incoming.Number, BootID: fakeTarget.bootID(fakeTarget.boot)}
	switch simulator.takeDelivery(target.ID) {
	case delivered:
		if !simulator.deliver(message) {
			return ack, false, code.Errorf(code.OrderRefused, "order number is too low")
		}
		return ack, false, nil
	case refused:
		return ack, false, code.Errorf(code.OrderRefused, "target is busy")
	case responseLost:
		simulator.deliver(message)
	case delayed:
		simulator.delayedOrders = append(simulator.delayedOrders, message)
	case crashed:
		simulator.deliver(message)
		fakeTarget.crash()
	default:
	}
	return ack, true, code.Errorf(code.TargetTimeout, "no response")
}

func (faultyTargets *faultyTargets) FetchReport(_ context.Context, target note.Target) (order.TargetReport, error) {
	return runStep(faultyTargets.instance, "report", func() (order.TargetReport, error) { return faultyTargets.instance.fetchReport(target) })
}

func (instance *instance) fetchReport(target note.Target) (order.TargetReport, error) {
	simulator := instance.simulator
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	fakeTarget := simulator.targets[target.ID]
	if fakeTarget.reclaimed {
		return order.TargetReport{}, code.Errorf(code.TargetTimeout, "target is reclaimed")
	}
	reported := fakeTarget.history[0]
	for _, snapshot := range fakeTarget.history {
		if time.Since(snapshot.at) >= reportAge {
			reported = snapshot
		}
	}
	instance.reportedEffects.Store(target.ID, reported.effects)
	report := order.TargetReport{Phase: reported.phase, Models: reported.models, Age: reportAge, BootID: fakeTarget.bootID(reported.boot)}
	if fakeTarget.target.ChecksFencingToken {
		report.AcceptedNumber = fakeTarget.acceptedNumber
	}
	return report, nil
}

// faultyPlatform implements order.Platform for one instance. The simulated
// platform does not deduplicate orders, so no order may reach it twice.
type faultyPlatform struct{ instance *instance }

func (faultyPlatform *faultyPlatform) SendOrder(ctx context.Context, incoming order.PlatformOrder) error {
	instance, simulator := faultyPlatform.instance, faultyPlatform.instance.simulator
	instance.recordStep("before platform order")
	if err := instance.waitToRun(); err != nil {
		return code.Errorf(code.TargetTimeout, "instance is killed")
	}
	simulator.mu.Lock()
	delivery := simulator.takeDelivery("platform")
	if !instance.isKilled() && delivery != dropped {
		if n := len(simulator.platformOrders); n > 0 && simulator.platformOrders[n-1] >= incoming.Number {
			simulator.recordViolation("platform order out of sequence", "order %d of %s after order %d", incoming.Number, instance.id, simulator.platformOrders[n-1])
		}
		simulator.platformOrders = append(simulator.platformOrders, incoming.Number)
	}
	simulator.mu.Unlock()
	instance.recordStep("after platform order")
	if delivery != delivered {
		<-ctx.Done()
		return code.Errorf(code.TargetTimeout, "no response")
	}
	return instance.waitToRun()
}

// writerStatus implements order.WriterStatus for one instance.
type writerStatus struct{ instance *instance }

func (writerStatus *writerStatus) RequestDrop(ctx context.Context, instanceID string, ticketID order.TicketID) (bool, error) {
	simulator := writerStatus.instance.simulator
	simulator.mu.Lock()
	other := simulator.findInstance(instanceID)
	simulator.mu.Unlock()
	if other == nil {
		return false, code.Errorf(code.PeerUnreachable, "%s is unknown", instanceID)
	}
	peer, err := (&faultyNetwork{writerStatus.instance}).findPeer(ctx, other.address)
	if err != nil {
		return false, err
	}
	return runStep(writerStatus.instance, "message", func() (bool, error) { return peer.issuer.Drop(ticketID), nil })
}

func (writerStatus *writerStatus) HasEnded(_ context.Context, id string) (bool, error) {
	return runStep(writerStatus.instance, "message", func() (bool, error) {
		simulator := writerStatus.instance.simulator
		simulator.mu.Lock()
		defer simulator.mu.Unlock()
		if fakeTarget := simulator.targets[id]; fakeTarget != nil {
			return fakeTarget.reclaimed, nil
		}
		killedAt, killed := simulator.killedAt[id]
		return killed && time.Since(killedAt) >= platformListDelay, nil
	})
}
