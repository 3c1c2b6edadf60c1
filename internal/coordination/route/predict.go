package route

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	predictGain    = 0.1
	predictDefault = 128.0 // tokens
	predictLimit   = 65536 // pairs of team and route remembered
)

// Predictor learns how many tokens answers have, per team and route.
type Predictor struct {
	means sync.Map // pair to *atomic.Uint64, bits of the mean
	count atomic.Int64
}

type pair struct {
	team, route string
}

// Predict returns the expected tokens of an answer.
func (predictor *Predictor) Predict(team, route string) float64 {
	if mean, ok := predictor.means.Load(pair{team, route}); ok {
		return math.Float64frombits(mean.(*atomic.Uint64).Load())
	}
	return predictDefault
}

// Learn takes the number of tokens that an answer had. Pairs beyond a limit
// are not remembered.
func (predictor *Predictor) Learn(team, route string, tokens int) {
	mean := predictor.mean(pair{team, route})
	if mean == nil {
		return
	}
	for {
		bits := mean.Load()
		old := math.Float64frombits(bits)
		next := old + predictGain*(float64(tokens)-old)
		if mean.CompareAndSwap(bits, math.Float64bits(next)) {
			return
		}
	}
}

func (predictor *Predictor) mean(key pair) *atomic.Uint64 {
	if mean, ok := predictor.means.Load(key); ok {
		return mean.(*atomic.Uint64)
	}
	if predictor.count.Load() >= predictLimit {
		return nil
	}
	fresh := new(atomic.Uint64)
	fresh.Store(math.Float64bits(predictDefault))
	mean, loaded := predictor.means.LoadOrStore(key, fresh)
	if !loaded {
		predictor.count.Add(1)
	}
	return mean.(*atomic.Uint64)
}
