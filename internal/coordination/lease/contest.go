package lease

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
)

// candidate is the state of the loop that acquires and renews one lease. Only
// the goroutine of that loop uses it.
type candidate struct {
	lease               *Lease
	ownership           *ownership // nil while another process may hold the lease
	observed            observation
	consecutiveFailures int    // of store calls
	takeoverAttempts    uint64 // part of the nonces of takeovers
	heartbeatMissing    bool   // the last read found an epoch row and no heartbeat row
}

func (candidate *candidate) run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay := candidate.step(ctx)
		pause.For(ctx, delay)
	}
	return candidate.release(context.WithoutCancel(ctx))
}

// step renews the lease or checks the holder's heartbeat once. It returns the
// delay before the next step.
func (candidate *candidate) step(ctx context.Context) time.Duration {
	if candidate.ownership != nil {
		return candidate.renew(ctx)
	}
	return candidate.checkHeartbeat(ctx)
}

// recordFailure counts a failed store call and returns the backoff before the
// next one. Only the first failure in a row is logged.
func (candidate *candidate) recordFailure(err error, action string) time.Duration {
	options := &candidate.lease.options
	options.metrics.failures.Inc()
	if candidate.consecutiveFailures == 0 {
		options.logger.Warn().Err(err).Str("action", action).Msg("store call for the lease failed")
	}
	delay := options.backoff(candidate.consecutiveFailures, candidate.ownership != nil || options.standby())
	candidate.consecutiveFailures++
	return delay
}

// withCallTimeout returns a context for one store call.
func (candidate *candidate) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, candidate.lease.options.duration/callTimeoutDivisor)
}
