// Package engine offers the control messages that model engines and plain
// services exchange with the system beside the calls that they serve: load
// reports, cache events and orders.
package engine

import "mangopier.example/mangopier/internal/protocol/note"

// Paths of a target's control calls.
const (
	PathLoad   = "/control/load"
	PathCache  = "/control/cache-events"
	PathOrders = "/control/orders"
	PathCancel = "/control/cancel"
)

// Headers that accompany a call to a target.
const (
	HeaderAttempt  = "X-Attempt-Id" // identifies the attempt, echoed in the answer
	HeaderPriority = "X-Priority"   // higher runs first
	HeaderTeam     = "X-Team"       // team name, never the key
	HeaderCallID   = "X-Call-Id"    // caller's idempotency key under another name
	HeaderNotRun   = "X-Not-Run"    // set by a target that refused before running
	HeaderKVSource = "X-Kv-Source"  // engine and handle from which to import KV cache
	HeaderKVHandle = "X-Kv-Handle"  // handle of an exported KV cache
	HeaderPhase    = "X-Phase"      // prefill for a call that only fills the KV cache
)

// Load is a target's report of its own state.
type Load struct {
	Target        string        `json:"target"`
	AtUnixMS      int64         `json:"at-unix-ms"`     // when the report was made
	Sequence      uint64        `json:"sequence"`       // increases with each report
	Incarnation   string        `json:"incarnation"`    // changes when the target restarts
	Running       int           `json:"running"`        // requests in the batch
	Queued        int           `json:"queued"`         // requests that wait
	PrefillTokens int           `json:"prefill-tokens"` // prompt tokens still to process
	DecodeTokens  int           `json:"decode-tokens"`  // tokens expected to generate
	TotalPrefill  int64         `json:"total-prefill"`  // prompt tokens taken in since the start, less cached ones
	TotalDecode   int64         `json:"total-decode"`   // tokens asked for since the start
	Role          note.Role     `json:"role"`
	Models        []ModelLoaded `json:"models"`
	Adapters      []ModelLoaded `json:"adapters"`
	Fence         uint64        `json:"fence"`      // highest fencing number seen
	LastOrder     uint64        `json:"last-order"` // number of the last order that took effect
	Changing      bool          `json:"changing"`   // an order is being carried out
	Draining      bool          `json:"draining"`
}

// ModelLoaded is a model or adapter with the version that is loaded.
type ModelLoaded struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// CacheEvent tells that a prompt block entered or left a target's prefix
// cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"` // without gaps where none is lost
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// CacheEvents is the answer to a call for events; Next is where to go on.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// OrderKind tells what an order asks for.
type OrderKind string

// Kinds of orders.
const (
	OrderFence       OrderKind = "fence" // changes nothing but the fencing number
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderRole        OrderKind = "role"
	OrderDrain       OrderKind = "drain"
	OrderUndrain     OrderKind = "undrain"
	OrderStop        OrderKind = "stop"
)

// Order asks a target for a change.
type Order struct {
	Number  uint64    `json:"number"` // unique for the target
	Fence   uint64    `json:"fence"`  // fencing number
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Role    note.Role `json:"role,omitempty"`
}

// OrderReply answers an order.
type OrderReply struct {
	Accepted bool   `json:"accepted"`
	Fence    uint64 `json:"fence"`            // highest fencing number seen
	Reason   string `json:"reason,omitempty"` // of a refusal
	// Incarnation is that of Load, at the time of the reply.
	Incarnation string `json:"incarnation,omitempty"`
}
