package oracle_test

import (
	"fmt"
	"strings"
	"time"

	"mangopier.example/mangopier/internal/coordination/feed"
	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
)

// operation is something that takes several steps at one instance.
type operation struct {
	name    string
	loops   bool                             // it polls: only the first of equal steps counts
	parts   func(life *life) []part          // that instances run
	kinds   []string                         // what its steps act on
	prepare func(world *world) func() string // returns the outcome in the end
	begin   func(world *world)
	ended   func(life *life) bool // if it has no result
}

var operations = []operation{
	publishOperation(),
	leaseOperation(),
	orderOperation("order to a target that fences", "t0", order.KindLoadModel),
	orderOperation("order to a target that does not fence", "t1", order.KindLoadModel),
	orderOperation("drain", "t0", order.KindDrain),
	platformOperation(),
	usageOperation(),
	callOperation(),
}

// wants tells the steps of the operation at its actor.
func (operation operation) wants(world *world) func(life *life, step string) bool {
	return func(life *life, step string) bool {
		actor := world.actor.Load()
		if actor != nil && actor != life {
			return false
		}
		if operation.done(world, life) {
			return false
		}
		for _, kind := range operation.kinds {
			if strings.Contains(step, kind) {
				return !life.dead()
			}
		}
		return false
	}
}

// done reports whether the operation has come to its end.
func (operation operation) done(world *world, life *life) bool {
	if operation.ended != nil {
		return operation.ended(life)
	}
	return world.result.Load() != nil
}

// act runs the operation at its actor.
func (world *world) act(do func(life *life) string) {
	actor := world.actor.Load()
	actor.work.Go(func() {
		result := do(actor)
		if actor.dead() {
			result = noAnswer
		}
		world.result.Store(&result)
	})
}

func (world *world) resultOf() string {
	if result := world.result.Load(); result != nil {
		return *result
	}
	return "none yet"
}

func resultOf(result order.Result) string {
	if result.Err != nil {
		return code.FromError(result.Err).String()
	}
	return string(result.Outcome)
}

func publishOperation() operation {
	release := &note.Note{ParentNumber: 1, Comment: "second", Teams: note.Change[note.Team]{Set: []note.Team{{Name: "press", Weight: 2}}}}
	return operation{
		name: "publish", kinds: []string{"note/"},
		parts: func(life *life) []part { return []part{life.members, life.feed} },
		prepare: func(world *world) func() string {
			world.parts = func(*life) []part { return nil }
			world.actor.Store(world.start())
			return func() string {
				result := world.resultOf()
				world.accept(release)
				time.Sleep(noteBound)
				for _, life := range world.alive()[:instances-1] {
					if life.feed.Number() != 2 {
						return result + "; not in force"
					}
				}
				return result + "; published again: in force everywhere"
			}
		},
		begin: func(world *world) {
			world.act(func(life *life) string {
				if _, err := feed.Publish(life.ctx, &rows{life}, release); err != nil {
					return code.FromError(err).String()
				}
				return "accepted"
			})
		},
	}
}

func leaseOperation() operation {
	return operation{
		name: "lease change", loops: true, kinds: []string{"lease/"},
		ended: func(life *life) bool { _, held := life.orders.Held(); return held },
		parts: func(life *life) []part { return []part{life.orders} },
		prepare: func(world *world) func() string {
			return func() string { return fmt.Sprintf("%d holds it", len(world.believers())) }
		},
		begin: func(world *world) {
			believers := world.believers()
			for _, life := range world.alive() {
				if life == believers[0] {
					continue
				}
				if world.actor.CompareAndSwap(nil, life) {
					continue
				}
				life.pause() // until the actor is through or has failed
				time.AfterFunc(faultTime, life.wake)
			}
			believers[0].kill()
		},
	}
}

func leaseParts(life *life) []part { return []part{life.orders} }

func orderOperation(name, target string, kind order.Kind) operation {
	first := order.Order{Kind: kind, Model: "layout", Version: "v1"}
	next := order.Order{Kind: order.KindServe}
	if kind == order.KindLoadModel {
		next = order.Order{Kind: kind, Model: "layout", Version: "v2"}
	}
	return operation{
		name: name, kinds: []string{"order", "report"}, parts: leaseParts,
		prepare: func(world *world) func() string {
			holder := world.believers()[0]
			world.actor.Store(holder)
			return func() string {
				result := world.resultOf()
				return result + "; next: " + world.orderNext(func(life *life) order.Result {
					return life.issuer.Issue(life.ctx, order.Request{Target: world.targets[target].target, Order: next})
				})
			}
		},
		begin: func(world *world) {
			world.act(func(life *life) string {
				return resultOf(life.issuer.Issue(life.ctx, order.Request{Target: world.targets[target].target, Order: first}))
			})
		},
	}
}

func (world *world) orderNext(do func(life *life) order.Result) string {
	believers := world.believers()
	if len(believers) != 1 {
		return fmt.Sprintf("%d holders", len(believers))
	}
	return resultOf(do(believers[0]))
}

func platformOperation() operation {
	do := func(life *life) order.Result {
		return life.issuer.IssuePlatform(life.ctx, order.PlatformOrder{Kind: order.PlatformStart, Count: 1})
	}
	return operation{
		name: "order to the platform", kinds: []string{"order"}, parts: leaseParts,
		prepare: func(world *world) func() string {
			world.actor.Store(world.believers()[0])
			return func() string {
				result := world.resultOf()
				return result + "; next: " + world.orderNext(do)
			}
		},
		begin: func(world *world) {
			world.act(func(life *life) string { return resultOf(do(life)) })
		},
	}
}

func usageOperation() operation {
	return operation{
		name: "usage freeze and report", loops: true, kinds: []string{"usage/", "usage report"},
		ended: func(life *life) bool { return life.freezer.Status().LastNumber >= 3 },
		parts: func(life *life) []part { return []part{life.duty, life.meter, life.freezer} },
		prepare: func(world *world) func() string {
			for _, life := range world.alive() {
				if _, held := life.duty.Held(); held {
					world.actor.Store(life)
				}
			}
			return func() string {
				world.checkUsage()
				return world.usageClass()
			}
		},
		begin: func(world *world) {
			for _, life := range world.alive() {
				life.work.Go(func() { life.record("press", 7) })
			}
		},
	}
}

func callOperation() operation {
	return operation{
		name: "call that runs at most once", kinds: []string{"once", "call"},
		parts: func(life *life) []part { return []part{life.guard} },
		prepare: func(world *world) func() string {
			world.actor.Store(world.alive()[0])
			return func() string {
				first := world.resultOf()
				alive := world.alive()
				retry := alive[len(alive)-1].call(1)
				return fmt.Sprintf("%s; retry elsewhere: %s; runs: %d", first, retry, world.runsOf("job-1"))
			}
		},
		begin: func(world *world) { world.act(func(life *life) string { return life.call(1) }) },
	}
}
