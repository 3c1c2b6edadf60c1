package retry

import (
	"math/rand/v2"
	"time"
)

const (
	defaultMaxAttempts     = 3
	defaultRetryShare      = 0.10
	defaultHedgeShare      = 0.02
	defaultRefillPerSecond = 0.2 // attempts
	defaultBudgetLimit     = 10.0
	// When an engine crashes, all responses of its batch are resumed on other
	// engines at the same time.
	resumeShare      = 0.5
	resumeLimit      = 256.0
	backoffBase      = 5 * time.Millisecond
	maxBackoff       = 200 * time.Millisecond
	hedgeDelayFactor = 2 // multiple of the expected time to first byte
)

// Policy decides whether a failed attempt is retried or resumed, and whether a
// pending one is hedged. It is safe for concurrent use.
type Policy struct {
	maxAttempts  int
	random       func() float64
	retryBudget  *Budget
	resumeBudget *Budget
	hedgeBudget  *Budget
}

// Option changes a setting of a policy.
type Option func(*Policy)

// WithMaxAttempts sets the maximum number of attempts per request.
func WithMaxAttempts(count int) Option {
	return func(policy *Policy) { policy.maxAttempts = count }
}

// WithBudget sets the retry budget.
func WithBudget(budget *Budget) Option {
	return func(policy *Policy) { policy.retryBudget = budget }
}

// WithHedgeBudget sets the hedge budget.
func WithHedgeBudget(budget *Budget) Option {
	return func(policy *Policy) { policy.hedgeBudget = budget }
}

// WithRandom sets the source of numbers in [0, 1) for jitter. It has to be safe
// for concurrent use if the policy is used concurrently.
func WithRandom(source func() float64) Option {
	return func(policy *Policy) { policy.random = source }
}

// New returns a policy with the default budgets and limits, changed by opts.
func New(opts ...Option) *Policy {
	policy := &Policy{
		maxAttempts:  defaultMaxAttempts,
		random:       rand.Float64,
		retryBudget:  NewBudget(defaultRetryShare, defaultRefillPerSecond, defaultBudgetLimit),
		resumeBudget: NewBudget(resumeShare, defaultRefillPerSecond, resumeLimit),
		hedgeBudget:  NewBudget(defaultHedgeShare, 0, defaultBudgetLimit),
	}
	for _, opt := range opts {
		opt(policy)
	}
	return policy
}

// CountRequest counts a new request, which adds to all budgets. It has to be called
// once per request, not for its retries.
func (policy *Policy) CountRequest() {
	policy.retryBudget.CountRequest()
	policy.resumeBudget.CountRequest()
	policy.hedgeBudget.CountRequest()
}

// Decide returns what to do after a failed attempt.
func (policy *Policy) Decide(attempt Attempt) Decision {
	return policy.DecideAt(time.Now(), attempt)
}

// DecideAt is like Decide, but takes the current time.
func (policy *Policy) DecideAt(now time.Time, attempt Attempt) Decision {
	action := attempt.nextAction()
	delay := policy.backoff(attempt.AttemptCount)
	switch {
	case action == ReturnError,
		attempt.AttemptCount >= policy.maxAttempts,
		!fitsDeadline(now.Add(delay), &attempt),
		!policy.spendBudget(now, &attempt):
		return Decision{Action: ReturnError, Err: attempt.callerError()}
	default:
		return Decision{Action: action, Delay: delay}
	}
}

// PendingAttempt describes an attempt that may be hedged.
type PendingAttempt struct {
	SentAt          time.Time
	ResponseStarted bool // bytes of the response were received
	Hedged          bool // a second attempt is already running
	Repeatable      bool
	ExpectedTTFB    time.Duration // expected time to first byte
	Deadline        time.Time     // of the caller, zero if there is none
}

// HedgeDelay returns how long after SentAt the attempt may be hedged, or zero if
// it may not be hedged.
func (policy *Policy) HedgeDelay(pending PendingAttempt) time.Duration {
	if !pending.Repeatable || pending.ResponseStarted || pending.Hedged || pending.ExpectedTTFB <= 0 {
		return 0
	}
	return hedgeDelayFactor * pending.ExpectedTTFB
}

// AllowHedge reports whether to send a second attempt now, and if so takes it
// from the hedge budget.
func (policy *Policy) AllowHedge(now time.Time, pending PendingAttempt) bool {
	delay := policy.HedgeDelay(pending)
	if delay == 0 || now.Sub(pending.SentAt) < delay {
		return false
	}
	if !pending.Deadline.IsZero() && now.Add(pending.ExpectedTTFB).After(pending.Deadline) {
		return false
	}
	return policy.hedgeBudget.Spend(now)
}

// spendBudget takes an attempt from the retry budget, or from the resume budget
// if the response has started: a resumed response replaces work that its target
// has lost. A retry after an attempt that reached no target is free, because it
// adds no load on the targets beyond that of the request itself.
func (policy *Policy) spendBudget(now time.Time, attempt *Attempt) bool {
	switch {
	case attempt.State == NotSent:
		return true
	case attempt.ResponseStarted:
		return policy.resumeBudget.Spend(now)
	default:
		return policy.retryBudget.Spend(now)
	}
}

// backoff returns the jittered delay after the given number of attempts. The
// first retry is not delayed, because it goes to another target.
func (policy *Policy) backoff(attempts int) time.Duration {
	if attempts <= 1 {
		return 0
	}
	limit := min(maxBackoff, backoffBase<<min(attempts, 16))
	return time.Duration(policy.random() * float64(limit))
}

func fitsDeadline(start time.Time, attempt *Attempt) bool {
	return attempt.Deadline.IsZero() || !start.Add(attempt.ExpectedLatency).After(attempt.Deadline)
}
