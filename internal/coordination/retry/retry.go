// Package retry decides what to do after an attempt at a target failed: send the
// request to another target, resume the response there, or return an error to
// the caller.
//
// Retries and hedges are limited by budgets that grow with new requests, so that
// they can't amplify an overload.
package retry

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// State is how far an attempt got.
type State int

// States of attempts.
const (
	NotSent    State = iota // no byte of the request can have reached the target
	MayHaveRun              // the request was sent, at least in part
	Responded               // the target responded, at least in part; Attempt.Refused marks a refusal
)

// Attempt describes an attempt that failed.
type Attempt struct {
	State           State
	AttemptCount    int           // attempts made for the request, including this one
	Repeatable      bool          // the request may be executed more than once
	ResponseStarted bool          // bytes of the response were sent to the caller
	Resumable       bool          // another engine can resume the response
	CallerGone      bool          // the caller disconnected or cancelled
	TimedOut        bool          // the attempt failed by a timeout of the target
	Refused         bool          // the target reported that it did not run the request
	Deadline        time.Time     // of the caller, zero if there is none
	ExpectedLatency time.Duration // expected latency at another target
	Err             error         // cause, may be nil
}

// Action is what to do after an attempt.
type Action int

// Actions after attempts.
const (
	ReturnError    Action = iota // return Decision.Err to the caller without delay
	RetryElsewhere               // send the request to another target
	Resume                       // resume the response at another target
)

// Decision is what to do after a failed attempt.
type Decision struct {
	Action Action
	Delay  time.Duration // before sending, zero for ReturnError
	Err    error         // set for ReturnError: carries a result code and whether the request has run
}

// runStatus returns whether the request has run, as far as is known.
func (attempt *Attempt) runStatus() code.RunStatus {
	switch {
	case attempt.State == NotSent, attempt.hasValidRefusal():
		return code.NotRun
	case attempt.State == Responded:
		return code.Ran
	default:
		return code.RunUnknown
	}
}

// hasValidRefusal reports whether the target refused the request. A refusal is
// not valid if the caller has received a part of the response.
func (attempt *Attempt) hasValidRefusal() bool {
	return attempt.Refused && !attempt.ResponseStarted
}

// nextAction returns how the request can continue at another target, or
// ReturnError if it can't.
func (attempt *Attempt) nextAction() Action {
	switch {
	case attempt.CallerGone:
		return ReturnError
	case attempt.ResponseStarted && attempt.Resumable && attempt.Repeatable:
		return Resume
	case attempt.ResponseStarted:
		return ReturnError
	case attempt.Repeatable, attempt.runStatus() == code.NotRun:
		return RetryElsewhere
	default:
		return ReturnError
	}
}

// callerError returns the attempt's error with its result code and run status.
func (attempt *Attempt) callerError() error {
	err := attempt.Err
	if err == nil {
		err = code.Errorf(attempt.errorCode(), "attempt %d failed", attempt.AttemptCount)
	} else {
		err = code.Wrap(err, attempt.errorCode(), "attempt failed")
	}
	return code.WithRunStatus(err, attempt.runStatus())
}

func (attempt *Attempt) errorCode() code.Code {
	switch {
	case attempt.CallerGone:
		return code.CallerGone
	case attempt.hasValidRefusal():
		return code.TargetRefused
	case attempt.State == NotSent:
		return code.NoTarget
	case attempt.ResponseStarted, attempt.State == Responded:
		return code.AnswerTruncated
	case !attempt.Repeatable:
		return code.OutcomeUnknown
	case attempt.TimedOut:
		return code.TargetTimeout
	default:
		return code.TargetFailed
	}
}
