// Package fleet decides how many targets of which price class run in each
// data centre.
//
// All decisions are pure: the state of the fleet in, orders out. The caller
// sends the orders to the platform and shows their effect in the next state.
package fleet

import "time"

// Pool names targets that can take one another's work: those of a model, or
// those of a plain service.
type Pool string

// Phase tells how far a target is between its order and its release.
type Phase int

// Phases of a target.
const (
	// Starting is a target that was ordered and takes no work yet.
	Starting Phase = iota
	// Serving is a target that takes work.
	Serving
	// Draining is a target that gets no new work.
	Draining
	// Leaving is a target that the platform takes back by itself.
	Leaving
)

// Target is one paid target.
type Target struct {
	ID       string
	Pool     Pool
	Cheap    bool // may be reclaimed with seconds of notice
	Phase    Phase
	InFlight int // requests that the target holds
}

func (target Target) stays() bool { return target.Phase == Starting || target.Phase == Serving }

// Demand is the work that a pool has in a data centre, in targets: 1 keeps one
// target fully busy.
type Demand struct {
	Pool   Pool
	Load   float64 // all work
	Pinned float64 // the part that does not survive a reclaim
}

// DataCenter is what is known of one data centre. Its cheap targets are
// reclaimed together.
type DataCenter struct {
	Name       string
	Region     string   // data centres of a region take one another's work
	MinTargets int      // fewest targets that stay
	MaxTargets int      // most targets, those starting and draining included; 0 for no bound
	OnDemand   int      // on-demand targets that the platform can still supply
	Cheap      int      // cheap targets that the platform can still supply
	Targets    []Target // all that are paid for, those just ordered included
	Demand     []Demand // by pool; targets of other pools are drained
}

// State is the fleet at one time.
type State struct {
	DataCenters []DataCenter
}

// Action tells what an order asks for.
type Action int

// Actions of orders.
const (
	// Start asks the platform for a new target.
	Start Action = iota
	// Drain keeps new work from a target.
	Drain
	// Release gives a target back to the platform.
	Release
)

// Order is one order, to the platform or to a target.
type Order struct {
	Action     Action
	DataCenter string
	Pool       Pool
	Cheap      bool
	Target     string // the target to drain or release
}

// Policy decides orders from the state of the fleet.
type Policy interface {
	// Decide returns the orders to carry out now, in their order.
	Decide(now time.Time, state State) []Order
}

// key names a pool in a data centre.
type key struct {
	dataCenter string
	pool       Pool
}
