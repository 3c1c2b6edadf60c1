// Package loader orders the loads of weights from a rate-limited store.
//
// All decisions are pure: the targets, what they hold and what they load now
// go in, and the loads to start come out.
package loader

// Weights names one version of a model's or an adapter's weights.
type Weights struct {
	Name    string
	Version string
}

// Target is an engine, by what it holds and what it is to hold.
type Target struct {
	ID         string
	DataCenter string
	Wanted     []Want
	Loading    bool // a load is in progress: the target takes no work
	Serving    bool // takes work now
}

// Want is weights that a target is to hold.
type Want struct {
	Weights
	Bytes  int64
	Loaded bool
	// RemainingBytes is what a load in progress still has to fetch, and 0
	// where none is.
	RemainingBytes int64
}

// State is what is known of all targets and of the weight store.
type State struct {
	Targets []Target
	// StoreBytesPerSecond is the rate of the weight store, all loads together.
	StoreBytesPerSecond float64
	// TargetBytesPerSecond is the most that one target can take in; 0 for no
	// bound.
	TargetBytesPerSecond float64
	// Cached lists the weights that a data centre holds, so that a load there
	// takes nothing from the store.
	Cached map[string][]Weights
}

// Load is an order to one target.
type Load struct {
	Target  string
	Weights Weights
	Bytes   int64
}

// Policy decides which loads to start.
type Policy interface {
	// Decide returns the loads to start now, in their order.
	Decide(state State) []Load
}
