// Package fleet autoscales targets: it decides how many on-demand and spot targets
// run in each data centre.
//
// Policies do no I/O. They turn the state of the fleet into orders; the caller
// carries the orders out and passes the resulting state to the next call.
package fleet

import "time"

// Pool names a group of interchangeable targets: those of a model, or those of a
// plain service.
type Pool string

// Phase is the phase of a target's life between its order and its release.
type Phase int

// Phases of a target.
const (
	// Starting means that the target was ordered and accepts no requests yet.
	Starting Phase = iota
	// Serving means that the target accepts requests.
	Serving
	// Draining means that the target gets no new requests.
	Draining
	// Reclaiming means that the platform is reclaiming the target.
	Reclaiming
)

// Target is one target that is paid for.
type Target struct {
	ID       string
	Pool     Pool
	Spot     bool // spot price class: may be reclaimed with seconds of notice
	Phase    Phase
	InFlight int // requests in flight
}

func (target Target) isActive() bool { return target.Phase == Starting || target.Phase == Serving }

// Demand is the load of a pool in a data centre, in units of targets: 1 keeps one
// target fully busy.
type Demand struct {
	Pool         Pool
	Load         float64 // total load
	OnDemandLoad float64 // part of Load that would not survive a reclaim, so needs on-demand targets
}

// DataCenter is the state of one data centre. Its spot targets are assumed to be
// reclaimed together.
type DataCenter struct {
	Name              string
	Region            string   // data centres of a region share load; Name if empty
	MinTargets        int      // minimum of active targets
	MaxTargets        int      // maximum of paid targets, including those starting or draining; 0 for no limit
	AvailableOnDemand int      // further on-demand targets that the platform can supply
	AvailableSpot     int      // further spot targets that the platform can supply
	Targets           []Target // all paid targets, including those just ordered
	Demand            []Demand // one per pool; targets of other pools are drained
}

// State is a snapshot of the fleet.
type State struct {
	DataCenters []DataCenter
}

// Action is what an order asks for.
type Action int

// Actions of orders.
const (
	// Start asks the platform for a new target.
	Start Action = iota
	// Drain stops new requests to a target.
	Drain
	// Release returns a target to the platform.
	Release
)

// Order is one scaling order, to the platform or to a target.
type Order struct {
	Action     Action
	DataCenter string
	Pool       Pool
	Spot       bool   // price class of the target
	TargetID   string // ID of the target to drain or release, empty for Start
}

// Policy decides which targets to start, drain and release.
type Policy interface {
	// PlanOrders returns the orders to carry out now, in that sequence.
	PlanOrders(now time.Time, state State) []Order
}

// poolKey identifies a pool in a data centre.
type poolKey struct {
	dataCenter string
	pool       Pool
}
