// Package note defines release notes and the catalog that results from them.
//
// A release note is a numbered change to the catalog of models, adapters,
// teams, API keys, routes, targets and data centres. Applying notes in the order
// of their numbers gives every instance the same catalog.
package note

// Note is a release note as an operator writes it.
type Note struct {
	ParentNumber uint64             `json:"after"`                 // number of the previous note, 0 for the first
	Comment      string             `json:"comment,omitempty"`     // free text for operators
	DataCenters  Change[DataCenter] `json:"data-centers,omitzero"` // by name
	Models       Change[Model]      `json:"models,omitzero"`       // by name
	Adapters     Change[Adapter]    `json:"adapters,omitzero"`     // by name
	Teams        Change[Team]       `json:"teams,omitzero"`        // by name
	Keys         Change[Key]        `json:"keys,omitzero"`         // by digest
	Routes       Change[Route]      `json:"routes,omitzero"`       // by path
	Targets      Change[Target]     `json:"targets,omitzero"`      // by ID
}

// Change lists the items of one kind that a note adds or replaces, and the
// names of those that it removes.
type Change[T any] struct {
	Set      []T      `json:"set,omitempty"`
	Withdraw []string `json:"withdraw,omitempty"`
}

// DataCenter is a data centre that holds targets, entry instances, or both.
type DataCenter struct {
	Name       string `json:"name"`
	Region     string `json:"region,omitempty"`
	MaxTargets int    `json:"max-targets,omitempty"` // maximum number of targets ordered there
	MinTargets int    `json:"min-targets,omitempty"` // minimum number of targets kept there
}

// Model is a language model and the version that its targets should serve.
type Model struct {
	Name        string   `json:"name"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters,omitempty"`
	WeightBytes int64    `json:"weight-bytes,omitempty"` // size of the weights in the weight store
}

// Adapter is a small set of weights that is loaded on top of a model.
type Adapter struct {
	Name        string `json:"name"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	WeightBytes int64  `json:"weight-bytes,omitempty"`
}

// Team is a customer with a share of the fleet.
type Team struct {
	Name   string   `json:"name"`
	Weight int      `json:"weight,omitempty"` // relative share, 1 if absent
	Models []string `json:"models,omitempty"` // allowed models and routes, all if empty
}

// Key is an API key of a team. Notes contain only its digest.
type Key struct {
	Digest string `json:"digest"` // "sha256:" and 64 hexadecimal digits
	Team   string `json:"team"`
}

// Route forwards requests under a path prefix to a plain service.
type Route struct {
	Path       string `json:"path"` // path prefix, begins with a slash
	Service    string `json:"service"`
	Repeatable bool   `json:"repeatable,omitempty"` // requests may be executed more than once
	Public     bool   `json:"open,omitempty"`       // requests need no API key
	TimeoutMS  int    `json:"timeout-ms,omitempty"` // 30000 if absent
}

// TargetKind is the type of a target.
type TargetKind string

// Kinds of targets.
const (
	KindEngine  TargetKind = "engine"
	KindService TargetKind = "service"
)

// Role is the phase of requests that an engine handles.
type Role string

// Roles of engines.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Target is a model engine or a plain service.
type Target struct {
	ID                 string     `json:"id"`
	Address            string     `json:"address"` // IP:port
	DataCenter         string     `json:"data-center"`
	Kind               TargetKind `json:"kind"`
	Service            string     `json:"service,omitempty"`     // name, for a service
	Models             []string   `json:"models,omitempty"`      // names of the models served, for an engine
	Role               Role       `json:"role,omitempty"`        // initial role, for an engine
	ChecksFencingToken bool       `json:"fences,omitempty"`      // rejects orders with an outdated fencing token
	Spot               bool       `json:"cheap,omitempty"`       // spot capacity: may be reclaimed at a few seconds' notice
	HourlyPriceMilli   int64      `json:"price-milli,omitempty"` // thousandths of a currency unit per hour
	PrefillTPS         float64    `json:"prefill-tps,omitempty"` // prefill rate in prompt tokens per second
	DecodeTPS          float64    `json:"decode-tps,omitempty"`  // decode rate of the whole batch in tokens per second
	Slots              int        `json:"slots,omitempty"`       // maximum number of requests in a batch
}
