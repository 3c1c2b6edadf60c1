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
	instances  = 4
	keys       = 3
	sample     = 250 * time.Millisecond // between checks
	settleTime = 90 * time.Second
	noteBound  = 4 * time.Second  // for a note to be in force everywhere
	quietBound = 10 * time.Second // after the last fault, for that to hold
)

// action is one step of a program. The numbers choose what it acts on.
type action struct {
	name string
	a, b int
	wait time.Duration
}

// acts are the actions by name. Names that stand twice are drawn as often.
var acts = map[string]func(world *world, action action){
	"publish":      func(world *world, _ action) { world.publish("") },
	"withdraw key": func(world *world, action action) { world.publish(keyName(action.a % keys)) },
	"request":      func(world *world, action action) { world.request(action) },
	"call":         func(world *world, action action) { world.each(action, func(life *life) { life.call(action.b % 3) }) },
	"call twice":   (*world).callTwice,
	"use": func(world *world, action action) {
		world.each(action, func(life *life) { life.record("press", int64(action.b+1)) })
	},
	"kill":       (*world).killOne,
	"start":      func(world *world, _ action) { world.startOne() },
	"pause":      func(world *world, action action) { world.pick(action.a).pause() },
	"resume":     (*world).resumeOne,
	"cut store":  func(world *world, action action) { world.set(func() { world.storeCut[world.at(action.a).id] = true }) },
	"cut pair":   (*world).cutPair,
	"cut off":    (*world).cutOff,
	"cut half":   (*world).cutHalf,
	"heal":       func(world *world, _ action) { world.set(world.heal) },
	"store down": func(world *world, _ action) { world.set(func() { world.down = true }) },
	"store slow": func(world *world, action action) {
		world.set(func() { world.slow = time.Duration(action.a%4+1) * time.Second })
	},
	"lose answers":   func(world *world, action action) { world.set(func() { world.lossy[world.at(action.a).id] = true }) },
	"store up":       func(world *world, _ action) { world.set(world.storeUp) },
	"order":          (*world).order,
	"order two":      func(world *world, action action) { world.order(action); world.order(action) },
	"order platform": (*world).orderPlatform,
	"fail order":     (*world).failOrder,
	"fail call":      (*world).failCall,
	"fail report": func(world *world, action action) {
		world.set(func() { world.fate["usage"] = []fate{answerLost, neverArrives}[action.a%2] })
	},
	"fail platform": func(world *world, action action) {
		world.set(func() { world.fate["platform"] = []fate{answerLost, neverArrives}[action.a%2] })
	},
	"pause in order": (*world).pauseInOrder,
	"late orders":    func(world *world, _ action) { world.deliverLate() },
	"crash":          func(world *world, action action) { world.set(func() { world.engine(action.a).crash() }) },
	"reclaim":        func(world *world, action action) { world.set(func() { world.engine(action.a).reclaimed = true }) },
	"lapse":          func(world *world, action action) { world.advance(time.Duration(action.a%20+7) * time.Second) },
}

// weights are the actions in the order of their names, some more than once.
var weights = strings.Split("pause in order,pause in order,pause in order,call,call,call twice,crash,cut half,cut off,cut pair,cut store,fail call,fail order,fail order,"+
	"fail platform,fail report,heal,heal,kill,lapse,lapse,late orders,lose answers,order,order,order,order platform,order platform,"+
	"order two,pause,pause,publish,reclaim,request,request,resume,resume,start,store down,store slow,store up,store up,use,use,withdraw key", ",")

// programs draws programs of a few kinds of actions each, so that some of them
// repeat what others do rarely.
func programs(t *rapid.T) []action {
	names := rapid.SliceOfN(rapid.SampledFrom(weights), 3, 16).Draw(t, "names")
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			name: rapid.SampledFrom(names).Draw(t, "name"),
			a:    rapid.IntRange(0, 19).Draw(t, "a"),
			b:    rapid.IntRange(0, 19).Draw(t, "b"),
			wait: time.Duration(rapid.SampledFrom([]int{0, 0, 10, 300, 1000, 3000}).Draw(t, "wait")) * time.Millisecond,
		}
	}), 10, 60).Draw(t, "program")
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		program, seed := programs(rt), rapid.Uint64().Draw(rt, "seed")
		var broken []string
		synctest.Test(t, func(t *testing.T) { broken = runProgram(t, program, seed) })
		if len(broken) > 0 {
			rt.Fatalf("after %d steps:\n%s", len(program), strings.Join(broken, "\n"))
		}
	})
}

// runProgram returns the promises that were broken. It ends at the first step
// that breaks one.
func runProgram(t *testing.T, program []action, seed uint64) []string {
	world := newWorld(t, seed)
	defer world.stop()
	world.setUp()
	for step, action := range program {
		world.set(func() { world.model.step = step + 1 })
		acts[action.name](world, action)
		world.advance(action.wait)
		if broken := world.broken(); len(broken) > 0 {
			return broken
		}
	}
	world.settle()
	return world.broken()
}

func (world *world) broken() []string {
	world.mu.Lock()
	defer world.mu.Unlock()
	return append([]string(nil), world.model.broken...)
}

func keyName(n int) string { return fmt.Sprint("key-", n) }

func (world *world) setUp() {
	world.add("t0", true, true)
	world.add("t1", false, true)
	world.add("t2", false, false)
	first := &note.Note{Teams: note.Change[note.Team]{Set: []note.Team{{Name: "press"}}}}
	for n := range keys {
		first.Keys.Set = append(first.Keys.Set, note.Key{Digest: note.KeyDigest(keyName(n)), Team: "press"})
	}
	world.accept(first)
	for range instances {
		world.start()
	}
	time.Sleep(15 * time.Second)
}

func (world *world) accept(release *note.Note) {
	number, err := feed.Publish(context.Background(), world.store.Client(operator), release)
	if err != nil {
		world.t.Errorf("the operator cannot publish: %v", err)
		return
	}
	world.mu.Lock()
	defer world.mu.Unlock()
	if number != uint64(len(world.model.notes))+1 {
		world.fail("note reverted", "the next note got number %d after %d", number, len(world.model.notes))
	}
	world.model.notes = append(world.model.notes, time.Now())
}

// publish publishes a note, which withdraws a key unless that is empty.
func (world *world) publish(key string) {
	after := uint64(len(world.model.notes))
	release := &note.Note{ParentNumber: after, Comment: fmt.Sprint("note after ", after)}
	release.Teams.Set = []note.Team{{Name: "press", Weight: int(after) + 1}}
	if _, gone := world.model.withdraw[key]; key != "" && !gone {
		release.Keys.Withdraw = []string{note.KeyDigest(key)}
	}
	world.accept(release)
	if len(release.Keys.Withdraw) > 0 {
		world.set(func() { world.model.withdraw[key] = time.Now() })
	}
}

// set changes the surroundings.
func (world *world) set(change func()) {
	world.mu.Lock()
	defer world.mu.Unlock()
	change()
}

func (world *world) heal() {
	clear(world.cuts)
	clear(world.storeCut)
}

func (world *world) storeUp() {
	world.down, world.slow = false, 0
	clear(world.lossy)
}

// at returns an instance by any number. The caller holds the lock.
func (world *world) at(n int) *life {
	alive := world.aliveLocked()
	return alive[n%len(alive)]
}

func (world *world) pick(n int) *life {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.at(n)
}

// each lets one instance do something in the background.
func (world *world) each(action action, do func(life *life)) {
	life := world.pick(action.a)
	life.work.Go(func() { do(life) })
}

func (world *world) callTwice(action action) {
	for _, life := range []*life{world.pick(action.a), world.pick(action.a + 1)} {
		life.work.Go(func() { life.call(action.b % 3) })
	}
}

func (world *world) request(action action) {
	if life := world.pick(action.a); !life.paused() {
		world.checkKey(life, keyName(action.b%keys))
	}
}

func (world *world) killOne(action action) {
	if len(world.alive()) > 2 {
		world.pick(action.a).kill()
	}
}

func (world *world) startOne() {
	if len(world.alive()) < instances+1 {
		world.start()
	}
}

// resumeOne lets an instance go on, which gets a request at once.
func (world *world) resumeOne(action action) {
	for _, life := range world.alive() {
		if life.paused() {
			life.wake()
			world.checkKey(life, keyName(action.b%keys))
			return
		}
	}
}

func (world *world) cutPair(action action) {
	world.set(func() { world.cuts[[2]string{world.at(action.a).id, world.at(action.b).id}] = true })
}

func (world *world) cutOff(action action) {
	world.set(func() {
		for _, other := range world.aliveLocked() {
			world.cuts[[2]string{world.at(action.a).id, other.id}] = true
		}
	})
}

// cutHalf parts two instances from the rest, and from the store too if b says
// so.
func (world *world) cutHalf(action action) {
	world.set(func() {
		alive := world.aliveLocked()
		for i, life := range alive {
			for _, other := range alive[min(2, len(alive)):] {
				world.cuts[[2]string{life.id, other.id}] = world.cuts[[2]string{life.id, other.id}] || i < 2
			}
			world.storeCut[life.id] = world.storeCut[life.id] || i < 2 && action.b%2 == 0
		}
	})
}

// engine returns a target by any number. The caller holds the lock.
func (world *world) engine(n int) *engine { return world.targets[fmt.Sprint("t", n%3)] }

// order lets an instance that believes in its lease order something.
func (world *world) order(action action) {
	target := world.engine(action.a).target
	request := order.Request{Target: target, Order: world.drawOrder(action)}
	for _, life := range world.believers() {
		life.work.Go(func() { life.issuer.Issue(life.ctx, request) })
	}
}

func (world *world) drawOrder(action action) order.Order {
	switch action.b % 4 {
	case 0:
		return order.Order{Kind: order.KindDrain}
	case 1:
		return order.Order{Kind: order.KindServe}
	default:
		return order.Order{Kind: order.KindLoadModel, Model: "layout", Version: fmt.Sprint("v", time.Since(world.begun))}
	}
}

func (world *world) orderPlatform(action action) {
	request := order.PlatformOrder{Kind: order.PlatformStart, Count: action.a + 1}
	for _, life := range world.believers() {
		life.work.Go(func() { life.issuer.IssuePlatform(life.ctx, request) })
	}
}

// believers are the instances that hold the lease, as they think. Paused ones
// act when they go on.
func (world *world) believers() []*life {
	var believers []*life
	for _, life := range world.alive() {
		if _, held := life.orders.Held(); held {
			believers = append(believers, life)
		}
	}
	return believers
}

// pauseInOrder pauses the holder at some step of an order to a target or to the
// platform, for long enough to lose the lease.
func (world *world) pauseInOrder(action action) {
	believers := world.believers()
	if len(believers) == 0 {
		return
	}
	holder := believers[0]
	world.trap.Store(&trap{
		at: action.b % 10, fault: faults[1],
		wants: func(life *life, step string) bool {
			return life == holder && (strings.Contains(step, "order") || strings.Contains(step, "report"))
		},
	})
	if action.a%4 == 3 {
		world.orderPlatform(action)
	} else {
		world.order(action)
	}
	world.advance(10 * time.Second)
	world.order(action)
	world.orderPlatform(action)
}

func (world *world) failOrder(action action) {
	fates := []fate{answerLost, neverArrives, arrivesLate, crashes, refused}
	world.set(func() { world.fate[world.engine(action.a).target.ID] = fates[action.b%len(fates)] })
}

func (world *world) failCall(action action) {
	fates := []fate{answerLost, neverArrives, refused, connectFailed}
	world.set(func() { world.fate["service"] = fates[action.b%len(fates)] })
}

// advance lets time pass and checks the model meanwhile.
func (world *world) advance(wait time.Duration) {
	for end := time.Now().Add(wait); ; {
		synctest.Wait()
		world.check()
		left := time.Until(end)
		if left <= 0 {
			return
		}
		time.Sleep(min(left, sample))
	}
}

// check compares all instances with the model.
func (world *world) check() {
	world.mu.Lock()
	world.excuse()
	quiet := world.quiet()
	alive := world.aliveLocked()
	world.mu.Unlock()
	for _, life := range alive {
		world.checkNumber(life, quiet)
		if life.paused() {
			continue
		}
		for n := range keys {
			world.checkKey(life, keyName(n))
		}
	}
}

// quiet reports whether no fault has been there of late. The caller holds the
// lock.
func (world *world) quiet() bool {
	faulty := world.down || world.slow > 0 || len(world.cuts)+len(world.storeCut)+len(world.lossy) > 0
	for _, life := range world.lives {
		faulty = faulty || life.paused() || time.Since(life.begun) < quietBound
	}
	for _, removed := range world.removed {
		faulty = faulty || time.Since(removed) < quietBound
	}
	if faulty {
		world.model.quiet = time.Now()
	}
	return time.Since(world.model.quiet) > quietBound
}

func (world *world) checkNumber(life *life, quiet bool) {
	number, err := life.feed.Number(), life.feed.CheckServing()
	world.mu.Lock()
	defer world.mu.Unlock()
	if number < life.number {
		world.fail("note reverted", "%s went from %d back to %d", life.id, life.number, number)
	}
	life.number = number
	newest := uint64(len(world.model.notes))
	if number > newest {
		world.fail("note invented", "%s has %d of %d", life.id, number, newest)
	}
	if quiet && err != nil {
		world.fail("does not serve", "%s without a fault: %v", life.id, err)
	}
	if quiet && number < newest && time.Since(world.model.notes[newest-1]) > noteBound {
		world.fail("note late", "%s has %d of %d", life.id, number, newest)
	}
}

// settle ends all faults and checks what must hold in the end.
func (world *world) settle() {
	world.set(func() {
		world.heal()
		world.storeUp()
		clear(world.fate)
		world.model.step++
	})
	for _, life := range world.alive() {
		life.wake()
	}
	world.deliverLate()
	world.advance(settleTime)
	for n := range 3 {
		life := world.pick(n)
		life.work.Go(func() { life.call(n) })
	}
	for n := range 3 {
		world.order(action{a: n, b: 2})
	}
	world.advance(10 * time.Second)
	world.checkUsage()
}

func (world *world) stop() {
	for _, life := range world.alive() {
		life.kill()
	}
	for _, life := range world.lives {
		life.wait()
	}
}
