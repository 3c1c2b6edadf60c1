package code

import (
	"time"

	"github.com/ansel1/merry/v2"
)

type errorKey int

const (
	codeKey errorKey = iota
	runKey
	retryKey
	delayKey
)

// Errorf returns an error with a code. The format follows fmt.Sprintf; a
// wrapped cause is given by %w.
func Errorf(code Code, format string, args ...any) error {
	err := merry.Errorf(format, args...)
	return merry.Wrap(err, merry.WithValue(codeKey, code))
}

// Wrap returns err with a code and a message in front of its own.
func Wrap(err error, code Code, message string) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.WithValue(codeKey, code), merry.PrependMessage(message))
}

// WithRun returns err with another statement about the run of the request
// than its code makes.
func WithRun(err error, run Run) error {
	return merry.Wrap(err, merry.WithValue(runKey, run))
}

// WithRetry returns err with another retry hint, in seconds, than its code
// gives.
func WithRetry(err error, seconds int) error {
	return merry.Wrap(err, merry.WithValue(retryKey, seconds))
}

// Of returns the code of err, and Internal for an error without one.
func Of(err error) Code {
	if code, ok := merry.Value(err, codeKey).(Code); ok {
		return code
	}
	return Internal
}

// Is reports whether err has the code.
func Is(err error, code Code) bool {
	return err != nil && Of(err) == code
}

// RunOf returns what err says of the run of its request.
func RunOf(err error) Run {
	if run, ok := merry.Value(err, runKey).(Run); ok {
		return run
	}
	return Lookup(Of(err)).Run
}

// RetryOf returns the retry hint of err in seconds, 0 for never.
func RetryOf(err error) int {
	if seconds, ok := merry.Value(err, retryKey).(int); ok {
		return seconds
	}
	return Lookup(Of(err)).Retry
}

// WithRetryDelay returns err with another retry hint than its code gives, to
// the millisecond.
func WithRetryDelay(err error, delay time.Duration) error {
	return merry.Wrap(err, merry.WithValue(delayKey, delay))
}

// RetryDelayOf returns the retry hint of err, 0 for never.
func RetryDelayOf(err error) time.Duration {
	if delay, ok := merry.Value(err, delayKey).(time.Duration); ok {
		return delay
	}
	return time.Duration(RetryOf(err)) * time.Second
}
