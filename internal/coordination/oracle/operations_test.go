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

// operation describes an operation that takes several steps on one instance.
type operation struct {
	name       string
	polls      bool                                     // it repeats steps, of which only the first counts
	components func(instance *instance) []component     // that each instance runs
	stepKinds  []string                                 // substrings of the names of its steps
	prepare    func(simulator *simulator) func() string // returns a function that returns the outcome
	start      func(simulator *simulator)
	isFinished func(instance *instance) bool // nil if the operation ends with a result
}

var operations = []operation{
	publishOperation(),
	leaseOperation(),
	orderOperation("order to a target that checks the fencing token", "t0", order.KindLoadModel),
	orderOperation("order to a target that does not check the fencing token", "t1", order.KindLoadModel),
	orderOperation("drain", "t0", order.KindDrain),
	platformOperation(),
	usageOperation(),
	callOperation(),
}

// stepFilter returns a function that reports whether a step of an instance
// belongs to the operation and the operation has not finished.
func (operation operation) stepFilter(simulator *simulator) func(instance *instance, step string) bool {
	return func(instance *instance, step string) bool {
		operationInstance := simulator.operationInstance.Load()
		if operationInstance != nil && operationInstance != instance {
			return false
		}
		if operation.finished(simulator, instance) {
			return false
		}
		for _, kind := range operation.stepKinds {
			if strings.Contains(step, kind) {
				return !instance.isKilled()
			}
		}
		return false
	}
}

func (operation operation) finished(simulator *simulator, instance *instance) bool {
	if operation.isFinished != nil {
		return operation.isFinished(instance)
	}
	return simulator.result.Load() != nil
}

// runOperation runs do in the background on the instance of the operation, and
// stores its result.
func (simulator *simulator) runOperation(do func(instance *instance) string) {
	operationInstance := simulator.operationInstance.Load()
	operationInstance.work.Go(func() {
		result := do(operationInstance)
		if operationInstance.isKilled() {
			result = noResponse
		}
		simulator.result.Store(&result)
	})
}

func (simulator *simulator) operationResult() string {
	if result := simulator.result.Load(); result != nil {
		return *result
	}
	return "no result yet"
}

func orderOutcome(result order.Result) string {
	if result.Err != nil {
		return code.FromError(result.Err).String()
	}
	return string(result.Outcome)
}

func publishOperation() operation {
	update := &note.Note{ParentNumber: 1, Comment: "second", Teams: note.Change[note.Team]{Set: []note.Team{{Name: "press", Weight: 2}}}}
	return operation{
		name: "publish", stepKinds: []string{"note/"},
		components: func(instance *instance) []component { return []component{instance.members, instance.feed} },
		prepare: func(simulator *simulator) func() string {
			simulator.components = func(*instance) []component { return nil }
			simulator.operationInstance.Store(simulator.startInstance())
			return func() string {
				result := simulator.operationResult()
				simulator.publishAsOperator(update)
				time.Sleep(maxNoteDelay)
				for _, instance := range simulator.alive()[:instanceCount-1] {
					if instance.feed.Number() != 2 {
						return result + "; not in effect on all instances"
					}
				}
				return result + "; republished: in effect on all instances"
			}
		},
		start: func(simulator *simulator) {
			simulator.runOperation(func(instance *instance) string {
				if _, err := feed.Publish(instance.ctx, &faultyStore{instance}, update); err != nil {
					return code.FromError(err).String()
				}
				return "accepted"
			})
		},
	}
}

func leaseOperation() operation {
	return operation{
		name: "lease change", polls: true, stepKinds: []string{"lease/"},
		isFinished: func(instance *instance) bool { _, held := instance.orderLease.Held(); return held },
		components: func(instance *instance) []component { return []component{instance.orderLease} },
		prepare: func(simulator *simulator) func() string {
			return func() string { return fmt.Sprintf("lease holders: %d", len(simulator.leaseHolders())) }
		},
		start: func(simulator *simulator) {
			holders := simulator.leaseHolders()
			for _, instance := range simulator.alive() {
				if instance == holders[0] {
					continue
				}
				if simulator.operationInstance.CompareAndSwap(nil, instance) {
					continue
				}
				instance.pause() // so that only one instance competes, until it holds the lease or has failed
				time.AfterFunc(faultDuration, instance.resumeWorkFirst)
			}
			holders[0].kill()
		},
	}
}

func leaseComponents(instance *instance) []component { return []component{instance.orderLease} }

func orderOperation(name, target string, kind order.Kind) operation {
	first := order.Order{Kind: kind, Model: "layout", Version: "v1"}
	next := order.Order{Kind: order.KindServe}
	if kind == order.KindLoadModel {
		next = order.Order{Kind: kind, Model: "layout", Version: "v2"}
	}
	return operation{
		name: name, stepKinds: []string{"order", "report"}, components: leaseComponents,
		prepare: func(simulator *simulator) func() string {
			holder := simulator.leaseHolders()[0]
			simulator.operationInstance.Store(holder)
			return func() string {
				result := simulator.operationResult()
				return result + "; next: " + simulator.issueNext(func(instance *instance) order.Result {
					return instance.issuer.Issue(instance.ctx, order.Request{Target: simulator.targets[target].target, Order: next})
				})
			}
		},
		start: func(simulator *simulator) {
			simulator.runOperation(func(instance *instance) string {
				return orderOutcome(instance.issuer.Issue(instance.ctx, order.Request{Target: simulator.targets[target].target, Order: first}))
			})
		},
	}
}

func (simulator *simulator) issueNext(do func(instance *instance) order.Result) string {
	holders := simulator.leaseHolders()
	if len(holders) != 1 {
		return fmt.Sprintf("lease holders: %d", len(holders))
	}
	return orderOutcome(do(holders[0]))
}

func platformOperation() operation {
	do := func(instance *instance) order.Result {
		return instance.issuer.IssuePlatform(instance.ctx, order.PlatformOrder{Kind: order.PlatformStart, Count: 1})
	}
	return operation{
		name: "order to the platform", stepKinds: []string{"order"}, components: leaseComponents,
		prepare: func(simulator *simulator) func() string {
			simulator.operationInstance.Store(simulator.leaseHolders()[0])
			return func() string {
				result := simulator.operationResult()
				return result + "; next: " + simulator.issueNext(do)
			}
		},
		start: func(simulator *simulator) {
			simulator.runOperation(func(instance *instance) string { return orderOutcome(do(instance)) })
		},
	}
}

func usageOperation() operation {
	return operation{
		name: "usage freeze and report", polls: true, stepKinds: []string{"usage/", "usage report"},
		isFinished: func(instance *instance) bool { return instance.windowReporter.Status().LastNumber >= 3 },
		components: func(instance *instance) []component {
			return []component{instance.usageLease, instance.meter, instance.windowReporter}
		},
		prepare: func(simulator *simulator) func() string {
			for _, instance := range simulator.alive() {
				if _, held := instance.usageLease.Held(); held {
					simulator.operationInstance.Store(instance)
				}
			}
			return func() string {
				simulator.checkUsage()
				return simulator.usageOutcome()
			}
		},
		start: func(simulator *simulator) {
			for _, instance := range simulator.alive() {
				instance.work.Go(func() { instance.recordUsage("press", 7) })
			}
		},
	}
}

func callOperation() operation {
	return operation{
		name: "at-most-once call", stepKinds: []string{"once", "call"},
		components: func(instance *instance) []component { return []component{instance.deduplicator} },
		prepare: func(simulator *simulator) func() string {
			simulator.operationInstance.Store(simulator.alive()[0])
			return func() string {
				result := simulator.operationResult()
				alive := simulator.alive()
				retry := alive[len(alive)-1].callOnce(1)
				return fmt.Sprintf("%s; retry on another instance: %s; runs: %d", result, retry, simulator.runCount("job-1"))
			}
		},
		start: func(simulator *simulator) {
			simulator.runOperation(func(instance *instance) string { return instance.callOnce(1) })
		},
	}
}
