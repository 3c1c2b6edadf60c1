// Package retry offers the decision what to do after an attempt at a target
// failed: try elsewhere, resume the answer elsewhere, or tell the caller.
//
// Retries and hedges spend a budget that fresh work fills, so that they can't
// amplify an overload.
package retry

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// State tells what is known of an attempt.
type State int

// States of attempts.
const (
	NotSent    State = iota // no byte of the request can have reached the target
	MayHaveRun              // the request was sent, at least in part
	Ran                     // the target answered, at least in part; a refusal is told by Refused
)

// Attempt describes an attempt that failed.
type Attempt struct {
	State      State
	Tries      int           // attempts made for the request, this one included
	Repeatable bool          // the request may be run more than once
	Delivered  bool          // bytes of the answer went to the caller
	Resumable  bool          // the engine's resume can continue the answer elsewhere
	CallerGone bool          // the caller left
	Timeout    bool          // the attempt failed because the target took too long
	Refused    bool          // the target stated that it did not run the request
	Deadline   time.Time     // the caller's, zero for none
	Expected   time.Duration // until another target answers
	Err        error         // cause, may be nil
}

// Action is what to do after an attempt.
type Action int

// Actions after attempts.
const (
	Answer Action = iota // tell the caller the decision's error, at once
	Again                // send the request to another target
	Resume               // continue the answer at another target
)

// Decision is what to do after an attempt.
type Decision struct {
	Action Action
	Delay  time.Duration // wait before sending, zero for Answer
	Err    error         // for Answer: numbered, with a true statement about the run
}

// run returns what may be said of the request's run.
func (attempt *Attempt) run() code.Run {
	switch {
	case attempt.State == NotSent, attempt.refused():
		return code.NotRun
	case attempt.State == Ran:
		return code.Ran
	default:
		return code.RunUnknown
	}
}

// refused reports whether the target's statement that it did not run the
// request can be true.
func (attempt *Attempt) refused() bool {
	return attempt.Refused && !attempt.Delivered
}

// movable returns how the request may go on elsewhere, or Answer if it may
// not.
func (attempt *Attempt) movable() Action {
	switch {
	case attempt.CallerGone:
		return Answer
	case attempt.Delivered && attempt.Resumable && attempt.Repeatable:
		return Resume
	case attempt.Delivered:
		return Answer
	case attempt.Repeatable, attempt.run() == code.NotRun:
		return Again
	default:
		return Answer
	}
}

// answer returns the error for the caller.
func (attempt *Attempt) answer() error {
	err := attempt.Err
	if err == nil {
		err = code.Errorf(attempt.code(), "attempt %d failed", attempt.Tries)
	} else {
		err = code.Wrap(err, attempt.code(), "attempt failed")
	}
	return code.WithRun(err, attempt.run())
}

func (attempt *Attempt) code() code.Code {
	switch {
	case attempt.CallerGone:
		return code.CallerGone
	case attempt.refused():
		return code.TargetRefused
	case attempt.State == NotSent:
		return code.NoTarget
	case attempt.Delivered, attempt.State == Ran:
		return code.AnswerTruncated
	case !attempt.Repeatable:
		return code.OutcomeUnknown
	case attempt.Timeout:
		return code.TargetTimeout
	default:
		return code.TargetFailed
	}
}
