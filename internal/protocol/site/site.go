// Package site offers the types in which an entry instance knows the site that
// it runs on: its own settings, the manifest that the operator publishes, the
// targets that run and what they tell of themselves. Package platform fills
// them from what the platform sends.
package site

import (
	"slices"
	"strings"
	"time"
)

// Settings are what the platform tells one process about itself and its site.
type Settings struct {
	Instance     string // name of this instance
	Address      string // own IP
	DataCenter   string
	FirstStart   bool   // the whole site starts for the first time
	FrontAddress string // IP:port towards callers
	ReadyAddress string // IP:port of the balancer's check
	PeerPort     int    // port towards the other instances, the same on all
	MetricsPort  int    // port of the metrics
	StoreAddress string // IP:port of the platform's store
	DutyAddress  string // IP:port that takes usage reports and capacity orders
	Memory       int64  // bytes that the process may use
	Bounds       Bounds // times within which the rules hold
	Duties       Duties // which duties there are
}

// Bounds are the times and shares that the site's rules name.
type Bounds struct {
	Drain          time.Duration // after which a leaving target gets no request
	Grace          time.Duration // between SIGTERM and SIGKILL
	ConfigApply    time.Duration // after which a manifest is in force everywhere
	Lease          time.Duration // within which holders of a duty must not alternate
	UsageWindow    time.Duration // length of a usage window
	UsageLate      time.Duration // after its end, when a window's report is due
	RetryRatio     float64       // extra calls to a service per request for it
	RetryWindow    time.Duration // over which extra calls are counted
	RetrySlack     float64       // extra calls allowed beside the ratio, per window
	MostRetryAfter time.Duration // longest advice to come back that callers honor
}

// Duties states which duties the platform asks for.
type Duties struct {
	Usage    bool
	Capacity bool
}

// Manifest is one version of what the operator publishes.
type Manifest struct {
	Version  int64
	Routes   []Route // of one host, longest prefix first
	Services map[string]Service
	Teams    map[string]Team // by key
	Limits   Limits
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Team is the team that a key belongs to.
type Team struct {
	Name     string
	Priority int // 0 is the most urgent, -1 if the route decides
}

// Kind tells how often a request may run.
type Kind int

// Kinds of routes.
const (
	Unsafe Kind = iota // at most once
	Safe               // any number of times
	Stream             // events; at most once unless the route is resumable
)

// String returns the name of the kind for logs and metrics.
func (kind Kind) String() string {
	switch kind {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Route is one path prefix of a host.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	Timeout   time.Duration // longest time that a caller is kept waiting
	Objective time.Duration // within which an answer, or its first event, is on time
	Pause     time.Duration // longest pause between events that is on time
	Priority  int           // 0 is the most urgent
	Attempts  int           // targets that one request may run on
	Public    bool          // needs no key
	Prompts   bool          // requests carry a prompt for a model engine
	Resumable bool          // a stream may go on at another target
	Shares    []Share       // services, with their weights
}

// Share is the weight of a service within a route.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of equal targets.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // to one target, from all callers together
	Engine         *Engine // nil for a plain service
	Scaling        *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots      int // requests that one engine runs at once
	Memory     int // tokens that one engine keeps
	TokenBytes float64
	LinkMbps   float64
	Stride     int           // tokens per event
	HandleTTL  time.Duration // how long an engine keeps a prompt that was not fetched
	Switch     time.Duration // how long a change of stage takes
	Backups    bool
	Moves      bool
}

// Scaling bounds the targets that may be ordered per data centre.
type Scaling struct {
	Min        int
	Max        int
	Boot       time.Duration
	CheapPrice float64            // share of the normal price, 0 if there are none
	Prices     map[string]float64 // price of a target by data centre
}

// Match returns the route of a host and path.
func (manifest *Manifest) Match(host, path string) (*Route, bool) {
	for i := range manifest.Routes {
		route := &manifest.Routes[i]
		if route.Host == host && strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Sort orders the routes by the length of their prefixes, longest first, as
// Match expects them.
func (manifest *Manifest) Sort() {
	slices.SortStableFunc(manifest.Routes, func(a, b Route) int {
		return len(b.Prefix) - len(a.Prefix)
	})
}

// Stage is the part of a request that a model engine works on.
type Stage int

// Stages of engines.
const (
	NoStage Stage = iota // plain service
	Prefill
	Decode
)

// String returns the name of the stage for logs.
func (stage Stage) String() string {
	switch stage {
	case Prefill:
		return "prefill"
	case Decode:
		return "decode"
	default:
		return "none"
	}
}

// Target is one running target as the platform lists it.
type Target struct {
	ID         string
	Service    string
	Address    string // IP:port
	DataCenter string
	Slots      int
	Leaving    bool // takes no new work
	Cheap      bool // may be taken away at short notice
	Stage      Stage
	Started    time.Time // zero if the target does not tell
}

// Load is what a target tells of its requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Prompt describes the prompt of a request to a model engine.
type Prompt struct {
	Model     string
	Tokens    int // prompt
	MaxOutput int
	Parts     []Part // in order; the last belongs to the request or its session
}

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Shared returns the tokens of all parts but the last.
func (prompt *Prompt) Shared() int {
	tokens := 0
	for i := 0; i+1 < len(prompt.Parts); i++ {
		tokens += prompt.Parts[i].Tokens
	}
	return tokens
}

// Request is one caller's request.
type Request struct {
	ID          string // of the caller's attempt
	Host        string
	Method      string
	Path        string // without the query
	URI         string // path and query as received
	Header      map[string][]string
	Body        []byte
	Key         string        // empty if none came
	Wait        time.Duration // how long the caller waits, 0 if it does not say
	Prompt      *Prompt       // nil without one
	ResumeAfter string        // id of the last event that the caller has
}

// Call is what an instance adds to a request that it sends to a target.
type Call struct {
	Target      Target
	Remaining   time.Duration // until the caller's deadline
	Team        string
	Urgency     int // 0 to 9, 0 first
	PrefillOnly bool
	Source      *Handle // prompt to fetch, nil for none
	FetchFrom   string  // IP:port of an engine that keeps parts of the prompt, empty for none
	ResumeAfter string
}

// Handle names a prompt that an engine has read and keeps for a fetch.
type Handle struct {
	Address string // IP:port of the engine
	ID      string
	Tokens  int
}

// Reply is what the headers of a target's answer tell.
type Reply struct {
	NotRun  bool // the target states that it did not run the request
	Moved   bool // another target has the address now; it did not run the request
	Signed  bool // carries the target's signature
	Leaving bool // the target closes the connection
	Load    *Load
}

// Report is what an engine tells of itself when asked.
type Report struct {
	Stage  Stage
	Busy   bool  // an order is being carried out
	Orders int64 // orders accepted since it started
}

// StageOrder tells an engine which stage to work on.
type StageOrder struct {
	Target   Target
	Stage    Stage
	Holder   string // instance that holds the duty
	Fence    uint64 // rises with each change of the holder
	Expected int64  // orders that the target must have accepted so far, see Report
}

// CapacityOrder asks for a number of targets in a data centre.
type CapacityOrder struct {
	Service    string
	DataCenter string
	Count      int
	Cheap      bool
}

// UsageReport counts the requests of each team in one window.
type UsageReport struct {
	Window int64
	Counts map[string]int64
}

// ClockReading is a reading of the store's steady clock.
type ClockReading struct {
	Steady time.Duration // since some moment of the store's own
	Read   time.Time     // when it was read, halfway between call and answer
	Error  time.Duration // half of the time that the call took
}

// Better reports whether the reading is to be kept in place of a newer one: it
// is more exact, not old, and the two agree. They do not after a suspension,
// which the monotonic clock does not count.
func (reading *ClockReading) Better(newer *ClockReading) bool {
	passed := newer.Read.Sub(reading.Read)
	apart := (newer.Steady - reading.Steady - passed).Abs()
	return newer.Error > 2*reading.Error && passed < clockAge && apart <= newer.Error+reading.Error+clockSlack
}

const (
	// clockAge is how long an exact reading is kept in place of less exact
	// ones; two steady clocks drift apart by microseconds in it.
	clockAge = 10 * time.Second
	// clockSlack allows for what a busy process adds between clock and call.
	clockSlack = 20 * time.Millisecond
)
