package place

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangopier.example/mangopier/internal/protocol/site"
)

// Cost model of the engines, from the figures in the site descriptions. The
// slowdown of each target corrects it as responses arrive.
const (
	prefillTokensPerMS       = 55.0  // the site descriptions give 51.1 and 64.2
	attentionMSPerMPairs     = 0.65  // prefill time per million pairs of tokens
	prefillSetupMS           = 5.0   // per prefill
	prefillOverheadMS        = 35.0  // per prefill in addition to the work; the engine serves other requests meanwhile
	transferSetupMS          = 4.0   // per KV transfer, including the round trip
	crossDataCenterFactor    = 2.0   // time of a transfer between data centres relative to one within
	crossDataCenterPenaltyMS = 15.0  // added to a transfer between data centres because of its price
	maxLowerPriorityDelayMS  = 150.0 // delay by lower-priority work: only its chunks under way finish first
	decodeStepMS             = 5.0   // per token of an otherwise empty engine
	maxMemoryShare           = 0.85  // of an engine's memory, for planning
	ownerDiscountShare       = 0.5   // of the prefill work of the shared parts, by which a prompt's owner is preferred
	copyPenaltyShare         = 1.0   // of the prefill work of the fetched tokens, since a copy evicts other parts
	slowdownGain             = 0.2   // weight of one observation in the smoothed slowdown
	minSlowdown              = 0.5
	maxSlowdown              = 20.0
)

// Prefill is the choice of an engine for the prefill of a prompt.
type Prefill struct {
	Target site.Target
	WaitMS,
	WorkMS float64 // expected wait before the prefill work, and the work
	LowerPriorityMS float64 // lower-priority work in flight at the engine
	Priority        int     // to send to the engine, from 0, the highest, to LatePriority
	CachedTokens    int     // tokens expected in the engine's prefix cache
	SourceAddress   string  // address of the engine to fetch further tokens from, empty for none
	FetchTokens     int     // tokens to fetch

	parts        []hashedPart
	sharedTokens int // of all parts but the last
	tier         int
	begun        time.Time
	state        *targetState // that counts the work, nil before BeginPrefill
}

// ExpectedMS returns the expected time until the prefill is complete.
func (prefill *Prefill) ExpectedMS() float64 {
	return prefill.WaitMS + prefill.WorkMS + prefillOverheadMS
}

// ChoosePrefill chooses the engine that is expected to complete the prefill of
// a prompt first. Engines in except are left out. It returns false if no engine
// is available. The prefill is not counted as load until BeginPrefill.
func (scheduler *Scheduler) ChoosePrefill(service string, prompt *site.Prompt, priority int, except []string) (Prefill, bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	parts := hashParts(prompt)
	tier := priorityTier(priority)
	now := time.Now()
	engines := scheduler.prefillEngines(service, except, now)
	owner := scheduler.prefixOwner(engines, parts)
	sources := scheduler.fetchSources(service, parts, now)
	var best *targetState
	var prefill Prefill
	bestCost := 0.0
	for _, state := range engines {
		cached := min(state.cache.cachedTokens(parts), max(0, prompt.Tokens-1))
		source, work := state.bestSource(prompt.Tokens, cached, sources)
		work *= state.slowdown
		wait := state.slowdown * (state.ownLoad.queuedMS(tier) + state.peerLoad.queuedMS(tier))
		lowerPriority := state.ownLoad.queuedMS(tierCount-1) + state.peerLoad.queuedMS(tierCount-1) - state.ownLoad.queuedMS(tier) - state.peerLoad.queuedMS(tier)
		cost := (wait + min(state.slowdown*lowerPriority, maxLowerPriorityDelayMS) + work) / state.weight
		if state == owner {
			cost -= ownerDiscountShare * float64(prompt.SharedTokens()) / prefillTokensPerMS
		} else {
			cost += scheduler.staleLoadPenaltyMS(state)
			cost += copyPenaltyShare * float64(max(0, source.tokens-cached)) / prefillTokensPerMS
		}
		cost += state.promptSizePenaltyMS(work)
		if best == nil || cost < bestCost {
			best, bestCost = state, cost
			prefill = Prefill{
				Target: state.Target, WaitMS: wait, WorkMS: work, LowerPriorityMS: state.slowdown * lowerPriority, CachedTokens: cached,
				SourceAddress: source.address, FetchTokens: max(0, source.tokens-cached),
			}
		}
	}
	if best == nil {
		return Prefill{}, false
	}
	prefill.parts, prefill.sharedTokens, prefill.tier = parts, prompt.SharedTokens(), tier
	prefill.Priority = priority
	return prefill, true
}

// LatePriority is the priority of prefills that are expected to miss the latency
// objective of their request. It is the lowest one, so that they do not make others
// miss theirs.
const LatePriority = 9

// lateWaitFactor is by how much the wait of a late prefill is longer than the work in
// flight at its engine: others with a higher priority keep arriving.
const lateWaitFactor = 2.0

// ChoosePrefillWithin is ChoosePrefill for a request with a latency objective: if the
// prefill is expected to take longer, it is chosen with LatePriority. An objective of 0
// stands for none.
func (scheduler *Scheduler) ChoosePrefillWithin(service string, prompt *site.Prompt, priority int, objective time.Duration, except []string) (Prefill, bool) {
	prefill, ok := scheduler.ChoosePrefill(service, prompt, priority, except)
	if !ok || objective <= 0 || prefill.ExpectedMS() <= float64(objective)/float64(time.Millisecond) {
		return prefill, ok
	}
	prefill, ok = scheduler.ChoosePrefill(service, prompt, LatePriority, except)
	prefill.WaitMS *= lateWaitFactor
	return prefill, ok
}

// BeginPrefill counts the work of a chosen prefill at its engine until
// EndPrefill. The prompt's parts count as cached there at once, but other engines
// can fetch them only after the engine has answered.
func (scheduler *Scheduler) BeginPrefill(prefill *Prefill) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	prefill.begun = time.Now()
	state, ok := scheduler.targets[prefill.Target.ID]
	if !ok || state.cache == nil {
		return
	}
	prefill.state = state
	state.takeShare(prefill.begun)
	state.ownLoad.PrefillMS[prefill.tier] += prefill.WorkMS
	state.cache.add(prefill.parts, time.Time{})
	if prefill.CachedTokens >= prefill.sharedTokens && prefill.sharedTokens > 0 {
		return // the instance that placed the shared parts there has announced them
	}
	scheduler.recordPrefill(PrefillNotice{Target: state.ID, Parts: prefill.parts, ExpectedMS: float32(prefill.ExpectedMS())})
}

// staleLoadPenaltyMS returns the extra cost of an engine when there are many
// instances. Their loads are stale then, and without jitter all instances would
// choose the engine that was idle a moment ago.
func (scheduler *Scheduler) staleLoadPenaltyMS(state *targetState) float64 {
	if !scheduler.manyInstances {
		return 0
	}
	cost := staleLoadJitterMS * scheduler.random.Float64()
	if state.DataCenter != scheduler.options.dataCenter {
		cost += remotePenaltyMS
	}
	return cost
}

// EndPrefill ends the work of a prefill. If the engine answered, other engines can
// fetch the prompt's parts from it, and its slowdown is updated from the time taken.
func (scheduler *Scheduler) EndPrefill(prefill *Prefill, answered bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state := prefill.state
	if state == nil {
		return
	}
	state.ownLoad.PrefillMS[prefill.tier] = max(0, state.ownLoad.PrefillMS[prefill.tier]-prefill.WorkMS)
	if !answered || state.cache == nil {
		return
	}
	state.cache.add(prefill.parts, time.Now())
	elapsedMS := float64(time.Since(prefill.begun)) / float64(time.Millisecond)
	ratio := elapsedMS / max(1, prefill.ExpectedMS())
	state.slowdown += slowdownGain * (min(max(ratio*state.slowdown, minSlowdown), maxSlowdown) - state.slowdown)
}

// prefillWorkMS returns the expected prefill work for a prompt of which a
// number of leading tokens is cached.
func prefillWorkMS(tokens, cached int) float64 {
	uncached := float64(tokens - cached)
	pairs := uncached * (float64(cached) + uncached/2) / 1e6
	return prefillSetupMS + uncached/prefillTokensPerMS + attentionMSPerMPairs*pairs
}

// prefillEngines returns the engines that accept a prefill now.
func (scheduler *Scheduler) prefillEngines(service string, except []string, now time.Time) []*targetState {
	var engines []*targetState
	for _, state := range scheduler.services[service] {
		if state.Stage == site.Prefill && state.engine != nil && state.acceptsNewWork(now) && !slices.Contains(except, state.ID) {
			engines = append(engines, state)
		}
	}
	return engines
}

// prefixOwner returns the engine that all instances prefer for the shared parts
// of a prompt, by rendezvous hashing. Engines reserved for small prompts own
// nothing. It returns nil for a prompt without shared parts.
func (scheduler *Scheduler) prefixOwner(engines []*targetState, parts []hashedPart) *targetState {
	if len(parts) < 2 {
		return nil
	}
	prefix := strconv.FormatUint(parts[len(parts)-2].Hash, 16)
	var owner *targetState
	highest := uint64(0)
	for _, state := range engines {
		if state.reservedForSmall {
			continue
		}
		if hash := xxhash.Sum64String(state.ID + prefix); owner == nil || hash > highest {
			owner, highest = state, hash
		}
	}
	return owner
}

// Assignment is a request being decoded, or a call, in flight at a target.
type Assignment struct {
	Target     site.Target
	TransferMS float64 // expected time to transfer the KV of the prompt, 0 for a call
	load       Load
	state      *targetState // that counts the load
}

// AssignDecode chooses the engine for the decode of a prompt whose prefill was
// done by an engine in the data centre from, and counts the request there until
// Release. Engines in except are left out. Engines without free memory are
// chosen only if none has any. It returns false if no engine is available.
func (scheduler *Scheduler) AssignDecode(service string, prompt *site.Prompt, from string, except []string) (Assignment, bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := time.Now()
	neededTokens := prompt.Tokens + prompt.MaxOutputTokens
	var best *targetState
	bestCost, bestTransferMS := 0.0, 0.0
	for _, state := range scheduler.services[service] {
		if state.Stage != site.Decode || state.engine == nil || !state.acceptsNewWork(now) || slices.Contains(except, state.ID) {
			continue
		}
		cost, transferMS := state.decodeCost(neededTokens, prompt.Tokens, from)
		if scheduler.manyInstances {
			cost *= 1 + decodeCostJitter*scheduler.random.Float64()
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestTransferMS = state, cost, transferMS
		}
	}
	if best == nil {
		return Assignment{}, false
	}
	assignment := Assignment{Target: best.Target, TransferMS: bestTransferMS, load: Load{InFlight: 1, KVTokens: neededTokens}, state: best}
	best.ownLoad.add(&assignment.load, 1)
	best.takeShare(now)
	return assignment, true
}

// fullEnginePenaltyMS is added for an engine without memory or a slot for one
// more request.
const fullEnginePenaltyMS = 10_000

// decodeCost returns the cost, in milliseconds, of one more request that needs
// neededTokens of the engine's memory, and the expected time to transfer the KV
// of its prompt.
func (state *targetState) decodeCost(neededTokens, promptTokens int, from string) (cost, transferMS float64) {
	engine := state.engine
	transferMS = state.transferMS(promptTokens, from)
	tokens := float64(state.ownLoad.KVTokens + state.peerLoad.KVTokens + neededTokens)
	inFlight := state.ownLoad.InFlight + state.peerLoad.InFlight
	memoryUse := tokens / max(1, maxMemoryShare*float64(engine.KVCapacityTokens))
	cost = transferMS + decodeStepMS*(1+memoryUse)
	if memoryUse > 1 || (engine.Slots > 0 && inFlight >= engine.Slots) {
		cost += fullEnginePenaltyMS * memoryUse
	}
	return cost * state.slowdown / state.weight, transferMS
}

// Release removes the load of a request or call from its target. It has no effect
// on a target that was restarted meanwhile.
func (scheduler *Scheduler) Release(assignment *Assignment) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if assignment.state != nil {
		assignment.state.ownLoad.add(&assignment.load, -1)
	}
}
