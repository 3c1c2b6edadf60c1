package usage_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/memory"
)

const (
	slots       = 3
	heartbeat   = 400 * time.Millisecond
	slack       = 900 * time.Millisecond // above a heartbeat with its jitter, below the copy timeout
	copyTimeout = time.Second
)

var schedule = usage.Schedule{Length: 10 * time.Second}

// place is a window of an origin.
type place struct {
	instance string
	window   usage.Window
}

// instance is one life of an instance.
type instance struct {
	name     string
	meter    *usage.Meter
	holder   *usage.Holder
	stop     context.CancelFunc
	end      <-chan error
	dead     bool
	cut      bool // does not reach the gatherer
	alone    bool // does not reach its replicas
	doubtful bool // was alone since its last copy, or its keeper does not know to have all
	since    time.Time
	seen     time.Time
	keeper   *instance // who took its last copy

	delivered map[place]int64
	copied    map[place]int64 // held for others, by the oracle's account
}

// fleet is the instances of the machine and what the oracle knows.
type fleet struct {
	mu       sync.Mutex
	live     [slots]*instance
	all      []*instance
	seen     map[place]int64 // most that a collection could see
	short    map[usage.Window]bool
	doubtful map[usage.Window]bool
	platform *usageInterface
	lives    int
}

func (fleet *fleet) launch(slot int) {
	ctx, stop := context.WithCancel(context.Background())
	fleet.lives++
	node := &instance{
		name: fmt.Sprintf("n%d", fleet.lives), stop: stop, since: time.Now(),
		delivered: map[place]int64{}, copied: map[place]int64{},
	}
	source := usage.WithRandom(rand.NewPCG(uint64(fleet.lives), 1))
	node.holder = usage.NewHolder(node.name, source, usage.WithWindow(schedule.Length))
	first := func(ctx context.Context, batches []usage.Batch) (string, error) {
		return fleet.copy(ctx, node, (slot+1)%slots, batches)
	}
	second := func(ctx context.Context, batches []usage.Batch) (string, error) {
		return fleet.copy(ctx, node, (slot+2)%slots, batches)
	}
	node.meter = usage.NewMeter(node.name, replicaFunc(first), usage.WithWindow(schedule.Length), source,
		usage.WithFallbacks(replicaFunc(second)), usage.WithHolder(node.holder), usage.WithHeartbeat(heartbeat), usage.WithCopyTimeout(copyTimeout))
	node.end = node.meter.Start(ctx)
	fleet.change(func() {
		fleet.live[slot] = node
		fleet.all = append(fleet.all, node)
	})
}

func (fleet *fleet) change(change func()) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	change()
}

type replicaFunc func(ctx context.Context, batches []usage.Batch) (string, error)

func (replica replicaFunc) Copy(ctx context.Context, batches []usage.Batch) (string, error) {
	return replica(ctx, batches)
}

func (fleet *fleet) copy(ctx context.Context, from *instance, slot int, batches []usage.Batch) (string, error) {
	time.Sleep(time.Millisecond)
	defer time.Sleep(time.Millisecond)
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	to := fleet.live[slot]
	if from.alone || to == nil || ctx.Err() != nil {
		return "", code.Errorf(code.StoreDown, "no way to the replica")
	}
	name, err := to.holder.Copy(ctx, batches)
	for _, batch := range batches {
		for _, line := range batch.Lines {
			at := place{batch.Instance, batch.Window}
			to.copied[at] = max(to.copied[at], line.Requests)
		}
	}
	from.keeper, from.doubtful = to, batches[0].Holder != name
	return name, err
}

// Collect gathers from the instances in reach, and notes what it can see.
func (fleet *fleet) Collect(_ context.Context, ask usage.Ask) ([]usage.Batch, []string, error) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var batches []usage.Batch
	var members []usage.Member
	for _, node := range fleet.all {
		if !node.dead {
			node.seen = time.Now()
		}
		members = append(members, usage.Member{Origin: node.meter.Origin(), Since: node.since, Seen: node.seen})
		if node.inReach() {
			batches = append(batches, node.meter.Collect(ask)...)
			batches = append(batches, node.holder.Collect(ask)...)
		}
	}
	fleet.note(ask.Window)
	return batches, usage.Missing(schedule, ask.Window, batches, members, slack), nil
}

func (node *instance) inReach() bool { return !node.dead && !node.cut }

func (fleet *fleet) note(last usage.Window) {
	for _, node := range fleet.all {
		fleet.doubtful[last] = fleet.doubtful[last] || !node.inReach() && node.inDoubt()
		for at, delivered := range node.delivered {
			if at.window > last {
				continue
			}
			fleet.seen[at] = max(fleet.seen[at], fleet.best(node, at))
			if at.window == last && fleet.seen[at] < delivered {
				fleet.short[last] = true
			}
		}
	}
}

// inDoubt tells whether both copies of an instance may be out of reach.
func (node *instance) inDoubt() bool {
	return node.alone || node.doubtful || node.keeper == nil || !node.keeper.inReach()
}

// best is the most that is in reach of the gatherer for a window of node.
func (fleet *fleet) best(node *instance, at place) int64 {
	var best int64
	if node.inReach() {
		best = node.delivered[at]
	}
	for _, other := range fleet.all {
		if other.inReach() {
			best = max(best, other.copied[at])
		}
	}
	return best
}

// act is one action on a slot.
func (fleet *fleet) act(kind, slot int) {
	node := fleet.live[slot]
	switch kind {
	case 0, 1, 2:
		at := place{node.name, schedule.At(time.Now())}
		err := node.meter.Record(context.Background(), usage.Line{Team: "press", Model: "layout", Requests: 1})
		fleet.change(func() {
			node.doubtful = node.doubtful || err != nil
			node.delivered[at]++
		})
	case 3:
		fleet.end(node, false)
		fleet.launch(slot)
	case 4:
		fleet.end(node, true)
		fleet.launch(slot)
	case 5:
		fleet.change(func() { node.cut = !node.cut })
	case 6:
		fleet.change(func() { node.alone, node.doubtful = !node.alone, true })
	default:
		time.Sleep(time.Duration(kind-6) * 1300 * time.Millisecond)
	}
}

// end stops an instance, after a hand-off if it is graceful.
func (fleet *fleet) end(node *instance, graceful bool) {
	if graceful && !node.alone && !node.cut {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if node.meter.Handoff(ctx) == nil {
			fleet.change(func() { node.doubtful = false })
		}
		cancel()
	}
	node.stop()
	<-node.end //nolint:errcheck // gives nil
	fleet.change(func() { node.dead, node.seen = true, time.Now() })
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kinds := rapid.SliceOfN(rapid.IntRange(0, 12), 1, 40).Draw(rt, "kinds")
		where := rapid.SliceOfN(rapid.IntRange(0, slots-1), len(kinds), len(kinds)).Draw(rt, "slots")
		var broken error
		synctest.Test(t, func(t *testing.T) { broken = runMachine(t, kinds, where) })
		if broken != nil {
			rt.Fatal(broken)
		}
	})
}

func runMachine(t *testing.T, kinds, where []int) error {
	ctx, cancel := context.WithCancel(context.Background())
	store := memory.New().Client("gatherer")
	fleet := &fleet{
		seen: map[place]int64{}, short: map[usage.Window]bool{}, doubtful: map[usage.Window]bool{},
		platform: &usageInterface{senders: map[uint64]map[string]bool{}, known: map[string]bool{}},
	}
	for slot := range slots {
		fleet.launch(slot)
	}
	reporter := &steps{name: "gatherer", platform: fleet.platform, pick: func(int) fault { return none }}
	freezer := usage.NewFreezer("gatherer", store, fleet, reporter, lead(t, store),
		usage.WithWindow(schedule.Length), usage.WithGrace(time.Second), usage.WithPatience(0))
	end := freezer.Start(ctx)
	time.Sleep(time.Second)
	for i, kind := range kinds {
		fleet.act(kind, where[i])
	}
	fleet.change(func() {
		for _, node := range fleet.all {
			node.cut, node.alone = false, false
		}
	})
	time.Sleep(30 * time.Second)
	cancel()
	for _, node := range fleet.live {
		node.stop()
		<-node.end //nolint:errcheck // gives nil
	}
	return errors.Join(<-end, fleet.check(t))
}

// check compares the reports with what collections could see.
func (fleet *fleet) check(t *testing.T) error {
	want := map[usage.Window]int64{}
	for at, count := range fleet.seen {
		want[at.window] += count
	}
	got := map[usage.Window]int64{}
	for _, report := range fleet.platform.reports {
		content := contentOf(t, report)
		if fleet.short[content.Window] && !content.Incomplete {
			return fmt.Errorf("window %d lost usage and is not marked", content.Window)
		}
		if content.Incomplete && !fleet.doubtful[content.Window] {
			return fmt.Errorf("window %d is marked without a reason, missing %v", content.Window, content.Missing)
		}
		for _, line := range content.Lines {
			got[content.Window] += line.Requests
		}
		for _, correction := range content.Corrections {
			got[correction.Window] += correction.Line.Requests
		}
	}
	for window, count := range want {
		if got[window] != count {
			return fmt.Errorf("window %d sums up to %d, want %d", window, got[window], count)
		}
	}
	return fleet.platform.broken
}
