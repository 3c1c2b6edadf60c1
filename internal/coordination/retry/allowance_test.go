package retry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/retry"
)

func spendUpTo(windowBudget *retry.WindowBudget, limit int, extraRetries float64) int {
	count := 0
	for range limit {
		if windowBudget.Spend(extraRetries) {
			count++
		}
	}
	return count
}

func TestWindowBudgetIsShareOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		windowBudget := retry.NewWindowBudget(0.2, 10*time.Second)
		if got := spendUpTo(windowBudget, 5, 0.5); got != 0 {
			t.Errorf("%d retries without a request, want 0", got)
		}
		for range 100 {
			windowBudget.CountRequest()
			time.Sleep(50 * time.Millisecond)
		}
		// All requests of the last 5 s add to the budget, even if they fail at the
		// same time.
		if got := spendUpTo(windowBudget, 100, 3); got != 23 {
			t.Errorf("%d retries after 100 requests, want 20 plus 3 extra", got)
		}
		time.Sleep(4 * time.Second)
		if got := spendUpTo(windowBudget, 100, 3); got != 0 {
			t.Errorf("%d more retries in the same window, want 0", got)
		}
		time.Sleep(20 * time.Second)
		if got := spendUpTo(windowBudget, 100, 3); got != 3 {
			t.Errorf("%d retries in a window without requests, want 3 extra", got)
		}
	})
}

// TestWindowBudgetHoldsInEveryWindow checks with random loads that no window has
// more retries than the share of its requests plus the largest number of extra
// retries, which changes with each step.
func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const (
			share  = 0.3
			window = 10 * time.Second
		)
		steps := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 60).Draw(rt, "steps")
		type second struct{ requests, retries int }
		var seconds []second
		synctest.Test(t, func(*testing.T) {
			windowBudget := retry.NewWindowBudget(share, window)
			for i, step := range steps {
				now := second{requests: step % 20}
				for range now.requests {
					windowBudget.CountRequest()
				}
				now.retries = spendUpTo(windowBudget, step, float64(i%6))
				seconds = append(seconds, now)
				time.Sleep(time.Second)
			}
		})
		sum := func(end int) (requests, retries int) {
			for _, second := range seconds[max(0, end-9) : end+1] {
				requests += second.requests
				retries += second.retries
			}
			return requests, retries
		}
		for end := range seconds {
			_, retries := sum(end)
			// The last retry in a window may be granted for requests before the
			// window: those of the window that ends with this retry.
			maxRequests := 0
			for last := max(0, end-9); last <= end; last++ {
				requests, _ := sum(last)
				maxRequests = max(maxRequests, requests)
			}
			if float64(retries) > share*float64(maxRequests)+5 {
				rt.Fatalf("%d retries in the 10 s up to second %d, want at most %.1f", retries, end, share*float64(maxRequests)+5)
			}
		}
	})
}
