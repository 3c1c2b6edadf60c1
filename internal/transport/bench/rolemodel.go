package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mangopier.example/mangopier/internal/coordination/roles"
	"mangopier.example/mangopier/internal/protocol/note"
)

// roleSimulation runs a role policy over simulated engines of one model in
// one data centre.
type roleSimulation struct {
	eventLoop
	roleConfig
	random       *rand.Rand
	policy       roles.Policy
	engines      []*simulatedEngine
	windowDemand roles.Demand // since the last policy interval
	result       roleResult
}

// roleConfig configures the load and the engines of a role simulation.
type roleConfig struct {
	prefillShare   prefillShareFunc
	utilization    float64 // work offered, in engine-seconds per second and engine
	mixedOverhead  float64 // cost of a prefill token in a mixed step, relative to prefill alone
	prefillEngines int     // engines that start as prefill engines
	decodeEngines  int     // engines that start as decode engines
	engineLosses   bool    // engines are lost for a while, one after another
}

// roleResult holds the totals of a run.
type roleResult struct {
	goodputCounter
	intervals []goodputCounter // by arrival time
	changes   int
}

func (result *roleResult) intervalOf(request *simulatedRequest) *goodputCounter {
	return &result.intervals[request.arrivedAt/roleTimelineInterval]
}

// Parameters of the role simulation. Each log deviation is the standard
// deviation of a logarithm.
const (
	roleEngines             = 12
	rolePrefills            = 4
	roleDuration            = 600 * time.Second
	rolePolicyInterval      = time.Second
	roleTimelineInterval    = 10 * time.Second
	engineSecondsPerRequest = 0.7 // mean
	roleSizeLogDeviation    = 0.5 // of prompt and output sizes
	forecastLogDeviation    = 0.3 // of the output size that the policy observes
	lossInterval            = 120 * time.Second
	lossDuration            = 40 * time.Second
	roleChangeTime          = 5 * time.Second
	shareLogDeviation       = 0.10 // of the prefill share
	shareNoiseInterval      = 5 * time.Second
)

func (simulation *roleSimulation) run() roleResult {
	noise := 0.0
	simulation.result.intervals = make([]goodputCounter, roleDuration/roleTimelineInterval+1)
	simulation.scheduleEvery(shareNoiseInterval, func() { noise = shareLogDeviation * simulation.random.NormFloat64() })
	simulation.scheduleEvery(rolePolicyInterval, simulation.runPolicy)
	if simulation.engineLosses {
		simulation.scheduleEvery(lossInterval, simulation.loseEngine)
	}
	simulation.scheduleAfter(0, func() { simulation.arrive(&noise) })
	simulation.runUntil(roleDuration)
	return simulation.result
}

func (simulation *roleSimulation) arrive(noise *float64) {
	share := clampShare(simulation.prefillShare(simulation.now) * math.Exp(*noise))
	request := &simulatedRequest{
		promptTokens: simulation.drawTokens(share * engineSecondsPerRequest * enginePrefillTPS),
		outputTokens: simulation.drawTokens((1 - share) * engineSecondsPerRequest * engineDecodeTPS),
		arrivedAt:    simulation.now,
	}
	request.remainingPrefill, request.remainingOutput = request.promptTokens, request.outputTokens-1
	simulation.windowDemand.PrefillTPS += float64(request.promptTokens) / rolePolicyInterval.Seconds()
	simulation.windowDemand.DecodeTPS += simulation.drawLogNormal(float64(request.outputTokens), forecastLogDeviation) / rolePolicyInterval.Seconds()
	simulation.result.offered++
	simulation.result.intervalOf(request).offered++
	simulation.admit(request)
	rate := simulation.utilization * float64(len(simulation.engines)) / engineSecondsPerRequest
	simulation.scheduleAfter(secondsToDuration(simulation.random.ExpFloat64()/rate), func() { simulation.arrive(noise) })
}

func (simulation *roleSimulation) drawTokens(mean float64) int {
	return max(int(simulation.drawLogNormal(mean, roleSizeLogDeviation)), 2)
}

// drawLogNormal returns a log-normal random value with the given mean. The
// deviation is that of its logarithm.
func (simulation *roleSimulation) drawLogNormal(mean, deviation float64) float64 {
	return mean * math.Exp(deviation*simulation.random.NormFloat64()-deviation*deviation/2)
}

// admit queues a request for prefill. It rejects a request that would exceed
// the limit of the time to first token, or while no decode slot is free.
func (simulation *roleSimulation) admit(request *simulatedRequest) {
	engine := simulation.pickEngine(note.RolePrefill, func(engine *simulatedEngine) float64 {
		return engine.prefillWait(simulation.mixedOverhead).Seconds() + float64(engine.sequenceCount())*1e-4
	})
	prefillTime := secondsToDuration(float64(request.promptTokens) / enginePrefillTPS)
	if engine == nil || engine.prefillWait(simulation.mixedOverhead)+prefillTime > maxTTFT || simulation.decodeFull() {
		return
	}
	engine.prefillQueue = append(engine.prefillQueue, request)
	simulation.startStep(engine)
}

func (simulation *roleSimulation) decodeFull() bool {
	free := 0
	for _, engine := range simulation.engines {
		if engine.accepts(note.RoleDecode) {
			free += engine.maxBatch() - engine.sequenceCount()
		}
	}
	return free <= 0
}

func (simulation *roleSimulation) pickEngine(phase note.Role, cost func(*simulatedEngine) float64) *simulatedEngine {
	var best *simulatedEngine
	for _, engine := range simulation.engines {
		if engine.accepts(phase) && (best == nil || cost(engine) < cost(best)) {
			best = engine
		}
	}
	return best
}

// startStep starts the next step of an engine that is idle and has work.
func (simulation *roleSimulation) startStep(engine *simulatedEngine) {
	if engine.stepping || engine.unavailable {
		return
	}
	tokens, duration := engine.planStep(simulation.mixedOverhead)
	if duration == 0 {
		return
	}
	engine.stepping = true
	simulation.scheduleAfter(duration, func() {
		engine.stepping = false
		if engine.unavailable {
			return
		}
		simulation.finishStep(engine, tokens)
		simulation.startStep(engine)
	})
}

func (simulation *roleSimulation) finishStep(engine *simulatedEngine, tokens int) {
	engine.batch = slices.DeleteFunc(engine.batch, func(request *simulatedRequest) bool {
		request.remainingOutput--
		if request.remainingOutput <= 0 {
			simulation.recordFinished(request)
		}
		return request.remainingOutput <= 0
	})
	if tokens == 0 {
		return
	}
	request := engine.prefillQueue[0]
	request.remainingPrefill -= tokens
	if request.remainingPrefill > 0 {
		return
	}
	engine.prefillQueue = engine.prefillQueue[1:]
	request.firstTokenAt = simulation.now
	if engine == simulation.pickDecodeEngine(engine) {
		engine.decodeQueue = append(engine.decodeQueue, request)
		return
	}
	simulation.transferKV(request)
}

// pickDecodeEngine returns the decode engine with the fewest sequences. The
// engine that already holds the KV cache is preferred, as it needs no
// transfer.
func (simulation *roleSimulation) pickDecodeEngine(kvHolder *simulatedEngine) *simulatedEngine {
	return simulation.pickEngine(note.RoleDecode, func(engine *simulatedEngine) float64 {
		sequences := float64(engine.sequenceCount())
		if engine == kvHolder {
			sequences -= minTransferGain
		}
		return sequences
	})
}

// transferKV moves the KV cache of a request to a decode engine. It retries
// while no decode engine is available.
func (simulation *roleSimulation) transferKV(request *simulatedRequest) {
	simulation.scheduleAfter(transferBaseTime+secondsToDuration(float64(request.promptTokens)/transferTPS), func() {
		engine := simulation.pickDecodeEngine(nil)
		if engine == nil {
			simulation.transferKV(request)
			return
		}
		engine.decodeQueue = append(engine.decodeQueue, request)
		simulation.startStep(engine)
	})
}

func (simulation *roleSimulation) recordFinished(request *simulatedRequest) {
	meanTokenGap := (simulation.now - request.firstTokenAt) / time.Duration(max(request.outputTokens-1, 1))
	if request.firstTokenAt-request.arrivedAt <= maxTTFT && meanTokenGap <= maxMeanTokenGap {
		simulation.result.good++
		simulation.result.intervalOf(request).good++
	}
}

// runPolicy reports the demand of the last interval to the policy and applies
// its change.
func (simulation *roleSimulation) runPolicy() {
	simulation.policy.ObserveDemand(simulation.wallTime(), simulation.windowDemand)
	simulation.windowDemand = roles.Demand{}
	states := make([]roles.EngineState, len(simulation.engines))
	for index, engine := range simulation.engines {
		states[index] = roles.EngineState{
			ID: engine.id, Role: engine.role, ChangePending: engine.unavailable && !engine.lost, Unready: engine.lost,
			InFlight:   len(engine.prefillQueue) + engine.sequenceCount(),
			PrefillTPS: enginePrefillTPS, DecodeTPS: engineDecodeTPS,
		}
	}
	if change, ok := simulation.policy.PlanChange(simulation.wallTime(), states); ok {
		simulation.applyChange(change)
	}
}

// applyChange takes an engine out of service for the duration of a role
// change. Its requests continue on other engines.
func (simulation *roleSimulation) applyChange(change roles.Change) {
	simulation.result.changes++
	engine := simulation.engines[slices.IndexFunc(simulation.engines, func(engine *simulatedEngine) bool { return engine.id == change.EngineID })]
	engine.unavailable = true
	for _, request := range append(engine.batch, engine.decodeQueue...) {
		simulation.transferKV(request)
	}
	queued := engine.prefillQueue
	engine.batch, engine.decodeQueue, engine.prefillQueue = nil, nil, nil
	for _, request := range queued {
		request.remainingPrefill = request.promptTokens
		simulation.admit(request)
	}
	simulation.scheduleAfter(roleChangeTime, func() {
		engine.unavailable, engine.role = false, change.To
	})
}

// loseEngine removes the next engine with all of its requests, and restores
// it in the same role after lossDuration.
func (simulation *roleSimulation) loseEngine() {
	engine := simulation.engines[int(simulation.now/lossInterval)%len(simulation.engines)]
	if engine.unavailable {
		return
	}
	engine.unavailable, engine.lost = true, true
	engine.batch, engine.decodeQueue, engine.prefillQueue = nil, nil, nil
	simulation.scheduleAfter(lossDuration, func() { engine.unavailable, engine.lost = false, false })
}

// newEngines returns a number of prefill engines and of engines with another
// role.
func newEngines(prefillCount, otherCount int, otherRole note.Role) []*simulatedEngine {
	var engines []*simulatedEngine
	for index := range prefillCount + otherCount {
		engine := &simulatedEngine{id: fmt.Sprintf("engine-%d", index), role: otherRole}
		if index < prefillCount {
			engine.role = note.RolePrefill
		}
		engines = append(engines, engine)
	}
	return engines
}

func secondsToDuration(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
