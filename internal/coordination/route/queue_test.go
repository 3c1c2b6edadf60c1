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
	instanceCount        = 7
	blockTokens          = 64
	documentCount        = 60
	cacheBlocksPerEngine = 640
	reportIntervalMS     = 100 // of engines and peers
	eventLossRatio       = 0.05
)

// engine simulates a model engine that runs prefills one after another and decodes
// in slots.
type engine struct {
	target        note.Target
	prefillEndsAt time.Time   // of all accepted jobs
	slotsFreeAt   []time.Time // by slot
	jobs          []job
	cachedBlocks  []uint64 // least recently used first
	sequence      uint64
}

type job struct {
	firstTokenAt, doneAt time.Time
	work                 route.Work
}

// accept schedules a request with a number of output tokens. It returns the job,
// the prompt tokens found in the cache, and the cache events.
func (engine *engine) accept(now time.Time, request *route.Request, decodeTokens int) (job, int, []route.CacheEvent) {
	cachedTokens, events := engine.updateCache(request.BlockHashes)
	work := route.Work{Requests: 1, PrefillTokens: int64(request.PromptTokens - cachedTokens), DecodeTokens: int64(decodeTokens)}
	nextSlot := 0
	for i, freeAt := range engine.slotsFreeAt {
		if freeAt.Before(engine.slotsFreeAt[nextSlot]) {
			nextSlot = i
		}
	}
	start := latestOf(now, engine.slotsFreeAt[nextSlot], engine.prefillEndsAt)
	firstTokenAt := start.Add(seconds(float64(work.PrefillTokens) / engine.target.PrefillTPS))
	slotTPS := engine.target.DecodeTPS / float64(engine.target.Slots)
	accepted := job{firstTokenAt, firstTokenAt.Add(seconds(float64(decodeTokens) / slotTPS)), work}
	engine.prefillEndsAt, engine.slotsFreeAt[nextSlot] = firstTokenAt, accepted.doneAt
	engine.jobs = append(engine.jobs, accepted)
	return accepted, cachedTokens, events
}

// updateCache stores the blocks, evicts the least recently used ones, and returns
// the prompt tokens that were cached and the cache events.
func (engine *engine) updateCache(blocks []uint64) (int, []route.CacheEvent) {
	hitBlocks, events := 0, []route.CacheEvent(nil)
	for i, block := range blocks {
		index := slices.Index(engine.cachedBlocks, block)
		if index >= 0 {
			engine.cachedBlocks = slices.Delete(engine.cachedBlocks, index, index+1)
			if hitBlocks == i {
				hitBlocks++
			}
		} else {
			engine.sequence++
			events = append(events, route.CacheEvent{Sequence: engine.sequence, BlockHash: block})
		}
		engine.cachedBlocks = append(engine.cachedBlocks, block)
	}
	for len(engine.cachedBlocks) > cacheBlocksPerEngine {
		engine.sequence++
		events = append(events, route.CacheEvent{Sequence: engine.sequence, BlockHash: engine.cachedBlocks[0], Evicted: true})
		engine.cachedBlocks = engine.cachedBlocks[1:]
	}
	return hitBlocks * blockTokens, events
}

func (engine *engine) report(now time.Time) route.LoadReport {
	engine.jobs = slices.DeleteFunc(engine.jobs, func(job job) bool { return !job.doneAt.After(now) })
	report := route.LoadReport{MeasuredAt: now}
	for _, job := range engine.jobs {
		report.Work.Requests++
		report.Work.DecodeTokens += job.work.DecodeTokens
		if job.firstTokenAt.After(now) {
			report.Work.PrefillTokens += job.work.PrefillTokens
		}
	}
	return report
}

// simulation is a queueing model of entry instances and engines.
type simulation struct {
	random            *rand.Rand
	now               time.Time
	events            []timedEvent // earliest first
	engines           []*engine
	tables            []*route.Table
	picker            route.Picker
	lag               time.Duration
	uniquePrompts     bool      // no two prompts share a prefix
	firstTokenSeconds []float64 // per request
	cachedTokens      float64   // prompt tokens found in caches
	promptTokens      float64
}

func newSimulation(seed uint64, lag time.Duration, newPicker func(*rand.Rand) route.Picker) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	simulation := &simulation{random: random, now: time.UnixMilli(1e12), lag: lag, picker: newPicker(rand.New(rand.NewPCG(seed, 2)))}
	var targets []route.Target
	for i := range 12 {
		target := engineTarget(i)
		simulation.engines = append(simulation.engines, &engine{target: target, slotsFreeAt: make([]time.Time, target.Slots)})
		targets = append(targets, route.Target{Target: target})
	}
	for i := range instanceCount {
		table := route.NewTable(route.WithInstance(fmt.Sprint("entry-", i)))
		table.SetTargets(targets)
		simulation.tables = append(simulation.tables, table)
	}
	return simulation
}

func engineTarget(i int) note.Target {
	return note.Target{
		ID: fmt.Sprint("t", i), DataCenter: fmt.Sprint("dc", i%4), Kind: note.KindEngine, Models: []string{"guide"},
		PrefillTPS: []float64{8000, 5000}[i%2], DecodeTPS: 480, Slots: 16,
	}
}

// run serves requests at a mean rate per second. It returns the mean and the 99th
// percentile of the time to the first token, and the share of prompt tokens found
// in caches.
func (simulation *simulation) run(requests int, ratePerSecond float64) (meanMS, p99MS, hitRatio float64) {
	simulation.exchangeReports()
	at := simulation.now
	for range requests {
		at = at.Add(seconds(simulation.random.ExpFloat64() / ratePerSecond))
		simulation.advanceTo(at)
		simulation.serveRequest()
	}
	slices.Sort(simulation.firstTokenSeconds)
	for _, ttft := range simulation.firstTokenSeconds {
		meanMS += ttft / float64(len(simulation.firstTokenSeconds))
	}
	return 1000 * meanMS, 1000 * simulation.firstTokenSeconds[len(simulation.firstTokenSeconds)*99/100], simulation.cachedTokens / simulation.promptTokens
}

func (simulation *simulation) serveRequest() {
	table := simulation.tables[simulation.random.IntN(instanceCount)]
	request, decodeTokens := simulation.newRequest()
	choice, err := simulation.picker.Pick(table.View(), &request)
	if err != nil {
		panic(err)
	}
	now := simulation.now
	table.View().StartRequestAt(choice, now)
	table.View().RecordPrefix(choice, request.BlockHashes)
	engine := simulation.engines[slices.IndexFunc(simulation.engines, func(engine *engine) bool { return engine.target.ID == choice.Target.ID })]
	job, cachedTokens, events := engine.accept(now, &request, decodeTokens)
	simulation.firstTokenSeconds = append(simulation.firstTokenSeconds, job.firstTokenAt.Sub(now).Seconds())
	simulation.cachedTokens += float64(cachedTokens)
	simulation.promptTokens += float64(request.PromptTokens)
	simulation.schedule(job.firstTokenAt.Sub(now), func() { choice.RecordCachedTokens(cachedTokens) })
	simulation.schedule(job.firstTokenAt.Sub(now), func() { choice.RecordFirstTokenAt(simulation.now) })
	simulation.schedule(job.doneAt.Sub(now), func() { choice.ReleaseAt(simulation.now) })
	if simulation.random.Float64() >= eventLossRatio {
		simulation.schedule(simulation.lag, func() {
			simulation.forEachTable(func(table *route.Table) { table.ApplyCacheEvents(choice.Target.ID, events) })
		})
	}
}

// newRequest returns a request and its number of output tokens. The prompt is a
// question, in 70% of cases after a document that other prompts share.
func (simulation *simulation) newRequest() (route.Request, int) {
	document := int(math.Floor(documentCount * math.Pow(simulation.random.Float64(), 2)))
	documentBlocks := 30 + document*7%60
	if simulation.random.Float64() < 0.3 {
		documentBlocks = 0
	}
	request := route.Request{Model: "guide", Repeatable: true, PredictedTokens: 150}
	if simulation.uniquePrompts {
		document = simulation.random.IntN(1 << 40)
	}
	for i := range documentBlocks {
		request.BlockHashes = append(request.BlockHashes, uint64(document)*0x9e3779b97f4a7c15+uint64(i)*0xd1342543de82ef95+1)
	}
	questionBlocks := 1 + simulation.random.IntN(4)
	for range questionBlocks {
		request.BlockHashes = append(request.BlockHashes, simulation.random.Uint64())
	}
	request.PromptTokens = blockTokens * (documentBlocks + questionBlocks)
	return request, 50 + simulation.random.IntN(200)
}

// exchangeReports sends load reports and peers' messages, and schedules the next
// round.
func (simulation *simulation) exchangeReports() {
	for _, engine := range simulation.engines {
		report := engine.report(simulation.now)
		simulation.schedule(simulation.lag, func() {
			simulation.forEachTable(func(table *route.Table) { table.RecordLoad(engine.target.ID, report) })
		})
	}
	for i, table := range simulation.tables {
		ownWork := table.UnreportedWork()
		for j, peer := range simulation.tables {
			if i != j {
				simulation.schedule(time.Millisecond, func() { peer.SetPeerWork(fmt.Sprint(i), ownWork) })
			}
		}
	}
	simulation.schedule(reportIntervalMS*time.Millisecond, simulation.exchangeReports)
}

func (simulation *simulation) forEachTable(visit func(*route.Table)) {
	for _, table := range simulation.tables {
		visit(table)
	}
}

// schedule runs a function after a delay, behind those already due at that time.
func (simulation *simulation) schedule(delay time.Duration, run func()) {
	at := simulation.now.Add(delay)
	index, _ := slices.BinarySearchFunc(simulation.events, at, func(event timedEvent, at time.Time) int {
		return cmp.Or(event.at.Compare(at), -1)
	})
	simulation.events = slices.Insert(simulation.events, index, timedEvent{at, run})
}

func (simulation *simulation) advanceTo(end time.Time) {
	for len(simulation.events) > 0 && !simulation.events[0].at.After(end) {
		next := simulation.events[0]
		simulation.events = simulation.events[1:]
		simulation.now = next.at
		next.run()
	}
	simulation.now = end
}

// timedEvent is a function to be run at a simulated time.
type timedEvent struct {
	at  time.Time
	run func()
}

func latestOf(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
