// Package roles decides when a model engine changes its role between prefill,
// decode and mixed.
//
// All decisions are pure: demand and engine states in, at most one change out.
// The caller carries the change out and reports the engine as changing until
// it serves again.
package roles

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/note"
)

// Demand is what arrived for a model in a data centre during one window.
type Demand struct {
	Model      string
	DataCenter string
	PrefillTPS float64 // prompt tokens per second, less those of cached prefixes
	DecodeTPS  float64 // generated tokens per second that the arrivals ask for
}

// EngineState is an engine as its last report and the open orders show it.
type EngineState struct {
	ID         string
	Model      string
	DataCenter string
	Role       note.Role
	Unready    bool    // draining, loading, changing or lost: takes no work
	Changing   bool    // a role change is in progress
	InFlight   int     // requests that the engine holds
	PrefillTPS float64 // prompt tokens per second while it does nothing else
	DecodeTPS  float64 // generated tokens per second of a full batch
}

// Change is an order to one engine.
type Change struct {
	Engine     string
	Model      string
	DataCenter string
	From       note.Role
	To         note.Role
	Gain       float64 // answers won less answers lost, as a share of a second's answers
}

// Policy decides role changes from observed demand.
type Policy interface {
	// Observe takes in the demand of the window that ended now.
	Observe(now time.Time, demand Demand)
	// Decide returns the next change, and false for none. No change is
	// returned for a model and data centre that has an engine under a change.
	Decide(now time.Time, engines []EngineState) (Change, bool)
}

// group names the engines among which work can move.
type group struct {
	model      string
	dataCenter string
}

func groupOf(engine EngineState) group {
	return group{model: engine.Model, dataCenter: engine.DataCenter}
}
