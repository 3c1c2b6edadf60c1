// Package order sends orders to targets and to the platform so that no two
// processes ever have conflicting orders in flight.
//
// Each target has one row in the platform's table, and each data centre has one
// more for its orders to the platform. A row holds a ticket. A process sends an
// order only after it has opened the ticket in a transaction that checks the
// lease, and closes the ticket once the outcome is known. A process that was
// paused without an open ticket therefore sends nothing after it resumes. If it
// was paused with an open ticket, the next lease holder finds that ticket and
// resolves it before sending orders of its own.
package order

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/note"
)

// Kind is the action that an order asks of a target.
type Kind string

// Kinds of orders to targets.
const (
	KindLoadModel   Kind = "load-model"
	KindLoadAdapter Kind = "load-adapter"
	KindChangeRole  Kind = "change-role"
	KindDrain       Kind = "drain"
	// KindServe ends a drain: the target accepts new work again.
	KindServe Kind = "serve"
	KindStop  Kind = "stop"
	// KindFence has no effect except that the target refuses orders with lower
	// numbers from then on.
	KindFence Kind = "fence"
)

// Order is one order to a target.
type Order struct {
	Number  uint64    `json:"number"` // fencing token, increases with each order to the target; set by the issuer
	Kind    Kind      `json:"kind"`
	Model   string    `json:"model,omitempty"`   // for load-model
	Adapter string    `json:"adapter,omitempty"` // for load-adapter
	Version string    `json:"version,omitempty"` // for load-model and load-adapter
	Role    note.Role `json:"role,omitempty"`    // for change-role
}

// PlatformKind is the action that an order asks of the platform.
type PlatformKind string

// Kinds of orders to the platform.
const (
	PlatformStart PlatformKind = "start"
	PlatformStop  PlatformKind = "stop"
)

// PlatformOrder is one order to the platform. The data centre and the number
// identify it.
type PlatformOrder struct {
	Number     uint64       `json:"number"` // increases with each order of the data centre; set by the issuer
	DataCenter string       `json:"data-center"`
	Kind       PlatformKind `json:"kind"`
	TargetIDs  []string     `json:"targets,omitempty"` // for stop: IDs of the targets
	Count      int          `json:"count,omitempty"`   // for start: number of targets
	Spot       bool         `json:"cheap,omitempty"`   // for start: spot capacity, which the platform may reclaim
	Pool       string       `json:"pool,omitempty"`    // for start: name of the model or service
}

// Ack is a target's acknowledgement of an order.
type Ack struct {
	Number uint64 `json:"number"` // of the order
	// BootID is the boot ID that the target sent on the connection of the order,
	// comparable to TargetReport.BootID. It is empty if the target sends none.
	BootID string `json:"boot,omitempty"`
}

// Phase is the state of a target's service.
type Phase string

// Phases of targets.
const (
	PhaseServing  Phase = "serving"
	PhaseDraining Phase = "draining" // accepts no new work and still has some running
	PhaseDrained  Phase = "drained"  // accepts no new work and has none running
	PhaseChanging Phase = "changing" // is executing an order
	PhaseStopped  Phase = "stopped"
)

// TargetReport is the state of a target, which may be outdated by up to Age.
type TargetReport struct {
	Phase          Phase             `json:"phase"`
	Role           note.Role         `json:"role,omitempty"`
	Models         map[string]string `json:"models,omitempty"`   // loaded versions by model
	Adapters       map[string]string `json:"adapters,omitempty"` // loaded versions by adapter
	AcceptedNumber uint64            `json:"number,omitempty"`   // highest fencing token accepted, 0 without fencing
	BootID         string            `json:"boot,omitempty"`     // changes with each start of the target, empty if not sent
	Age            time.Duration     `json:"age"`                // upper bound of the time since the state was read
}

// Satisfies reports whether the target already is in the state that the order
// asks for. It returns false while the target executes an order.
func (report TargetReport) Satisfies(order Order) bool {
	if report.Phase == PhaseChanging {
		return false
	}
	switch order.Kind {
	case KindLoadModel:
		return report.Models[order.Model] == order.Version
	case KindLoadAdapter:
		return report.Adapters[order.Adapter] == order.Version
	case KindChangeRole:
		return report.Role == order.Role
	case KindDrain:
		return report.Phase == PhaseDraining || report.Phase == PhaseDrained
	case KindServe:
		return report.Phase == PhaseServing
	case KindStop:
		return report.Phase == PhaseStopped
	case KindFence:
		return report.AcceptedNumber >= order.Number
	default:
		return false
	}
}

// Request is an order to be issued to a target. The issuer sets Order.Number.
type Request struct {
	Target note.Target
	Order  Order
}

// Result is the result of a request.
type Result struct {
	TargetID string
	Number   uint64  // of the order, 0 if no ticket was opened
	Outcome  Outcome // empty if Err is set
	Err      error
}
