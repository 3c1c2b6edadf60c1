package admit

import (
	"context"
	"math"
	"sync"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// FIFO is an Admitter that ignores teams, weights and priorities: first come,
// first served.
type FIFO struct {
	queue *Queue
}

// NewFIFO returns a FIFO admitter. The limits of WithQueueLimits apply to
// all teams together.
func NewFIFO(opts ...Option) *FIFO {
	return &FIFO{queue: New(opts...)}
}

// Admit blocks until the request may run, see Admitter.
func (fifo *FIFO) Admit(ctx context.Context, request Request) (Release, error) {
	request.Team, request.Weight, request.Priority = "", 1, 0
	return fifo.queue.Admit(ctx, request)
}

// TokenBucket is an Admitter that limits each team to a fixed rate. It has no
// queue: a request is granted or refused at once.
type TokenBucket struct {
	rate, burst float64 // cost units per second, cost units
	mutex       sync.Mutex
	buckets     map[string]*bucket
}

type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// NewTokenBucket returns a TokenBucket that refills each team's bucket at rate
// cost units per second, up to burst cost units. The limits apply per instance.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, buckets: map[string]*bucket{}}
}

// Admit takes the request's cost from the team's bucket. If the bucket holds
// too little, it returns an error with code TeamOverloaded and a retry hint.
func (tokenBucket *TokenBucket) Admit(_ context.Context, request Request) (Release, error) {
	if err := tokenBucket.AdmitAt(time.Now(), request); err != nil {
		return nil, err
	}
	return func(float64) {}, nil
}

// AdmitAt is like Admit, with the current time given by the caller.
func (tokenBucket *TokenBucket) AdmitAt(now time.Time, request Request) error {
	tokenBucket.mutex.Lock()
	defer tokenBucket.mutex.Unlock()
	teamBucket, ok := tokenBucket.buckets[request.Team]
	if !ok {
		teamBucket = &bucket{tokens: tokenBucket.burst, updatedAt: now}
		tokenBucket.buckets[request.Team] = teamBucket
	}
	refill := tokenBucket.rate * now.Sub(teamBucket.updatedAt).Seconds()
	teamBucket.tokens, teamBucket.updatedAt = min(tokenBucket.burst, teamBucket.tokens+refill), now
	if teamBucket.tokens >= request.Cost {
		teamBucket.tokens -= request.Cost
		return nil
	}
	wait := (request.Cost - teamBucket.tokens) / tokenBucket.rate
	err := code.Errorf(code.TeamOverloaded, "the rate of team %q is used up", request.Team)
	return code.WithRetryAfterSeconds(err, max(minRetrySeconds, int(math.Ceil(wait))))
}
