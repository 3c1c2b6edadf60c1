// Package note offers release notes and the catalog that they add up to.
//
// A release note states changes against the catalog that the note before it
// left. Applying notes in the order of their numbers gives every instance the
// same catalog.
package note

// Note is one release note as an operator writes it.
type Note struct {
	After       uint64             `json:"after"`                 // number of the note that this one follows
	Comment     string             `json:"comment,omitempty"`     // free text for operators
	DataCenters Change[DataCenter] `json:"data-centers,omitzero"` // by name
	Models      Change[Model]      `json:"models,omitzero"`       // by name
	Adapters    Change[Adapter]    `json:"adapters,omitzero"`     // by name
	Teams       Change[Team]       `json:"teams,omitzero"`        // by name
	Keys        Change[Key]        `json:"keys,omitzero"`         // by digest
	Routes      Change[Route]      `json:"routes,omitzero"`       // by path
	Targets     Change[Target]     `json:"targets,omitzero"`      // by ID
}

// Change lists the items of one kind that a note adds or replaces, and the
// names of those that it withdraws.
type Change[T any] struct {
	Set      []T      `json:"set,omitempty"`
	Withdraw []string `json:"withdraw,omitempty"`
}

// DataCenter is a data centre with targets, entry instances, or both.
type DataCenter struct {
	Name       string `json:"name"`
	Region     string `json:"region,omitempty"`
	MaxTargets int    `json:"max-targets,omitempty"` // most targets that may be ordered there
	MinTargets int    `json:"min-targets,omitempty"` // fewest targets that stay there
}

// Model is a language model and the version that its targets are to serve.
type Model struct {
	Name        string   `json:"name"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters,omitempty"`
	WeightBytes int64    `json:"weight-bytes,omitempty"` // size in the weight store
}

// Adapter is a small set of weights on top of a model.
type Adapter struct {
	Name        string `json:"name"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	WeightBytes int64  `json:"weight-bytes,omitempty"`
}

// Team is a customer with a share of the fleet.
type Team struct {
	Name   string   `json:"name"`
	Weight int      `json:"weight,omitempty"` // share among teams, 1 if absent
	Models []string `json:"models,omitempty"` // models and routes allowed, all if empty
}

// Key gives a team access. The note carries only the digest of the key.
type Key struct {
	Digest string `json:"digest"` // "sha256:" and 64 hexadecimal digits
	Team   string `json:"team"`
}

// Route leads requests under a path to a plain service.
type Route struct {
	Path       string `json:"path"` // prefix, beginning with a slash
	Service    string `json:"service"`
	Repeatable bool   `json:"repeatable,omitempty"` // a call may be run more than once
	Open       bool   `json:"open,omitempty"`       // no key is needed
	TimeoutMS  int    `json:"timeout-ms,omitempty"` // 30000 if absent
}

// Kind tells what a target runs.
type Kind string

// Kinds of targets.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Role tells which phase of requests an engine takes.
type Role string

// Roles of engines.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Target is a model engine or a plain service.
type Target struct {
	ID         string   `json:"id"`
	Address    string   `json:"address"` // IP:port
	DataCenter string   `json:"data-center"`
	Kind       Kind     `json:"kind"`
	Service    string   `json:"service,omitempty"`     // name, for a service
	Models     []string `json:"models,omitempty"`      // models served, for an engine
	Role       Role     `json:"role,omitempty"`        // first role, for an engine
	Fences     bool     `json:"fences,omitempty"`      // refuses orders with an old fencing number
	Cheap      bool     `json:"cheap,omitempty"`       // may be reclaimed with seconds of notice
	PriceMilli int64    `json:"price-milli,omitempty"` // thousandths of a currency unit per hour
	PrefillTPS float64  `json:"prefill-tps,omitempty"` // prompt tokens per second
	DecodeTPS  float64  `json:"decode-tps,omitempty"`  // generated tokens per second over the whole batch
	Slots      int      `json:"slots,omitempty"`       // requests in one batch
}
