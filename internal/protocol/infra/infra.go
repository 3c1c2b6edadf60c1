// Package infra offers the messages of the platform's interfaces: the table,
// the object store, the list of instances, the ordering of targets and the
// usage reports.
package infra

import (
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/state/table"
)

// Paths of the platform's interfaces.
const (
	PathRow       = "/table/row"    // GET ?key=
	PathRows      = "/table/rows"   // GET ?prefix=&after=&limit=
	PathCommit    = "/table/commit" // POST CommitRequest
	PathObjects   = "/objects/"     // GET and PUT, the key follows
	PathInstances = "/instances"    // GET InstanceList
	PathTargets   = "/targets"      // GET TargetList
	PathOrders    = "/targets/orders"
	PathUsage     = "/usage/reports"
)

// CommitRequest asks for one transaction of the table.
type CommitRequest struct {
	Writes []table.Write `json:"writes"`
}

// RowList is the answer to a call for rows.
type RowList struct {
	Rows []table.Row `json:"rows"`
}

// Failure is the body of every answer that is not a success.
type Failure struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Life is the state of an instance or a target in the platform's lists.
type Life string

// States of instances and targets.
const (
	Live    Life = "live"
	Leaving Life = "leaving"
	Ended   Life = "ended"
)

// Instance is an entry instance of the system.
type Instance struct {
	ID         string `json:"id"`
	DataCenter string `json:"data-center"`
	Peer       string `json:"peer"` // IP:port for other instances
	Life       Life   `json:"life"`
}

// InstanceList is the platform's list of instances, which lags.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Target is a target with its state in the platform's list.
type Target struct {
	note.Target
	Life      Life  `json:"life"`
	Ordered   bool  `json:"ordered,omitempty"`            // started by an order, not listed in a release note
	NoticeEnd int64 `json:"notice-end-unix-ms,omitempty"` // when a reclaimed target goes away
}

// TargetList is the platform's list of targets, which lags.
type TargetList struct {
	Targets []Target `json:"targets"`
}

// TargetOrder asks the platform to start or stop targets of a data center.
// Orders are idempotent by their number.
type TargetOrder struct {
	Number     uint64   `json:"number"` // unique for the data center
	DataCenter string   `json:"data-center"`
	Stop       []string `json:"stop,omitempty"`  // IDs of targets
	Start      int      `json:"start,omitempty"` // how many
	Cheap      bool     `json:"cheap,omitempty"` // of those that may be reclaimed
	Pool       string   `json:"pool,omitempty"`  // model or service of those started
}

// TargetOrderReply answers an order.
type TargetOrderReply struct {
	Accepted bool     `json:"accepted"`
	Started  []string `json:"started,omitempty"` // IDs of targets
	Reason   string   `json:"reason,omitempty"`
}

// UsageReport is a report as the platform's usage interface takes it. Reports
// are idempotent by their number; another body under a known number is
// refused.
type UsageReport struct {
	Number string `json:"number"`
	Body   []byte `json:"body"`
}
