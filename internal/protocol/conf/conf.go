// Package conf offers the settings of an entry instance, written as JSON with
// comments.
package conf

import (
	"errors"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/jsonc"
)

// Settings configure one entry instance. Fields that a file leaves out keep
// the values of Default.
type Settings struct {
	Instance    string             `json:"instance"`     // unique among instances
	DataCenter  string             `json:"data-center"`  // name as in release notes
	Listen      string             `json:"listen"`       // IP:port towards callers
	PeerListen  string             `json:"peer-listen"`  // IP:port towards other instances and for metrics
	Platform    string             `json:"platform"`     // IP:port of the platform's interfaces
	LogLevel    string             `json:"log-level"`    // debug, info, warn or error
	DistancesMS map[string]float64 `json:"distances-ms"` // one-way delay to other data centers, milliseconds
	Limits      Limits             `json:"limits"`
	Timeouts    Timeouts           `json:"timeouts"`
	Policy      Policy             `json:"policy"`
	Usage       Usage              `json:"usage"`
	Trace       Trace              `json:"trace"`
}

// Limits bound what callers may ask of the instance.
type Limits struct {
	BodyBytes      int     `json:"body-bytes"`       // one body
	AllBodiesBytes int64   `json:"all-bodies-bytes"` // all bodies on their way in
	HeaderBytes    int     `json:"header-bytes"`     // request line and headers
	Connections    int     `json:"connections"`      // open connections of callers
	QueueRequests  int     `json:"queue-requests"`   // waiting requests of one team
	BacklogSeconds float64 `json:"backlog-seconds"`  // work in flight per engine, in seconds of the engine
	QueueSeconds   float64 `json:"queue-seconds"`    // waiting work of one team, in seconds of an engine
	Attempts       int     `json:"attempts"`         // targets tried for one request
}

// Timeouts bound what the instance waits for, in milliseconds.
type Timeouts struct {
	RequestMS    int `json:"request-ms"`     // a request without a deadline of its own
	ArrivalMS    int `json:"arrival-ms"`     // from the first byte of a request to its last
	SilenceMS    int `json:"silence-ms"`     // no bytes from a target before it is probed
	DialMS       int `json:"dial-ms"`        // to connect to a target
	DrainGraceMS int `json:"drain-grace-ms"` // from not ready to the end of accepting, at shutdown
	DrainMS      int `json:"drain-ms"`       // for requests in flight, at shutdown
	LeaseMS      int `json:"lease-ms"`       // term of a lease
	PollMS       int `json:"poll-ms"`        // between polls of targets' load
}

// Policy names the decision rules in use.
type Policy struct {
	Routing   string `json:"routing"`   // cost, round-robin, random or least-outstanding
	Admission string `json:"admission"` // fair, first-come or token-bucket
	Retries   string `json:"retries"`   // budget, unbounded or none
	Roles     string `json:"roles"`     // adaptive, threshold or never
	Capacity  string `json:"capacity"`  // adaptive or fixed
}

// Usage configures the counting of usage.
type Usage struct {
	WindowMS int `json:"window-ms"` // length of a window, the same at all instances
	GraceMS  int `json:"grace-ms"`  // from the end of a window to its report
	CopyMS   int `json:"copy-ms"`   // longest wait for a copy at another instance
}

// Trace configures the export of traces.
type Trace struct {
	Endpoint string `json:"endpoint"` // IP:port of an OTLP collector, none if empty
}

// Default returns the settings that a file changes.
func Default() Settings {
	return Settings{
		LogLevel: "info",
		Limits: Limits{
			BodyBytes: 4 << 20, AllBodiesBytes: 64 << 20, HeaderBytes: 32 << 10, Connections: 20_000,
			QueueRequests: 256, BacklogSeconds: 0.8, QueueSeconds: 0.5, Attempts: 5,
		},
		Timeouts: Timeouts{
			RequestMS: 120_000, ArrivalMS: 15_000, SilenceMS: 5_000, DialMS: 500,
			DrainGraceMS: 3_000, DrainMS: 120_000, LeaseMS: 5_000, PollMS: 250,
		},
		Policy: Policy{Routing: "cost", Admission: "fair", Retries: "budget", Roles: "adaptive", Capacity: "adaptive"},
		Usage:  Usage{WindowMS: 60_000, GraceMS: 5_000, CopyMS: 50},
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, code.Wrap(err, code.SettingsInvalid, "settings")
	}
	return Parse(data)
}

// Parse reads and checks settings. Errors have code.SettingsInvalid and name
// the line and the field.
func Parse(data []byte) (Settings, error) {
	settings := Default()
	if err := jsonc.Decode(data, &settings); err != nil {
		return settings, code.Wrap(err, code.SettingsInvalid, "settings")
	}
	if err := settings.Check(); err != nil {
		var fault *Fault
		if errors.As(err, &fault) {
			err = &jsonc.Error{Position: jsonc.Locate(data, fault.Field), Reason: fault.Reason}
		}
		return settings, code.Wrap(err, code.SettingsInvalid, "settings")
	}
	return settings, nil
}

// Fault is an impossible value.
type Fault struct {
	Field  string // JSON pointer
	Reason string
}

// Error returns the field and the reason.
func (fault *Fault) Error() string {
	return fault.Field + ": " + fault.Reason
}

// Check returns a *Fault for the first impossible value.
func (settings *Settings) Check() error {
	checks := []*Fault{
		checkName("/instance", settings.Instance),
		checkName("/data-center", settings.DataCenter),
		checkAddress("/listen", settings.Listen),
		checkAddress("/peer-listen", settings.PeerListen),
		checkAddress("/platform", settings.Platform),
		checkOneOf("/log-level", settings.LogLevel, "debug", "info", "warn", "error"),
		checkOneOf("/policy/routing", settings.Policy.Routing, "cost", "round-robin", "random", "least-outstanding"),
		checkOneOf("/policy/admission", settings.Policy.Admission, "fair", "first-come", "token-bucket"),
		checkOneOf("/policy/retries", settings.Policy.Retries, "budget", "unbounded", "none"),
		checkOneOf("/policy/roles", settings.Policy.Roles, "adaptive", "threshold", "never"),
		checkOneOf("/policy/capacity", settings.Policy.Capacity, "adaptive", "fixed"),
	}
	checks = append(checks, settings.checkNumbers()...)
	if settings.Trace.Endpoint != "" {
		checks = append(checks, checkAddress("/trace/endpoint", settings.Trace.Endpoint))
	}
	for _, fault := range checks {
		if fault != nil {
			return fault
		}
	}
	return nil
}

func (settings *Settings) checkNumbers() []*Fault {
	faults := []*Fault{
		checkRange("/limits/body-bytes", settings.Limits.BodyBytes, 1<<10, 64<<20),
		checkRange("/limits/header-bytes", settings.Limits.HeaderBytes, 1<<10, 1<<20),
		checkRange("/limits/connections", settings.Limits.Connections, 1, 1_000_000),
		checkRange("/limits/queue-requests", settings.Limits.QueueRequests, 1, 1_000_000),
		checkRange("/limits/attempts", settings.Limits.Attempts, 1, 10),
		checkRange("/timeouts/request-ms", settings.Timeouts.RequestMS, 1, 3_600_000),
		checkRange("/timeouts/arrival-ms", settings.Timeouts.ArrivalMS, 1, 600_000),
		checkRange("/timeouts/silence-ms", settings.Timeouts.SilenceMS, 1, 600_000),
		checkRange("/timeouts/dial-ms", settings.Timeouts.DialMS, 1, 60_000),
		checkRange("/timeouts/drain-grace-ms", settings.Timeouts.DrainGraceMS, 0, 600_000),
		checkRange("/timeouts/drain-ms", settings.Timeouts.DrainMS, 1, 3_600_000),
		checkRange("/timeouts/lease-ms", settings.Timeouts.LeaseMS, 100, 600_000),
		checkRange("/timeouts/poll-ms", settings.Timeouts.PollMS, 10, 60_000),
		checkRange("/usage/window-ms", settings.Usage.WindowMS, 1_000, 86_400_000),
		checkRange("/usage/grace-ms", settings.Usage.GraceMS, 1, 3_600_000),
		checkRange("/usage/copy-ms", settings.Usage.CopyMS, 1, 10_000),
	}
	if settings.Limits.AllBodiesBytes < int64(settings.Limits.BodyBytes) {
		faults = append(faults, &Fault{Field: "/limits/all-bodies-bytes", Reason: "is below body-bytes"})
	}
	if settings.Timeouts.DrainMS < settings.Timeouts.RequestMS {
		faults = append(faults, &Fault{Field: "/timeouts/drain-ms", Reason: "is below request-ms, so that a planned stop could cut requests"})
	}
	if settings.Limits.BacklogSeconds <= 0 {
		faults = append(faults, &Fault{Field: "/limits/backlog-seconds", Reason: "is not positive"})
	}
	if settings.Limits.QueueSeconds <= 0 {
		faults = append(faults, &Fault{Field: "/limits/queue-seconds", Reason: "is not positive"})
	}
	return faults
}

// Milliseconds returns a duration from a setting in milliseconds.
func Milliseconds(value int) time.Duration {
	return time.Duration(value) * time.Millisecond
}

func checkName(field, value string) *Fault {
	if value == "" || strings.ContainsAny(value, "/ \t\r\n\"") {
		return &Fault{Field: field, Reason: "is empty or has a slash, space or quote"}
	}
	return nil
}

func checkAddress(field, value string) *Fault {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &Fault{Field: field, Reason: "is not IP:port"}
	}
	return nil
}

func checkOneOf(field, value string, allowed ...string) *Fault {
	if slices.Contains(allowed, value) {
		return nil
	}
	return &Fault{Field: field, Reason: "is not one of " + strings.Join(allowed, ", ")}
}

func checkRange(field string, value, least, most int) *Fault {
	if value < least || value > most {
		return &Fault{Field: field, Reason: "is out of range"}
	}
	return nil
}
