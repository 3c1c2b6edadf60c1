package oracle_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/feed"
	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/note"
)

const (
	instanceCount  = 4
	keyCount       = 3
	checkInterval  = 250 * time.Millisecond // between two checks of the invariants
	settleDuration = 90 * time.Second       // from the end of all faults to the last checks
	maxNoteDelay   = 4 * time.Second        // until a note is in force on all instances, without faults
	minFaultFree   = 10 * time.Second       // after the last fault, until maxNoteDelay applies
)

// action is one step of a program. The numbers a and b select what it acts on.
type action struct {
	name string
	a, b int
	wait time.Duration // after the action
}

// actions contains the actions by name.
var actions = map[string]func(simulator *simulator, action action){
	"publish":      func(simulator *simulator, _ action) { simulator.publishNote("") },
	"withdraw key": func(simulator *simulator, action action) { simulator.publishNote(keyName(action.a % keyCount)) },
	"request":      func(simulator *simulator, action action) { simulator.checkRequest(action) },
	"call": func(simulator *simulator, action action) {
		simulator.runOnInstance(action, func(instance *instance) { instance.callOnce(action.b % 3) })
	},
	"call twice": (*simulator).callTwice,
	"use": func(simulator *simulator, action action) {
		simulator.runOnInstance(action, func(instance *instance) { instance.recordUsage("press", int64(action.b+1)) })
	},
	"kill":   (*simulator).killOne,
	"start":  func(simulator *simulator, _ action) { simulator.startOne() },
	"pause":  func(simulator *simulator, action action) { simulator.pickInstance(action.a).pause() },
	"resume": (*simulator).resumeOne,
	"cut store": func(simulator *simulator, action action) {
		simulator.withLock(func() { simulator.storeUnreachable[simulator.instanceAt(action.a).id] = true })
	},
	"cut pair":   (*simulator).cutPair,
	"cut off":    (*simulator).isolateOne,
	"cut half":   (*simulator).cutHalf,
	"heal":       func(simulator *simulator, _ action) { simulator.withLock(simulator.healNetwork) },
	"store down": func(simulator *simulator, _ action) { simulator.withLock(func() { simulator.storeDown = true }) },
	"store slow": func(simulator *simulator, action action) {
		simulator.withLock(func() { simulator.storeDelay = time.Duration(action.a%4+1) * time.Second })
	},
	"lose answers": func(simulator *simulator, action action) {
		simulator.withLock(func() { simulator.losesResponses[simulator.instanceAt(action.a).id] = true })
	},
	"store up":       func(simulator *simulator, _ action) { simulator.withLock(simulator.restoreStore) },
	"order":          (*simulator).issueOrder,
	"order two":      func(simulator *simulator, action action) { simulator.issueOrder(action); simulator.issueOrder(action) },
	"order platform": (*simulator).issuePlatformOrder,
	"fail order":     (*simulator).failOrder,
	"fail call":      (*simulator).failCall,
	"fail report": func(simulator *simulator, action action) {
		simulator.withLock(func() { simulator.nextDelivery["usage"] = []delivery{responseLost, dropped}[action.a%2] })
	},
	"fail platform": func(simulator *simulator, action action) {
		simulator.withLock(func() { simulator.nextDelivery["platform"] = []delivery{responseLost, dropped}[action.a%2] })
	},
	"pause in order": (*simulator).pauseDuringOrder,
	"late orders":    func(simulator *simulator, _ action) { simulator.deliverDelayed() },
	"crash": func(simulator *simulator, action action) {
		simulator.withLock(func() { simulator.targetAt(action.a).crash() })
	},
	"reclaim": func(simulator *simulator, action action) {
		simulator.withLock(func() { simulator.targetAt(action.a).reclaimed = true })
	},
	"lapse": func(simulator *simulator, action action) {
		simulator.advance(time.Duration(action.a%20+7) * time.Second)
	},
}

// weightedActions lists the names of actions to draw from. An action that is
// listed several times is drawn that much more often. The order of the names
// determines what a seed draws.
var weightedActions = strings.Split("pause in order,pause in order,pause in order,call,call,call twice,crash,cut half,cut off,cut pair,cut store,fail call,fail order,fail order,"+
	"fail platform,fail report,heal,heal,kill,lapse,lapse,late orders,lose answers,order,order,order,order platform,order platform,"+
	"order two,pause,pause,publish,reclaim,request,request,resume,resume,start,store down,store slow,store up,store up,use,use,withdraw key", ",")

// drawProgram draws a program from a small random subset of the actions, so that
// some programs often repeat actions that are rare in others.
func drawProgram(t *rapid.T) []action {
	names := rapid.SliceOfN(rapid.SampledFrom(weightedActions), 3, 16).Draw(t, "names")
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			name: rapid.SampledFrom(names).Draw(t, "name"),
			a:    rapid.IntRange(0, 19).Draw(t, "a"),
			b:    rapid.IntRange(0, 19).Draw(t, "b"),
			wait: time.Duration(rapid.SampledFrom([]int{0, 0, 10, 300, 1000, 3000}).Draw(t, "wait")) * time.Millisecond,
		}
	}), 10, 60).Draw(t, "program")
}

// TestMachine runs random programs of faults and operations and requires that no
// invariant of the model is violated.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		program, seed := drawProgram(rt), rapid.Uint64().Draw(rt, "seed")
		var violations []string
		synctest.Test(t, func(t *testing.T) { violations = runProgram(t, program, seed) })
		if len(violations) > 0 {
			rt.Fatalf("invariants violated in a program of %d steps:\n%s", len(program), strings.Join(violations, "\n"))
		}
	})
}

// runProgram runs a program up to the first step that violates an invariant, and
// returns the violations.
func runProgram(t *testing.T, program []action, seed uint64) []string {
	simulator := newSimulator(t, seed)
	defer simulator.stop()
	simulator.setUp()
	for step, action := range program {
		simulator.withLock(func() { simulator.model.step = step + 1 })
		actions[action.name](simulator, action)
		simulator.advance(action.wait)
		if violations := simulator.violations(); len(violations) > 0 {
			return violations
		}
	}
	simulator.healAndCheck()
	return simulator.violations()
}

func (simulator *simulator) violations() []string {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	return append([]string(nil), simulator.model.violations...)
}

func keyName(n int) string { return fmt.Sprint("key-", n) }

func (simulator *simulator) setUp() {
	simulator.addTarget("t0", true, true)
	simulator.addTarget("t1", false, true)
	simulator.addTarget("t2", false, false)
	first := &note.Note{Teams: note.Change[note.Team]{Set: []note.Team{{Name: "press"}}}}
	for n := range keyCount {
		first.Keys.Set = append(first.Keys.Set, note.Key{Digest: note.KeyDigest(keyName(n)), Team: "press"})
	}
	simulator.publishAsOperator(first)
	for range instanceCount {
		simulator.startInstance()
	}
	time.Sleep(15 * time.Second)
}

func (simulator *simulator) publishAsOperator(update *note.Note) {
	number, err := feed.Publish(context.Background(), simulator.store.Client(operator), update)
	if err != nil {
		simulator.t.Errorf("feed.Publish() by the operator: %v", err)
		return
	}
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	if number != uint64(len(simulator.model.noteAcceptedAt))+1 {
		simulator.recordViolation("note number not consecutive", "published note got number %d, previous number is %d", number, len(simulator.model.noteAcceptedAt))
	}
	simulator.model.noteAcceptedAt = append(simulator.model.noteAcceptedAt, time.Now())
}

// publishNote publishes a note. The note withdraws the key unless it is empty or
// already withdrawn.
func (simulator *simulator) publishNote(key string) {
	after := uint64(len(simulator.model.noteAcceptedAt))
	update := &note.Note{ParentNumber: after, Comment: fmt.Sprint("note after ", after)}
	update.Teams.Set = []note.Team{{Name: "press", Weight: int(after) + 1}}
	if _, withdrawn := simulator.model.withdrawnAt[key]; key != "" && !withdrawn {
		update.Keys.Withdraw = []string{note.KeyDigest(key)}
	}
	simulator.publishAsOperator(update)
	if len(update.Keys.Withdraw) > 0 {
		simulator.withLock(func() { simulator.model.withdrawnAt[key] = time.Now() })
	}
}

// withLock calls change with simulator.mu locked.
func (simulator *simulator) withLock(change func()) {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	change()
}

func (simulator *simulator) healNetwork() {
	clear(simulator.cutLinks)
	clear(simulator.storeUnreachable)
}

func (simulator *simulator) restoreStore() {
	simulator.storeDown, simulator.storeDelay = false, 0
	clear(simulator.losesResponses)
}

// instanceAt maps a number to a running instance. The caller holds simulator.mu.
func (simulator *simulator) instanceAt(n int) *instance {
	alive := simulator.aliveLocked()
	return alive[n%len(alive)]
}

func (simulator *simulator) pickInstance(n int) *instance {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	return simulator.instanceAt(n)
}

// runOnInstance calls do for one instance in the background.
func (simulator *simulator) runOnInstance(action action, do func(instance *instance)) {
	instance := simulator.pickInstance(action.a)
	instance.work.Go(func() { do(instance) })
}

func (simulator *simulator) callTwice(action action) {
	for _, instance := range []*instance{simulator.pickInstance(action.a), simulator.pickInstance(action.a + 1)} {
		instance.work.Go(func() { instance.callOnce(action.b % 3) })
	}
}

func (simulator *simulator) checkRequest(action action) {
	if instance := simulator.pickInstance(action.a); !instance.isPaused() {
		simulator.checkKey(instance, keyName(action.b%keyCount))
	}
}

func (simulator *simulator) killOne(action action) {
	if len(simulator.alive()) > 2 {
		simulator.pickInstance(action.a).kill()
	}
}

func (simulator *simulator) startOne() {
	if len(simulator.alive()) < instanceCount+1 {
		simulator.startInstance()
	}
}

// resumeOne ends the pause of one instance and checks a request to it at once.
func (simulator *simulator) resumeOne(action action) {
	for _, instance := range simulator.alive() {
		if instance.isPaused() {
			instance.resumeWorkFirst()
			simulator.checkKey(instance, keyName(action.b%keyCount))
			return
		}
	}
}

func (simulator *simulator) cutPair(action action) {
	simulator.withLock(func() {
		simulator.cutLinks[[2]string{simulator.instanceAt(action.a).id, simulator.instanceAt(action.b).id}] = true
	})
}

func (simulator *simulator) isolateOne(action action) {
	simulator.withLock(func() {
		for _, other := range simulator.aliveLocked() {
			simulator.cutLinks[[2]string{simulator.instanceAt(action.a).id, other.id}] = true
		}
	})
}

// cutHalf partitions two instances from the others, and also from the store if
// action.b is even.
func (simulator *simulator) cutHalf(action action) {
	simulator.withLock(func() {
		alive := simulator.aliveLocked()
		for i, instance := range alive {
			for _, other := range alive[min(2, len(alive)):] {
				simulator.cutLinks[[2]string{instance.id, other.id}] = simulator.cutLinks[[2]string{instance.id, other.id}] || i < 2
			}
			simulator.storeUnreachable[instance.id] = simulator.storeUnreachable[instance.id] || i < 2 && action.b%2 == 0
		}
	})
}

// targetAt maps a number to a target. The caller holds simulator.mu.
func (simulator *simulator) targetAt(n int) *fakeTarget {
	return simulator.targets[fmt.Sprint("t", n%3)]
}

// issueOrder issues an order from each instance that believes it holds the
// lease.
func (simulator *simulator) issueOrder(action action) {
	target := simulator.targetAt(action.a).target
	request := order.Request{Target: target, Order: simulator.buildOrder(action)}
	for _, instance := range simulator.leaseHolders() {
		instance.work.Go(func() { instance.issuer.Issue(instance.ctx, request) })
	}
}

func (simulator *simulator) buildOrder(action action) order.Order {
	switch action.b % 4 {
	case 0:
		return order.Order{Kind: order.KindDrain}
	case 1:
		return order.Order{Kind: order.KindServe}
	default:
		return order.Order{Kind: order.KindLoadModel, Model: "layout", Version: fmt.Sprint("v", time.Since(simulator.startedAt))}
	}
}

func (simulator *simulator) issuePlatformOrder(action action) {
	request := order.PlatformOrder{Kind: order.PlatformStart, Count: action.a + 1}
	for _, instance := range simulator.leaseHolders() {
		instance.work.Go(func() { instance.issuer.IssuePlatform(instance.ctx, request) })
	}
}

// leaseHolders returns the instances that believe they hold the lease on orders.
// They may be paused, and then act when they resume.
func (simulator *simulator) leaseHolders() []*instance {
	var holders []*instance
	for _, instance := range simulator.alive() {
		if _, held := instance.orderLease.Held(); held {
			holders = append(holders, instance)
		}
	}
	return holders
}

// pauseDuringOrder pauses the lease holder at some step of an order to a target
// or to the platform, long enough for it to lose the lease.
func (simulator *simulator) pauseDuringOrder(action action) {
	holders := simulator.leaseHolders()
	if len(holders) == 0 {
		return
	}
	holder := holders[0]
	simulator.injector.Store(&faultInjector{
		stepIndex: action.b % 10, fault: faults[1],
		matches: func(instance *instance, step string) bool {
			return instance == holder && (strings.Contains(step, "order") || strings.Contains(step, "report"))
		},
	})
	if action.a%4 == 3 {
		simulator.issuePlatformOrder(action)
	} else {
		simulator.issueOrder(action)
	}
	simulator.advance(10 * time.Second)
	simulator.issueOrder(action)
	simulator.issuePlatformOrder(action)
}

func (simulator *simulator) failOrder(action action) {
	deliveries := []delivery{responseLost, dropped, delayed, crashed, refused}
	simulator.withLock(func() {
		simulator.nextDelivery[simulator.targetAt(action.a).target.ID] = deliveries[action.b%len(deliveries)]
	})
}

func (simulator *simulator) failCall(action action) {
	deliveries := []delivery{responseLost, dropped, refused, connectFailed}
	simulator.withLock(func() { simulator.nextDelivery["service"] = deliveries[action.b%len(deliveries)] })
}

// advance lets virtual time pass and checks the invariants regularly.
func (simulator *simulator) advance(wait time.Duration) {
	for end := time.Now().Add(wait); ; {
		synctest.Wait()
		simulator.checkInvariants()
		remaining := time.Until(end)
		if remaining <= 0 {
			return
		}
		time.Sleep(min(remaining, checkInterval))
	}
}

// checkInvariants compares the running instances with the model.
func (simulator *simulator) checkInvariants() {
	simulator.mu.Lock()
	simulator.updateStaleAllowed()
	faultFree := simulator.isFaultFree()
	alive := simulator.aliveLocked()
	simulator.mu.Unlock()
	for _, instance := range alive {
		simulator.checkNoteNumber(instance, faultFree)
		if instance.isPaused() {
			continue
		}
		for n := range keyCount {
			simulator.checkKey(instance, keyName(n))
		}
	}
}

// isFaultFree reports whether the last fault ended more than minFaultFree ago.
// Starts and ends of instances count as faults. The caller holds simulator.mu.
func (simulator *simulator) isFaultFree() bool {
	faulty := simulator.storeDown || simulator.storeDelay > 0 || len(simulator.cutLinks)+len(simulator.storeUnreachable)+len(simulator.losesResponses) > 0
	for _, instance := range simulator.instances {
		faulty = faulty || instance.isPaused() || time.Since(instance.startedAt) < minFaultFree
	}
	for _, killedAt := range simulator.killedAt {
		faulty = faulty || time.Since(killedAt) < minFaultFree
	}
	if faulty {
		simulator.model.lastFaultAt = time.Now()
	}
	return time.Since(simulator.model.lastFaultAt) > minFaultFree
}

func (simulator *simulator) checkNoteNumber(instance *instance, faultFree bool) {
	number, err := instance.feed.Number(), instance.feed.CheckServing()
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	if number < instance.highestNumber {
		simulator.recordViolation("note reverted", "%s had note %d and now has %d", instance.id, instance.highestNumber, number)
	}
	instance.highestNumber = number
	newest := uint64(len(simulator.model.noteAcceptedAt))
	if number > newest {
		simulator.recordViolation("unpublished note", "%s has note %d, newest is %d", instance.id, number, newest)
	}
	if faultFree && err != nil {
		simulator.recordViolation("instance does not serve", "%s, without a fault: %v", instance.id, err)
	}
	if faultFree && number < newest && time.Since(simulator.model.noteAcceptedAt[newest-1]) > maxNoteDelay {
		simulator.recordViolation("note late", "%s has note %d, newest is %d", instance.id, number, newest)
	}
}

// healAndCheck ends all faults, lets the instances settle, makes further calls and
// orders, and checks the usage reports.
func (simulator *simulator) healAndCheck() {
	simulator.withLock(func() {
		simulator.healNetwork()
		simulator.restoreStore()
		clear(simulator.nextDelivery)
		simulator.model.step++
	})
	for _, instance := range simulator.alive() {
		instance.resumeWorkFirst()
	}
	simulator.deliverDelayed()
	simulator.advance(settleDuration)
	for n := range 3 {
		instance := simulator.pickInstance(n)
		instance.work.Go(func() { instance.callOnce(n) })
	}
	for n := range 3 {
		simulator.issueOrder(action{a: n, b: 2})
	}
	simulator.advance(10 * time.Second)
	simulator.checkUsage()
}

func (simulator *simulator) stop() {
	for _, instance := range simulator.alive() {
		instance.kill()
	}
	for _, instance := range simulator.instances {
		instance.waitStopped()
	}
}
