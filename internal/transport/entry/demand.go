package entry

import (
	"time"

	"mangopier.example/mangopier/internal/coordination/roles"
	"mangopier.example/mangopier/internal/protocol/note"
)

// total is what a target had taken in by a report.
type total struct {
	incarnation string
	prefill     int64
	decode      int64
}

// decideRole observes the demand by the targets' reports and notes the role
// change that it calls for.
func (steward *steward) decideRole(seen *snapshot) {
	now := time.Now()
	if now.Sub(steward.observed) < observeEvery {
		return
	}
	elapsed := now.Sub(steward.observed).Seconds()
	first := steward.observed.IsZero()
	steward.observed = now
	for model, sum := range steward.demand(seen) {
		if !first {
			steward.policy.Observe(now, roles.Demand{
				Model: model, DataCenter: steward.dataCenter,
				PrefillTPS: float64(sum.prefill) / elapsed, DecodeTPS: float64(sum.decode) / elapsed,
			})
		}
	}
	change, ok := steward.policy.Decide(now, steward.engines(seen))
	if ok {
		steward.wanted[change.Engine] = change.To
		steward.logger.Info().Str("target", change.Engine).Str("from", string(change.From)).
			Str("to", string(change.To)).Msg("role change is due")
	}
}

// demand returns by model what was taken in since the last call.
func (steward *steward) demand(seen *snapshot) map[string]total {
	sums := map[string]total{}
	for id, reading := range seen.loads {
		target := seen.targets[id]
		if target.DataCenter != steward.dataCenter || len(reading.load.Models) == 0 {
			continue
		}
		now := total{incarnation: reading.load.Incarnation, prefill: reading.load.TotalPrefill, decode: reading.load.TotalDecode}
		last := steward.totals[id]
		steward.totals[id] = now
		if last.incarnation != now.incarnation {
			continue
		}
		model := reading.load.Models[0].Name
		sum := sums[model]
		sum.prefill += max(0, now.prefill-last.prefill)
		sum.decode += max(0, now.decode-last.decode)
		sums[model] = sum
	}
	return sums
}

func (steward *steward) engines(seen *snapshot) []roles.EngineState {
	var engines []roles.EngineState
	for id, reading := range seen.loads {
		target := seen.targets[id]
		if target.Kind != note.KindEngine || target.DataCenter != steward.dataCenter || len(reading.load.Models) == 0 {
			continue
		}
		wanted, changing := steward.wanted[id]
		changing = changing && wanted != reading.load.Role
		engines = append(engines, roles.EngineState{
			ID: id, Model: reading.load.Models[0].Name, DataCenter: steward.dataCenter, Role: reading.load.Role,
			Unready: reading.load.Draining || reading.load.Changing, Changing: changing,
			InFlight:   reading.load.Running + reading.load.Queued,
			PrefillTPS: target.PrefillTPS, DecodeTPS: target.DecodeTPS,
		})
	}
	return engines
}
