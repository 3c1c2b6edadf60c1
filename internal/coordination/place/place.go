// Package place offers the decision which target serves a request: which
// engine reads a prompt, which makes the tokens, and which target of a plain
// service takes a call.
//
// The decisions rest on the work in flight at each target, that of this
// instance exactly and that of the others as they last told it, and on the
// parts of prompts that each engine is likely to keep. They need no network
// and no report of the targets.
package place

import (
	"math/rand/v2"
	"sync"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
)

// Book keeps the targets and what is in flight at them. Its methods may be
// called by several goroutines.
type Book struct {
	options options

	mutex    sync.Mutex
	targets  map[string]*state
	services map[string][]*state
	peers    map[string]*peer
	reads    []roundRead // of this instance in the last rounds
	round    int         // of shares
	random   *rand.Rand
	crowded  bool // there are so many instances that loads are known late
}

// state is what is known of one target.
type state struct {
	site.Target

	engine  *site.Engine // nil for a plain service
	own     Load
	others  Load
	cache   *cache
	pace    float64 // smoothed time that work takes, against the expected
	weight  float64 // share of normal traffic that health allows
	brief   bool    // kept for small prompts
	paused  time.Time
	change  time.Time // until when the engine changes its stage
	changed time.Time // when the list showed another stage
	strike  int       // failures to connect in a row
	seen    time.Time // when the target was first listed here
}

// Load is the work in flight at a target.
type Load struct {
	WorkMS [tiers]float64 // prompts to read, by tier of urgency
	Runs   int            // requests that make tokens, or calls
	Tokens int            // that these keep in memory
}

// tiers is how many levels of urgency are told apart; sites use three.
const tiers = 4

// Option changes a book under construction.
type Option func(*options)

type options struct {
	home   string
	source rand.Source
}

// WithDataCenter sets the data centre of this instance.
func WithDataCenter(name string) Option {
	return func(options *options) { options.home = name }
}

// WithSource sets the source of the random numbers that tell equal targets
// apart.
func WithSource(source rand.Source) Option {
	return func(options *options) { options.source = source }
}

// New returns a book without targets.
func New(opts ...Option) *Book {
	book := &Book{
		targets:  map[string]*state{},
		services: map[string][]*state{},
		peers:    map[string]*peer{},
	}
	for _, opt := range opts {
		opt(&book.options)
	}
	if book.options.source == nil {
		book.options.source = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	book.random = rand.New(book.options.source)
	return book
}

// SetTargets replaces the list of targets. What is known of those that stay is
// kept; one that started anew under its name is a new one.
func (book *Book) SetTargets(targets []site.Target, services map[string]site.Service) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	now := time.Now()
	kept := make(map[string]*state, len(targets))
	groups := map[string][]*state{}
	for _, target := range targets {
		entry, ok := book.targets[target.ID]
		if !ok || !entry.Started.Equal(target.Started) {
			entry = &state{pace: 1, weight: 1, seen: now}
		}
		if entry.ID != "" && entry.Stage != target.Stage {
			entry.paused, entry.change, entry.changed = time.Time{}, time.Time{}, now
		}
		entry.Target = target
		entry.setEngine(services[target.Service].Engine)
		kept[target.ID] = entry
		groups[target.Service] = append(groups[target.Service], entry)
	}
	book.targets, book.services = kept, groups
	for _, group := range groups {
		keepBrief(group)
	}
	book.sumPeers(now)
}

func (state *state) setEngine(engine *site.Engine) {
	state.engine = engine
	if engine == nil {
		state.cache = nil
		return
	}
	if state.cache == nil || state.cache.capacity != cacheOf(engine) {
		state.cache = newCache(cacheOf(engine))
	}
}

// SetWeights sets the share of normal traffic that each target may take, 1 for
// those not named.
func (book *Book) SetWeights(weights map[string]float64) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	for id, state := range book.targets {
		state.weight = 1
		if weight, ok := weights[id]; ok {
			state.weight = weight
		}
	}
}

// Pause keeps new work from a target for a while, such as one that is changing
// its stage or refuses connections.
func (book *Book) Pause(id string, length time.Duration) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if state, ok := book.targets[id]; ok {
		state.paused = later(state.paused, time.Now().Add(length))
	}
}

// changeTold is how long after a change of stage showed in the list others may
// still tell of it.
const changeTold = 4 * time.Second

// Changing keeps new work from an engine that changes its stage, until the
// list shows the new one or the time has passed.
func (book *Book) Changing(id string, left time.Duration) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	now := time.Now()
	if state, ok := book.targets[id]; ok && now.Sub(state.changed) > changeTold {
		state.change = now.Add(left)
	}
}

const (
	firstPause = 500 * time.Millisecond // after a failure to connect
	mostDouble = 3                      // up to 4 s
)

// Unreachable records that no connection to a target could be made, and keeps
// new work from it for a time that doubles.
func (book *Book) Unreachable(id string) time.Duration {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	state, ok := book.targets[id]
	if !ok {
		return 0
	}
	length := firstPause << min(state.strike, mostDouble)
	state.strike++
	state.paused = later(state.paused, time.Now().Add(length))
	return length
}

// Reachable records that a target answered.
func (book *Book) Reachable(id string) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if state, ok := book.targets[id]; ok {
		state.strike = 0
	}
}

const (
	// crowd is the number of instances beyond which loads are known late.
	crowd = 12
	// crowdAwayMS keeps the work of a large site within its data centres,
	// unless their engines are that much busier. About one large prompt.
	crowdAwayMS = 120.0
	// crowdJitterMS spreads prompts over engines that look alike, about the
	// work of two small ones.
	crowdJitterMS = 50.0
	// crowdSpread spreads generations over engines with up to twice the
	// tokens in memory.
	crowdSpread = 1.0
)

// SetMembers tells how many instances there are.
func (book *Book) SetMembers(count int) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.crowded = count > crowd
}

// usable reports whether a target may get new work.
func (state *state) usable(now time.Time) bool {
	return !state.Leaving && state.answers(now)
}

// answers reports whether the target is taken to answer calls, also if it is
// leaving.
func (state *state) answers(now time.Time) bool {
	return state.weight > 0 && !now.Before(state.paused) && !now.Before(state.change)
}

func (load *Load) add(other *Load, sign float64) {
	for tier := range load.WorkMS {
		load.WorkMS[tier] = max(0, load.WorkMS[tier]+sign*other.WorkMS[tier])
	}
	load.Runs = max(0, load.Runs+int(sign)*other.Runs)
	load.Tokens = max(0, load.Tokens+int(sign)*other.Tokens)
}

// ahead returns the work that is done before new work of a tier.
func (load *Load) ahead(tier int) float64 {
	total := 0.0
	for i := 0; i <= tier; i++ {
		total += load.WorkMS[i]
	}
	return total
}

func tierOf(urgency int) int {
	return min(max(urgency, 0), tiers-1)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
