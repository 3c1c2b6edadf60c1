// Package pause provides a sleep on the runtime's clock that ends early when its
// context does.
package pause

import (
	"context"
	"time"
)

// For waits for delay or until ctx ends. It reports whether ctx had not ended
// when the wait was over. It returns at once if delay is not positive.
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
