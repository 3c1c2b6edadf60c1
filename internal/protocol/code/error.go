package code

import (
	"time"

	"github.com/ansel1/merry/v2"
)

type errorKey int

const (
	codeKey errorKey = iota
	runStatusKey
	retryAfterSecondsKey
	retryDelayKey
)

// Errorf returns an error with a code. The format is that of fmt.Errorf,
// including %w.
func Errorf(code Code, format string, args ...any) error {
	err := merry.Errorf(format, args...)
	return merry.Wrap(err, merry.WithValue(codeKey, code))
}

// Wrap returns err with a code and with message in front of its own text. It
// returns nil if err is nil.
func Wrap(err error, code Code, message string) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.WithValue(codeKey, code), merry.PrependMessage(message))
}

// WithRunStatus returns err with a run status that overrides the default of its code.
func WithRunStatus(err error, runStatus RunStatus) error {
	return merry.Wrap(err, merry.WithValue(runStatusKey, runStatus))
}

// WithRetryAfterSeconds returns err with a retry hint in seconds that overrides
// the default of its code.
func WithRetryAfterSeconds(err error, seconds int) error {
	return merry.Wrap(err, merry.WithValue(retryAfterSecondsKey, seconds))
}

// FromError returns the code of err, or Internal for an error without one.
func FromError(err error) Code {
	if code, ok := merry.Value(err, codeKey).(Code); ok {
		return code
	}
	return Internal
}

// Is reports whether err has the code.
func Is(err error, code Code) bool {
	return err != nil && FromError(err) == code
}

// RunStatusFromError returns the run status of the request that failed with err:
// the one set by WithRunStatus, otherwise the default of the code.
func RunStatusFromError(err error) RunStatus {
	if runStatus, ok := merry.Value(err, runStatusKey).(RunStatus); ok {
		return runStatus
	}
	return Lookup(FromError(err)).RunStatus
}

// RetryAfterSeconds returns the retry hint of err in seconds, 0 for no retry. It
// ignores hints set by WithRetryDelay.
func RetryAfterSeconds(err error) int {
	if seconds, ok := merry.Value(err, retryAfterSecondsKey).(int); ok {
		return seconds
	}
	return Lookup(FromError(err)).RetryAfterSeconds
}

// WithRetryDelay returns err with a retry hint for RetryDelay that has millisecond
// precision.
func WithRetryDelay(err error, delay time.Duration) error {
	return merry.Wrap(err, merry.WithValue(retryDelayKey, delay))
}

// RetryDelay returns the retry hint of err, 0 for no retry. It prefers a hint set
// by WithRetryDelay over that of RetryAfterSeconds.
func RetryDelay(err error) time.Duration {
	if delay, ok := merry.Value(err, retryDelayKey).(time.Duration); ok {
		return delay
	}
	return time.Duration(RetryAfterSeconds(err)) * time.Second
}
