// Package route offers the choice of a target for each request.
//
// A Table keeps what is known of the targets and publishes immutable views. A
// Picker chooses a target from a view without taking a lock. The counters of
// work in flight are shared by all views of a table.
package route

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
)

// Priority orders requests that wait at one target.
type Priority int

// Priorities of requests. The zero value is PriorityNormal.
const (
	PriorityLow Priority = iota - 1
	PriorityNormal
	PriorityHigh
)

// Request describes what a picker has to know of a request.
type Request struct {
	Model        string    // model of an engine, empty for a service
	Service      string    // name of a plain service, empty for a model
	Role         note.Role // phase to run, empty or mixed for a whole request
	Team         string
	Route        string
	PromptTokens int
	Blocks       []uint64 // hashes of the prompt's leading blocks, each over all before it
	Predicted    float64  // expected tokens of the answer
	Priority     Priority
	Repeatable   bool      // may be run more than once, so cheap targets are allowed
	Exclude      []string  // IDs of targets already tried
	At           time.Time // time of the decision, now if zero
}

// Choice is the target picked for a request and the work that it adds there.
// Copies of a choice share its state.
type Choice struct {
	Target   *note.Target
	Work     Work
	Priority Priority
	Cached   int           // prompt tokens expected in the target's cache
	Delay    time.Duration // expected delay until the first token
	flight   *flight
}

// Picker chooses a target. Its methods may be called by several goroutines.
type Picker interface {
	// Pick returns a target that may take the request, or an error with the
	// code NoTarget.
	Pick(view *View, request *Request) (Choice, error)
}

func (request *Request) pool() poolKey {
	role := request.Role
	if role == "" {
		role = note.RoleMixed
	}
	if request.Service != "" {
		return poolKey{service: request.Service, repeatable: request.Repeatable}
	}
	return poolKey{model: request.Model, role: role, repeatable: request.Repeatable}
}

func (request *Request) excludes(id string) bool {
	for _, excluded := range request.Exclude {
		if excluded == id {
			return true
		}
	}
	return false
}

func (request *Request) work(cached int) Work {
	return Work{
		Requests:      1,
		PrefillTokens: int64(max(0, request.PromptTokens-cached)),
		DecodeTokens:  int64(request.Predicted),
	}
}

func noTarget(request *Request) error {
	return code.Errorf(code.NoTarget, "no target for model %q, service %q, role %q", request.Model, request.Service, request.Role)
}
