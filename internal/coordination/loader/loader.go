// Package loader schedules the loading of model and adapter weights from a
// rate-limited store onto targets. A Scheduler keeps models served while their
// targets load; two baseline policies are provided for comparison.
//
// Policies are pure functions: they take a State and return the loads to start.
package loader

// Weights identifies one version of the weights of a model or adapter.
type Weights struct {
	Name    string
	Version string
}

// Target is a model engine with the weights that it should hold.
type Target struct {
	ID         string
	DataCenter string
	Desired    []DesiredWeights
	Loading    bool // a load is in progress, during which the target takes no requests
	Serving    bool // the target takes requests
}

// DesiredWeights is an entry of the weights that a target should hold.
type DesiredWeights struct {
	Weights
	Bytes  int64
	Loaded bool
	// RemainingBytes is the number of bytes that a load in progress still has to
	// fetch, 0 if none is in progress.
	RemainingBytes int64
}

// State describes all targets and the weight store.
type State struct {
	Targets []Target
	// StoreBytesPerSecond is the rate of the weight store, shared by all loads.
	StoreBytesPerSecond float64
	// TargetBytesPerSecond is the maximum rate at which one target can load, 0
	// if unlimited.
	TargetBytesPerSecond float64
	// Cached lists, by data centre, the weights cached there. Loading them does
	// not use the store.
	Cached map[string][]Weights
}

// LoadOrder orders a target to load weights.
type LoadOrder struct {
	TargetID string
	Weights  Weights
	Bytes    int64
}

// Policy decides which loads to start.
type Policy interface {
	// PlanLoads returns the loads to start now, in order.
	PlanLoads(state State) []LoadOrder
}
