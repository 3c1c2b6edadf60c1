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
		State:      rapid.SampledFrom([]retry.State{retry.NotSent, retry.MayHaveRun, retry.Ran}).Draw(t, "state"),
		Tries:      rapid.IntRange(1, 4).Draw(t, "tries"),
		Repeatable: rapid.Bool().Draw(t, "repeatable"),
		Resumable:  rapid.Bool().Draw(t, "resumable"),
		CallerGone: rapid.Bool().Draw(t, "caller gone"),
		Timeout:    rapid.Bool().Draw(t, "timeout"),
		Expected:   time.Duration(rapid.IntRange(0, 3).Draw(t, "expected")) * time.Second,
	}
	attempt.Delivered = attempt.State == retry.Ran && rapid.Bool().Draw(t, "delivered")
	attempt.Refused = attempt.State != retry.NotSent && rapid.Bool().Draw(t, "refused")
	if rapid.Bool().Draw(t, "has deadline") {
		attempt.Deadline = start.Add(2 * time.Second)
	}
	if rapid.Bool().Draw(t, "has cause") {
		attempt.Err = code.Errorf(code.NoTarget, "cause")
	}
	return attempt
}

// TestDecideNeverRunsTwice draws attempts: what may have run is repeated only
// if it may be, and "not run" is said only when it is true.
func TestDecideNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := drawAttempt(t)
		policy := retry.New(retry.WithTries(3))
		decision := policy.DecideAt(start, attempt)
		notRun := attempt.State == retry.NotSent || attempt.Refused && !attempt.Delivered
		elsewhere := decision.Action != retry.Answer
		switch {
		case elsewhere && !notRun && !attempt.Repeatable:
			t.Fatalf("%+v: may run twice", attempt)
		case elsewhere && (attempt.CallerGone || attempt.Tries >= 3):
			t.Fatalf("%+v: tried again", attempt)
		case elsewhere && !attempt.Deadline.IsZero() && start.Add(decision.Delay+attempt.Expected).After(attempt.Deadline):
			t.Fatalf("%+v: tried again past the deadline", attempt)
		case decision.Action == retry.Again && attempt.Delivered:
			t.Fatalf("%+v: an answer begun is sent again", attempt)
		case decision.Action == retry.Resume && (!attempt.Delivered || !attempt.Resumable || !attempt.Repeatable):
			t.Fatalf("%+v: resumed", attempt)
		case !elsewhere && (decision.Err == nil || decision.Delay != 0):
			t.Fatalf("%+v: answer held back or without an error", attempt)
		case !elsewhere && (code.RunOf(decision.Err) == code.NotRun) != notRun:
			t.Fatalf("%+v: %v says %v", attempt, decision.Err, code.RunOf(decision.Err))
		case !elsewhere && attempt.Tries < 3 && attempt.Deadline.IsZero() && !attempt.CallerGone && notRun:
			t.Fatalf("%+v: given up", attempt)
		}
	})
}

// TestCodes pins what the caller is told.
func TestCodes(t *testing.T) {
	cause := errors.New("reset")
	cases := []struct {
		attempt retry.Attempt
		want    code.Code
		run     code.Run
	}{
		{retry.Attempt{State: retry.NotSent, Tries: 9, Err: cause}, code.NoTarget, code.NotRun},
		{retry.Attempt{State: retry.MayHaveRun, Tries: 1}, code.OutcomeUnknown, code.RunUnknown},
		{retry.Attempt{State: retry.MayHaveRun, Tries: 1, Timeout: true}, code.OutcomeUnknown, code.RunUnknown},
		{retry.Attempt{State: retry.MayHaveRun, Tries: 9, Repeatable: true, Timeout: true}, code.TargetTimeout, code.RunUnknown},
		{retry.Attempt{State: retry.MayHaveRun, Tries: 9, Repeatable: true}, code.TargetFailed, code.RunUnknown},
		{retry.Attempt{State: retry.MayHaveRun, Tries: 9, Refused: true}, code.TargetRefused, code.NotRun},
		{retry.Attempt{State: retry.Ran, Tries: 9, Refused: true}, code.TargetRefused, code.NotRun},
		{retry.Attempt{State: retry.Ran, Tries: 1, Delivered: true}, code.AnswerTruncated, code.Ran},
		{retry.Attempt{State: retry.MayHaveRun, Tries: 1, CallerGone: true}, code.CallerGone, code.RunUnknown},
	}
	for _, test := range cases {
		decision := retry.New().DecideAt(start, test.attempt)
		if code.Of(decision.Err) != test.want || code.RunOf(decision.Err) != test.run {
			t.Errorf("%+v: %v, %v", test.attempt, code.Of(decision.Err), code.RunOf(decision.Err))
		}
	}
}

// TestBudgetBoundsTries draws fresh work, tries and pauses: tries never exceed
// what was there at the start, the share of fresh work and the floor.
func TestBudgetBoundsTries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share, floor, limit = 0.1, 2.0, 5.0
		budget := retry.NewBudget(share, floor, limit)
		policy := retry.New(retry.WithBudget(budget), retry.WithTries(9))
		now, fresh, tries := start, 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				policy.Fresh()
				fresh++
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			default:
				if policy.DecideAt(now, retry.Attempt{State: retry.MayHaveRun, Repeatable: true, Tries: 1}).Action != retry.Answer {
					tries++
				}
			}
		}
		if left := budget.Left(); left > limit {
			t.Fatalf("%v tries left", left)
		}
		if bound := limit + share*float64(fresh) + floor*now.Sub(start).Seconds(); float64(tries) > bound+1e-9 {
			t.Fatalf("%d tries, bound %v", tries, bound)
		}
	})
}

func TestHedge(t *testing.T) {
	wait := retry.Wait{Sent: start, Repeatable: true, Expected: 100 * time.Millisecond}
	late := start.Add(time.Second)
	cases := map[string]func(*retry.Wait){
		"not repeatable":   func(wait *retry.Wait) { wait.Repeatable = false },
		"after first byte": func(wait *retry.Wait) { wait.FirstByte = true },
		"hedged already":   func(wait *retry.Wait) { wait.Hedged = true },
		"too soon":         func(wait *retry.Wait) { wait.Sent = late.Add(-150 * time.Millisecond) },
		"past deadline":    func(wait *retry.Wait) { wait.Deadline = late.Add(50 * time.Millisecond) },
	}
	policy := retry.New(retry.WithHedgeBudget(retry.NewBudget(0.02, 0, 2)))
	for name, change := range cases {
		changed := wait
		change(&changed)
		if policy.Hedge(late, changed) {
			t.Errorf("hedged: %s", name)
		}
	}
	hedges := 0
	for range 1000 {
		policy.Fresh()
		if policy.Hedge(late, wait) {
			hedges++
		}
	}
	if hedges < 20 || hedges > 22 {
		t.Errorf("%d hedges of 1000", hedges)
	}
}

// storm sends requests to targets of which a third disappears in the middle.
// It returns the attempts that reached a target and the good answers, both per
// request. What a target gets beyond its capacity within a second fails, after it took
// a part of the time of an answer, given by waste. Retries go out in the next
// second.
func storm(seed uint64, policy *retry.Policy, waste float64) (sent, goodput float64) {
	const targets, perSecond, secondsTotal, capacityEach = 12, 240, 60, 24
	random := rand.New(rand.NewPCG(seed, 4))
	reached, good, requests := 0, 0, 0
	var again []int // tries so far of requests to retry
	for second := range secondsTotal {
		arrivals := again
		for range perSecond {
			policy.Fresh()
			requests++
			arrivals = append(arrivals, 0)
		}
		again = nil
		var queues [targets][]int
		for _, tries := range arrivals {
			target := random.IntN(targets)
			queues[target] = append(queues[target], tries+1)
		}
		for target, queue := range queues {
			served := min(len(queue), int(capacityEach-waste*float64(max(0, len(queue)-capacityEach))))
			state := retry.MayHaveRun
			if second >= secondsTotal/2 && target < targets/3 {
				served, state = 0, retry.NotSent
			} else {
				reached += len(queue)
			}
			served = max(0, served)
			good += served
			for _, tries := range queue[served:] {
				attempt := retry.Attempt{State: state, Repeatable: true, Tries: tries}
				if policy.DecideAt(start.Add(time.Duration(second)*time.Second), attempt).Action != retry.Answer {
					again = append(again, tries)
				}
			}
		}
	}
	return float64(reached) / float64(requests), float64(good) / float64(requests)
}

func TestNoStormWhenAThirdIsGone(t *testing.T) {
	for seed := range uint64(5) {
		if sent, _ := storm(seed+1, retry.New(), 0.5); sent > 1.1 {
			t.Errorf("seed %d: %v attempts per request at targets", seed+1, sent)
		}
	}
}

// BenchmarkStorm measures attempts per request and goodput while a third of
// the targets disappears, with the budget, without one, and without retries.
func BenchmarkStorm(b *testing.B) {
	ways := []struct {
		name string
		make func() *retry.Policy
	}{
		{"budget", func() *retry.Policy { return retry.New() }},
		{"three-tries", func() *retry.Policy { return retry.New(retry.WithBudget(retry.NewBudget(3, 0, 1e9))) }},
		{"no-retry", func() *retry.Policy { return retry.New(retry.WithTries(1)) }},
	}
	for _, waste := range []float64{0, 0.25, 0.5} {
		for _, way := range ways {
			b.Run(fmt.Sprintf("waste=%v/%s", waste, way.name), func(b *testing.B) {
				const seeds = 5
				for range b.N {
					var attempts, goodput float64
					for seed := range uint64(seeds) {
						a, g := storm(seed+1, way.make(), waste)
						attempts, goodput = attempts+a/seeds, goodput+g/seeds
					}
					b.ReportMetric(attempts, "sent/request")
					b.ReportMetric(100*goodput, "goodput-%")
				}
			})
		}
	}
}

func TestAWholeBatchIsResumed(t *testing.T) {
	policy := retry.New()
	resumed := 0
	for range 1000 {
		decision := policy.Decide(retry.Attempt{State: retry.Ran, Tries: 1, Repeatable: true, Delivered: true, Resumable: true})
		if decision.Action == retry.Resume {
			resumed++
		}
	}
	if resumed < 256 || resumed > 300 {
		t.Fatalf("%d of 1000 answers were resumed at once", resumed)
	}
}
