// Package site defines the data types that an entry instance works with: its
// own settings, the manifest that the operator publishes, the running targets,
// the requests and calls, and the orders and reports of leader duties. The
// types carry no wire format. Package platform converts between them and the
// platform's messages.
package site

import (
	"slices"
	"strings"
	"time"
)

// Settings configures one process: its identity, its addresses and the limits
// that the platform sets.
type Settings struct {
	Instance         string // name of this instance
	IP               string // own IP
	DataCenter       string
	Bootstrap        bool   // the whole site starts for the first time
	ListenAddress    string // IP:port on which callers' requests arrive
	ReadinessAddress string // IP:port on which the load balancer checks readiness
	PeerPort         int    // port for calls between instances, the same on all of them
	MetricsPort      int
	StoreAddress     string // IP:port of the platform's store
	ControlAddress   string // IP:port that accepts usage reports and capacity orders
	MemoryBytes      int64  // memory limit of the process, in bytes
	Bounds           Bounds
	Duties           Duties
}

// Bounds holds the time limits and the retry budget that the platform sets.
type Bounds struct {
	DrainTimeout        time.Duration // after which a draining target gets no request
	ShutdownGrace       time.Duration // between SIGTERM and SIGKILL
	ManifestApplyLimit  time.Duration // within which all instances apply a new manifest
	TargetRowExpiry     time.Duration // for which the store may be away before targets' rows can expire
	ContactTime         time.Duration // after the end of a disruption within which an instance is to work as before
	LeaseDuration       time.Duration // within which holders of a duty must not alternate
	UsageWindow         time.Duration // length of a usage window
	UsageReportDeadline time.Duration // from the end of a usage window until its report is due
	RetryRatio          float64       // retries to a service allowed per request for it
	RetryWindow         time.Duration // over which requests and retries are counted
	ExtraRetries        float64       // retries allowed per window in addition to the ratio
	MaxRetryAfter       time.Duration // longest Retry-After that callers honor
}

// Duties selects the leader duties that the platform asks the system to perform.
type Duties struct {
	Usage    bool // report usage
	Capacity bool // order capacity
}

// Manifest is one version of the operator's configuration.
type Manifest struct {
	Version  int64
	Routes   []Route // of each host, longest prefix first; see Sort
	Services map[string]Service
	Teams    map[string]Team // by API key
	Limits   Limits

	KeysRequired bool            // there are teams, with keys or without
	KeysMissing  bool            // Teams lacks the keys of teams that could not be decoded
	Unusable     []UnusableRoute // of each host, longest prefix first; see Sort
	Faults       []ManifestFault // entries that could not be decoded and were left out
}

// UnusableRoute is a route of the manifest that could not be decoded. Fields that cannot
// be read are empty.
type UnusableRoute struct {
	Name   string
	Host   string
	Prefix string
}

// ManifestFault is an entry of the manifest that was left out.
type ManifestFault struct {
	Part string // route, service, tenant or limits
	Name string // empty if it cannot be read
	Err  error
}

// Limits bounds the size and the timing of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is the team that an API key belongs to.
type Team struct {
	Name     string
	Priority int // 0 is the highest; -1 leaves it to the route
}

// RouteKind determines how often a request of a route may run.
type RouteKind int

// Kinds of routes.
const (
	Unsafe RouteKind = iota // at most once
	Safe                    // any number of times
	Stream                  // event stream; at most once unless the route is resumable
)

// String returns the name of the kind for logs and metrics.
func (routeKind RouteKind) String() string {
	switch routeKind {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Kind             RouteKind
	Timeout          time.Duration     // longest time that a caller waits
	LatencyObjective time.Duration     // for the response, or for the first event of a stream
	MaxEventGap      time.Duration     // objective for the gap between two events of a stream
	Priority         int               // 0 is the highest
	MaxAttempts      int               // maximum number of targets that one request runs on
	Public           bool              // requests need no API key
	CarriesPrompts   bool              // requests carry a prompt for a model engine
	Resumable        bool              // an interrupted stream may continue at another target
	Split            []WeightedService // services that the traffic is split among
}

// WeightedService is the weight of a service in a route's traffic split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable targets.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int      // to one target, from all callers together
	Engine         *Engine  // nil for a plain service
	Scaling        *Scaling // nil if no capacity may be ordered
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots            int           // requests that one engine runs concurrently
	KVCapacityTokens int           // capacity of one engine's KV cache, in tokens
	KVBytesPerToken  float64       // KV cache bytes per token
	LinkMbps         float64       // bandwidth of KV transfers between engines, in Mbit/s
	TokensPerEvent   int           // tokens per event
	HandleTTL        time.Duration // how long an engine keeps the KV of a prompt that was not fetched
	StageChangeTime  time.Duration // how long an engine takes to change its stage
	Backups          bool          // set by the manifest; not used
	Moves            bool          // set by the manifest; not used
}

// Scaling bounds the number of targets that may be ordered per data centre.
type Scaling struct {
	Min       int
	Max       int
	BootTime  time.Duration      // how long a new target takes to start
	SpotPrice float64            // of a spot target, as a fraction of the regular price; 0 for none
	Prices    map[string]float64 // price of a target by data centre
}

// Match returns the route with the longest prefix that matches a host and
// path, if there is one.
func (manifest *Manifest) Match(host, path string) (*Route, bool) {
	for i := range manifest.Routes {
		route := &manifest.Routes[i]
		if route.Host == host && strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// MatchUnusable returns the route that could not be decoded and that a host and path may
// belong to rather than to the given route, which is nil if none matches.
func (manifest *Manifest) MatchUnusable(host, path string, matched *Route) (*UnusableRoute, bool) {
	for i := range manifest.Unusable {
		route := &manifest.Unusable[i]
		if matched != nil && len(route.Prefix) <= len(matched.Prefix) {
			return nil, false
		}
		if (route.Host == host || route.Host == "") && strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Sort orders the routes by the length of their prefixes, longest first, as
// Match requires.
func (manifest *Manifest) Sort() {
	slices.SortStableFunc(manifest.Unusable, func(a, b UnusableRoute) int {
		return len(b.Prefix) - len(a.Prefix)
	})
	slices.SortStableFunc(manifest.Routes, func(a, b Route) int {
		return len(b.Prefix) - len(a.Prefix)
	})
}

// Stage is the phase of inference that a model engine works on.
type Stage int

// Stages of model engines.
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
	Software   string // version of the target's software
	Address    string // IP:port
	DataCenter string
	Slots      int  // requests that the target runs concurrently
	Draining   bool // accepts no new requests
	Spot       bool // spot capacity, which the platform may reclaim at short notice
	Stage      Stage
	Started    time.Time // zero if the target does not report it
	Revision   int64     // increases with each write of the target's entry since its start, 0 if unknown
}

// Load is the load that a target reports with a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Prompt describes the prompt of a request to a model engine.
type Prompt struct {
	Model           string
	Tokens          int    // length of the prompt
	MaxOutputTokens int    // maximum length of the output, in tokens
	Parts           []Part // in order; the last belongs to this request or its session alone
}

// Part is a part of a prompt that several requests may have in common.
type Part struct {
	ID     string
	Tokens int
}

// SharedTokens returns the number of tokens in all parts but the last, which
// are those that other prompts may share.
func (prompt *Prompt) SharedTokens() int {
	tokens := 0
	for i := 0; i+1 < len(prompt.Parts); i++ {
		tokens += prompt.Parts[i].Tokens
	}
	return tokens
}

// Request is one request of a caller.
type Request struct {
	AttemptID   string // identifies the caller's attempt
	Host        string
	Method      string
	Path        string              // without the query
	URI         string              // path and query as received
	Header      map[string][]string // headers to forward to the target
	Body        []byte
	APIKey      string        // API key, empty if none was sent
	Timeout     time.Duration // caller's timeout, 0 if it names none
	Prompt      *Prompt       // nil for a request without a prompt
	LastEventID string        // ID of the last event that the caller has received
	Resumes     string        // attempt that brought the first event of the stream that the caller takes up
}

// Call holds what an instance adds to a request that it sends to a target.
type Call struct {
	Target         Target
	TimeRemaining  time.Duration // until the caller's deadline
	Team           string
	Priority       int       // 0 to 9, 0 is the highest
	PrefillOnly    bool      // compute the KV of the prompt and keep it for a fetch
	KVSource       *KVHandle // KV to fetch for the whole prompt, nil for none
	KVFetchAddress string    // IP:port of an engine that caches a prefix of the prompt, empty for none
	LastEventID    string    // ID of the last event that the caller has received
}

// KVHandle identifies the KV of a prompt that an engine has computed and keeps
// until another engine fetches it.
type KVHandle struct {
	Address string // IP:port of the engine
	Engine  Target
	ID      string
	Tokens  int
}

// ResponseInfo holds what the status and the headers of a target's response
// state.
type ResponseInfo struct {
	NotRun      bool // the target did not run the request
	Misdirected bool // another target has the address now; the request was not run
	Signed      bool // the response carries the target's signature
	Closing     bool // the target closes the connection
	Leaving     bool // the target takes no new requests until it is restarted
	Load        *Load

	RetryAfter        time.Duration // for which the target of a 503 wants no requests, 0 if it names none
	InvalidRetryAfter string        // the header, if it cannot be used

	Limit        *float64 // requests a second that the target takes from all instances together, nil if it names none
	InvalidLimit string   // the header, if it cannot be used
}

// EngineStatus is the state that an engine returns when polled.
type EngineStatus struct {
	Stage           Stage
	OrderInProgress bool      // an order is being carried out
	OrdersAccepted  int64     // orders accepted since the engine started
	Started         time.Time // zero if the engine does not report it
}

// StageOrder is an order to an engine to change its stage.
type StageOrder struct {
	Target         Target
	Stage          Stage
	Holder         string // instance that holds the lease
	FencingToken   uint64 // increases with each change of the holder
	ExpectedOrders int64  // orders that the target must have accepted so far, see EngineStatus
}

// CapacityOrder requests a number of targets in a data centre.
type CapacityOrder struct {
	Service    string
	DataCenter string
	Count      int
	Spot       bool // spot targets, see Target
}

// UsageReport holds the number of requests of each team in one usage window.
type UsageReport struct {
	Window int64 // sequence number of the window
	Counts map[string]int64
}

// ClockReading is a reading of the store's monotonic clock.
type ClockReading struct {
	Monotonic   time.Duration // since an arbitrary moment that the store chose
	ReadAt      time.Time     // local time of the reading, halfway between call and response
	Uncertainty time.Duration // half of the call's round-trip time
}

// PreferredOver reports whether the reading should be used instead of a newer
// one: it has a smaller error, is recent, and agrees with the newer one. After
// the host was suspended they disagree, because the local monotonic clock does
// not advance during a suspension.
func (reading *ClockReading) PreferredOver(newer *ClockReading) bool {
	elapsed := newer.ReadAt.Sub(reading.ReadAt)
	difference := (newer.Monotonic - reading.Monotonic - elapsed).Abs()
	return newer.Uncertainty > 2*reading.Uncertainty && elapsed < maxReadingAge && difference <= newer.Uncertainty+reading.Uncertainty+clockTolerance
}

const (
	// maxReadingAge is how long a reading is preferred over less exact ones.
	// Two monotonic clocks drift apart by microseconds in that time.
	maxReadingAge = 10 * time.Second
	// clockTolerance allows for the delay that a busy process adds between
	// reading its clock and sending the call.
	clockTolerance = 20 * time.Millisecond
)
