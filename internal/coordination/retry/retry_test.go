package retry_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/retry"
	"mangopier.example/mangopier/internal/protocol/code"
)

var start = time.UnixMilli(1e12)

func drawAttempt(t *rapid.T) retry.Attempt {
	attempt := retry.Attempt{
		State:           rapid.SampledFrom([]retry.State{retry.NotSent, retry.MayHaveRun, retry.Responded}).Draw(t, "state"),
		AttemptCount:    rapid.IntRange(1, 4).Draw(t, "attempts"),
		Repeatable:      rapid.Bool().Draw(t, "repeatable"),
		Resumable:       rapid.Bool().Draw(t, "resumable"),
		CallerGone:      rapid.Bool().Draw(t, "caller gone"),
		TimedOut:        rapid.Bool().Draw(t, "timeout"),
		ExpectedLatency: time.Duration(rapid.IntRange(0, 3).Draw(t, "expected")) * time.Second,
	}
	attempt.ResponseStarted = attempt.State == retry.Responded && rapid.Bool().Draw(t, "response started")
	attempt.Refused = attempt.State != retry.NotSent && rapid.Bool().Draw(t, "refused")
	if rapid.Bool().Draw(t, "has deadline") {
		attempt.Deadline = start.Add(2 * time.Second)
	}
	if rapid.Bool().Draw(t, "has cause") {
		attempt.Err = code.Errorf(code.NoTarget, "cause")
	}
	return attempt
}

// TestDecideNeverRunsTwice checks with random attempts that a request that may
// have run is resent only if it is repeatable, and that the error says "not run"
// only if that is certain.
func TestDecideNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := drawAttempt(t)
		policy := retry.New(retry.WithMaxAttempts(3))
		decision := policy.DecideAt(start, attempt)
		notRun := attempt.State == retry.NotSent || attempt.Refused && !attempt.ResponseStarted
		continues := decision.Action != retry.ReturnError
		switch {
		case continues && !notRun && !attempt.Repeatable:
			t.Fatalf("%+v: continued, but the request may run twice", attempt)
		case continues && (attempt.CallerGone || attempt.AttemptCount >= 3):
			t.Fatalf("%+v: continued after the caller left or after 3 attempts", attempt)
		case continues && !attempt.Deadline.IsZero() && start.Add(decision.Delay+attempt.ExpectedLatency).After(attempt.Deadline):
			t.Fatalf("%+v: continued past the deadline", attempt)
		case decision.Action == retry.RetryElsewhere && attempt.ResponseStarted:
			t.Fatalf("%+v: resent although the response had started", attempt)
		case decision.Action == retry.Resume && (!attempt.ResponseStarted || !attempt.Resumable || !attempt.Repeatable):
			t.Fatalf("%+v: resumed, but the response can't be", attempt)
		case !continues && (decision.Err == nil || decision.Delay != 0):
			t.Fatalf("%+v: got error %v after a delay of %v, want an error without delay", attempt, decision.Err, decision.Delay)
		case !continues && (code.RunStatusFromError(decision.Err) == code.NotRun) != notRun:
			t.Fatalf("%+v: run status of %v is %v, want not run: %v", attempt, decision.Err, code.RunStatusFromError(decision.Err), notRun)
		case !continues && attempt.AttemptCount < 3 && attempt.Deadline.IsZero() && !attempt.CallerGone && notRun:
			t.Fatalf("%+v: not continued, but the request has not run", attempt)
		}
	})
}

// TestErrorCodes checks the result code and run status returned to the caller.
func TestErrorCodes(t *testing.T) {
	cause := errors.New("reset")
	cases := []struct {
		attempt retry.Attempt
		want    code.Code
		run     code.RunStatus
	}{
		{retry.Attempt{State: retry.NotSent, AttemptCount: 9, Err: cause}, code.NoTarget, code.NotRun},
		{retry.Attempt{State: retry.MayHaveRun, AttemptCount: 1}, code.OutcomeUnknown, code.RunUnknown},
		{retry.Attempt{State: retry.MayHaveRun, AttemptCount: 1, TimedOut: true}, code.OutcomeUnknown, code.RunUnknown},
		{retry.Attempt{State: retry.MayHaveRun, AttemptCount: 9, Repeatable: true, TimedOut: true}, code.TargetTimeout, code.RunUnknown},
		{retry.Attempt{State: retry.MayHaveRun, AttemptCount: 9, Repeatable: true}, code.TargetFailed, code.RunUnknown},
		{retry.Attempt{State: retry.MayHaveRun, AttemptCount: 9, Refused: true}, code.TargetRefused, code.NotRun},
		{retry.Attempt{State: retry.Responded, AttemptCount: 9, Refused: true}, code.TargetRefused, code.NotRun},
		{retry.Attempt{State: retry.Responded, AttemptCount: 1, ResponseStarted: true}, code.AnswerTruncated, code.Ran},
		{retry.Attempt{State: retry.MayHaveRun, AttemptCount: 1, CallerGone: true}, code.CallerGone, code.RunUnknown},
	}
	for _, test := range cases {
		decision := retry.New().DecideAt(start, test.attempt)
		if code.FromError(decision.Err) != test.want || code.RunStatusFromError(decision.Err) != test.run {
			t.Errorf("%+v: got %v, %v, want %v, %v", test.attempt, code.FromError(decision.Err), code.RunStatusFromError(decision.Err), test.want, test.run)
		}
	}
}

// TestBudgetBoundsRetries checks with random requests, retries and pauses that
// the retries never exceed the initial budget plus the share of the requests and
// the refill by time.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share, refillPerSecond, limit = 0.1, 2.0, 5.0
		budget := retry.NewBudget(share, refillPerSecond, limit)
		policy := retry.New(retry.WithBudget(budget), retry.WithMaxAttempts(9))
		now, requests, retries := start, 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				policy.CountRequest()
				requests++
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			default:
				if policy.DecideAt(now, retry.Attempt{State: retry.MayHaveRun, Repeatable: true, AttemptCount: 1}).Action != retry.ReturnError {
					retries++
				}
			}
		}
		if remaining := budget.Remaining(); remaining > limit {
			t.Fatalf("budget.Remaining() = %v, want at most %v", remaining, limit)
		}
		if bound := limit + share*float64(requests) + refillPerSecond*now.Sub(start).Seconds(); float64(retries) > bound+1e-9 {
			t.Fatalf("%d retries, want at most %v", retries, bound)
		}
	})
}

func TestAllowHedge(t *testing.T) {
	pending := retry.PendingAttempt{SentAt: start, Repeatable: true, ExpectedTTFB: 100 * time.Millisecond}
	late := start.Add(time.Second)
	cases := map[string]func(*retry.PendingAttempt){
		"not repeatable":   func(pending *retry.PendingAttempt) { pending.Repeatable = false },
		"after first byte": func(pending *retry.PendingAttempt) { pending.ResponseStarted = true },
		"already hedged":   func(pending *retry.PendingAttempt) { pending.Hedged = true },
		"too early":        func(pending *retry.PendingAttempt) { pending.SentAt = late.Add(-150 * time.Millisecond) },
		"past deadline":    func(pending *retry.PendingAttempt) { pending.Deadline = late.Add(50 * time.Millisecond) },
	}
	policy := retry.New(retry.WithHedgeBudget(retry.NewBudget(0.02, 0, 2)))
	for name, change := range cases {
		changed := pending
		change(&changed)
		if policy.AllowHedge(late, changed) {
			t.Errorf("%s: policy.AllowHedge() = true, want false", name)
		}
	}
	hedges := 0
	for range 1000 {
		policy.CountRequest()
		if policy.AllowHedge(late, pending) {
			hedges++
		}
	}
	if hedges < 20 || hedges > 22 {
		t.Errorf("%d of 1000 requests were hedged, want 20 to 22", hedges)
	}
}

// simulateTargetLoss sends requests to targets of which a third is lost after
// half of the time. It returns the attempts that reached a target and the
// successful responses, both per request. Attempts above a target's capacity
// within a second fail, each after using the share waste of the capacity that a
// response takes. Retries are sent in the next second.
func simulateTargetLoss(seed uint64, policy *retry.Policy, waste float64) (sent, goodput float64) {
	const targets, requestsPerSecond, durationSeconds, targetCapacity = 12, 240, 60, 24
	random := rand.New(rand.NewPCG(seed, 4))
	reached, successes, requests := 0, 0, 0
	var retries []int // attempts made so far, by request to retry
	for second := range durationSeconds {
		arrivals := retries
		for range requestsPerSecond {
			policy.CountRequest()
			requests++
			arrivals = append(arrivals, 0)
		}
		retries = nil
		var queues [targets][]int
		for _, attempts := range arrivals {
			target := random.IntN(targets)
			queues[target] = append(queues[target], attempts+1)
		}
		for target, queue := range queues {
			served := min(len(queue), int(targetCapacity-waste*float64(max(0, len(queue)-targetCapacity))))
			state := retry.MayHaveRun
			if second >= durationSeconds/2 && target < targets/3 {
				served, state = 0, retry.NotSent
			} else {
				reached += len(queue)
			}
			served = max(0, served)
			successes += served
			for _, attempts := range queue[served:] {
				attempt := retry.Attempt{State: state, Repeatable: true, AttemptCount: attempts}
				if policy.DecideAt(start.Add(time.Duration(second)*time.Second), attempt).Action != retry.ReturnError {
					retries = append(retries, attempts)
				}
			}
		}
	}
	return float64(reached) / float64(requests), float64(successes) / float64(requests)
}

func TestNoRetryStormWhenThirdOfTargetsIsLost(t *testing.T) {
	for seed := range uint64(5) {
		if sent, _ := simulateTargetLoss(seed+1, retry.New(), 0.5); sent > 1.1 {
			t.Errorf("seed %d: %v attempts per request reached a target, want at most 1.1", seed+1, sent)
		}
	}
}

// BenchmarkTargetLoss measures attempts per request and goodput while a third of
// the targets is lost: with the default budget, with three attempts and no
// effective budget, and without retries.
func BenchmarkTargetLoss(b *testing.B) {
	policies := []struct {
		name      string
		newPolicy func() *retry.Policy
	}{
		{"budget", func() *retry.Policy { return retry.New() }},
		{"three-tries", func() *retry.Policy { return retry.New(retry.WithBudget(retry.NewBudget(3, 0, 1e9))) }},
		{"no-retry", func() *retry.Policy { return retry.New(retry.WithMaxAttempts(1)) }},
	}
	for _, waste := range []float64{0, 0.25, 0.5} {
		for _, policy := range policies {
			b.Run(fmt.Sprintf("waste=%v/%s", waste, policy.name), func(b *testing.B) {
				const seeds = 5
				for range b.N {
					var attempts, goodput float64
					for seed := range uint64(seeds) {
						a, g := simulateTargetLoss(seed+1, policy.newPolicy(), waste)
						attempts, goodput = attempts+a/seeds, goodput+g/seeds
					}
					b.ReportMetric(attempts, "sent/request")
					b.ReportMetric(100*goodput, "goodput-%")
				}
			})
		}
	}
}

func TestResumesWholeBatch(t *testing.T) {
	policy := retry.New()
	resumed := 0
	for range 1000 {
		decision := policy.Decide(retry.Attempt{State: retry.Responded, AttemptCount: 1, Repeatable: true, ResponseStarted: true, Resumable: true})
		if decision.Action == retry.Resume {
			resumed++
		}
	}
	if resumed < 256 || resumed > 300 {
		t.Fatalf("%d of 1000 responses were resumed at once, want 256 to 300", resumed)
	}
}
