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
	listInterval  = time.Second // between reads of the platform's list of targets
	cacheInterval = 500 * time.Millisecond
)

// watcher keeps the table of targets in line with the catalog, the platform's
// list and what targets report of themselves.
type watcher struct {
	instance *Instance
	logger   zerolog.Logger
	notes    chan struct{}
	reports  chan report
	gone     chan string
	polls    map[string]*poll
	listed   map[string]infra.Target
	count    atomic.Int64
	snapshot atomic.Pointer[snapshot]
}

func newWatcher(instance *Instance) *watcher {
	watcher := &watcher{
		instance: instance,
		logger:   instance.logger.With().Str("part", "watcher").Logger(),
		notes:    make(chan struct{}, 1),
		reports:  make(chan report),
		gone:     make(chan string),
		polls:    map[string]*poll{},
		listed:   map[string]infra.Target{},
	}
	instance.feed.Subscribe(func(*note.Catalog) {
		select {
		case watcher.notes <- struct{}{}:
		default:
		}
	})
	return watcher
}

// Start watches until ctx ends.
func (watcher *watcher) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- watcher.run(ctx) }()
	return ended
}

func (watcher *watcher) run(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	lists := make(chan []infra.Target, 1)
	asking := false
	for {
		select {
		case <-ctx.Done():
			return watcher.end()
		case <-watcher.notes:
			watcher.refresh(ctx)
		case <-ticker.C:
			watcher.exchange()
			watcher.publish()
			if !asking {
				asking = true
				go func() { lists <- watcher.list(ctx) }()
			}
		case list := <-lists:
			asking = false
			watcher.take(list)
			watcher.refresh(ctx)
		case report := <-watcher.reports:
			watcher.report(report)
		}
	}
}

// end waits for the polls, each of which is a goroutine of the watcher.
func (watcher *watcher) end() error {
	for _, poll := range watcher.polls {
		poll.cancel()
	}
	for range watcher.polls {
		<-watcher.gone
	}
	return nil
}

// list reads the platform's list; nil stands for no answer.
func (watcher *watcher) list(ctx context.Context) []infra.Target {
	list, err := watcher.instance.platform.Targets(ctx)
	if err != nil {
		watcher.logger.Debug().Err(err).Msg("list of targets is not there")
		return nil
	}
	return list
}

func (watcher *watcher) take(list []infra.Target) {
	if list == nil {
		return
	}
	watcher.listed = map[string]infra.Target{}
	for _, target := range list {
		watcher.listed[target.ID] = target
	}
}

// known returns the targets of the catalog and those that were ordered, as
// far as they have not ended.
func (watcher *watcher) known(catalog *note.Catalog) map[string]infra.Target {
	known := watcher.listedOr(catalog)
	for id, target := range known {
		if target.Life == infra.Ended {
			delete(known, id)
		}
	}
	return known
}

// refresh publishes what is known of the targets.
func (watcher *watcher) refresh(ctx context.Context) {
	catalog := watcher.instance.feed.Current()
	if catalog == nil {
		return
	}
	known := watcher.known(catalog)
	var targets []route.Target
	var members []health.Member
	var plain []note.Target
	going := map[string]bool{}
	for id, target := range known {
		current := watcher.current(target.Target)
		last := watcher.lastOf(id)
		_, listed := catalog.Targets[id]
		withdrawn := !listed && !target.Ordered
		leaving := withdrawn || target.Life == infra.Leaving || last.Draining || last.Changing
		targets = append(targets, route.Target{Target: current, Leaving: leaving})
		members = append(members, health.Member{Target: id, Group: groupOf(current)})
		plain = append(plain, current)
		going[id] = withdrawn || target.Life == infra.Leaving
	}
	watcher.instance.targets.SetTargets(targets)
	watcher.keepPolls(ctx, watcher.polled(known))
	watcher.instance.health.SetMembers(members)
	watcher.instance.relay.SetTargets(plain, going)
	watcher.setCapacity(plain)
	watcher.publish()
	watcher.count.Store(int64(len(targets)))
}

// current is the target with the role and the models that it reports.
func (watcher *watcher) current(target note.Target) note.Target {
	poll, ok := watcher.polls[target.ID]
	if target.Kind != note.KindEngine || !ok || !poll.known {
		return target
	}
	if poll.load.Role != "" {
		target.Role = poll.load.Role
	}
	target.Models = nil
	for _, model := range poll.load.Models {
		target.Models = append(target.Models, model.Name)
	}
	return target
}

func groupOf(target note.Target) string {
	if target.Kind == note.KindService {
		return target.DataCenter + "/" + target.Service
	}
	if len(target.Models) == 0 {
		return target.DataCenter
	}
	return target.DataCenter + "/" + target.Models[0]
}

// publish gives what is known to the parts that decide about orders.
func (watcher *watcher) publish() {
	catalog := watcher.instance.feed.Current()
	if catalog == nil {
		return
	}
	next := &snapshot{targets: watcher.listedOr(catalog), loads: map[string]reading{}}
	for id, poll := range watcher.polls {
		if poll.known {
			next.loads[id] = poll.reading
		}
	}
	watcher.snapshot.Store(next)
}

// listedOr returns the targets of the platform's list and the catalog, those
// that ended too.
func (watcher *watcher) listedOr(catalog *note.Catalog) map[string]infra.Target {
	targets := map[string]infra.Target{}
	for id, target := range watcher.listed {
		targets[id] = target
	}
	for id, target := range catalog.Targets {
		life := infra.Live
		if listed, ok := watcher.listed[id]; ok {
			life = listed.Life
		}
		targets[id] = infra.Target{Target: target, Life: life}
	}
	for id, gone := range catalog.Gone {
		if _, ok := targets[id]; !ok {
			targets[id] = infra.Target{Target: gone.Target, Life: infra.Live}
		}
	}
	return targets
}

func (watcher *watcher) setCapacity(targets []note.Target) {
	engines, services := 0.0, 0.0
	for _, target := range targets {
		if target.Kind == note.KindEngine {
			engines++
		} else {
			services++
		}
	}
	limits := watcher.instance.settings.Limits
	setCapacity(watcher.instance.queues.engines, engines*limits.BacklogSeconds)
	setCapacity(watcher.instance.queues.services, services*serviceBacklogCalls)
}

func setCapacity(admitter any, units float64) {
	if bounded, ok := admitter.(interface{ SetCapacity(units float64) }); ok && units > 0 {
		bounded.SetCapacity(units)
	}
}
