// Package plan decides the next orders to the targets of one data centre from
// the release notes in force and the reported states. It keeps nothing between
// calls, so any instance can go on where another stopped.
package plan

import (
	"slices"
	"strings"

	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/note"
)

// Life is the state of a target in the platform's list.
type Life string

// States of targets in the platform's list.
const (
	Live    Life = "live"
	Leaving Life = "leaving" // ends soon, whatever is ordered
	Ended   Life = "ended"
)

// Input is what a plan is made from.
type Input struct {
	Catalog    *note.Catalog
	DataCenter string
	// Withdrawn are targets that earlier catalogs had and that have not ended.
	Withdrawn []note.Target
	// Reports holds the last reported state by target. A target without one
	// gets no orders and counts as not serving.
	Reports map[string]order.Report
	// Lives holds the state in the platform's list by target, live if absent.
	Lives map[string]Life
	// Roles holds the wanted role by target. Absent targets keep their role.
	Roles map[string]note.Role
	// Blocked are the targets with an open or abandoned ticket. They get no
	// orders and count as not serving.
	Blocked map[string]bool
	// MaxDraining is how many targets may be out of service at a time for
	// changes; at least 1. Targets with nothing loaded do not count.
	MaxDraining int
}

// Reason tells why a target that needs a change gets no order now.
type Reason string

// Reasons to wait.
const (
	ReasonNoReport   Reason = "no-report"        // its state is not known
	ReasonBlocked    Reason = "blocked"          // its ticket is open or abandoned
	ReasonBusy       Reason = "busy"             // it drains or carries out an order
	ReasonLimit      Reason = "drain-limit"      // enough others are out of service
	ReasonLastTarget Reason = "last-target"      // nobody else would serve what it serves
	ReasonHandedOver Reason = "platform-removes" // it has stopped and still has to leave the list
)

// Waiting is a target that needs a change and gets no order now.
type Waiting struct {
	Target string
	Reason Reason
}

// Plan is what to do next.
type Plan struct {
	Requests []order.Request // at most one for each target, safe to issue together
	Waiting  []Waiting
}

// Next returns the orders to issue now. The order numbers are left to the
// issuer.
//
// A target is drained before its role or the version of a model is changed and
// before it is stopped; adapters are loaded while it serves. No drain takes the
// last serving target of something that a target of the data centre is to
// serve, in either phase of requests. Targets that the platform lists as
// leaving are drained without regard to that and to the limit, as they end
// anyway.
func Next(input Input) Plan {
	planner := newPlanner(input)
	for _, member := range planner.members {
		planner.finish(member)
	}
	for _, member := range planner.members {
		planner.begin(member)
	}
	return planner.plan
}

// member is a target of the data centre with what is known of it.
type member struct {
	target    note.Target
	report    order.Report
	known     bool // there is a report
	withdrawn bool
	leaving   bool
	blocked   bool
}

func newPlanner(input Input) *planner {
	planner := &planner{input: input, members: members(input), serving: map[string]int{}, wanted: map[string]bool{}}
	for _, member := range planner.members {
		planner.count(member)
	}
	return planner
}

// members returns the targets that have not ended, those of the catalog and
// those withdrawn, in the order of their IDs.
func members(input Input) []member {
	var found []member
	add := func(target note.Target, withdrawn bool) {
		life := input.Lives[target.ID]
		if target.DataCenter != input.DataCenter || life == Ended {
			return
		}
		report, known := input.Reports[target.ID]
		found = append(found, member{
			target: target, report: report, known: known, withdrawn: withdrawn,
			leaving: life == Leaving, blocked: input.Blocked[target.ID],
		})
	}
	for _, target := range input.Catalog.Targets {
		add(target, false)
	}
	for _, target := range input.Withdrawn {
		if _, back := input.Catalog.Targets[target.ID]; !back {
			add(target, true)
		}
	}
	slices.SortFunc(found, func(a, b member) int { return strings.Compare(a.target.ID, b.target.ID) })
	return found
}

// serves reports whether requests may be sent to the target.
func (member member) serves() bool {
	return member.known && !member.blocked && !member.leaving && member.report.Phase == order.PhaseServing
}

// empty reports whether the target has nothing loaded, so that its being out of
// service takes nothing from requests.
func (member member) empty() bool {
	return len(services(member.target, member.report)) == 0
}
