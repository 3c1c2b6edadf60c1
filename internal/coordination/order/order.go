// Package order sends orders to targets and to the platform so that no two
// processes ever have conflicting ones under way.
//
// Each target has one row in the platform's table, and each data centre has
// one towards the platform. A row holds a ticket. An order leaves a process
// only after its ticket was opened in a transaction that checks the lease, and
// the ticket is closed by its writer after the outcome is known. So a process
// that was paused while it had no ticket open can do no harm, and one that was
// paused with a ticket open is found by its successor, which resolves the
// ticket before it sends anything of its own.
package order

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/note"
)

// Kind tells what an order asks of a target.
type Kind string

// Kinds of orders to targets.
const (
	KindLoadModel   Kind = "load-model"
	KindLoadAdapter Kind = "load-adapter"
	KindChangeRole  Kind = "change-role"
	KindDrain       Kind = "drain"
	// KindServe ends a drain: the target takes work again.
	KindServe Kind = "serve"
	KindStop  Kind = "stop"
	// KindFence changes nothing but the number below which the target refuses
	// orders.
	KindFence Kind = "fence"
)

// Order is one order to a target.
type Order struct {
	Number  uint64    `json:"number"` // fencing number, goes up with each order to the target; set by the issuer
	Kind    Kind      `json:"kind"`
	Model   string    `json:"model,omitempty"`   // for load-model
	Adapter string    `json:"adapter,omitempty"` // for load-adapter
	Version string    `json:"version,omitempty"` // for load-model and load-adapter
	Role    note.Role `json:"role,omitempty"`    // for change-role
}

// PlatformKind tells what an order asks of the platform.
type PlatformKind string

// Kinds of orders to the platform.
const (
	PlatformStart PlatformKind = "start"
	PlatformStop  PlatformKind = "stop"
)

// PlatformOrder is one order to the platform. The data centre and the number
// identify it.
type PlatformOrder struct {
	Number     uint64       `json:"number"` // goes up with each order in the data centre; set by the issuer
	DataCenter string       `json:"data-center"`
	Kind       PlatformKind `json:"kind"`
	Targets    []string     `json:"targets,omitempty"` // for stop: IDs
	Count      int          `json:"count,omitempty"`   // for start: how many
	Cheap      bool         `json:"cheap,omitempty"`   // for start: of those that may be reclaimed
	Pool       string       `json:"pool,omitempty"`    // for start: model or service
}

// Ack is a target's acknowledgement of an order.
type Ack struct {
	Number uint64 `json:"number"` // of the order
	// Boot is the Report.Boot that the target told on the connection that
	// carries the order, empty if it does not tell.
	Boot string `json:"boot,omitempty"`
}

// Phase is the state of a target's service.
type Phase string

// Phases of targets.
const (
	PhaseServing  Phase = "serving"
	PhaseDraining Phase = "draining" // takes no new work and still runs some
	PhaseDrained  Phase = "drained"  // takes no new work and runs none
	PhaseChanging Phase = "changing" // is carrying out an order
	PhaseStopped  Phase = "stopped"
)

// Report is the state of a target as it was some time ago.
type Report struct {
	Phase    Phase             `json:"phase"`
	Role     note.Role         `json:"role,omitempty"`
	Models   map[string]string `json:"models,omitempty"`   // loaded versions by model
	Adapters map[string]string `json:"adapters,omitempty"` // loaded versions by adapter
	Number   uint64            `json:"number,omitempty"`   // highest fencing number accepted, 0 if the target does not fence
	Boot     string            `json:"boot,omitempty"`     // differs after each start of the target, empty if it does not tell
	Age      time.Duration     `json:"age"`                // at most this much time has passed since the state was read
}

// Satisfies reports whether the state is what the order asks for.
func (report Report) Satisfies(order Order) bool {
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
		return report.Number >= order.Number
	default:
		return false
	}
}

// Request is an order to be issued to a target. The issuer sets its number.
type Request struct {
	Target note.Target
	Order  Order
}

// Result tells what became of a request.
type Result struct {
	Target  string
	Number  uint64  // of the order, 0 if no ticket was opened
	Outcome Outcome // empty if Err says why nothing is known or was done
	Err     error
}
