package relay

import (
	"mangopier.example/mangopier/internal/protocol/note"
)

const (
	defaultPrefillTPS = 8000.0
	defaultDecodeTPS  = 1000.0
)

// rate is the mean speed of a model's engines, in tokens per second.
type rate struct {
	prefill float64
	decode  float64
}

// rates are the rates by model, and the targets that leave.
type rates struct {
	models  map[string]rate
	leaving map[string]bool
}

// SetTargets learns the speed of each model's engines, and which targets are
// expected to go away, so that no request is blamed when they do.
func (relay *Relay) SetTargets(targets []note.Target, leaving map[string]bool) {
	sums := map[string]rate{}
	counts := map[string]float64{}
	for _, target := range targets {
		for _, model := range target.Models {
			sum := sums[model]
			sum.prefill += positive(target.PrefillTPS, defaultPrefillTPS)
			sum.decode += positive(target.DecodeTPS, defaultDecodeTPS)
			sums[model] = sum
			counts[model]++
		}
	}
	for model, sum := range sums {
		sums[model] = rate{prefill: sum.prefill / counts[model], decode: sum.decode / counts[model]}
	}
	relay.rates.Store(&rates{models: sums, leaving: leaving})
}

// expected reports whether a target is expected to go away.
func (relay *Relay) expected(target string) bool {
	known := relay.rates.Load()
	return known != nil && known.leaving[target]
}

func (relay *Relay) rateOf(model string) rate {
	if known := relay.rates.Load(); known != nil {
		if rate, ok := known.models[model]; ok {
			return rate
		}
	}
	return rate{prefill: defaultPrefillTPS, decode: defaultDecodeTPS}
}

func positive(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}
