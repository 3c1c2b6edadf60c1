package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/route"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/protocol/note"
)

const (
	targetListInterval = time.Second            // between reads of the platform's list of targets
	cacheEventInterval = 500 * time.Millisecond // between reads of an engine's cache events
)

// targetWatcher keeps the routing table consistent with the catalog, the platform's
// list of targets and the load reports that it polls from targets. Only the
// goroutine of run uses its maps.
type targetWatcher struct {
	instance        *Instance
	logger          zerolog.Logger
	refreshNeeded   chan struct{}
	readings        chan targetReading
	pollsEnded      chan string
	polls           map[string]*targetPoll
	platformTargets map[string]infra.Target
	targetCount     atomic.Int64
	snapshot        atomic.Pointer[snapshot]
}

func newTargetWatcher(instance *Instance) *targetWatcher {
	watcher := &targetWatcher{
		instance:        instance,
		logger:          instance.logger.With().Str("part", "watcher").Logger(),
		refreshNeeded:   make(chan struct{}, 1),
		readings:        make(chan targetReading),
		pollsEnded:      make(chan string),
		polls:           map[string]*targetPoll{},
		platformTargets: map[string]infra.Target{},
	}
	instance.noteFeed.Subscribe(func(*note.Catalog) {
		select {
		case watcher.refreshNeeded <- struct{}{}:
		default:
		}
	})
	return watcher
}

// Start runs the watcher until ctx ends. The channel receives its error then.
func (watcher *targetWatcher) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- watcher.run(ctx) }()
	return ended
}

func (watcher *targetWatcher) run(ctx context.Context) error {
	ticker := time.NewTicker(targetListInterval)
	defer ticker.Stop()
	lists := make(chan []infra.Target, 1)
	listing := false
	for {
		select {
		case <-ctx.Done():
			return watcher.stopPolls()
		case <-watcher.refreshNeeded:
			watcher.refreshTargets(ctx)
		case <-ticker.C:
			watcher.exchangeLoad()
			watcher.publishSnapshot()
			if !listing {
				listing = true
				go func() { lists <- watcher.listTargets(ctx) }()
			}
		case list := <-lists:
			listing = false
			watcher.setPlatformTargets(list)
			watcher.refreshTargets(ctx)
		case reading := <-watcher.readings:
			watcher.recordReading(reading)
		}
	}
}

// stopPolls cancels all polls and waits for their goroutines.
func (watcher *targetWatcher) stopPolls() error {
	for _, poll := range watcher.polls {
		poll.cancel()
	}
	for range watcher.polls {
		<-watcher.pollsEnded
	}
	return nil
}

// listTargets returns the platform's list of targets, nil if the call fails.
func (watcher *targetWatcher) listTargets(ctx context.Context) []infra.Target {
	list, err := watcher.instance.platform.ListTargets(ctx)
	if err != nil {
		watcher.logger.Debug().Err(err).Msg("reading the platform's list of targets failed")
		return nil
	}
	return list
}

func (watcher *targetWatcher) setPlatformTargets(list []infra.Target) {
	if list == nil {
		return
	}
	watcher.platformTargets = map[string]infra.Target{}
	for _, target := range list {
		watcher.platformTargets[target.ID] = target
	}
}

// runningTargets returns the targets of the platform's list and the catalog that
// have not ended.
func (watcher *targetWatcher) runningTargets(catalog *note.Catalog) map[string]infra.Target {
	running := watcher.allTargets(catalog)
	for id, target := range running {
		if target.Lifecycle == infra.LifecycleEnded {
			delete(running, id)
		}
	}
	return running
}

// refreshTargets updates routing, polling, health tracking, admission and the
// snapshot from the catalog, the platform's list and the last load reports.
func (watcher *targetWatcher) refreshTargets(ctx context.Context) {
	catalog := watcher.instance.noteFeed.Catalog()
	if catalog == nil {
		return
	}
	running := watcher.runningTargets(catalog)
	var targets []route.Target
	var members []health.Member
	var noteTargets []note.Target
	stopping := map[string]bool{}
	for id, target := range running {
		current := watcher.withReportedState(target.Target)
		last := watcher.lastLoad(id)
		_, inCatalog := catalog.Targets[id]
		withdrawn := !inCatalog && !target.StartedByOrder
		draining := withdrawn || target.Lifecycle == infra.LifecycleLeaving || last.Draining || last.OrderInProgress
		targets = append(targets, route.Target{Target: current, Draining: draining})
		members = append(members, health.Member{Target: id, Group: healthGroup(current)})
		noteTargets = append(noteTargets, current)
		stopping[id] = withdrawn || target.Lifecycle == infra.LifecycleLeaving
	}
	watcher.instance.routingTable.SetTargets(targets)
	watcher.updatePolls(ctx, watcher.targetsToPoll(running))
	watcher.instance.healthTracker.SetMembers(members)
	watcher.instance.relay.SetTargets(noteTargets, stopping)
	watcher.updateCapacity(noteTargets)
	watcher.publishSnapshot()
	watcher.targetCount.Store(int64(len(targets)))
}

// withReportedState returns the target with the role and the models of its last
// report. Services and targets without a report are returned unchanged.
func (watcher *targetWatcher) withReportedState(target note.Target) note.Target {
	poll, ok := watcher.polls[target.ID]
	if target.Kind != note.KindEngine || !ok || !poll.hasReading {
		return target
	}
	if poll.report.Role != "" {
		target.Role = poll.report.Role
	}
	target.Models = nil
	for _, model := range poll.report.Models {
		target.Models = append(target.Models, model.Name)
	}
	return target
}

// healthGroup returns the group of targets whose health is compared: those of one
// service or one model in a data centre.
func healthGroup(target note.Target) string {
	if target.Kind == note.KindService {
		return target.DataCenter + "/" + target.Service
	}
	if len(target.Models) == 0 {
		return target.DataCenter
	}
	return target.DataCenter + "/" + target.Models[0]
}

// publishSnapshot makes the current state available to the order controllers.
func (watcher *targetWatcher) publishSnapshot() {
	catalog := watcher.instance.noteFeed.Catalog()
	if catalog == nil {
		return
	}
	next := &snapshot{targets: watcher.allTargets(catalog), readings: map[string]loadReading{}}
	for id, poll := range watcher.polls {
		if poll.hasReading {
			next.readings[id] = poll.loadReading
		}
	}
	watcher.snapshot.Store(next)
}

// allTargets returns the targets of the platform's list and the catalog, including
// withdrawn targets and those that have ended. The catalog's description of a
// target takes precedence over the platform's.
func (watcher *targetWatcher) allTargets(catalog *note.Catalog) map[string]infra.Target {
	targets := map[string]infra.Target{}
	for id, target := range watcher.platformTargets {
		targets[id] = target
	}
	for id, target := range catalog.Targets {
		lifecycle := infra.LifecycleLive
		if listed, ok := watcher.platformTargets[id]; ok {
			lifecycle = listed.Lifecycle
		}
		targets[id] = infra.Target{Target: target, Lifecycle: lifecycle}
	}
	for id, withdrawn := range catalog.WithdrawnTargets {
		if _, ok := targets[id]; !ok {
			targets[id] = infra.Target{Target: withdrawn.Target, Lifecycle: infra.LifecycleLive}
		}
	}
	return targets
}

// updateCapacity sets the fleet's capacity in admission control from the number of
// targets.
func (watcher *targetWatcher) updateCapacity(targets []note.Target) {
	engines, services := 0.0, 0.0
	for _, target := range targets {
		if target.Kind == note.KindEngine {
			engines++
		} else {
			services++
		}
	}
	limits := watcher.instance.settings.Limits
	setCapacity(watcher.instance.admitters.engines, engines*limits.BacklogSeconds)
	setCapacity(watcher.instance.admitters.services, services*serviceCapacityCalls)
}

// setCapacity sets the capacity of an admitter that has one. A capacity of zero is
// not set, so that the last one stays while no target is known.
func setCapacity(admitter any, units float64) {
	if bounded, ok := admitter.(interface{ SetCapacity(units float64) }); ok && units > 0 {
		bounded.SetCapacity(units)
	}
}
