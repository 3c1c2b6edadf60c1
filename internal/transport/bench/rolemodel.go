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

// roleModel runs a role policy over modelled engines of one model in one data
// centre.
type roleModel struct {
	timeline
	regime
	random  *rand.Rand
	policy  roles.Policy
	engines []*modelEngine
	window  roles.Demand
	result  roleResult
}

// regime is the load and the engines of a role model.
type regime struct {
	shift    shift
	load     float64 // work offered per engine
	overhead float64 // cost of a prompt token in a mixed step, over that alone
	prefills int     // engines that begin as prefill engines
	decodes  int     // engines that begin as decode engines
	losses   bool    // engines are lost for a while, one after another
}

// roleResult is what a run of a role model counts.
type roleResult struct {
	tally
	steps   []tally // by the time of arrival
	changes int
}

func (result *roleResult) stepOf(call *modelCall) *tally {
	return &result.steps[call.arrived/roleStep]
}

// Sizes of the role model.
const (
	roleEngines    = 12
	rolePrefills   = 4
	roleRun        = 600 * time.Second
	roleWindow     = time.Second
	roleStep       = 10 * time.Second // of the timeline
	workPerCall    = 0.7              // engine seconds
	sizeDeviation  = 0.5              // of the logarithm of prompt and output sizes
	forecastError  = 0.3              // of the logarithm of the expected output size
	lossInterval   = 120 * time.Second
	lossLength     = 40 * time.Second
	roleChangeTime = 5 * time.Second
	shareNoise     = 0.10 // of the logarithm of the share
	shareNoiseTime = 5 * time.Second
)

// run plays the whole model.
func (model *roleModel) run() roleResult {
	noise := 0.0
	model.result.steps = make([]tally, roleRun/roleStep+1)
	model.every(shareNoiseTime, func() { noise = shareNoise * model.random.NormFloat64() })
	model.every(roleWindow, model.decide)
	if model.losses {
		model.every(lossInterval, model.lose)
	}
	model.after(0, func() { model.arrive(&noise) })
	model.runUntil(roleRun)
	return model.result
}

func (model *roleModel) arrive(noise *float64) {
	share := clamp(model.shift(model.now) * math.Exp(*noise))
	call := &modelCall{
		prompt:  model.size(share * workPerCall * enginePrefillTPS),
		output:  model.size((1 - share) * workPerCall * engineDecodeTPS),
		arrived: model.now,
	}
	call.prefillLeft, call.tokensLeft = call.prompt, call.output-1
	model.window.PrefillTPS += float64(call.prompt) / roleWindow.Seconds()
	model.window.DecodeTPS += model.spread(float64(call.output), forecastError) / roleWindow.Seconds()
	model.result.offered++
	model.result.stepOf(call).offered++
	model.admit(call)
	rate := model.load * float64(len(model.engines)) / workPerCall
	model.after(seconds(model.random.ExpFloat64()/rate), func() { model.arrive(noise) })
}

func (model *roleModel) size(mean float64) int {
	return max(int(model.spread(mean, sizeDeviation)), 2)
}

// spread returns a value of a log-normal distribution with a mean.
func (model *roleModel) spread(mean, deviation float64) float64 {
	return mean * math.Exp(deviation*model.random.NormFloat64()-deviation*deviation/2)
}

// admit places a call, or refuses it where it would wait too long or would
// find no slot.
func (model *roleModel) admit(call *modelCall) {
	engine := model.pick(note.RolePrefill, func(engine *modelEngine) float64 {
		return engine.prefillWait(model.overhead).Seconds() + float64(engine.sequences())*1e-4
	})
	alone := seconds(float64(call.prompt) / enginePrefillTPS)
	if engine == nil || engine.prefillWait(model.overhead)+alone > firstTokenLimit || model.full() {
		return
	}
	engine.prefills = append(engine.prefills, call)
	model.step(engine)
}

func (model *roleModel) full() bool {
	free := 0
	for _, engine := range model.engines {
		if engine.takes(note.RoleDecode) {
			free += engine.slots() - engine.sequences()
		}
	}
	return free <= 0
}

func (model *roleModel) pick(phase note.Role, cost func(*modelEngine) float64) *modelEngine {
	var best *modelEngine
	for _, engine := range model.engines {
		if engine.takes(phase) && (best == nil || cost(engine) < cost(best)) {
			best = engine
		}
	}
	return best
}

// step starts the next step of an idle engine that has work.
func (model *roleModel) step(engine *modelEngine) {
	if engine.stepping || engine.gone {
		return
	}
	tokens, length := engine.plan(model.overhead)
	if length == 0 {
		return
	}
	engine.stepping = true
	model.after(length, func() {
		engine.stepping = false
		if engine.gone {
			return
		}
		model.advance(engine, tokens)
		model.step(engine)
	})
}

func (model *roleModel) advance(engine *modelEngine, tokens int) {
	engine.active = slices.DeleteFunc(engine.active, func(call *modelCall) bool {
		call.tokensLeft--
		if call.tokensLeft <= 0 {
			model.finish(call)
		}
		return call.tokensLeft <= 0
	})
	if tokens == 0 {
		return
	}
	call := engine.prefills[0]
	call.prefillLeft -= tokens
	if call.prefillLeft > 0 {
		return
	}
	engine.prefills = engine.prefills[1:]
	call.first = model.now
	if engine == model.pickDecode(engine) {
		engine.waiting = append(engine.waiting, call)
		return
	}
	model.transfer(call)
}

// pickDecode returns the decode engine with the fewest sequences. The one that
// holds the KV cache already has an advantage.
func (model *roleModel) pickDecode(holder *modelEngine) *modelEngine {
	return model.pick(note.RoleDecode, func(engine *modelEngine) float64 {
		sequences := float64(engine.sequences())
		if engine == holder {
			sequences -= transferSequences
		}
		return sequences
	})
}

// transfer moves the KV cache of a call to a decode engine.
func (model *roleModel) transfer(call *modelCall) {
	model.after(transferBase+seconds(float64(call.prompt)/transferTPS), func() {
		engine := model.pickDecode(nil)
		if engine == nil {
			model.transfer(call)
			return
		}
		engine.waiting = append(engine.waiting, call)
		model.step(engine)
	})
}

func (model *roleModel) finish(call *modelCall) {
	between := (model.now - call.first) / time.Duration(max(call.output-1, 1))
	if call.first-call.arrived <= firstTokenLimit && between <= betweenTokenLimit {
		model.result.good++
		model.result.stepOf(call).good++
	}
}

// decide reports the window to the policy and carries out its change.
func (model *roleModel) decide() {
	model.policy.ObserveDemand(model.clock(), model.window)
	model.window = roles.Demand{}
	states := make([]roles.EngineState, len(model.engines))
	for index, engine := range model.engines {
		states[index] = roles.EngineState{
			ID: engine.id, Role: engine.role, ChangePending: engine.gone && !engine.lost, Unready: engine.lost,
			InFlight:   len(engine.prefills) + engine.sequences(),
			PrefillTPS: enginePrefillTPS, DecodeTPS: engineDecodeTPS,
		}
	}
	if change, ok := model.policy.PlanChange(model.clock(), states); ok {
		model.carryOut(change)
	}
}

// carryOut removes an engine for the time of a change; its work goes on at
// other engines.
func (model *roleModel) carryOut(change roles.Change) {
	model.result.changes++
	engine := model.engines[slices.IndexFunc(model.engines, func(engine *modelEngine) bool { return engine.id == change.EngineID })]
	engine.gone = true
	for _, call := range append(engine.active, engine.waiting...) {
		model.transfer(call)
	}
	prefills := engine.prefills
	engine.active, engine.waiting, engine.prefills = nil, nil, nil
	for _, call := range prefills {
		call.prefillLeft = call.prompt
		model.admit(call)
	}
	model.after(roleChangeTime, func() {
		engine.gone, engine.role = false, change.To
	})
}

// lose takes the next engine away with all of its calls, and brings it back
// after a while in the role that it had.
func (model *roleModel) lose() {
	engine := model.engines[int(model.now/lossInterval)%len(model.engines)]
	if engine.gone {
		return
	}
	engine.gone, engine.lost = true, true
	engine.active, engine.waiting, engine.prefills = nil, nil, nil
	model.after(lossLength, func() { engine.gone, engine.lost = false, false })
}

// newEngines returns prefill engines and others of a role.
func newEngines(prefills, others int, role note.Role) []*modelEngine {
	var engines []*modelEngine
	for index := range prefills + others {
		engine := &modelEngine{id: fmt.Sprintf("engine-%d", index), role: role}
		if index < prefills {
			engine.role = note.RolePrefill
		}
		engines = append(engines, engine)
	}
	return engines
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
