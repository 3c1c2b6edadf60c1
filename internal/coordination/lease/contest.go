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
	answered            bool   // the table has answered a call
	era                 uint64
	eraKnown            bool
	// unsureSince is the time from which on there may be a holder whose rows the table
	// does not have.
	unsureSince time.Time
}

func (candidate *candidate) run(ctx context.Context) error {
	if !candidate.lease.options.firstStart {
		candidate.unsureSince = time.Now()
	}
	for ctx.Err() == nil {
		delay := candidate.step(ctx)
		pause.For(ctx, delay)
	}
	return candidate.release(context.WithoutCancel(ctx))
}

// step renews the lease or checks the holder's heartbeat once. It returns the
// delay before the next step.
func (candidate *candidate) step(ctx context.Context) time.Duration {
	candidate.followEra()
	if candidate.ownership != nil {
		return candidate.renew(ctx)
	}
	return candidate.checkHeartbeat(ctx)
}

// followEra ends the ownership, and what was observed, when the table has been restored
// from a copy. It returns true then. The era is known from the first answer of the table on.
func (candidate *candidate) followEra() bool {
	era := candidate.lease.options.era()
	restored := candidate.eraKnown && era != candidate.era
	candidate.era, candidate.eraKnown = era, candidate.answered
	if !restored {
		return false
	}
	candidate.unsureSince, candidate.observed, candidate.heartbeatMissing = time.Now(), observation{}, false
	candidate.lease.options.logger.Warn().Uint64("era", era).Bool("holder", candidate.ownership != nil).
		Msg("table was restored from a copy; the lease is taken over anew")
	if candidate.ownership != nil {
		candidate.dropOwnership()
	}
	return true
}

// untilSure returns how long an unknown holder may still count itself as one, 0 if there
// is none.
func (candidate *candidate) untilSure() time.Duration {
	if candidate.unsureSince.IsZero() {
		return 0
	}
	return max(0, candidate.lease.options.duration-time.Since(candidate.unsureSince))
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
