package route_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mangopier.example/mangopier/internal/coordination/route"
	"mangopier.example/mangopier/internal/protocol/note"
)

const (
	instances   = 7
	blockTokens = 64
	dossiers    = 60
	cacheBlocks = 640 // per engine
	tickMS      = 100 // between reports, and between peers' messages
	lostEvents  = 0.05
)

// engine serves its prompts one after another and decodes in slots.
type engine struct {
	target   note.Target
	prefill  time.Time   // end of the prompts accepted
	slots    []time.Time // when each is free
	jobs     []job
	cached   []uint64 // oldest first
	sequence uint64
}

type job struct {
	first, done time.Time
	work        route.Work
}

// accept returns when the first token and the end come, the prompt tokens
// found in the cache, and the cache's events.
func (engine *engine) accept(now time.Time, request *route.Request, decode int) (job, int, []route.CacheEvent) {
	hit, events := engine.remember(request.Blocks)
	work := route.Work{Requests: 1, PrefillTokens: int64(request.PromptTokens - hit), DecodeTokens: int64(decode)}
	slot := 0
	for i, free := range engine.slots {
		if free.Before(engine.slots[slot]) {
			slot = i
		}
	}
	start := latest(now, engine.slots[slot], engine.prefill)
	first := start.Add(seconds(float64(work.PrefillTokens) / engine.target.PrefillTPS))
	perSlot := engine.target.DecodeTPS / float64(engine.target.Slots)
	accepted := job{first, first.Add(seconds(float64(decode) / perSlot)), work}
	engine.prefill, engine.slots[slot] = first, accepted.done
	engine.jobs = append(engine.jobs, accepted)
	return accepted, hit, events
}

func (engine *engine) remember(blocks []uint64) (int, []route.CacheEvent) {
	hit, events := 0, []route.CacheEvent(nil)
	for i, block := range blocks {
		place := slices.Index(engine.cached, block)
		if place >= 0 {
			engine.cached = slices.Delete(engine.cached, place, place+1)
			if hit == i {
				hit++
			}
		} else {
			engine.sequence++
			events = append(events, route.CacheEvent{Sequence: engine.sequence, Block: block})
		}
		engine.cached = append(engine.cached, block)
	}
	for len(engine.cached) > cacheBlocks {
		engine.sequence++
		events = append(events, route.CacheEvent{Sequence: engine.sequence, Block: engine.cached[0], Evicted: true})
		engine.cached = engine.cached[1:]
	}
	return hit * blockTokens, events
}

func (engine *engine) report(now time.Time) route.Load {
	engine.jobs = slices.DeleteFunc(engine.jobs, func(job job) bool { return !job.done.After(now) })
	load := route.Load{At: now}
	for _, job := range engine.jobs {
		load.Work.Requests++
		load.Work.DecodeTokens += job.work.DecodeTokens
		if job.first.After(now) {
			load.Work.PrefillTokens += job.work.PrefillTokens
		}
	}
	return load
}

// fleet is a small queueing model of entry instances and engines.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	events  []event // next one first
	engines []*engine
	tables  []*route.Table
	picker  route.Picker
	lag     time.Duration
	unique  bool      // no two prompts share a prefix
	delays  []float64 // seconds until the first token
	hits    float64   // prompt tokens found in caches
	prompts float64   // prompt tokens
}

func newFleet(seed uint64, lag time.Duration, picker func(*rand.Rand) route.Picker) *fleet {
	random := rand.New(rand.NewPCG(seed, 1))
	fleet := &fleet{random: random, now: time.UnixMilli(1e12), lag: lag, picker: picker(rand.New(rand.NewPCG(seed, 2)))}
	var targets []route.Target
	for i := range 12 {
		target := engineTarget(i)
		fleet.engines = append(fleet.engines, &engine{target: target, slots: make([]time.Time, target.Slots)})
		targets = append(targets, route.Target{Target: target})
	}
	for i := range instances {
		table := route.NewTable(route.WithInstance(fmt.Sprint("entry-", i)))
		table.SetTargets(targets)
		fleet.tables = append(fleet.tables, table)
	}
	return fleet
}

func engineTarget(i int) note.Target {
	return note.Target{
		ID: fmt.Sprint("t", i), DataCenter: fmt.Sprint("dc", i%4), Kind: note.KindEngine, Models: []string{"guide"},
		PrefillTPS: []float64{8000, 5000}[i%2], DecodeTPS: 480, Slots: 16,
	}
}

// run serves requests at a mean rate per second and returns the mean and the
// 99th percentile of the delay until the first token, in milliseconds, and
// the share of prompt tokens found in caches.
func (fleet *fleet) run(requests int, rate float64) (mean, p99, hits float64) {
	fleet.tick()
	at := fleet.now
	for range requests {
		at = at.Add(seconds(fleet.random.ExpFloat64() / rate))
		fleet.advance(at)
		fleet.serve()
	}
	slices.Sort(fleet.delays)
	for _, delay := range fleet.delays {
		mean += delay / float64(len(fleet.delays))
	}
	return 1000 * mean, 1000 * fleet.delays[len(fleet.delays)*99/100], fleet.hits / fleet.prompts
}

func (fleet *fleet) serve() {
	table := fleet.tables[fleet.random.IntN(instances)]
	request, decode := fleet.request()
	choice, err := fleet.picker.Pick(table.View(), &request)
	if err != nil {
		panic(err)
	}
	now := fleet.now
	table.View().StartAt(choice, now)
	table.View().Sent(choice, request.Blocks)
	engine := fleet.engines[slices.IndexFunc(fleet.engines, func(engine *engine) bool { return engine.target.ID == choice.Target.ID })]
	job, hit, events := engine.accept(now, &request, decode)
	fleet.delays = append(fleet.delays, job.first.Sub(now).Seconds())
	fleet.hits += float64(hit)
	fleet.prompts += float64(request.PromptTokens)
	fleet.after(job.first.Sub(now), func() { choice.Learn(hit) })
	fleet.after(job.first.Sub(now), func() { choice.FirstTokenAt(fleet.now) })
	fleet.after(job.done.Sub(now), func() { choice.DoneAt(fleet.now) })
	if fleet.random.Float64() >= lostEvents {
		fleet.after(fleet.lag, func() { fleet.each(func(table *route.Table) { table.Events(choice.Target.ID, events) }) })
	}
}

// request returns a question on a dossier or, now and then, a quick one.
func (fleet *fleet) request() (route.Request, int) {
	dossier := int(math.Floor(dossiers * math.Pow(fleet.random.Float64(), 2)))
	length := 30 + dossier*7%60
	if fleet.random.Float64() < 0.3 {
		length = 0
	}
	request := route.Request{Model: "guide", Repeatable: true, Predicted: 150}
	if fleet.unique {
		dossier = fleet.random.IntN(1 << 40)
	}
	for i := range length {
		request.Blocks = append(request.Blocks, uint64(dossier)*0x9e3779b97f4a7c15+uint64(i)*0xd1342543de82ef95+1)
	}
	question := 1 + fleet.random.IntN(4)
	for range question {
		request.Blocks = append(request.Blocks, fleet.random.Uint64())
	}
	request.PromptTokens = blockTokens * (length + question)
	return request, 50 + fleet.random.IntN(200)
}

// tick sends reports and peers' messages, again and again.
func (fleet *fleet) tick() {
	for _, engine := range fleet.engines {
		load := engine.report(fleet.now)
		fleet.after(fleet.lag, func() { fleet.each(func(table *route.Table) { table.Report(engine.target.ID, load) }) })
	}
	for i, table := range fleet.tables {
		sent := table.Sent()
		for j, peer := range fleet.tables {
			if i != j {
				fleet.after(time.Millisecond, func() { peer.SetPeer(fmt.Sprint(i), sent) })
			}
		}
	}
	fleet.after(tickMS*time.Millisecond, fleet.tick)
}

func (fleet *fleet) each(do func(*route.Table)) {
	for _, table := range fleet.tables {
		do(table)
	}
}

func (fleet *fleet) after(delay time.Duration, do func()) {
	at := fleet.now.Add(delay)
	place, _ := slices.BinarySearchFunc(fleet.events, at, func(event event, at time.Time) int {
		return cmp.Or(event.at.Compare(at), -1)
	})
	fleet.events = slices.Insert(fleet.events, place, event{at, do})
}

func (fleet *fleet) advance(to time.Time) {
	for len(fleet.events) > 0 && !fleet.events[0].at.After(to) {
		next := fleet.events[0]
		fleet.events = fleet.events[1:]
		fleet.now = next.at
		next.do()
	}
	fleet.now = to
}

// event is something that happens at a time to come.
type event struct {
	at time.Time
	do func()
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
