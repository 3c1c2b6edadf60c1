package relay

import (
	"mangopier.example/mangopier/internal/protocol/note"
)

// Throughput of engines for which release notes state none, in tokens per second.
const (
	defaultPrefillTPS = 8000.0
	defaultDecodeTPS  = 1000.0
)

// throughput is the mean throughput of a model's engines, in tokens per second.
type throughput struct {
	prefillTPS float64
	decodeTPS  float64
}

// targetInfo is the information on targets from the last SetTargets.
type targetInfo struct {
	throughputs map[string]throughput // by model
	stopping    map[string]bool       // by target ID
}

// SetTargets sets the throughput of each model's engines, and the IDs of targets that
// are being stopped, so that no request is suspected of crashing these.
func (relay *Relay) SetTargets(targets []note.Target, stopping map[string]bool) {
	sums := map[string]throughput{}
	counts := map[string]float64{}
	for _, target := range targets {
		for _, model := range target.Models {
			sum := sums[model]
			sum.prefillTPS += positiveOr(target.PrefillTPS, defaultPrefillTPS)
			sum.decodeTPS += positiveOr(target.DecodeTPS, defaultDecodeTPS)
			sums[model] = sum
			counts[model]++
		}
	}
	for model, sum := range sums {
		sums[model] = throughput{prefillTPS: sum.prefillTPS / counts[model], decodeTPS: sum.decodeTPS / counts[model]}
	}
	relay.targetInfo.Store(&targetInfo{throughputs: sums, stopping: stopping})
}

// isStopping reports whether a target is being stopped.
func (relay *Relay) isStopping(target string) bool {
	info := relay.targetInfo.Load()
	return info != nil && info.stopping[target]
}

func (relay *Relay) modelThroughput(model string) throughput {
	if info := relay.targetInfo.Load(); info != nil {
		if throughput, ok := info.throughputs[model]; ok {
			return throughput
		}
	}
	return throughput{prefillTPS: defaultPrefillTPS, decodeTPS: defaultDecodeTPS}
}

// positiveOr returns value if it is positive, and fallback otherwise.
func positiveOr(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}
