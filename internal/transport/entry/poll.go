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

// targetPoll is the state of the polling of one target, which runs in a goroutine
// of its own until cancel is called.
type targetPoll struct {
	address     string
	cancel      context.CancelFunc
	hasReading  bool
	loadReading // the last one, valid if hasReading
}

// targetReading is a load report that a poll passes to the watcher.
type targetReading struct {
	target string
	loadReading
}

// maxTargetsPolledByAll is the largest number of targets at which every instance
// polls all of them.
const maxTargetsPolledByAll = 256

// targetsToPoll returns the targets whose state this instance needs. In a large
// fleet these are the targets that it may send requests to, those in data centres
// whose orders it issues, and those that are draining or changing.
func (watcher *targetWatcher) targetsToPoll(running map[string]infra.Target) map[string]infra.Target {
	if len(running) <= maxTargetsPolledByAll {
		return running
	}
	view := watcher.instance.routingTable.View()
	selected := map[string]infra.Target{}
	for id, target := range running {
		last := watcher.lastLoad(id)
		if view.HasTarget(id) || last.Draining || last.OrderInProgress || watcher.instance.coordinator.holdsLease(target.DataCenter) {
			selected[id] = target
		}
	}
	return selected
}

// lastLoad returns the last load report of a target, empty if there is none.
func (watcher *targetWatcher) lastLoad(id string) engine.LoadReport {
	if poll, ok := watcher.polls[id]; ok {
		return poll.report
	}
	return engine.LoadReport{}
}

// updatePolls starts and stops polls so that exactly the given targets are polled,
// each at its current address.
func (watcher *targetWatcher) updatePolls(ctx context.Context, targets map[string]infra.Target) {
	for id, poll := range watcher.polls {
		if target, ok := targets[id]; !ok || target.Address != poll.address {
			poll.cancel()
			<-watcher.pollsEnded
			delete(watcher.polls, id)
		}
	}
	for id, target := range targets {
		if _, ok := watcher.polls[id]; ok {
			continue
		}
		pollCtx, cancel := context.WithCancel(ctx)
		watcher.polls[id] = &targetPoll{address: target.Address, cancel: cancel}
		go watcher.pollTarget(pollCtx, target.Target)
	}
}

// pollTarget polls one target for its load, and an engine also for its cache
// events, until ctx ends. The interval is randomized so that the instances' polls
// spread out.
func (watcher *targetWatcher) pollTarget(ctx context.Context, target note.Target) {
	defer func() { watcher.pollsEnded <- target.ID }()
	interval := conf.Milliseconds(watcher.instance.settings.Timeouts.PollMS)
	var cursor uint64
	var lastCachePoll time.Time
	for ctx.Err() == nil {
		watcher.fetchLoad(ctx, target)
		if target.Kind == note.KindEngine && time.Since(lastCachePoll) >= cacheEventInterval {
			lastCachePoll = time.Now()
			cursor = watcher.fetchCacheEvents(ctx, target, cursor)
		}
		pause.For(ctx, interval/2+rand.N(interval))
	}
}

func (watcher *targetWatcher) fetchLoad(ctx context.Context, target note.Target) {
	requestedAt := time.Now()
	report, err := watcher.instance.targetClient.FetchLoad(ctx, target.Address)
	if err != nil {
		return
	}
	select {
	case watcher.readings <- targetReading{target: target.ID, loadReading: loadReading{report: report, requestedAt: requestedAt}}:
	case <-ctx.Done():
	}
}

// fetchCacheEvents applies the target's cache events after the cursor to the
// routing table, and returns the cursor for the next call. After an error the cursor
// is unchanged.
func (watcher *targetWatcher) fetchCacheEvents(ctx context.Context, target note.Target, cursor uint64) uint64 {
	reply, err := watcher.instance.targetClient.FetchCacheEvents(ctx, target.Address, strconv.FormatUint(cursor, 10))
	if err != nil {
		return cursor
	}
	events := make([]route.CacheEvent, 0, len(reply.Events))
	for _, event := range reply.Events {
		events = append(events, route.CacheEvent{Sequence: event.Sequence, BlockHash: event.BlockHash, Evicted: event.Evicted})
	}
	watcher.instance.routingTable.ApplyCacheEvents(target.ID, events)
	return reply.NextSequence
}

// recordReading stores a load report and passes it to the routing table. A change
// that affects routing triggers a refresh at once.
func (watcher *targetWatcher) recordReading(reading targetReading) {
	poll, ok := watcher.polls[reading.target]
	if !ok {
		return
	}
	before, hadReading := poll.report, poll.hasReading
	poll.loadReading, poll.hasReading = reading.loadReading, true
	watcher.instance.routingTable.RecordLoad(reading.target, route.LoadReport{
		MeasuredAt: measuredAt(reading.loadReading),
		Work: route.Work{
			Requests:      int64(reading.report.RunningRequests + reading.report.QueuedRequests),
			PrefillTokens: int64(reading.report.PrefillTokens),
			DecodeTokens:  int64(reading.report.DecodeTokens),
		},
	})
	if !hadReading || affectsRouting(before, reading.report) {
		select {
		case watcher.refreshNeeded <- struct{}{}:
		default:
		}
	}
}

func affectsRouting(before, after engine.LoadReport) bool {
	return before.Draining != after.Draining || before.OrderInProgress != after.OrderInProgress ||
		before.Role != after.Role || !slices.Equal(before.Models, after.Models)
}

// measuredAt returns when a report was measured, on this instance's clock. The
// target's own timestamp is clamped to between maxLoadReportLag before the request
// and the request itself, so that a wrong clock at the target has a bounded effect.
func measuredAt(reading loadReading) time.Time {
	at := time.UnixMilli(reading.report.MeasuredAtUnixMS)
	oldest := reading.requestedAt.Add(-maxLoadReportLag)
	switch {
	case at.After(reading.requestedAt):
		return reading.requestedAt
	case at.Before(oldest):
		return oldest
	default:
		return at
	}
}

const maxLoadReportLag = 5 * time.Second
