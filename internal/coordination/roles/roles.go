// Package roles decides when a model engine changes its role between prefill,
// decode and mixed.
//
// A Policy performs no I/O and reads no clock: it gets demand and engine states
// and returns at most one change. The caller carries out the change and reports
// the engine as changing until it serves again.
package roles

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/note"
)

// Demand is the load that arrived for a model in a data centre during one window.
type Demand struct {
	Model      string
	DataCenter string
	PrefillTPS float64 // prompt tokens per second, without those of cached prefixes
	DecodeTPS  float64 // expected generated tokens per second of the requests that arrived
}

// EngineState is the state of an engine according to its last report and the open
// orders.
type EngineState struct {
	ID            string
	Model         string
	DataCenter    string
	Role          note.Role
	Unready       bool    // draining, loading, changing or lost: accepts no work
	ChangePending bool    // a role change is in progress
	InFlight      int     // requests at the engine
	PrefillTPS    float64 // prompt tokens per second while it runs prefill only
	DecodeTPS     float64 // generated tokens per second of a full batch
}

// Change is a role change of one engine.
type Change struct {
	EngineID    string
	Model       string
	DataCenter  string
	From        note.Role
	To          note.Role
	GainSeconds float64 // responses gained less responses lost, in seconds' worth of the group's responses
}

// Policy decides role changes based on observed demand.
type Policy interface {
	// ObserveDemand records the demand of the window that ended at now.
	ObserveDemand(now time.Time, demand Demand)
	// PlanChange returns the next change, or false if there is none. It returns no
	// change for a model and data centre in which an engine is changing.
	PlanChange(now time.Time, engines []EngineState) (Change, bool)
}

// groupKey identifies the engines among which work can move.
type groupKey struct {
	model      string
	dataCenter string
}

func groupKeyOf(engine EngineState) groupKey {
	return groupKey{model: engine.Model, dataCenter: engine.DataCenter}
}
