package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/coordination/route"
	"mangopier.example/mangopier/internal/protocol/conf"
	"mangopier.example/mangopier/internal/protocol/engine"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/protocol/note"
)

// poll is the polling of one target.
type poll struct {
	address string
	cancel  context.CancelFunc
	known   bool
	reading // the last one, if known
}

// report is a load report on its way to the watcher.
type report struct {
	target string
	reading
}

// pollAllTargets is the size of a fleet up to which an instance polls all
// targets.
const pollAllTargets = 256

// polled returns the targets whose state this instance needs: those that it
// sends requests to, those under its orders, and those under a change.
func (watcher *watcher) polled(known map[string]infra.Target) map[string]infra.Target {
	if len(known) <= pollAllTargets {
		return known
	}
	view := watcher.instance.targets.View()
	chosen := map[string]infra.Target{}
	for id, target := range known {
		last := watcher.lastOf(id)
		if view.Has(id) || last.Draining || last.Changing || watcher.instance.control.holds(target.DataCenter) {
			chosen[id] = target
		}
	}
	return chosen
}

// lastOf returns the last load report of a target, empty if there is none.
func (watcher *watcher) lastOf(id string) engine.Load {
	if poll, ok := watcher.polls[id]; ok {
		return poll.load
	}
	return engine.Load{}
}

// keepPolls polls just the targets that are known.
func (watcher *watcher) keepPolls(ctx context.Context, known map[string]infra.Target) {
	for id, running := range watcher.polls {
		if target, ok := known[id]; !ok || target.Address != running.address {
			running.cancel()
			<-watcher.gone
			delete(watcher.polls, id)
		}
	}
	for id, target := range known {
		if _, ok := watcher.polls[id]; ok {
			continue
		}
		pollCtx, cancel := context.WithCancel(ctx)
		watcher.polls[id] = &poll{address: target.Address, cancel: cancel}
		go watcher.poll(pollCtx, target.Target)
	}
}

// poll asks one target for its load, and an engine for its cache events.
func (watcher *watcher) poll(ctx context.Context, target note.Target) {
	defer func() { watcher.gone <- target.ID }()
	interval := conf.Milliseconds(watcher.instance.settings.Timeouts.PollMS)
	var after uint64
	var cacheAt time.Time
	for ctx.Err() == nil {
		watcher.askLoad(ctx, target)
		if target.Kind == note.KindEngine && time.Since(cacheAt) >= cacheInterval {
			cacheAt = time.Now()
			after = watcher.askCache(ctx, target, after)
		}
		pause.For(ctx, interval/2+rand.N(interval))
	}
}

func (watcher *watcher) askLoad(ctx context.Context, target note.Target) {
	asked := time.Now()
	load, err := watcher.instance.client.FetchLoad(ctx, target.Address)
	if err != nil {
		return
	}
	select {
	case watcher.reports <- report{target: target.ID, reading: reading{load: load, asked: asked}}:
	case <-ctx.Done():
	}
}

func (watcher *watcher) askCache(ctx context.Context, target note.Target, after uint64) uint64 {
	reply, err := watcher.instance.client.FetchCacheEvents(ctx, target.Address, strconv.FormatUint(after, 10))
	if err != nil {
		return after
	}
	events := make([]route.CacheEvent, 0, len(reply.Events))
	for _, event := range reply.Events {
		events = append(events, route.CacheEvent{Sequence: event.Sequence, Block: event.Block, Evicted: event.Evicted})
	}
	watcher.instance.targets.Events(target.ID, events)
	return reply.Next
}

// report takes a load report. What changes the use of the target is published
// at once.
func (watcher *watcher) report(report report) {
	poll, ok := watcher.polls[report.target]
	if !ok {
		return
	}
	before, known := poll.load, poll.known
	poll.reading, poll.known = report.reading, true
	watcher.instance.targets.Report(report.target, route.Load{
		At: measuredAt(report.reading),
		Work: route.Work{
			Requests:      int64(report.load.Running + report.load.Queued),
			PrefillTokens: int64(report.load.PrefillTokens),
			DecodeTokens:  int64(report.load.DecodeTokens),
		},
	})
	if !known || changesUse(before, report.load) {
		select {
		case watcher.notes <- struct{}{}:
		default:
		}
	}
}

func changesUse(before, after engine.Load) bool {
	return before.Draining != after.Draining || before.Changing != after.Changing ||
		before.Role != after.Role || !slices.Equal(before.Models, after.Models)
}

// measuredAt places the target's time on this instance's clock. A report
// cannot be younger than its answer nor older than the bound on lag, however
// wrong the target's clock is.
func measuredAt(reading reading) time.Time {
	at := time.UnixMilli(reading.load.AtUnixMS)
	oldest := reading.asked.Add(-maxLoadLag)
	switch {
	case at.After(reading.asked):
		return reading.asked
	case at.Before(oldest):
		return oldest
	default:
		return at
	}
}

const maxLoadLag = 5 * time.Second
