// Package bench offers load and experiments against a running system, and
// against models of single policies.
//
// A scenario lists variants, ours and the baselines. Each variant is run once
// per seed with the same arrivals; the result holds what was measured.
package bench

import (
	"context"
	"time"
)

// Scenario is an experiment.
type Scenario struct {
	Name        string
	Description string
	Variants    []Variant
}

// Variant is one side of an experiment. It has either a workload, for which a
// lab starts a system, or a model, which needs none.
type Variant struct {
	Name     string
	Baseline bool // a simpler alternative to compare with
	Setup    Setup
	Workload Workload
	Faults   []Fault
	Model    func(seed uint64) Sample
}

// Setup states what a lab starts for a variant. Zero values stand for the
// lab's defaults, which are the system's own policies.
type Setup struct {
	Entries   int // entry instances
	Engines   int
	Blocks    int // prompt blocks that an engine's prefix cache holds
	Routing   Routing
	Admission Admission
	Retries   Retries
}

// Routing is a policy that chooses targets, in place of the system's own.
type Routing string

// Baselines of routing.
const (
	RoundRobin       Routing = "round-robin"
	Random           Routing = "random"
	LeastOutstanding Routing = "least-outstanding"
)

// Admission is a policy that orders the requests of teams, in place of the
// system's own.
type Admission string

// Baselines of admission.
const (
	FirstComeFirstServed Admission = "first-come"
	TokenBucket          Admission = "token-bucket"
)

// Retries is a policy that repeats failed requests, in place of the system's
// own.
type Retries string

// Baselines of retries.
const (
	UnboundedRetries Retries = "unbounded"
	NoRetries        Retries = "none"
)

// Fault is a fault that a lab injects during a run, and ends by itself.
type Fault struct {
	At     time.Duration // from the start of the load
	Kind   FaultKind
	Target int           // index of the engine or entry instance
	For    time.Duration // after which it ends; 0 for never
}

// FaultKind tells what happens to a part of a system.
type FaultKind string

// Kinds of faults.
const (
	EngineCrash  FaultKind = "engine-crash"
	EngineSilent FaultKind = "engine-silent"
	EntryStop    FaultKind = "entry-stop"
	StoreOutage  FaultKind = "store-outage"
)

// Endpoint is where a running system takes requests. It is also the line that
// a demo prints when it is ready.
type Endpoint struct {
	Entries []string          `json:"entries"` // URLs
	Keys    map[string]string `json:"keys"`    // by team
	Metrics []string          `json:"metrics"` // URLs

	// Inject carries out a fault, and is nil where faults cannot be injected.
	Inject func(ctx context.Context, fault Fault) error `json:"-"`
}

// Lab starts systems for experiments.
type Lab interface {
	// Start returns the endpoint of a system for a variant, and a function
	// that stops it.
	Start(ctx context.Context, variant Variant) (Endpoint, func(), error)
}

// Result is what a scenario measured.
type Result struct {
	Scenario string   `json:"scenario"`
	Seeds    []uint64 `json:"seeds"`
	Rows     []Row    `json:"rows"`
}

// Row is what one variant measured over all seeds.
type Row struct {
	Variant  string          `json:"variant"`
	Baseline bool            `json:"baseline"`
	Measures []MeasureSpread `json:"measures"`
	Timeline []Point         `json:"timeline,omitempty"` // mean over seeds
}

// Sample is what one run of a variant measured.
type Sample struct {
	Measures []Measure
	Timeline []Point
}

// Measure is one figure of a run.
type Measure struct {
	Name  string
	Unit  string
	Value float64
}

// MeasureSpread is one figure over several runs.
type MeasureSpread struct {
	Name string  `json:"name"`
	Unit string  `json:"unit"`
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// Point is the goodput of a time within a run.
type Point struct {
	Seconds float64 `json:"seconds"` // from the start of the run
	Goodput float64 `json:"goodput"` // share of the requests that arrived then
}
