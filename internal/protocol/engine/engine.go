// Package engine defines the control protocol between the system and its targets,
// which are model engines and plain services: paths, headers, load reports, prefix
// cache events and orders.
package engine

import "mangopier.example/mangopier/internal/protocol/note"

// Paths of a target's control API.
const (
	PathLoad        = "/control/load"
	PathCacheEvents = "/control/cache-events"
	PathOrders      = "/control/orders"
	PathCancel      = "/control/cancel"
)

// Headers of a call to a target and of its response.
const (
	HeaderAttemptID = "X-Attempt-Id" // ID of the attempt, echoed in the response
	HeaderPriority  = "X-Priority"   // integer, higher runs first
	HeaderTeam      = "X-Team"       // name of the caller's team, never its API key
	HeaderCallID    = "X-Call-Id"    // ID that replaces the caller's idempotency key
	HeaderNotRun    = "X-Not-Run"    // set by a target that refused the request before running it
	HeaderKVSource  = "X-Kv-Source"  // engine and handle from which to import KV cache
	HeaderKVHandle  = "X-Kv-Handle"  // handle of an exported KV cache
	HeaderPhase     = "X-Phase"      // prefill for a call that only fills the KV cache
)

// LoadReport is a target's report of its own load and state.
type LoadReport struct {
	Target             string        `json:"target"`
	MeasuredAtUnixMS   int64         `json:"at-unix-ms"`     // when the target made the report
	Sequence           uint64        `json:"sequence"`       // increases with each report
	Incarnation        string        `json:"incarnation"`    // changes when the target restarts
	RunningRequests    int           `json:"running"`        // requests in the current batch
	QueuedRequests     int           `json:"queued"`         // requests waiting for the batch
	PrefillTokens      int           `json:"prefill-tokens"` // prompt tokens still to prefill
	DecodeTokens       int           `json:"decode-tokens"`  // tokens still expected to be generated
	TotalPrefillTokens int64         `json:"total-prefill"`  // prompt tokens accepted since the start, without cached ones
	TotalDecodeTokens  int64         `json:"total-decode"`   // output tokens requested since the start
	Role               note.Role     `json:"role"`
	Models             []LoadedModel `json:"models"`
	Adapters           []LoadedModel `json:"adapters"`
	MaxFencingToken    uint64        `json:"fence"`      // highest fencing token seen
	LastOrderNumber    uint64        `json:"last-order"` // number of the last order that was carried out
	OrderInProgress    bool          `json:"changing"`   // an order is in progress
	Draining           bool          `json:"draining"`
}

// LoadedModel is a loaded model or adapter with its version.
type LoadedModel struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// CacheEvent reports that a prompt block was added to or evicted from a target's
// prefix cache.
type CacheEvent struct {
	Sequence  uint64 `json:"sequence"` // consecutive; a gap means that events were lost
	BlockHash uint64 `json:"block"`    // hash of the block, as in package chat
	Evicted   bool   `json:"evicted,omitempty"`
}

// CacheEvents is the response to a request for cache events.
type CacheEvents struct {
	Events       []CacheEvent `json:"events"`
	NextSequence uint64       `json:"next"` // sequence number from which to continue
}

// OrderKind is what an order asks for.
type OrderKind string

// Kinds of orders.
const (
	OrderAdvanceFence OrderKind = "fence" // only raises the target's fencing token
	OrderLoadModel    OrderKind = "load-model"
	OrderLoadAdapter  OrderKind = "load-adapter"
	OrderChangeRole   OrderKind = "role"
	OrderDrain        OrderKind = "drain"
	OrderUndrain      OrderKind = "undrain"
	OrderStop         OrderKind = "stop"
)

// Order asks a target for a change of its state.
type Order struct {
	Number       uint64    `json:"number"` // unique per target
	FencingToken uint64    `json:"fence"`  // fencing token of the sender
	Kind         OrderKind `json:"kind"`
	Model        string    `json:"model,omitempty"`
	Version      string    `json:"version,omitempty"`
	Role         note.Role `json:"role,omitempty"`
}

// OrderReply is the response to an order.
type OrderReply struct {
	Accepted        bool   `json:"accepted"`
	MaxFencingToken uint64 `json:"fence"`            // highest fencing token seen
	Reason          string `json:"reason,omitempty"` // why the order was refused
	// Incarnation is the value of the load report at the time of the reply.
	Incarnation string `json:"incarnation,omitempty"`
}
