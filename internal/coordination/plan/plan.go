// Package plan decides the next orders to the targets of one data centre, from
// the release notes in force and the reported states of the targets. It keeps
// no state between calls, so any instance can continue where another stopped.
package plan

import (
	"slices"
	"strings"

	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/note"
)

// Lifecycle is the state of a target in the platform's list.
type Lifecycle string

// States of targets in the platform's list.
const (
	LifecycleLive    Lifecycle = "live"
	LifecycleLeaving Lifecycle = "leaving" // the platform ends it soon, whatever is ordered
	LifecycleEnded   Lifecycle = "ended"
)

// Input is what a plan is based on.
type Input struct {
	Catalog    *note.Catalog
	DataCenter string
	// Withdrawn are the targets that an earlier catalog listed, that Catalog
	// does not list, and that have not ended.
	Withdrawn []note.Target
	// Reports holds the last reported state by target ID. A target without a
	// report gets no orders and counts as not serving.
	Reports map[string]order.TargetReport
	// Lifecycles holds the state in the platform's list by target ID. A target
	// without an entry counts as live.
	Lifecycles map[string]Lifecycle
	// DesiredRoles holds the desired role by target ID. A target without an
	// entry keeps its role.
	DesiredRoles map[string]note.Role
	// Blocked holds the IDs of targets with an open or abandoned ticket. They
	// get no orders and count as not serving.
	Blocked map[string]bool
	// MaxUnavailable is the maximum number of targets that may be out of
	// service for changes at the same time. Values below 1 count as 1. Targets
	// with nothing loaded do not count towards it.
	MaxUnavailable int
}

// Reason is why a target that needs a change gets no order now.
type Reason string

// Reasons for a deferral.
const (
	ReasonNoReport        Reason = "no-report"        // the state of the target is not known
	ReasonBlocked         Reason = "blocked"          // the target has an open or abandoned ticket
	ReasonBusy            Reason = "busy"             // the target drains or carries out an order
	ReasonDrainLimit      Reason = "drain-limit"      // MaxUnavailable targets are out of service
	ReasonLastTarget      Reason = "last-target"      // no other target would serve what it serves
	ReasonAwaitingRemoval Reason = "platform-removes" // the target has stopped, the platform still lists it
)

// Deferral is a target that needs a change and gets no order now.
type Deferral struct {
	Target string // ID
	Reason Reason
}

// Plan is the result of Next.
type Plan struct {
	Orders   []order.Request // at most one for each target, safe to issue together
	Deferred []Deferral
}

// Next returns the orders to issue now. It leaves their numbers to the issuer.
//
// A target is drained before its role or the version of a model changes and
// before it is stopped. Adapters are loaded while it serves. No drain takes the
// last target that serves a request phase, prefill or decode, of a model that the
// catalog assigns to a target of the data centre, or the last target of such a
// service.
// Targets that the platform lists as leaving end anyway, so they are drained
// even if they are the last or MaxUnavailable is reached.
func Next(input Input) Plan {
	planner := newPlanner(input)
	for _, state := range planner.targets {
		planner.planOutOfService(state)
	}
	for _, state := range planner.targets {
		planner.planServing(state)
	}
	return planner.plan
}

// targetState is a target of the data centre with what is known about it.
type targetState struct {
	target    note.Target
	report    order.TargetReport
	hasReport bool
	withdrawn bool
	leaving   bool
	blocked   bool
}

func newPlanner(input Input) *planner {
	planner := &planner{input: input, targets: targetStates(input), servingCounts: map[string]int{}, required: map[string]bool{}}
	for _, state := range planner.targets {
		planner.count(state)
	}
	return planner
}

// targetStates returns the targets of the catalog and the withdrawn ones,
// without those that have ended, sorted by ID.
func targetStates(input Input) []targetState {
	var states []targetState
	add := func(target note.Target, withdrawn bool) {
		lifecycle := input.Lifecycles[target.ID]
		if target.DataCenter != input.DataCenter || lifecycle == LifecycleEnded {
			return
		}
		report, hasReport := input.Reports[target.ID]
		states = append(states, targetState{
			target: target, report: report, hasReport: hasReport, withdrawn: withdrawn,
			leaving: lifecycle == LifecycleLeaving, blocked: input.Blocked[target.ID],
		})
	}
	for _, target := range input.Catalog.Targets {
		add(target, false)
	}
	for _, target := range input.Withdrawn {
		if _, listed := input.Catalog.Targets[target.ID]; !listed {
			add(target, true)
		}
	}
	slices.SortFunc(states, func(a, b targetState) int { return strings.Compare(a.target.ID, b.target.ID) })
	return states
}

// isServing reports whether requests may be sent to the target.
func (state targetState) isServing() bool {
	return state.hasReport && !state.blocked && !state.leaving && state.report.Phase == order.PhaseServing
}

// isEmpty reports whether the target has nothing loaded, so that no request
// depends on it.
func (state targetState) isEmpty() bool {
	return len(capabilities(state.target, state.report)) == 0
}
