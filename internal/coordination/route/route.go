// Package route picks a target for each request.
//
// A Table holds the targets with their health weights, loads and cached
// prefixes, and publishes immutable views. A Picker picks a target from a view
// without a lock, for example by expected cost, and the caller counts the
// request as in flight until it ends. All views of a table share the counters of
// in-flight work.
package route

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
)

// Priority orders the requests that wait at one target; higher ones run first.
type Priority int

// Priorities of requests. The zero value is PriorityNormal.
const (
	PriorityLow Priority = iota - 1
	PriorityNormal
	PriorityHigh
)

// Request holds the properties of a request that a picker needs.
type Request struct {
	Model           string    // model of an engine, empty for a service
	Service         string    // name of a plain service, empty for a model
	Role            note.Role // phase to run, empty or mixed for a whole request
	Team            string
	Route           string
	PromptTokens    int
	BlockHashes     []uint64 // hashes of the prompt's leading blocks, each including all blocks before it
	PredictedTokens float64  // expected tokens of the response
	Priority        Priority
	Repeatable      bool      // may run more than once, so spot targets are allowed
	Exclude         []string  // IDs of targets already tried
	DecisionTime    time.Time // time of the decision; the pickers of this package do not read it
}

// Choice is the target picked for a request and the work that the request adds
// there. Copies of a choice share its progress.
type Choice struct {
	Target       *note.Target
	Work         Work
	Priority     Priority
	CachedTokens int           // prompt tokens expected in the target's cache; only CostPicker sets it
	ExpectedTTFT time.Duration // expected delay until the first token
	state        *choiceState
}

// Picker picks a target for a request. It is safe for concurrent use.
type Picker interface {
	// Pick returns a target that may run the request, or an error with the code
	// NoTarget if there is none.
	Pick(view *View, request *Request) (Choice, error)
}

func (request *Request) poolKey() poolKey {
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

func (request *Request) work(cachedTokens int) Work {
	return Work{
		Requests:      1,
		PrefillTokens: int64(max(0, request.PromptTokens-cachedTokens)),
		DecodeTokens:  int64(request.PredictedTokens),
	}
}

func noTargetError(request *Request) error {
	return code.Errorf(code.NoTarget, "no target for model %q, service %q, role %q", request.Model, request.Service, request.Role)
}
