package route

import (
	"math/rand/v2"
	"sync/atomic"
)

// RoundRobin is a picker that returns the targets of a pool in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// Random is a picker that returns a uniformly random target.
type Random struct {
	RandSource func() uint64 // nil means math/rand/v2
}

// LeastOutstanding is a picker that returns the target with the fewest in-flight
// requests of this instance. It breaks ties at random.
type LeastOutstanding struct {
	RandSource func() uint64 // nil means math/rand/v2
}

// Pick returns the next target of the pool that the request does not exclude.
func (roundRobin *RoundRobin) Pick(view *View, request *Request) (Choice, error) {
	return pickFirstUsable(view, request, roundRobin.next.Add(1))
}

// Pick returns a random target that the request does not exclude.
func (random *Random) Pick(view *View, request *Request) (Choice, error) {
	return pickFirstUsable(view, request, randomUint64(random.RandSource))
}

// Pick returns a target with the fewest in-flight requests.
func (leastOutstanding *LeastOutstanding) Pick(view *View, request *Request) (Choice, error) {
	pool := view.pools[request.poolKey()]
	start := randomUint64(leastOutstanding.RandSource)
	var best *viewTarget
	var fewest int64
	for i := range pool {
		viewTarget := pool[(start+uint64(i))%uint64(len(pool))]
		if request.excludes(viewTarget.target.ID) {
			continue
		}
		if count := viewTarget.inFlight.total.requests.Load(); best == nil || count < fewest {
			best, fewest = viewTarget, count
		}
	}
	return newChoiceOrError(best, request)
}

// pickFirstUsable returns the first target that the request does not exclude,
// searching the pool from index start and wrapping around.
func pickFirstUsable(view *View, request *Request, start uint64) (Choice, error) {
	pool := view.pools[request.poolKey()]
	for i := range pool {
		viewTarget := pool[(start+uint64(i))%uint64(len(pool))]
		if !request.excludes(viewTarget.target.ID) {
			return newChoiceOrError(viewTarget, request)
		}
	}
	return newChoiceOrError(nil, request)
}

func newChoiceOrError(viewTarget *viewTarget, request *Request) (Choice, error) {
	if viewTarget == nil {
		return Choice{}, noTargetError(request)
	}
	return newChoice(viewTarget, request, request.work(0), viewTarget.workAhead(request.Priority)), nil
}

func randomUint64(randSource func() uint64) uint64 {
	if randSource == nil {
		return rand.Uint64()
	}
	return randSource()
}
