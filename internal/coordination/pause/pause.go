// Package pause waits on the runtime's clock.
package pause

import (
	"context"
	"time"
)

// For waits for delay or until ctx ends, and reports whether ctx is still good.
// A delay that is not positive is over at once.
func For(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
