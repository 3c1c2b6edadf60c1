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
	slots             = 3
	heartbeatInterval = 400 * time.Millisecond
	copySlack         = 900 * time.Millisecond // above the heartbeat interval with jitter, below copyTimeout
	copyTimeout       = time.Second
)

var schedule = usage.Schedule{Length: 10 * time.Second}

// originWindow is a window of an instance.
type originWindow struct {
	instance string
	window   usage.Window
}

// testInstance is one run of an instance.
type testInstance struct {
	name                string
	meter               *usage.Meter
	replicaStore        *usage.ReplicaStore
	stop                context.CancelFunc
	ended               <-chan error
	stopped             bool
	partitioned         bool // not reachable by the collector
	replicasUnreachable bool // cannot reach its replicas
	copyUncertain       bool // lost contact since its last copy, or lastReplica may lack counts
	firstSeen           time.Time
	lastSeen            time.Time
	lastReplica         *testInstance // replica that stored its last copy

	delivered map[originWindow]int64
	copied    map[originWindow]int64 // requests that it stores for others, according to the model
}

// testFleet holds the running instances and the model's expectations.
type testFleet struct {
	mu          sync.Mutex
	running     [slots]*testInstance
	launched    []*testInstance
	collectable map[originWindow]int64 // highest count that a collection could reach
	lost        map[usage.Window]bool
	uncertain   map[usage.Window]bool
	platform    *fakePlatform
	launches    int
}

func (fleet *testFleet) launch(slot int) {
	ctx, stop := context.WithCancel(context.Background())
	fleet.launches++
	instance := &testInstance{
		name: fmt.Sprintf("n%d", fleet.launches), stop: stop, firstSeen: time.Now(),
		delivered: map[originWindow]int64{}, copied: map[originWindow]int64{},
	}
	withRandSource := usage.WithRandSource(rand.NewPCG(uint64(fleet.launches), 1))
	instance.replicaStore = usage.NewReplicaStore(instance.name, withRandSource, usage.WithWindowLength(schedule.Length))
	copyToNext := func(ctx context.Context, batches []usage.Batch) (string, error) {
		return fleet.copyToSlot(ctx, instance, (slot+1)%slots, batches)
	}
	copyToSecondNext := func(ctx context.Context, batches []usage.Batch) (string, error) {
		return fleet.copyToSlot(ctx, instance, (slot+2)%slots, batches)
	}
	instance.meter = usage.NewMeter(instance.name, replicaFunc(copyToNext), usage.WithWindowLength(schedule.Length), withRandSource,
		usage.WithFallbackReplicas(replicaFunc(copyToSecondNext)), usage.WithReplicaStore(instance.replicaStore), usage.WithHeartbeatInterval(heartbeatInterval), usage.WithCopyTimeout(copyTimeout))
	instance.ended = instance.meter.Start(ctx)
	fleet.withLock(func() {
		fleet.running[slot] = instance
		fleet.launched = append(fleet.launched, instance)
	})
}

func (fleet *testFleet) withLock(update func()) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	update()
}

type replicaFunc func(ctx context.Context, batches []usage.Batch) (string, error)

func (replica replicaFunc) Store(ctx context.Context, batches []usage.Batch) (string, error) {
	return replica(ctx, batches)
}

func (fleet *testFleet) copyToSlot(ctx context.Context, from *testInstance, slot int, batches []usage.Batch) (string, error) {
	time.Sleep(time.Millisecond)
	defer time.Sleep(time.Millisecond)
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	to := fleet.running[slot]
	if from.replicasUnreachable || to == nil || ctx.Err() != nil {
		return "", code.Errorf(code.StoreDown, "replica unreachable")
	}
	name, err := to.replicaStore.Store(ctx, batches)
	for _, batch := range batches {
		for _, line := range batch.Lines {
			key := originWindow{batch.Instance, batch.Window}
			to.copied[key] = max(to.copied[key], line.Requests)
		}
	}
	from.lastReplica, from.copyUncertain = to, batches[0].Replica != name
	return name, err
}

// Collect collects from the reachable instances and records what it could
// reach.
func (fleet *testFleet) Collect(_ context.Context, request usage.CollectRequest) ([]usage.Batch, []string, error) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var batches []usage.Batch
	var members []usage.Member
	for _, instance := range fleet.launched {
		if !instance.stopped {
			instance.lastSeen = time.Now()
		}
		members = append(members, usage.Member{Origin: instance.meter.Origin(), FirstSeen: instance.firstSeen, LastSeen: instance.lastSeen})
		if instance.reachable() {
			batches = append(batches, instance.meter.Collect(request)...)
			batches = append(batches, instance.replicaStore.Collect(request)...)
		}
	}
	fleet.recordCollectable(request.LastWindow)
	return batches, usage.MissingInstances(schedule, request.LastWindow, batches, members, copySlack), nil
}

func (instance *testInstance) reachable() bool { return !instance.stopped && !instance.partitioned }

func (fleet *testFleet) recordCollectable(last usage.Window) {
	for _, instance := range fleet.launched {
		fleet.uncertain[last] = fleet.uncertain[last] || !instance.reachable() && instance.countsUncertain()
		for key, delivered := range instance.delivered {
			if key.window > last {
				continue
			}
			fleet.collectable[key] = max(fleet.collectable[key], fleet.maxReachable(instance, key))
			if key.window == last && fleet.collectable[key] < delivered {
				fleet.lost[last] = true
			}
		}
	}
}

// countsUncertain reports whether the collector may be unable to reach a
// complete copy of the counts of an instance.
func (instance *testInstance) countsUncertain() bool {
	return instance.replicasUnreachable || instance.copyUncertain || instance.lastReplica == nil || !instance.lastReplica.reachable()
}

// maxReachable returns the highest count that the collector can reach for a
// window of instance.
func (fleet *testFleet) maxReachable(instance *testInstance, key originWindow) int64 {
	var highest int64
	if instance.reachable() {
		highest = instance.delivered[key]
	}
	for _, other := range fleet.launched {
		if other.reachable() {
			highest = max(highest, other.copied[key])
		}
	}
	return highest
}

// apply performs one action on the instance in a slot.
func (fleet *testFleet) apply(action, slot int) {
	instance := fleet.running[slot]
	switch action {
	case 0, 1, 2:
		key := originWindow{instance.name, schedule.WindowAt(time.Now())}
		err := instance.meter.Record(context.Background(), usage.Line{Team: "press", Model: "layout", Requests: 1})
		fleet.withLock(func() {
			instance.copyUncertain = instance.copyUncertain || err != nil
			instance.delivered[key]++
		})
	case 3:
		fleet.stopInstance(instance, false)
		fleet.launch(slot)
	case 4:
		fleet.stopInstance(instance, true)
		fleet.launch(slot)
	case 5:
		fleet.withLock(func() { instance.partitioned = !instance.partitioned })
	case 6:
		fleet.withLock(func() { instance.replicasUnreachable, instance.copyUncertain = !instance.replicasUnreachable, true })
	default:
		time.Sleep(time.Duration(action-6) * 1300 * time.Millisecond)
	}
}

// stopInstance stops an instance, after a handoff if graceful.
func (fleet *testFleet) stopInstance(instance *testInstance, graceful bool) {
	if graceful && !instance.replicasUnreachable && !instance.partitioned {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if instance.meter.Handoff(ctx) == nil {
			fleet.withLock(func() { instance.copyUncertain = false })
		}
		cancel()
	}
	instance.stop()
	<-instance.ended //nolint:errcheck // always nil
	fleet.withLock(func() { instance.stopped, instance.lastSeen = true, time.Now() })
}

// Runs random sequences of records, restarts, handoffs and partitions. Each
// window must be reported with exactly the counts that the collector could
// reach. It must be marked incomplete if counts were lost, and only if counts
// may have been out of reach.
func TestReportsMatchReachableCounts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := rapid.SliceOfN(rapid.IntRange(0, 12), 1, 40).Draw(rt, "actions")
		slotIndexes := rapid.SliceOfN(rapid.IntRange(0, slots-1), len(actions), len(actions)).Draw(rt, "slots")
		var violation error
		synctest.Test(t, func(t *testing.T) { violation = runActions(t, actions, slotIndexes) })
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}

func runActions(t *testing.T, actions, slotIndexes []int) error {
	ctx, cancel := context.WithCancel(context.Background())
	store := memory.New().Client("reporter")
	fleet := &testFleet{
		collectable: map[originWindow]int64{}, lost: map[usage.Window]bool{}, uncertain: map[usage.Window]bool{},
		platform: &fakePlatform{senders: map[uint64]map[string]bool{}, acknowledged: map[string]bool{}},
	}
	for slot := range slots {
		fleet.launch(slot)
	}
	sender := &faultInjector{name: "reporter", platform: fleet.platform, faultAt: func(int) fault { return noFault }}
	reporter := usage.NewWindowReporter("reporter", store, fleet, sender, acquireLease(t, store),
		usage.WithWindowLength(schedule.Length), usage.WithGracePeriod(time.Second), usage.WithMissingTimeout(0))
	ended := reporter.Start(ctx)
	time.Sleep(time.Second)
	for i, action := range actions {
		fleet.apply(action, slotIndexes[i])
	}
	fleet.withLock(func() {
		for _, instance := range fleet.launched {
			instance.partitioned, instance.replicasUnreachable = false, false
		}
	})
	time.Sleep(30 * time.Second)
	cancel()
	for _, instance := range fleet.running {
		instance.stop()
		<-instance.ended //nolint:errcheck // always nil
	}
	return errors.Join(<-ended, fleet.verify(t))
}

// verify compares the reports with the counts that collections could reach.
func (fleet *testFleet) verify(t *testing.T) error {
	want := map[usage.Window]int64{}
	for key, count := range fleet.collectable {
		want[key.window] += count
	}
	got := map[usage.Window]int64{}
	for _, report := range fleet.platform.reports {
		body := decodeReport(t, report)
		if fleet.lost[body.Window] && !body.Incomplete {
			return fmt.Errorf("window %d lost usage, want it reported as incomplete", body.Window)
		}
		if body.Incomplete && !fleet.uncertain[body.Window] {
			return fmt.Errorf("window %d is incomplete with missing %v, want it complete", body.Window, body.Missing)
		}
		for _, line := range body.Lines {
			got[body.Window] += line.Requests
		}
		for _, correction := range body.Corrections {
			got[correction.Window] += correction.Line.Requests
		}
	}
	for window, count := range want {
		if got[window] != count {
			return fmt.Errorf("requests reported for window %d = %d, want %d", window, got[window], count)
		}
	}
	return fleet.platform.violation
}
