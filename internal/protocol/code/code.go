// Package code defines the numbered result codes that all parts of the system use
// towards callers, operators and other instances, and attaches them to errors.
// docs/ERRORS.md documents the same table; a test keeps the two equal.
package code

import (
	"net/http"
	"strconv"
)

// Code is the number of a result. Numbers are never reused.
type Code int

// Result codes of requests that an entry instance rejected.
const (
	MalformedRequest Code = iota + 1001
	BodyTooLarge
	HeaderTooLarge
	AmbiguousFraming
	HostMissing
	PathUnknown
	MethodNotAllowed
	KeyMissing
	KeyUnknown
	KeyWithdrawn
	ModelUnknown
	ModelNotAllowed
	IdempotencyMismatch
	DeadlineInvalid
	BodyTimeout
)

// Result codes of requests for which no target was available in time.
const (
	TeamOverloaded Code = iota + 1101
	DeadlineTooShort
	ShuttingDown
	NoTarget
	InstanceIsolated
	StoreUnavailable
	RequestQuarantined
	BodyMemoryFull
	NotReady
	RequestSuspended
	PromptPartSuspended
	StreamNotResumable
	ManifestEntryUnusable
)

// Result codes of requests that were sent to a target.
const (
	TargetFailed Code = iota + 2001
	AnswerTruncated
	TargetTimeout
	OutcomeUnknown
	TargetRefused
	CallerGone
)

// Result codes of calls between instances, the platform and targets.
const (
	LeaseLost Code = iota + 3001
	NoteConflict
	RowConflict
	WriteUnknown
	StoreDown
	RowMalformed
	MessageMalformed
	OrderOpen
	OrderRefused
	WindowFrozen
	RowMissing
	PeerUnreachable
)

// Result codes of input from operators.
const (
	SettingsInvalid Code = iota + 4001
	NoteInvalid
	CommandInvalid
)

// Internal is the result code of a fault in the system itself.
const Internal Code = 5001

// RunStatus is what is known about the execution of a request at a target.
type RunStatus int

// Run statuses of a request.
const (
	// NotRun guarantees that no target has run or will run the request.
	NotRun RunStatus = iota
	// RunUnknown means that a target may have run the request.
	RunUnknown
	// Ran means that a target has run the request.
	Ran
)

// String returns the name that JSON errors and the response header use.
func (runStatus RunStatus) String() string {
	switch runStatus {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// PromisesNotRun reports whether an HTTP status tells callers that the request has not run
// and will not run later, so that they may repeat any request.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Definition describes one result code.
type Definition struct {
	Code              Code
	Name              string    // kebab-case, stable
	Status            int       // HTTP status sent to callers
	RunStatus         RunStatus // default, unless the error overrides it
	RetryAfterSeconds int       // default retry hint, 0 for no retry
	Description       string    // one sentence, sent to callers
}

// Lookup returns the definition of a code, or that of Internal for an unknown code.
func Lookup(code Code) Definition {
	for _, definition := range definitions {
		if definition.Code == code {
			return definition
		}
	}
	return definitions[len(definitions)-1]
}

// Definitions returns a copy of all definitions, ordered by number.
func Definitions() []Definition {
	return append([]Definition(nil), definitions...)
}

// String returns the number and the name of the code.
func (code Code) String() string {
	return strconv.Itoa(int(code)) + " " + Lookup(code).Name
}

// MetricLabel returns the code as the value of a metric label. An HTTP status, which
// targets can choose freely, is reduced to its class such as 5xx, so that targets
// cannot create further label values.
func (code Code) MetricLabel() string {
	const statusLimit = 1000 // HTTP statuses are below, result codes above
	if code > 0 && code < statusLimit {
		return strconv.Itoa(int(code)/100) + "xx"
	}
	return strconv.Itoa(int(code))
}

var definitions = []Definition{
	{MalformedRequest, "malformed-request", http.StatusBadRequest, NotRun, 0, "The request line, headers or body cannot be read."},
	{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, NotRun, 0, "The body is larger than the limit."},
	{HeaderTooLarge, "header-too-large", http.StatusRequestHeaderFieldsTooLarge, NotRun, 0, "The request line and headers are larger than the limit."},
	{AmbiguousFraming, "ambiguous-framing", http.StatusBadRequest, NotRun, 0, "The length of the body is stated in more than one way."},
	{HostMissing, "host-missing", http.StatusBadRequest, NotRun, 0, "The request has no Host header, or several."},
	{PathUnknown, "path-unknown", http.StatusNotFound, NotRun, 0, "No route has this path."},
	{MethodNotAllowed, "method-not-allowed", http.StatusMethodNotAllowed, NotRun, 0, "The path does not take this method."},
	{KeyMissing, "key-missing", http.StatusUnauthorized, NotRun, 0, "The route needs a key in an Authorization: Bearer header."},
	{KeyUnknown, "key-unknown", http.StatusUnauthorized, NotRun, 0, "The key belongs to no team."},
	{KeyWithdrawn, "key-withdrawn", http.StatusUnauthorized, NotRun, 0, "The key was withdrawn by a release note."},
	{ModelUnknown, "model-unknown", http.StatusNotFound, NotRun, 0, "The release note in force has no such model."},
	{ModelNotAllowed, "model-not-allowed", http.StatusForbidden, NotRun, 0, "The team may not use this model or route."},
	{IdempotencyMismatch, "idempotency-mismatch", http.StatusUnprocessableEntity, NotRun, 0, "The idempotency key was used with another request."},
	{DeadlineInvalid, "deadline-invalid", http.StatusBadRequest, NotRun, 0, "The deadline header is not a positive number of milliseconds."},
	{BodyTimeout, "body-timeout", http.StatusRequestTimeout, NotRun, 1, "The request did not arrive whole in time."},
	{TeamOverloaded, "team-overloaded", http.StatusTooManyRequests, NotRun, 1, "The team's queue is full."},
	{DeadlineTooShort, "deadline-too-short", http.StatusServiceUnavailable, NotRun, 1, "The request cannot be answered before its deadline."},
	{ShuttingDown, "shutting-down", http.StatusServiceUnavailable, NotRun, 1, "The instance is shutting down; another one takes the request."},
	{NoTarget, "no-target", http.StatusServiceUnavailable, NotRun, 1, "No target can take the request now."},
	{InstanceIsolated, "instance-isolated", http.StatusServiceUnavailable, NotRun, 2, "The instance cannot show that its release note is current."},
	{StoreUnavailable, "store-unavailable", http.StatusServiceUnavailable, NotRun, 2, "The call may run at most once and the store cannot record it now."},
	{RequestQuarantined, "request-quarantined", http.StatusUnprocessableEntity, NotRun, 600, "Targets crashed under this request; it is not run again for now."},
	{BodyMemoryFull, "body-memory-full", http.StatusServiceUnavailable, NotRun, 1, "Too many bytes of bodies are arriving at once."},
	{NotReady, "not-ready", http.StatusServiceUnavailable, NotRun, 1, "The instance has no release note yet."},
	{RequestSuspended, "request-suspended", http.StatusServiceUnavailable, NotRun, 600, "Targets ended under equal requests; it is not run for the time in Retry-After."},
	{PromptPartSuspended, "prompt-part-suspended", http.StatusServiceUnavailable, NotRun, 600, "Targets ended under prompts with the same part; it is not run for the time in Retry-After."},
	{StreamNotResumable, "stream-not-resumable", http.StatusServiceUnavailable, NotRun, 0, "The stream cannot go on: no target has the software version that began it, or that version is not known."},
	{ManifestEntryUnusable, "manifest-entry-unusable", http.StatusServiceUnavailable, NotRun, 2, "The manifest's entry for the request cannot be read."},
	{TargetFailed, "target-failed", http.StatusBadGateway, RunUnknown, 1, "The target failed after the request was sent."},
	{AnswerTruncated, "answer-truncated", http.StatusBadGateway, Ran, 1, "The answer ended before it was whole."},
	{TargetTimeout, "target-timeout", http.StatusGatewayTimeout, RunUnknown, 1, "The target did not answer in time."},
	{OutcomeUnknown, "outcome-unknown", http.StatusConflict, RunUnknown, 0, "The call may have run and is not run again."},
	{TargetRefused, "target-refused", http.StatusBadGateway, NotRun, 1, "The target refused the request before running it."},
	{CallerGone, "caller-gone", 499, RunUnknown, 0, "The caller left before the answer was whole."},
	{LeaseLost, "lease-lost", http.StatusConflict, NotRun, 0, "The duty's lease is held by another instance or has lapsed."},
	{NoteConflict, "note-conflict", http.StatusConflict, NotRun, 0, "Another release note took this number first."},
	{RowConflict, "row-conflict", http.StatusConflict, NotRun, 0, "The row has another version than expected."},
	{WriteUnknown, "write-unknown", http.StatusServiceUnavailable, RunUnknown, 1, "The store may or may not have taken the write."},
	{StoreDown, "store-down", http.StatusServiceUnavailable, NotRun, 1, "The store does not answer."},
	{RowMalformed, "row-malformed", http.StatusInternalServerError, NotRun, 0, "A row of the table cannot be read."},
	{MessageMalformed, "message-malformed", http.StatusBadRequest, NotRun, 0, "A message of another instance cannot be read."},
	{OrderOpen, "order-open", http.StatusConflict, NotRun, 1, "An order to the target is still open."},
	{OrderRefused, "order-refused", http.StatusConflict, NotRun, 0, "The target refused the order."},
	{WindowFrozen, "window-frozen", http.StatusConflict, NotRun, 0, "The usage window is frozen."},
	{RowMissing, "row-missing", http.StatusNotFound, NotRun, 0, "The table has no such row, or the store no such object."},
	{PeerUnreachable, "peer-unreachable", http.StatusServiceUnavailable, RunUnknown, 1, "Another instance does not answer."},
	{SettingsInvalid, "settings-invalid", http.StatusBadRequest, NotRun, 0, "The settings file is not valid."},
	{NoteInvalid, "note-invalid", http.StatusBadRequest, NotRun, 0, "The release note is not valid."},
	{CommandInvalid, "command-invalid", http.StatusBadRequest, NotRun, 0, "The command line is not valid."},
	{Internal, "internal", http.StatusInternalServerError, RunUnknown, 0, "The system has a fault."},
}
