package retry

import (
	"math/rand/v2"
	"time"
)

const (
	triesDefault = 3
	shareDefault = 0.10
	hedgeDefault = 0.02
	floorDefault = 0.2 // tries per second
	limitDefault = 10.0
	// An engine may crash under its whole batch, whose answers then go on at
	// other engines all at once.
	resumeShare      = 0.5
	resumeLimit      = 256.0
	backoffFirst     = 5 * time.Millisecond
	backoffMax       = 200 * time.Millisecond
	hedgeDelayFactor = 2 // on the expected time to the first byte
)

// Policy decides after failed attempts and about hedges. Its methods may be
// called by several goroutines.
type Policy struct {
	tries   int
	random  func() float64
	retries *Budget
	resumes *Budget
	hedges  *Budget
}

// Option changes a setting of a policy.
type Option func(*Policy)

// WithTries sets the most attempts per request.
func WithTries(count int) Option {
	return func(policy *Policy) { policy.tries = count }
}

// WithBudget sets the budget of retries.
func WithBudget(budget *Budget) Option {
	return func(policy *Policy) { policy.retries = budget }
}

// WithHedgeBudget sets the budget of hedges.
func WithHedgeBudget(budget *Budget) Option {
	return func(policy *Policy) { policy.hedges = budget }
}

// WithRandom sets the source of numbers in [0, 1) for jitter. It has to be
// safe for use by several goroutines when the policy is.
func WithRandom(source func() float64) Option {
	return func(policy *Policy) { policy.random = source }
}

// New returns a policy.
func New(opts ...Option) *Policy {
	policy := &Policy{
		tries:   triesDefault,
		random:  rand.Float64,
		retries: NewBudget(shareDefault, floorDefault, limitDefault),
		resumes: NewBudget(resumeShare, floorDefault, resumeLimit),
		hedges:  NewBudget(hedgeDefault, 0, limitDefault),
	}
	for _, opt := range opts {
		opt(policy)
	}
	return policy
}

// Fresh counts a fresh request. It has to be called once for each request
// that is sent for the first time.
func (policy *Policy) Fresh() {
	policy.retries.Fresh()
	policy.resumes.Fresh()
	policy.hedges.Fresh()
}

// Decide returns what to do after a failed attempt.
func (policy *Policy) Decide(attempt Attempt) Decision {
	return policy.DecideAt(time.Now(), attempt)
}

// DecideAt is Decide at a given time.
func (policy *Policy) DecideAt(now time.Time, attempt Attempt) Decision {
	action := attempt.movable()
	delay := policy.backoff(attempt.Tries)
	switch {
	case action == Answer,
		attempt.Tries >= policy.tries,
		!inTime(now.Add(delay), &attempt),
		!policy.allows(now, &attempt):
		return Decision{Action: Answer, Err: attempt.answer()}
	default:
		return Decision{Action: action, Delay: delay}
	}
}

// Wait describes an attempt that has not answered yet.
type Wait struct {
	Sent       time.Time
	FirstByte  bool // bytes of the answer have come
	Hedged     bool // a second attempt runs already
	Repeatable bool
	Expected   time.Duration // until the first byte
	Deadline   time.Time     // the caller's, zero for none
}

// HedgeAfter returns how long after its sending a request that waits for its
// first byte may be hedged, zero for never.
func (policy *Policy) HedgeAfter(wait Wait) time.Duration {
	if !wait.Repeatable || wait.FirstByte || wait.Hedged || wait.Expected <= 0 {
		return 0
	}
	return hedgeDelayFactor * wait.Expected
}

// Hedge decides whether a second attempt is sent now, and spends the budget
// of hedges if so.
func (policy *Policy) Hedge(now time.Time, wait Wait) bool {
	after := policy.HedgeAfter(wait)
	if after == 0 || now.Sub(wait.Sent) < after {
		return false
	}
	if !wait.Deadline.IsZero() && now.Add(wait.Expected).After(wait.Deadline) {
		return false
	}
	return policy.hedges.Spend(now)
}

// allows spends the budget of retries, or that of resumed answers, each of
// which takes the place of work that its target has lost. A retry after an attempt that reached
// no target is free, as it puts no more load on the targets than the request
// itself.
func (policy *Policy) allows(now time.Time, attempt *Attempt) bool {
	switch {
	case attempt.State == NotSent:
		return true
	case attempt.Delivered:
		return policy.resumes.Spend(now)
	default:
		return policy.retries.Spend(now)
	}
}

// backoff returns a jittered delay. The first retry goes out at once, as it
// goes to another target.
func (policy *Policy) backoff(tries int) time.Duration {
	if tries <= 1 {
		return 0
	}
	bound := min(backoffMax, backoffFirst<<min(tries, 16))
	return time.Duration(policy.random() * float64(bound))
}

func inTime(start time.Time, attempt *Attempt) bool {
	return attempt.Deadline.IsZero() || !start.Add(attempt.Expected).After(attempt.Deadline)
}
