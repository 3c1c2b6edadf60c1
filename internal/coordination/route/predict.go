package route

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	outputGain          = 0.1 // weight of the newest response in the mean
	defaultOutputTokens = 128.0
	maxTeamModels       = 65536 // bounds the memory
)

// OutputPredictor estimates how many tokens responses have, as an exponential moving
// average per team and model.
type OutputPredictor struct {
	means     sync.Map // teamModel to *atomic.Uint64, the bits of the mean as a float64
	pairCount atomic.Int64
}

type teamModel struct {
	team, model string
}

// ExpectedTokens returns the expected number of tokens of a response.
func (predictor *OutputPredictor) ExpectedTokens(team, model string) float64 {
	if mean, ok := predictor.means.Load(teamModel{team, model}); ok {
		return math.Float64frombits(mean.(*atomic.Uint64).Load())
	}
	return defaultOutputTokens
}

// RecordOutput records the number of tokens of a response. It ignores new pairs of
// team and model beyond the first 65536.
func (predictor *OutputPredictor) RecordOutput(team, model string, tokens int) {
	mean := predictor.loadOrCreateMean(teamModel{team, model})
	if mean == nil {
		return
	}
	for {
		bits := mean.Load()
		old := math.Float64frombits(bits)
		next := old + outputGain*(float64(tokens)-old)
		if mean.CompareAndSwap(bits, math.Float64bits(next)) {
			return
		}
	}
}

func (predictor *OutputPredictor) loadOrCreateMean(key teamModel) *atomic.Uint64 {
	if mean, ok := predictor.means.Load(key); ok {
		return mean.(*atomic.Uint64)
	}
	if predictor.pairCount.Load() >= maxTeamModels {
		return nil
	}
	initial := new(atomic.Uint64)
	initial.Store(math.Float64bits(defaultOutputTokens))
	mean, loaded := predictor.means.LoadOrStore(key, initial)
	if !loaded {
		predictor.pairCount.Add(1)
	}
	return mean.(*atomic.Uint64)
}
