package admit

import (
	"context"
	"math"
	"sync"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// FirstCome is the admitter that knows no teams: first come, first served.
type FirstCome struct {
	queue *Queue
}

// NewFirstCome returns a first-come admitter. The bounds of WithQueue hold for
// all teams together.
func NewFirstCome(opts ...Option) *FirstCome {
	return &FirstCome{queue: New(opts...)}
}

// Admit waits until the request may run.
func (firstCome *FirstCome) Admit(ctx context.Context, request Request) (Release, error) {
	request.Team, request.Weight, request.Priority = "", 1, 0
	return firstCome.queue.Admit(ctx, request)
}

// TokenBucket is the admitter that gives each team a fixed rate and queues
// nothing.
type TokenBucket struct {
	rate, burst float64
	mutex       sync.Mutex
	buckets     map[string]*bucket
}

type bucket struct {
	units float64
	at    time.Time
}

// NewTokenBucket returns an admitter by a rate, in cost units per second for
// each team at this instance, and a burst in cost units.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, buckets: map[string]*bucket{}}
}

// Admit takes the cost from the team's bucket or refuses at once.
func (tokenBucket *TokenBucket) Admit(_ context.Context, request Request) (Release, error) {
	if err := tokenBucket.Take(time.Now(), request); err != nil {
		return nil, err
	}
	return func(float64) {}, nil
}

// Take is Admit at a given time.
func (tokenBucket *TokenBucket) Take(now time.Time, request Request) error {
	tokenBucket.mutex.Lock()
	defer tokenBucket.mutex.Unlock()
	known, ok := tokenBucket.buckets[request.Team]
	if !ok {
		known = &bucket{units: tokenBucket.burst, at: now}
		tokenBucket.buckets[request.Team] = known
	}
	gained := tokenBucket.rate * now.Sub(known.at).Seconds()
	known.units, known.at = min(tokenBucket.burst, known.units+gained), now
	if known.units >= request.Cost {
		known.units -= request.Cost
		return nil
	}
	wait := (request.Cost - known.units) / tokenBucket.rate
	err := code.Errorf(code.TeamOverloaded, "the rate of team %q is used up", request.Team)
	return code.WithRetry(err, max(retryMinSeconds, int(math.Ceil(wait))))
}
