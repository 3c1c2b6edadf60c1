package lease

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
)

// contest is the state of the loop that contests one lease. Only the goroutine
// of the loop uses it.
type contest struct {
	lease    *Lease
	tenure   *tenure // nil while another process may hold the lease
	observed observation
	failures int    // failed store calls in a row
	attempts uint64 // takeovers tried, part of their nonces
}

func (contest *contest) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := contest.step(ctx)
		pause.For(ctx, wait)
	}
	return contest.release(context.WithoutCancel(ctx))
}

// step does one renewal or one look at the holder, and returns how long to
// wait before the next.
func (contest *contest) step(ctx context.Context) time.Duration {
	if contest.tenure != nil {
		return contest.renew(ctx)
	}
	return contest.watch(ctx)
}

// failed counts a failed store call and returns how long to wait.
func (contest *contest) failed(err error, action string) time.Duration {
	options := &contest.lease.options
	options.metrics.failures.Inc()
	if contest.failures == 0 {
		options.logger.Warn().Err(err).Str("action", action).Msg("store call failed")
	}
	wait := options.backoff(contest.failures, contest.tenure != nil || options.standby())
	contest.failures++
	return wait
}

// call bounds one store call.
func (contest *contest) call(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, contest.lease.options.term/callDivisor)
}
