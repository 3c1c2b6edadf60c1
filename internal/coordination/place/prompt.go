package place

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangopier.example/mangopier/internal/protocol/site"
)

// Figures of the engines on the sites' sheets. Each target's pace corrects
// them as its answers come.
const (
	tokensPerMS     = 55.0  // prompt tokens read per millisecond: 51.1 and 64.2
	pairsMSPerM     = 0.65  // milliseconds per million pairs of tokens
	setupMS         = 5.0   // of one reading
	wayMS           = 35.0  // of one reading beside the work, during which the engine serves others
	moveSetupMS     = 4.0   // of one move, with the way there and back
	crossingFactor  = 2.0   // a move between data centres against one within
	crossingPenalty = 15.0  // milliseconds that a move between data centres counts more, for its price
	lessMostMS      = 150.0 // that less urgent work delays more urgent: the chunks under way
	stepMS          = 5.0   // of an engine between tokens
	memoryMost      = 0.85  // share of an engine's memory to plan for
	ownerShare      = 0.5   // of the work of its shared parts, by which the owner of a prompt is preferred
	paceGain        = 0.2   // of one observation in the smoothed pace
	paceLeast       = 0.5
	paceMost        = 20.0
)

// Reading is the choice of an engine to read a prompt.
type Reading struct {
	Target site.Target
	AheadMS,
	WorkMS float64 // expected wait before the work, and the work
	LessMS float64 // less urgent work in flight at the engine
	Cached int     // tokens that the engine is taken to keep
	Source string  // address of the engine from which it fetches more, empty for none
	Fetch  int     // tokens that it fetches

	parts  []namedPart
	shared int // tokens of all parts but the last
	tier   int
	begun  time.Time
}

// ExpectedMS returns the expected time until the prompt is read.
func (reading *Reading) ExpectedMS() float64 { return reading.AheadMS + reading.WorkMS + wayMS }

// Choose chooses the engine that is expected to have read a prompt first.
// Engines in except are left out. It returns false if there is no engine to
// choose.
func (book *Book) Choose(service string, prompt *site.Prompt, urgency int, except []string) (Reading, bool) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	parts := nameParts(prompt)
	tier := tierOf(urgency)
	now := time.Now()
	engines := book.readers(service, except, now)
	owner := book.ownerOf(engines, parts)
	sources := book.sources(service, parts, now)
	var best *state
	var choice Reading
	bestCost := 0.0
	for _, state := range engines {
		cached := min(state.cache.kept(parts), max(0, prompt.Tokens-1))
		offer, work := state.fetch(prompt.Tokens, cached, sources)
		work *= state.pace
		ahead := state.pace * (state.own.ahead(tier) + state.others.ahead(tier))
		less := state.own.ahead(tiers-1) + state.others.ahead(tiers-1) - state.own.ahead(tier) - state.others.ahead(tier)
		cost := (ahead + min(state.pace*less, lessMostMS) + work) / state.weight
		if state == owner {
			cost -= ownerShare * float64(prompt.Shared()) / tokensPerMS
		} else {
			cost += book.crowdCost(state)
		}
		cost += state.briefCost(work)
		if best == nil || cost < bestCost {
			best, bestCost = state, cost
			choice = Reading{
				Target: state.Target, AheadMS: ahead, WorkMS: work, LessMS: state.pace * less, Cached: cached,
				Source: offer.address, Fetch: max(0, offer.tokens-cached),
			}
		}
	}
	if best == nil {
		return Reading{}, false
	}
	choice.parts, choice.shared, choice.tier = parts, prompt.Shared(), tier
	return choice, true
}

// Begin counts the work of a reading at its engine until ReadDone.
func (book *Book) Begin(reading *Reading) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	reading.begun = time.Now()
	state, ok := book.targets[reading.Target.ID]
	if !ok || state.cache == nil {
		return
	}
	state.own.WorkMS[reading.tier] += reading.WorkMS
	expected := time.Duration(reading.ExpectedMS() * float64(time.Millisecond))
	state.cache.use(reading.parts, reading.begun.Add(expected))
	if reading.Cached >= reading.shared && reading.shared > 0 {
		return // the others know, or were told by who had it read there
	}
	book.tell(Read{Target: state.ID, Parts: reading.parts, TakesMS: float32(reading.ExpectedMS())})
}

// crowdCost is what an engine costs more in a large site, where loads are known
// late: instances must not all choose the one that was idle a moment ago.
func (book *Book) crowdCost(state *state) float64 {
	if !book.crowded {
		return 0
	}
	cost := crowdJitterMS * book.random.Float64()
	if state.DataCenter != book.options.home {
		cost += crowdAwayMS
	}
	return cost
}

// ReadDone ends the work of a reading. If the engine answered, its pace is
// corrected.
func (book *Book) ReadDone(reading *Reading, answered bool) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	state, ok := book.targets[reading.Target.ID]
	if !ok {
		return
	}
	state.own.WorkMS[reading.tier] = max(0, state.own.WorkMS[reading.tier]-reading.WorkMS)
	if !answered {
		return
	}
	state.cache.use(reading.parts, time.Now())
	took := float64(time.Since(reading.begun)) / float64(time.Millisecond)
	ratio := took / max(1, reading.ExpectedMS())
	state.pace += paceGain * (min(max(ratio*state.pace, paceLeast), paceMost) - state.pace)
}

// workMS returns how long an engine reads a prompt of which it keeps a part.
func workMS(tokens, cached int) float64 {
	fresh := float64(tokens - cached)
	pairs := fresh * (float64(cached) + fresh/2) / 1e6
	return setupMS + fresh/tokensPerMS + pairsMSPerM*pairs
}

// readers returns the engines that may read a prompt now.
func (book *Book) readers(service string, except []string, now time.Time) []*state {
	var engines []*state
	for _, state := range book.services[service] {
		if state.Stage == site.Prefill && state.engine != nil && state.usable(now) && !slices.Contains(except, state.ID) {
			engines = append(engines, state)
		}
	}
	return engines
}

// ownerOf returns the engine that all instances prefer for the shared parts of
// a prompt, by rendezvous hashing.
func (book *Book) ownerOf(engines []*state, parts []namedPart) *state {
	if len(parts) < 2 {
		return nil
	}
	lead := strconv.FormatUint(parts[len(parts)-2].Name, 16)
	var owner *state
	highest := uint64(0)
	for _, state := range engines {
		if state.brief {
			continue
		}
		if hash := xxhash.Sum64String(state.ID + lead); owner == nil || hash > highest {
			owner, highest = state, hash
		}
	}
	return owner
}

// Run is a request or call in flight at a target.
type Run struct {
	Target site.Target
	MoveMS float64 // expected time to fetch the prompt, 0 for a call
	load   Load
}

// Generate chooses the engine that makes the tokens of a prompt which another
// engine in the data centre from has read, and counts the run there until
// Ended. Engines without memory for it are chosen only if none has any.
func (book *Book) Generate(service string, prompt *site.Prompt, from string, except []string) (Run, bool) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	now := time.Now()
	need := prompt.Tokens + prompt.MaxOutput
	var best *state
	bestCost, bestMove := 0.0, 0.0
	for _, state := range book.services[service] {
		if state.Stage != site.Decode || state.engine == nil || !state.usable(now) || slices.Contains(except, state.ID) {
			continue
		}
		cost, move := state.generationCost(need, prompt.Tokens, from)
		if book.crowded {
			cost *= 1 + crowdSpread*book.random.Float64()
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestMove = state, cost, move
		}
	}
	if best == nil {
		return Run{}, false
	}
	run := Run{Target: best.Target, MoveMS: bestMove, load: Load{Runs: 1, Tokens: need}}
	best.own.add(&run.load, 1)
	return run, true
}

// fullMS is what an engine without memory for one more run costs.
const fullMS = 10_000

func (state *state) generationCost(need, tokens int, from string) (cost, move float64) {
	engine := state.engine
	move = state.moveMS(tokens, from)
	tokensHeld := float64(state.own.Tokens + state.others.Tokens + need)
	runs := state.own.Runs + state.others.Runs
	held := tokensHeld / max(1, memoryMost*float64(engine.Memory))
	cost = move + stepMS*(1+held)
	if held > 1 || (engine.Slots > 0 && runs >= engine.Slots) {
		cost += fullMS * held
	}
	return cost * state.pace / state.weight, move
}

// Ended ends a run.
func (book *Book) Ended(run *Run) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if state, ok := book.targets[run.Target.ID]; ok {
		state.own.add(&run.load, -1)
	}
}
