// Package place chooses the target that serves a request: the engine for the
// prefill of a prompt, the engine for decode, and the target for a call to a
// plain service.
//
// The choice depends on the work in flight at each target and on the prompt
// parts that each engine is likely to have in its prefix cache. Work of this
// instance is known exactly, work of the others from their latest reports. No
// choice needs the network or a report of a target.
package place

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
)

// Scheduler chooses targets and tracks the work in flight at each. It is safe
// for concurrent use.
type Scheduler struct {
	options options

	mutex          sync.Mutex
	targets        map[string]*targetState   // by target ID
	services       map[string][]*targetState // by service name
	unlisted       map[string]unlistedTarget // by target ID
	peers          map[string]*peer          // by instance
	recentPrefills []roundNotice             // begun by this instance in the last maxRounds rounds
	round          int                       // current round of reports
	random         *rand.Rand
	self           string   // name of this instance
	members        []string // instances among which limits of targets are divided
	manyInstances  bool     // more than manyInstancesThreshold, so that reported loads are stale
}

// targetState is what is known of one target.
type targetState struct {
	site.Target

	engine           *site.Engine // nil for a plain service
	ownLoad          Load         // work of this instance
	peerLoad         Load         // work of the other instances, as reported
	cache            *prefixCache // nil for a plain service
	slowdown         float64      // smoothed ratio of actual to expected time
	weight           float64      // share of normal traffic that the target's health allows
	reservedForSmall bool         // preferred for small prompts
	pausedUntil      time.Time
	quietUntil       time.Time    // until when the target has asked for no new work
	stageChangeUntil time.Time    // while the engine changes its stage
	stageChangedAt   time.Time    // when the target list showed another stage
	connectFailures  int          // in a row
	refusals         int          // requests in a row that the target refused to run
	firstSeen        time.Time    // when the target was first listed here
	leaving          bool         // the target has said that it takes no new requests
	limit            *targetLimit // nil if the target has named none
}

// Load is the work in flight at a target.
type Load struct {
	PrefillMS [tierCount]float64 // expected prefill work, by priority tier
	InFlight  int                // requests being decoded, or calls
	KVTokens  int                // held in memory by these requests
}

// tierCount is the number of priority tiers; sites use three.
const tierCount = 4

// Option configures a Scheduler.
type Option func(*options)

type options struct {
	dataCenter string
	randSource rand.Source
}

// WithDataCenter sets the data centre of this instance.
func WithDataCenter(name string) Option {
	return func(options *options) { options.dataCenter = name }
}

// WithRandSource sets the source of the random numbers that break ties between
// equal targets. The default is a randomly seeded PCG.
func WithRandSource(source rand.Source) Option {
	return func(options *options) { options.randSource = source }
}

// New returns a Scheduler without targets.
func New(opts ...Option) *Scheduler {
	scheduler := &Scheduler{
		targets:  map[string]*targetState{},
		services: map[string][]*targetState{},
		unlisted: map[string]unlistedTarget{},
		peers:    map[string]*peer{},
	}
	for _, opt := range opts {
		opt(&scheduler.options)
	}
	if scheduler.options.randSource == nil {
		scheduler.options.randSource = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	scheduler.random = rand.New(scheduler.options.randSource)
	return scheduler
}

// SetTargets replaces the list of targets. State is kept for targets that
// remain, unless the start time shows that the target was restarted.
func (scheduler *Scheduler) SetTargets(targets []site.Target, services map[string]site.Service) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := time.Now()
	states := make(map[string]*targetState, len(targets))
	groups := map[string][]*targetState{}
	for _, target := range targets {
		state, ok := scheduler.targets[target.ID]
		if !ok {
			state, ok = scheduler.unlisted[target.ID].state, scheduler.unlisted[target.ID].state != nil
		}
		if !ok || !state.Started.Equal(target.Started) {
			state = &targetState{slowdown: 1, weight: 1, firstSeen: now}
		}
		if state.ID != "" && state.Stage != target.Stage {
			state.pausedUntil, state.stageChangeUntil, state.stageChangedAt = time.Time{}, time.Time{}, now
		}
		state.Target = target
		state.setEngine(services[target.Service].Engine)
		states[target.ID] = state
		groups[target.Service] = append(groups[target.Service], state)
	}
	scheduler.keepUnlisted(states, now)
	scheduler.targets, scheduler.services = states, groups
	for _, group := range groups {
		reserveForSmallPrompts(group)
	}
	scheduler.recomputePeerLoads(now)
}

// unlistedTarget is the state of a target whose entry is missing.
type unlistedTarget struct {
	state *targetState
	since time.Time
}

// unlistedMemory is how long the state of a target whose entry is missing is kept.
// Entries expire while the store is away, and come back with it.
const unlistedMemory = 2 * time.Minute

// keepUnlisted keeps what targets that are not listed any more have said, or will say in
// answers that are under way, since the next list does not tell it.
func (scheduler *Scheduler) keepUnlisted(listed map[string]*targetState, now time.Time) {
	for id, state := range scheduler.targets {
		if listed[id] != nil {
			continue
		}
		if !state.leaving && state.limit == nil && !now.Before(state.quietUntil) {
			state = &targetState{Target: state.Target, slowdown: 1, weight: 1, firstSeen: state.firstSeen}
		}
		scheduler.unlisted[id] = unlistedTarget{state, now}
	}
	for id, unlisted := range scheduler.unlisted {
		if listed[id] != nil || now.Sub(unlisted.since) > unlistedMemory {
			delete(scheduler.unlisted, id)
		}
	}
}

// stated returns the state in which to keep what a target says, whether it is listed or
// was so a while ago.
func (scheduler *Scheduler) stated(id string) (*targetState, bool) {
	if state, ok := scheduler.targets[id]; ok {
		return state, true
	}
	unlisted, ok := scheduler.unlisted[id]
	return unlisted.state, ok
}

func (state *targetState) setEngine(engine *site.Engine) {
	state.engine = engine
	if engine == nil {
		state.cache = nil
		return
	}
	if state.cache == nil || state.cache.capacity != prefixCacheTokens(engine) {
		state.cache = newPrefixCache(prefixCacheTokens(engine))
	}
}

// SetWeights sets the share of normal traffic that each target may take, by
// target ID. Targets that are not listed get 1.
func (scheduler *Scheduler) SetWeights(weights map[string]float64) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	for id, state := range scheduler.targets {
		state.weight = 1
		if weight, ok := weights[id]; ok {
			state.weight = weight
		}
	}
}

// PauseTarget keeps new work from a target for at least length, such as from
// one that is changing its stage or refuses connections.
func (scheduler *Scheduler) PauseTarget(id string, length time.Duration) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if state, ok := scheduler.targets[id]; ok {
		state.pausedUntil = maxTime(state.pausedUntil, time.Now().Add(length))
	}
}

// staleChangeWindow is how long after the target list showed a new stage other
// instances may still announce the change to it.
const staleChangeWindow = 4 * time.Second

// MarkStageChange keeps new work from an engine that changes its stage, until
// the target list shows the new stage or remaining has passed.
func (scheduler *Scheduler) MarkStageChange(id string, remaining time.Duration) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := time.Now()
	if state, ok := scheduler.targets[id]; ok && now.Sub(state.stageChangedAt) > staleChangeWindow {
		state.stageChangeUntil = now.Add(remaining)
	}
}

const (
	initialBackoff      = 500 * time.Millisecond // after the first failure to connect
	maxBackoffDoublings = 3                      // limits the backoff to 4 s
)

// MarkUnreachable records that no connection to a target could be made and
// keeps new work from it for a backoff that doubles with each failure in a row.
// It returns the backoff, 0 for an unknown target.
func (scheduler *Scheduler) MarkUnreachable(id string) time.Duration {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state, ok := scheduler.targets[id]
	if !ok {
		return 0
	}
	backoff := initialBackoff << min(state.connectFailures, maxBackoffDoublings)
	state.connectFailures++
	state.pausedUntil = maxTime(state.pausedUntil, time.Now().Add(backoff))
	return backoff
}

// EndBackoff lets a target get new work again at once after connections to it could
// not be made. It counts as unreachable until it answers.
func (scheduler *Scheduler) EndBackoff(id string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if state, ok := scheduler.targets[id]; ok && state.connectFailures > 0 {
		state.pausedUntil = time.Time{}
	}
}

// MostUnreachable reports whether the last connection to half of the targets of a
// service and stage or more could not be made.
func (scheduler *Scheduler) MostUnreachable(service string, stage site.Stage) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.mostUnreachable(service, stage)
}

func (scheduler *Scheduler) mostUnreachable(service string, stage site.Stage) bool {
	unreachable, all := 0, 0
	for _, state := range scheduler.services[service] {
		if state.Stage != stage {
			continue
		}
		all++
		if state.connectFailures > 0 {
			unreachable++
		}
	}
	return unreachable > 0 && 2*unreachable >= all
}

// IsStageOutOfReach reports whether most targets of a service and stage are
// unreachable, and none gets new work now.
func (scheduler *Scheduler) IsStageOutOfReach(service string, stage site.Stage) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := time.Now()
	accepts := func(state *targetState) bool { return state.Stage == stage && state.acceptsNewWork(now) }
	return scheduler.mostUnreachable(service, stage) && !slices.ContainsFunc(scheduler.services[service], accepts)
}

// MarkReachable records that a target answered, which resets its backoff.
func (scheduler *Scheduler) MarkReachable(id string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if state, ok := scheduler.targets[id]; ok {
		state.connectFailures = 0
	}
}

const (
	initialRefusalPause  = 500 * time.Millisecond // after the first refusal
	maxRefusalsDoublings = 2                      // limits the pause to 2 s
)

// MarkRefused records that a target refused to run a request, since it is full
// or changes its stage, and keeps new work from it for a time that doubles with
// each refusal in a row.
func (scheduler *Scheduler) MarkRefused(id string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state, ok := scheduler.targets[id]
	if !ok {
		return
	}
	now := time.Now()
	if now.Before(state.pausedUntil) {
		return // sent before an earlier refusal was known
	}
	state.pausedUntil = now.Add(initialRefusalPause << min(state.refusals, maxRefusalsDoublings))
	state.refusals++
}

// MarkAccepted records that a target runs a request, which resets the pause
// after refusals.
func (scheduler *Scheduler) MarkAccepted(id string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if state, ok := scheduler.targets[id]; ok {
		state.refusals = 0
	}
}

const (
	// manyInstancesThreshold is the number of instances beyond which loads
	// reported by peers are stale.
	manyInstancesThreshold = 12
	// remotePenaltyMS keeps prefill within the data centre when there are many
	// instances, unless its engines are busier by that much. It is about the
	// work of one large prompt.
	remotePenaltyMS = 120.0
	// staleLoadJitterMS spreads prompts over engines that look equally loaded.
	// It is about the work of two small prompts.
	staleLoadJitterMS = 50.0
	// decodeCostJitter is the largest relative increase of a decode engine's
	// cost. At 1 it spreads requests over engines with up to twice the tokens
	// in memory.
	decodeCostJitter = 1.0
)

// SetInstanceCount sets the number of instances, including this one.
func (scheduler *Scheduler) SetInstanceCount(count int) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.manyInstances = count > manyInstancesThreshold
}

// acceptsNewWork reports whether a target may be chosen.
func (state *targetState) acceptsNewWork(now time.Time) bool {
	return !state.Draining && !state.leaving && state.isResponsive(now) && state.hasShare(now)
}

// isResponsive reports whether the target is expected to answer calls, even if
// it is draining or leaving.
func (state *targetState) isResponsive(now time.Time) bool {
	return state.weight > 0 && !now.Before(state.pausedUntil) && !now.Before(state.stageChangeUntil) && !now.Before(state.quietUntil)
}

func (load *Load) add(other *Load, sign float64) {
	for tier := range load.PrefillMS {
		load.PrefillMS[tier] = max(0, load.PrefillMS[tier]+sign*other.PrefillMS[tier])
	}
	load.InFlight = max(0, load.InFlight+int(sign)*other.InFlight)
	load.KVTokens = max(0, load.KVTokens+int(sign)*other.KVTokens)
}

// queuedMS returns the prefill work that is done before new work of a tier:
// that of the same tier and of all higher ones.
func (load *Load) queuedMS(tier int) float64 {
	total := 0.0
	for i := 0; i <= tier; i++ {
		total += load.PrefillMS[i]
	}
	return total
}

func priorityTier(priority int) int {
	return min(max(priority, 0), tierCount-1)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
