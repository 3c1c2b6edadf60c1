package route

import (
	"math/rand/v2"
	"sync/atomic"
)

// RoundRobin is the picker that takes the targets in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// Random is the picker that takes any target.
type Random struct {
	Source func() uint64 // math/rand/v2 if nil
}

// LeastOutstanding is the picker that takes the target with the fewest
// requests of this instance in flight, any of them if several are equal.
type LeastOutstanding struct {
	Source func() uint64 // math/rand/v2 if nil
}

// Pick returns the next target in turn.
func (roundRobin *RoundRobin) Pick(view *View, request *Request) (Choice, error) {
	return pickNext(view, request, roundRobin.next.Add(1))
}

// Pick returns a random target.
func (random *Random) Pick(view *View, request *Request) (Choice, error) {
	return pickNext(view, request, draw(random.Source))
}

// Pick returns a target with the fewest requests in flight.
func (leastOutstanding *LeastOutstanding) Pick(view *View, request *Request) (Choice, error) {
	pool := view.pools[request.pool()]
	start := draw(leastOutstanding.Source)
	var best *member
	var fewest int64
	for i := range pool {
		member := pool[(start+uint64(i))%uint64(len(pool))]
		if request.excludes(member.target.ID) {
			continue
		}
		if count := member.own.total.requests.Load(); best == nil || count < fewest {
			best, fewest = member, count
		}
	}
	return chooseOr(best, request)
}

// pickNext returns the first usable target from a place in the pool on.
func pickNext(view *View, request *Request, start uint64) (Choice, error) {
	pool := view.pools[request.pool()]
	for i := range pool {
		member := pool[(start+uint64(i))%uint64(len(pool))]
		if !request.excludes(member.target.ID) {
			return chooseOr(member, request)
		}
	}
	return chooseOr(nil, request)
}

func chooseOr(member *member, request *Request) (Choice, error) {
	if member == nil {
		return Choice{}, noTarget(request)
	}
	return choose(member, request, request.work(0), member.ahead(request.Priority)), nil
}

func draw(source func() uint64) uint64 {
	if source == nil {
		return rand.Uint64()
	}
	return source()
}
