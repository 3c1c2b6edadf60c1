// Package bench runs load experiments against a running system and
// discrete-event simulations of single policies. A Scenario lists variants,
// the system's own policies and simpler baselines. Run executes each variant
// once per seed, with the same arrivals for every variant, and returns the
// measures as a Result.
package bench

import (
	"context"
	"time"
)

// Scenario is an experiment that compares variants.
type Scenario struct {
	Name        string
	Description string
	Variants    []Variant
}

// Variant is one configuration compared in a scenario. It has either a
// workload, which needs a running system, or a simulation, which needs none.
type Variant struct {
	Name     string
	Baseline bool // a simpler alternative to the system's own policies
	Setup    Setup
	Workload Workload
	Faults   []Fault
	Simulate func(seed uint64) Sample
}

// Setup describes the system that a launcher starts for a variant. Zero
// values select the launcher's defaults, which include the system's own
// policies.
type Setup struct {
	EntryCount  int // number of entry instances
	EngineCount int
	CacheBlocks int // capacity of an engine's prefix cache, in prompt blocks
	Routing     Routing
	Admission   Admission
	Retries     Retries
}

// Routing names a policy that chooses targets. Empty selects the system's
// own.
type Routing string

// Baseline routing policies.
const (
	RoundRobin       Routing = "round-robin"
	Random           Routing = "random"
	LeastOutstanding Routing = "least-outstanding"
)

// Admission names a policy that orders requests across teams. Empty selects
// the system's own.
type Admission string

// Baseline admission policies.
const (
	FirstComeFirstServed Admission = "first-come"
	TokenBucket          Admission = "token-bucket"
)

// Retries names a policy that retries failed requests. Empty selects the
// system's own.
type Retries string

// Baseline retry policies.
const (
	UnboundedRetries Retries = "unbounded"
	NoRetries        Retries = "none"
)

// Fault is injected during a run and ends by itself after its duration.
type Fault struct {
	At          time.Duration // offset from the start of the load
	Kind        FaultKind
	TargetIndex int           // index of the engine or entry instance
	Duration    time.Duration // time until the fault ends; 0 means that it stays
}

// FaultKind names what fails.
type FaultKind string

// Kinds of faults. A stalled engine accepts connections, but the responses in
// progress send nothing more.
const (
	EngineCrash FaultKind = "engine-crash"
	EngineStall FaultKind = "engine-silent"
	EntryStop   FaultKind = "entry-stop"
	StoreOutage FaultKind = "store-outage"
)

// Endpoint holds the addresses and API keys of a running system. A demo
// prints it as JSON when it is ready.
type Endpoint struct {
	EntryURLs   []string          `json:"entries"` // base URLs of the entry instances
	APIKeys     map[string]string `json:"keys"`    // API keys by team
	MetricsURLs []string          `json:"metrics"` // URLs of the metrics pages

	// InjectFault injects a fault. It is nil where fault injection is not supported.
	InjectFault func(ctx context.Context, fault Fault) error `json:"-"`
}

// Launcher starts systems for experiments.
type Launcher interface {
	// Start starts a system for a variant and returns its endpoint and a function
	// that stops it.
	Start(ctx context.Context, variant Variant) (Endpoint, func(), error)
}

// Result holds the measures of all variants of a scenario.
type Result struct {
	Scenario string   `json:"scenario"`
	Seeds    []uint64 `json:"seeds"`
	Rows     []Row    `json:"rows"`
}

// Row holds the measures of one variant over all seeds.
type Row struct {
	Variant  string           `json:"variant"`
	Baseline bool             `json:"baseline"`
	Measures []MeasureSummary `json:"measures"`
	Timeline []Point          `json:"timeline,omitempty"` // mean over the seeds
}

// Sample holds the measures of one run of a variant.
type Sample struct {
	Measures []Measure
	Timeline []Point
}

// Measure is a named value of one run.
type Measure struct {
	Name  string
	Unit  string
	Value float64
}

// MeasureSummary summarizes a measure over several runs.
type MeasureSummary struct {
	Name string  `json:"name"`
	Unit string  `json:"unit"`
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// Point is the goodput of one interval of a run.
type Point struct {
	Seconds float64 `json:"seconds"` // start of the interval, from the start of the run
	Goodput float64 `json:"goodput"` // share of the interval's arrivals whose responses met the limits, 0 to 1
}
