package retry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/retry"
)

func spend(allowance *retry.Allowance, most int, slack float64) int {
	count := 0
	for range most {
		if allowance.Spend(slack) {
			count++
		}
	}
	return count
}

func TestAllowanceIsAShareOfTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allowance := retry.NewAllowance(0.2, 10*time.Second)
		if got := spend(allowance, 5, 0.5); got != 0 {
			t.Errorf("%d calls without a request", got)
		}
		for range 100 {
			allowance.Fresh()
			time.Sleep(50 * time.Millisecond)
		}
		// The requests of the last 5 s count at once, also if all fail at the
		// same time.
		if got := spend(allowance, 100, 3); got != 23 {
			t.Errorf("%d calls, want 20 and the slack of 3", got)
		}
		time.Sleep(4 * time.Second)
		if got := spend(allowance, 100, 3); got != 0 {
			t.Errorf("%d more calls in the same window", got)
		}
		time.Sleep(20 * time.Second)
		if got := spend(allowance, 100, 3); got != 3 {
			t.Errorf("%d calls in a new window, want the slack", got)
		}
	})
}

// In no window are there more extra calls than the share of its requests and
// the slack, whenever these come and however the slack changes below its most.
func TestAllowanceHoldsInEachWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const (
			share  = 0.3
			window = 10 * time.Second
		)
		steps := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 60).Draw(rt, "steps")
		type second struct{ fresh, extra int }
		var seconds []second
		synctest.Test(t, func(*testing.T) {
			allowance := retry.NewAllowance(share, window)
			for i, step := range steps {
				now := second{fresh: step % 20}
				for range now.fresh {
					allowance.Fresh()
				}
				now.extra = spend(allowance, step, float64(i%6))
				seconds = append(seconds, now)
				time.Sleep(time.Second)
			}
		})
		sum := func(end int) (fresh, extra int) {
			for _, second := range seconds[max(0, end-9) : end+1] {
				fresh += second.fresh
				extra += second.extra
			}
			return fresh, extra
		}
		for end := range seconds {
			_, extra := sum(end)
			// The last call of a window may count requests from before it: those
			// of the window that ends with this call.
			most := 0
			for last := max(0, end-9); last <= end; last++ {
				fresh, _ := sum(last)
				most = max(most, fresh)
			}
			if float64(extra) > share*float64(most)+5 {
				rt.Fatalf("%d extra calls in the 10 s to %d, %.1f allowed", extra, end, share*float64(most)+5)
			}
		}
	})
}
