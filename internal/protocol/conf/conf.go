// Package conf reads and validates the settings file of an entry instance, which
// is JSON with comments. Errors name the line and the field.
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

// Settings configures one entry instance. Fields that a file leaves out keep the
// values of Default.
type Settings struct {
	Instance           string             `json:"instance"`     // ID, unique among instances
	DataCenter         string             `json:"data-center"`  // name as used in release notes
	ListenAddress      string             `json:"listen"`       // IP:port that serves callers
	PeerListenAddress  string             `json:"peer-listen"`  // IP:port that serves other instances and metrics
	PlatformAddress    string             `json:"platform"`     // IP:port of the platform's API
	LogLevel           string             `json:"log-level"`    // debug, info, warn or error
	DataCenterDelaysMS map[string]float64 `json:"distances-ms"` // one-way delay to other data centres, milliseconds
	Limits             Limits             `json:"limits"`
	Timeouts           Timeouts           `json:"timeouts"`
	Policy             Policy             `json:"policy"`
	Usage              Usage              `json:"usage"`
	Trace              Trace              `json:"trace"`
}

// Limits bounds the resources that callers may use at one instance.
type Limits struct {
	BodyBytes      int     `json:"body-bytes"`       // size of one request body
	AllBodiesBytes int64   `json:"all-bodies-bytes"` // total size of all request bodies being received
	HeaderBytes    int     `json:"header-bytes"`     // size of the request line and headers
	Connections    int     `json:"connections"`      // open caller connections
	QueueRequests  int     `json:"queue-requests"`   // queued requests per team
	BacklogSeconds float64 `json:"backlog-seconds"`  // in-flight work per engine, in seconds of engine time
	QueueSeconds   float64 `json:"queue-seconds"`    // queued work per team, in seconds of engine time
	MaxAttempts    int     `json:"attempts"`         // maximum attempts per request
}

// Timeouts holds the timeouts and intervals of the instance, in milliseconds.
type Timeouts struct {
	RequestMS    int `json:"request-ms"`     // timeout of a request that sets no deadline
	ArrivalMS    int `json:"arrival-ms"`     // to receive a request, from its first byte to its last
	SilenceMS    int `json:"silence-ms"`     // without a byte from a target before it is probed
	DialMS       int `json:"dial-ms"`        // to connect to a target
	DrainGraceMS int `json:"drain-grace-ms"` // at shutdown, from reporting not ready to the end of accepting
	DrainMS      int `json:"drain-ms"`       // at shutdown, for in-flight requests to finish
	LeaseMS      int `json:"lease-ms"`       // duration of a lease
	PollMS       int `json:"poll-ms"`        // interval between polls of each target's load
}

// Policy selects the policy used for each kind of decision.
type Policy struct {
	Routing   string `json:"routing"`   // cost, round-robin, random or least-outstanding
	Admission string `json:"admission"` // fair, first-come or token-bucket
	Retries   string `json:"retries"`   // budget, unbounded or none
	Roles     string `json:"roles"`     // adaptive, threshold or never
	Capacity  string `json:"capacity"`  // adaptive or fixed
}

// Usage configures usage reporting.
type Usage struct {
	WindowMS int `json:"window-ms"` // length of a usage window, must be the same at all instances
	GraceMS  int `json:"grace-ms"`  // from the end of a window to its report
	CopyMS   int `json:"copy-ms"`   // timeout for storing a copy at another instance
}

// Trace configures the export of OpenTelemetry traces.
type Trace struct {
	Endpoint string `json:"endpoint"` // IP:port of an OTLP collector; empty turns the export off
}

// Default returns the settings that apply where a file sets no other value. The
// names and addresses of the instance have no default.
func Default() Settings {
	return Settings{
		LogLevel: "info",
		Limits: Limits{
			BodyBytes: 4 << 20, AllBodiesBytes: 64 << 20, HeaderBytes: 32 << 10, Connections: 20_000,
			QueueRequests: 256, BacklogSeconds: 0.8, QueueSeconds: 0.5, MaxAttempts: 5,
		},
		Timeouts: Timeouts{
			RequestMS: 120_000, ArrivalMS: 15_000, SilenceMS: 5_000, DialMS: 500,
			DrainGraceMS: 3_000, DrainMS: 120_000, LeaseMS: 5_000, PollMS: 250,
		},
		Policy: Policy{Routing: "cost", Admission: "fair", Retries: "budget", Roles: "adaptive", Capacity: "adaptive"},
		Usage:  Usage{WindowMS: 60_000, GraceMS: 5_000, CopyMS: 50},
	}
}

// Load reads, parses and validates a settings file. Errors have
// code.SettingsInvalid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, code.Wrap(err, code.SettingsInvalid, "settings")
	}
	return Parse(data)
}

// Parse parses and validates settings. Errors have code.SettingsInvalid and name
// the line and the field.
func Parse(data []byte) (Settings, error) {
	settings := Default()
	if err := jsonc.Decode(data, &settings); err != nil {
		return settings, code.Wrap(err, code.SettingsInvalid, "settings")
	}
	if err := settings.Validate(); err != nil {
		var fieldError *FieldError
		if errors.As(err, &fieldError) {
			err = &jsonc.Error{Position: jsonc.Locate(data, fieldError.Field), Reason: fieldError.Reason}
		}
		return settings, code.Wrap(err, code.SettingsInvalid, "settings")
	}
	return settings, nil
}

// FieldError is an invalid value of one field.
type FieldError struct {
	Field  string // JSON pointer to the field
	Reason string
}

// Error returns the field and the reason in one line.
func (fieldError *FieldError) Error() string {
	return fieldError.Field + ": " + fieldError.Reason
}

// Validate returns a *FieldError for the first field with an invalid value, or nil.
func (settings *Settings) Validate() error {
	fieldErrors := []*FieldError{
		validateName("/instance", settings.Instance),
		validateName("/data-center", settings.DataCenter),
		validateAddress("/listen", settings.ListenAddress),
		validateAddress("/peer-listen", settings.PeerListenAddress),
		validateAddress("/platform", settings.PlatformAddress),
		validateChoice("/log-level", settings.LogLevel, "debug", "info", "warn", "error"),
		validateChoice("/policy/routing", settings.Policy.Routing, "cost", "round-robin", "random", "least-outstanding"),
		validateChoice("/policy/admission", settings.Policy.Admission, "fair", "first-come", "token-bucket"),
		validateChoice("/policy/retries", settings.Policy.Retries, "budget", "unbounded", "none"),
		validateChoice("/policy/roles", settings.Policy.Roles, "adaptive", "threshold", "never"),
		validateChoice("/policy/capacity", settings.Policy.Capacity, "adaptive", "fixed"),
	}
	fieldErrors = append(fieldErrors, settings.validateNumbers()...)
	if settings.Trace.Endpoint != "" {
		fieldErrors = append(fieldErrors, validateAddress("/trace/endpoint", settings.Trace.Endpoint))
	}
	for _, fieldError := range fieldErrors {
		if fieldError != nil {
			return fieldError
		}
	}
	return nil
}

func (settings *Settings) validateNumbers() []*FieldError {
	fieldErrors := []*FieldError{
		validateRange("/limits/body-bytes", settings.Limits.BodyBytes, 1<<10, 64<<20),
		validateRange("/limits/header-bytes", settings.Limits.HeaderBytes, 1<<10, 1<<20),
		validateRange("/limits/connections", settings.Limits.Connections, 1, 1_000_000),
		validateRange("/limits/queue-requests", settings.Limits.QueueRequests, 1, 1_000_000),
		validateRange("/limits/attempts", settings.Limits.MaxAttempts, 1, 10),
		validateRange("/timeouts/request-ms", settings.Timeouts.RequestMS, 1, 3_600_000),
		validateRange("/timeouts/arrival-ms", settings.Timeouts.ArrivalMS, 1, 600_000),
		validateRange("/timeouts/silence-ms", settings.Timeouts.SilenceMS, 1, 600_000),
		validateRange("/timeouts/dial-ms", settings.Timeouts.DialMS, 1, 60_000),
		validateRange("/timeouts/drain-grace-ms", settings.Timeouts.DrainGraceMS, 0, 600_000),
		validateRange("/timeouts/drain-ms", settings.Timeouts.DrainMS, 1, 3_600_000),
		validateRange("/timeouts/lease-ms", settings.Timeouts.LeaseMS, 100, 600_000),
		validateRange("/timeouts/poll-ms", settings.Timeouts.PollMS, 10, 60_000),
		validateRange("/usage/window-ms", settings.Usage.WindowMS, 1_000, 86_400_000),
		validateRange("/usage/grace-ms", settings.Usage.GraceMS, 1, 3_600_000),
		validateRange("/usage/copy-ms", settings.Usage.CopyMS, 1, 10_000),
	}
	if settings.Limits.AllBodiesBytes < int64(settings.Limits.BodyBytes) {
		fieldErrors = append(fieldErrors, &FieldError{Field: "/limits/all-bodies-bytes", Reason: "is below body-bytes"})
	}
	if settings.Timeouts.DrainMS < settings.Timeouts.RequestMS {
		fieldErrors = append(fieldErrors, &FieldError{Field: "/timeouts/drain-ms", Reason: "is below request-ms, so that a planned stop could cut requests"})
	}
	if settings.Limits.BacklogSeconds <= 0 {
		fieldErrors = append(fieldErrors, &FieldError{Field: "/limits/backlog-seconds", Reason: "is not positive"})
	}
	if settings.Limits.QueueSeconds <= 0 {
		fieldErrors = append(fieldErrors, &FieldError{Field: "/limits/queue-seconds", Reason: "is not positive"})
	}
	return fieldErrors
}

// Milliseconds converts a setting in milliseconds to a duration.
func Milliseconds(value int) time.Duration {
	return time.Duration(value) * time.Millisecond
}

func validateName(field, value string) *FieldError {
	if value == "" || strings.ContainsAny(value, "/ \t\r\n\"") {
		return &FieldError{Field: field, Reason: "is empty or has a slash, space or quote"}
	}
	return nil
}

func validateAddress(field, value string) *FieldError {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &FieldError{Field: field, Reason: "is not IP:port"}
	}
	return nil
}

func validateChoice(field, value string, allowed ...string) *FieldError {
	if slices.Contains(allowed, value) {
		return nil
	}
	return &FieldError{Field: field, Reason: "is not one of " + strings.Join(allowed, ", ")}
}

func validateRange(field string, value, minimum, maximum int) *FieldError {
	if value < minimum || value > maximum {
		return &FieldError{Field: field, Reason: "is out of range"}
	}
	return nil
}
