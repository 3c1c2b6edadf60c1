// Package infra defines the messages of the platform's API: the table, the object
// store, the lists of instances and targets, orders for targets, and usage
// reports.
package infra

import (
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/state/table"
)

// Paths of the platform's API.
const (
	PathRow       = "/table/row"      // GET ?key=
	PathRows      = "/table/rows"     // GET ?prefix=&after=&limit=
	PathCommit    = "/table/commit"   // POST CommitRequest
	PathObjects   = "/objects/"       // GET and PUT, followed by the key
	PathInstances = "/instances"      // GET InstanceList
	PathTargets   = "/targets"        // GET TargetList
	PathOrders    = "/targets/orders" // POST TargetOrder
	PathUsage     = "/usage/reports"  // POST UsageReport
)

// CommitRequest is one transaction on the table.
type CommitRequest struct {
	Writes []table.Write `json:"writes"`
}

// RowList is the response to a request for rows.
type RowList struct {
	Rows []table.Row `json:"rows"`
}

// ErrorResponse is the body of every response with an error status.
type ErrorResponse struct {
	Code    int    `json:"code"` // number of a code.Code
	Message string `json:"message"`
}

// Lifecycle is the lifecycle state of an instance or a target in the platform's
// lists.
type Lifecycle string

// Lifecycle states of instances and targets.
const (
	LifecycleLive    Lifecycle = "live"
	LifecycleLeaving Lifecycle = "leaving" // the platform ends it soon
	LifecycleEnded   Lifecycle = "ended"
)

// Instance is an entry instance in the platform's list.
type Instance struct {
	ID          string    `json:"id"`
	DataCenter  string    `json:"data-center"`
	PeerAddress string    `json:"peer"` // IP:port that serves other instances
	Lifecycle   Lifecycle `json:"life"`
}

// InstanceList is the platform's list of instances. It may be out of date.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Target is a target in the platform's list.
type Target struct {
	note.Target
	Lifecycle      Lifecycle `json:"life"`
	StartedByOrder bool      `json:"ordered,omitempty"`            // started by an order, not listed in a release note
	ReclaimUnixMS  int64     `json:"notice-end-unix-ms,omitempty"` // when a target that is being reclaimed ends
}

// TargetList is the platform's list of targets. It may be out of date.
type TargetList struct {
	Targets []Target `json:"targets"`
}

// TargetOrder asks the platform to start or stop targets in a data centre. The
// number is the idempotency key.
type TargetOrder struct {
	Number     uint64   `json:"number"` // unique per data centre
	DataCenter string   `json:"data-center"`
	StopIDs    []string `json:"stop,omitempty"`  // IDs of targets to stop
	StartCount int      `json:"start,omitempty"` // number of targets to start
	Spot       bool     `json:"cheap,omitempty"` // start spot targets, which may be reclaimed
	Pool       string   `json:"pool,omitempty"`  // model or service of the targets to start
}

// TargetOrderReply is the response to a TargetOrder.
type TargetOrderReply struct {
	Accepted   bool     `json:"accepted"`
	StartedIDs []string `json:"started,omitempty"` // IDs of the started targets
	Reason     string   `json:"reason,omitempty"`  // why targets were not started
}

// UsageReport is the request body of a usage report. The number is the idempotency
// key; the platform refuses another body under a known number.
type UsageReport struct {
	Number string `json:"number"`
	Body   []byte `json:"body"`
}
