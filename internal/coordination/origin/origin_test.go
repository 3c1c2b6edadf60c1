package origin_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/origin"
	"mangopier.example/mangopier/internal/protocol/site"
)

const (
	service = "llm"
	// timeout is that of the route, and memory how long a stream may be taken up.
	timeout = 4 * time.Second
	memory  = 2 * timeout
)

func manifest() *site.Manifest {
	return &site.Manifest{Routes: []site.Route{
		{Timeout: timeout, Resumable: true, Split: []site.WeightedService{{Service: service, Weight: 1}}},
		{Timeout: time.Hour, Split: []site.WeightedService{{Service: "desk", Weight: 1}}},
	}}
}

func targets(versions ...string) []site.Target {
	var targets []site.Target
	for i, version := range versions {
		targets = append(targets, site.Target{ID: fmt.Sprint("t", i), Service: service, Software: version})
	}
	return targets
}

func newTracker(opts ...origin.Option) *origin.Tracker {
	tracker := origin.New(opts...)
	tracker.SetManifest(manifest())
	return tracker
}

// expect checks the origin of a stream. An empty version stands for one that is not known.
func expect(t *testing.T, tracker *origin.Tracker, when, attempt, want string) {
	t.Helper()
	if version, ok := tracker.Lookup(service, attempt); version != want || ok != (want != "") {
		t.Errorf("Lookup(%s) %s = %q, %t, want %q", attempt, when, version, ok, want)
	}
}

// An update replaces the targets of one version by those of another. Guards against
// going on with a stream of the old version at the new one after the old targets have left.
func TestUnknownStreamNeedsSingleVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(origin.WithFirstStart())
		tracker.SetTargets(targets("v1", "v1"))
		expect(t, tracker, "with one version", "unknown", "v1")
		tracker.SetTargets(targets("v1", "v2"))
		expect(t, tracker, "with two versions", "unknown", "")
		time.Sleep(time.Minute)
		tracker.SetTargets(targets("v2", "v2"))
		expect(t, tracker, "just after the old version has left", "unknown", "")
		time.Sleep(memory + time.Millisecond)
		expect(t, tracker, "when no stream of the old version can go on", "unknown", "v2")
	})
}

// Instances tell each other their streams; a datagram may get lost.
func TestStreamIsKnownToOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, far := newTracker(origin.WithFirstStart()), newTracker(origin.WithFirstStart()), newTracker(origin.WithFirstStart())
		for _, tracker := range []*origin.Tracker{first, second, far} {
			tracker.SetTargets(targets("v1", "v2"))
		}
		first.Record(service, "a", "v1")
		_ = first.Report(1) // lost
		first.EndRound()
		second.Merge(first.Report(1))
		expect(t, second, "after the second report", "a", "v1")
		for range 12 {
			first.EndRound()
		}
		far.Merge(first.Report(13))
		expect(t, far, "after a rare report", "a", "v1")
		if report := first.Report(1); len(report.Streams) > 0 {
			t.Errorf("Report(1) after 13 rounds has the streams %v, want none", report.Streams)
		}
		expect(t, second, "for another stream", "b", "")
	})
}

// An instance was started again. Guards against taking what it sees for all that was in
// service before.
func TestRestartedInstanceLearnsEarlierVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := newTracker(origin.WithFirstStart())
		old.SetTargets(targets("v1"))
		old.Record(service, "a", "v1")
		old.SetTargets(targets("v2"))
		old.Record(service, "b", "v2")
		for range 100 {
			old.EndRound()
		}
		time.Sleep(time.Second)

		alone := newTracker()
		alone.SetTargets(targets("v2"))
		expect(t, alone, "without peers and store", "a", "")
		if versions := alone.Versions(); versions != nil {
			t.Errorf("Versions() of an instance that does not know them = %v, want nil", versions)
		}
		time.Sleep(memory)
		expect(t, alone, "when no stream of before can go on", "c", "v2")

		old.SetTargets(targets("v1", "v2"))
		old.Record(service, "a", "v1")
		old.Record(service, "b", "v2")
		for range 100 {
			old.EndRound()
		}
		peer := newTracker()
		peer.SetTargets(targets("v2"))
		peer.Merge(old.FullReport())
		expect(t, peer, "with a peer", "a", "v1")
		expect(t, peer, "with a peer", "b", "v2")
		expect(t, peer, "with a peer that knows an earlier version", "c", "")

		restored := newTracker()
		restored.SetTargets(targets("v2"))
		restored.Restore(old.Versions())
		expect(t, restored, "with the versions of before", "a", "")
		time.Sleep(memory + time.Millisecond)
		expect(t, restored, "when no stream of the old version can go on", "c", "v2")

		restored = newTracker()
		restored.SetTargets(targets("v2"))
		restored.Restore(map[string][]string{service: {"v2"}})
		expect(t, restored, "with the only version of before", "c", "v2")
	})
}

// A caller takes a stream up before the report about it arrives.
func TestAwaitReturnsWhenStreamIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(origin.WithFirstStart())
		tracker.SetTargets(targets("v1", "v2"))
		go func() {
			time.Sleep(100 * time.Millisecond)
			tracker.Record(service, "a", "v2")
		}()
		start := time.Now()
		if version, ok := tracker.Await(t.Context(), service, "a", time.Second); version != "v2" || !ok || time.Since(start) != 100*time.Millisecond {
			t.Errorf("Await() = %q, %t after %s, want v2 after 100ms", version, ok, time.Since(start))
		}
		if version, ok := tracker.Await(t.Context(), service, "b", time.Second); ok {
			t.Errorf("Await() of an unknown stream = %q, want none", version)
		}
		canceled, cancel := context.WithCancel(t.Context())
		cancel()
		start = time.Now()
		if _, ok := tracker.Await(canceled, service, "b", time.Second); ok || time.Since(start) > 0 {
			t.Errorf("Await() with an ended context = %t after %s, want false at once", ok, time.Since(start))
		}
	})
}

// originSite is a few instances whose reports get lost, and the row that they keep.
type originSite struct {
	trackers  []*origin.Tracker
	unread    []bool // the instance has not read the row since its start
	inService []string
	stored    map[string][]string
	streams   map[string]begunStream // by attempt
	attempts  int
}

// begunStream is a stream that its caller may take up.
type begunStream struct {
	version string
	at      time.Time
}

func newOriginSite() *originSite {
	originSite := &originSite{inService: []string{"v1"}, stored: map[string][]string{service: {"v1"}}, streams: map[string]begunStream{}}
	for range 3 {
		tracker := newTracker(origin.WithFirstStart())
		tracker.SetTargets(targets(originSite.inService...))
		originSite.trackers, originSite.unread = append(originSite.trackers, tracker), append(originSite.unread, false)
	}
	return originSite
}

// restart starts an instance again, which reads the row if the store answers.
func (originSite *originSite) restart(i int, storeAnswers bool) {
	tracker := newTracker()
	tracker.SetTargets(targets(originSite.inService...))
	if storeAnswers {
		tracker.Restore(originSite.stored)
	}
	originSite.trackers[i], originSite.unread[i] = tracker, !storeAnswers
}

// keepRow has the instances read the row that have not, and then write it.
func (originSite *originSite) keepRow() {
	for i, tracker := range originSite.trackers {
		if originSite.unread[i] {
			tracker.Restore(originSite.stored)
			originSite.unread[i] = false
		}
	}
	for _, tracker := range originSite.trackers {
		if versions := tracker.Versions(); versions != nil {
			originSite.stored = versions
		}
	}
}

// step has something happen that a random number stands for.
func (originSite *originSite) step(number uint64) {
	random := rand.New(rand.NewPCG(number, 0))
	trackers := originSite.trackers
	instance := random.IntN(len(trackers))
	switch random.IntN(8) {
	case 0, 1:
		originSite.attempts++
		version, attempt := originSite.inService[random.IntN(len(originSite.inService))], strconv.Itoa(originSite.attempts)
		trackers[instance].Record(service, attempt, version)
		originSite.streams[attempt] = begunStream{version, time.Now()}
	case 2:
		lists := [][]string{{"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v3"}, {"v3"}}
		originSite.inService = lists[random.IntN(len(lists))]
		for _, tracker := range trackers {
			tracker.SetTargets(targets(originSite.inService...))
		}
		originSite.keepRow()
	case 3:
		originSite.restart(instance, random.IntN(2) == 0)
		for i, tracker := range trackers {
			if i != instance && random.IntN(2) == 0 {
				trackers[instance].Merge(tracker.FullReport())
			}
		}
	case 4:
		for i := range trackers {
			originSite.restart(i, random.IntN(2) == 0)
		}
	case 5:
		time.Sleep(time.Duration(random.Int64N(int64(memory))))
		originSite.keepRow()
	default:
		for i, from := range trackers {
			report := from.Report(1)
			for j, to := range trackers {
				if i != j && random.IntN(3) > 0 {
					to.Merge(report)
				}
			}
			from.EndRound()
		}
	}
}

// problem returns what an instance says wrongly of a stream that can still go on.
func (originSite *originSite) problem() string {
	for attempt, stream := range originSite.streams {
		if time.Since(stream.at) >= memory {
			delete(originSite.streams, attempt)
			continue
		}
		for i, tracker := range originSite.trackers {
			if version, ok := tracker.Lookup(service, attempt); ok && version != stream.version {
				return fmt.Sprintf("Lookup(%s) at instance %d = %s, want %s or unknown", attempt, i, version, stream.version)
			}
		}
	}
	return ""
}

// Streams begin at instances that are started again, one by one and all at once, while
// versions come and go and reports get lost. Whatever an instance says about a stream that
// can still go on must be true.
func TestOriginIsNeverWrong(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		numbers := rapid.SliceOfN(rapid.Uint64(), 1, 60).Draw(rt, "steps")
		problem := ""
		synctest.Test(t, func(*testing.T) {
			originSite := newOriginSite()
			for _, number := range numbers {
				originSite.step(number)
				if problem = originSite.problem(); problem != "" {
					return
				}
			}
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// Targets of another version have joined since the list at hand was read. Guards against
// taking the only version at hand for that of a stream that nobody knows.
func TestAwaitReadsTargetsAnewForUnknownStream(t *testing.T) {
	for name, test := range map[string]struct {
		current []site.Target
		ok      bool
		want    string // empty if the version is not known
	}{
		"another version has joined": {targets("v1", "v2"), true, ""},
		"one version is left":        {targets("v1"), true, "v1"},
		"the list cannot be read":    {nil, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := newTracker(origin.WithFirstStart(), origin.WithCurrentTargets(func(context.Context) ([]site.Target, bool) {
					return test.current, test.ok
				}))
				tracker.SetTargets(targets("v1"))
				if version, ok := tracker.Await(t.Context(), service, "unknown", time.Second); version != test.want || ok != (test.want != "") {
					t.Errorf("Await() of an unknown stream = %q, %t, want %q", version, ok, test.want)
				}
				tracker.Record(service, "told", "v3")
				if version, ok := tracker.Await(t.Context(), service, "told", time.Second); version != "v3" || !ok {
					t.Errorf("Await() of a stream that is known = %q, %t, want v3", version, ok)
				}
			})
		})
	}
}
