package route_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/route"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
)

var models = []string{"guide", "layout"}

var roles = []note.Role{note.RoleMixed, note.RolePrefill, note.RoleDecode}

// TestPickNeverTakesWhatIsExcluded compares the pickers with a plain filter:
// they pick what passes it, and refuse only when nothing does.
func TestPickNeverTakesWhatIsExcluded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets, weights := drawTargets(t)
		table := route.NewTable(route.WithSubset(len(targets)))
		table.SetTargets(targets)
		table.SetWeights(weights)
		request := &route.Request{
			Model:        rapid.SampledFrom(models).Draw(t, "model"),
			Role:         rapid.SampledFrom(roles).Draw(t, "role"),
			Repeatable:   rapid.Bool().Draw(t, "repeatable"),
			Blocks:       rapid.SliceOfN(rapid.Uint64(), 0, 9).Draw(t, "blocks"),
			PromptTokens: 100,
		}
		request.Exclude = rapid.SliceOfN(rapid.SampledFrom(ids(targets)), 0, 5).Draw(t, "exclude")
		var allowed []string
		for _, target := range targets {
			if allows(target, weights, request) {
				allowed = append(allowed, target.ID)
			}
		}
		for _, picker := range []route.Picker{route.New(), &route.RoundRobin{}, &route.Random{}, &route.LeastOutstanding{}} {
			choice, err := picker.Pick(table.View(), request)
			switch {
			case err != nil && (len(allowed) > 0 || !code.Is(err, code.NoTarget)):
				t.Fatalf("%T: %v, though %v are allowed", picker, err, allowed)
			case err == nil && !slices.Contains(allowed, choice.Target.ID):
				t.Fatalf("%T: picked %s of %v", picker, choice.Target.ID, allowed)
			}
		}
	})
}

func drawTargets(t *rapid.T) ([]route.Target, map[string]float64) {
	weights := map[string]float64{}
	targets := make([]route.Target, rapid.IntRange(1, 80).Draw(t, "count"))
	for i := range targets {
		targets[i] = route.Target{Target: engineTarget(i)}
		targets[i].Models = []string{rapid.SampledFrom(models).Draw(t, "model")}
		targets[i].Role = rapid.SampledFrom(roles).Draw(t, "role")
		switch rapid.IntRange(0, 9).Draw(t, "state") {
		case 0:
			targets[i].Leaving = true
		case 1:
			targets[i].Abandoned = true
		case 2:
			weights[targets[i].ID] = 0
		case 3:
			weights[targets[i].ID] = 0.01
		case 4, 5:
			targets[i].Cheap = true
		}
	}
	return targets, weights
}

func allows(target route.Target, weights map[string]float64, request *route.Request) bool {
	weight, listed := weights[target.ID]
	healthy := !listed || weight > 0
	fits := target.Models[0] == request.Model && (target.Role == note.RoleMixed || target.Role == request.Role)
	safe := request.Repeatable || !target.Cheap
	return healthy && fits && safe && !target.Leaving && !target.Abandoned && !slices.Contains(request.Exclude, target.ID)
}

func ids(targets []route.Target) []string {
	var ids []string
	for _, target := range targets {
		ids = append(ids, target.ID)
	}
	return ids
}

func TestBacklogCorrectsLaggingReports(t *testing.T) {
	table := route.NewTable()
	table.SetTargets([]route.Target{{Target: engineTarget(0)}})
	view, now := table.View(), time.UnixMilli(1e12)
	send := func(at time.Time) route.Choice {
		choice, err := route.New().Pick(view, &route.Request{Model: "guide", PromptTokens: 100, Predicted: 10})
		if err != nil {
			t.Fatal(err)
		}
		view.StartAt(choice, at)
		return choice
	}
	want := func(requests, prefill int64) {
		t.Helper()
		if got := view.Backlog("t0"); got.Requests != requests || got.PrefillTokens != prefill {
			t.Fatalf("backlog is %+v, want %d requests and %d tokens", got, requests, prefill)
		}
	}
	first := send(now)
	send(now.Add(200 * time.Millisecond))
	want(2, 200)
	// The report saw the first request and two of others, not the second.
	report := route.Load{At: now.Add(100 * time.Millisecond), Work: route.Work{Requests: 3, PrefillTokens: 300}}
	table.Report("t0", report)
	want(4, 400)
	if sent := table.Sent()["t0"]; sent.Requests != 1 {
		t.Fatalf("sent since the report: %+v", sent)
	}
	first.FirstTokenAt(now.Add(300 * time.Millisecond))
	want(4, 300)
	first.DoneAt(now.Add(400 * time.Millisecond))
	first.DoneAt(now.Add(400 * time.Millisecond))
	want(3, 300)
	table.SetPeer("entry-2", map[string]route.Work{"t0": {Requests: 5, PrefillTokens: 500}})
	want(8, 800)
	table.SetPeer("entry-2", nil)
	table.Report("t0", route.Load{At: now, Work: route.Work{Requests: 99}})
	want(3, 300)
}

func TestCacheEvidence(t *testing.T) {
	table := route.NewTable()
	table.SetTargets([]route.Target{{Target: engineTarget(0)}})
	request := &route.Request{Model: "guide", PromptTokens: 400, Blocks: []uint64{11, 12, 13, 14}}
	cached := func() int {
		choice, err := route.New().Pick(table.View(), request)
		if err != nil {
			t.Fatal(err)
		}
		return choice.Cached
	}
	stored := []route.CacheEvent{{Sequence: 1, Block: 11}, {Sequence: 2, Block: 12}, {Sequence: 3, Block: 14}}
	table.Events("t0", stored)
	if got := cached(); got != 200 {
		t.Fatalf("two of four blocks: expected %d tokens", got)
	}
	table.Events("t0", []route.CacheEvent{{Sequence: 4, Block: 12, Evicted: true}})
	if got := cached(); got != 100 {
		t.Fatalf("after the eviction: expected %d tokens", got)
	}
	table.Events("t0", []route.CacheEvent{{Sequence: 9, Block: 99}})
	if got := cached(); got >= 100 {
		t.Fatalf("after a gap: expected %d tokens", got)
	}
}

// TestDelayByPriority has three requests of one size wait at a target: one of
// each priority waits only for those that are not behind it.
func TestDelayByPriority(t *testing.T) {
	table := route.NewTable(route.WithDistances(map[string]time.Duration{"dc0": time.Millisecond}))
	table.SetTargets([]route.Target{{Target: engineTarget(0)}})
	pick := func(priority route.Priority) route.Choice {
		choice, err := route.New().Pick(table.View(), &route.Request{Model: "guide", PromptTokens: 8000, Priority: priority})
		if err != nil {
			t.Fatal(err)
		}
		return choice
	}
	for priority := route.PriorityLow; priority <= route.PriorityHigh; priority++ {
		table.View().Start(pick(priority))
	}
	for priority, want := range map[route.Priority]time.Duration{
		route.PriorityHigh: 2001 * time.Millisecond, route.PriorityNormal: 3001 * time.Millisecond, route.PriorityLow: 4001 * time.Millisecond,
	} {
		if got := pick(priority).Delay.Round(time.Millisecond); got != want {
			t.Errorf("priority %d waits %v, want %v", priority, got, want)
		}
	}
}

// TestPrefersNearTargets sends idle targets' work to the near one, until it
// has more to do than the way to the other takes.
func TestPrefersNearTargets(t *testing.T) {
	table := route.NewTable(route.WithDistances(map[string]time.Duration{"dc2": 50 * time.Millisecond}))
	table.SetTargets([]route.Target{{Target: engineTarget(0)}, {Target: engineTarget(2)}})
	for _, want := range []string{"t0", "t2"} {
		choice, err := route.New().Pick(table.View(), &route.Request{Model: "guide", PromptTokens: 800})
		if err != nil || choice.Target.ID != want {
			t.Fatalf("picked %v, want %s: %v", choice.Target, want, err)
		}
		table.View().Start(choice)
	}
}

// TestAffinityIsLearnt sends equal prefixes with and without hits in caches:
// they stay at one target only while that pays.
func TestAffinityIsLearnt(t *testing.T) {
	for _, found := range []int{4000, 0} {
		table, picker := route.NewTable(), route.New()
		table.SetTargets([]route.Target{{Target: engineTarget(0)}, {Target: engineTarget(2)}, {Target: engineTarget(4)}})
		ask, counts := &route.Request{Model: "guide", Team: "press", PromptTokens: 4096, Blocks: []uint64{1, 2, 3}}, map[string]int{}
		for range 300 {
			choice, err := picker.Pick(table.View(), ask)
			if err != nil {
				t.Fatal(err)
			}
			counts[choice.Target.ID]++
			choice.Learn(found)
		}
		if most := max(counts["t0"], counts["t2"], counts["t4"]); (most > 290) != (found > 0) {
			t.Errorf("%d tokens found: %v", found, counts)
		}
	}
}

func TestSubsetIsBoundedAndStable(t *testing.T) {
	const subset, centres = 8, 4
	picked := func(count int) map[string]bool {
		targets := make([]route.Target, count)
		for i := range targets {
			targets[i] = route.Target{Target: engineTarget(i)}
		}
		table := route.NewTable(route.WithInstance("entry-1"), route.WithSubset(subset))
		table.SetTargets(targets)
		found := map[string]bool{}
		for range subset * centres * 4 {
			choice, err := (&route.LeastOutstanding{}).Pick(table.View(), &route.Request{Model: "guide"})
			if err != nil {
				t.Fatal(err)
			}
			table.View().Start(choice)
			found[choice.Target.ID] = true
		}
		return found
	}
	before, after := picked(1000), picked(1010)
	kept := 0
	for id := range before {
		if after[id] {
			kept++
		}
	}
	if len(before) != subset*centres || kept < subset*centres-3 {
		t.Fatalf("%d targets used, %d of them after ten more came", len(before), kept)
	}
}

func TestPredictorFollowsTeams(t *testing.T) {
	var predictor route.Predictor
	for i := range 200 {
		predictor.Learn("press", "/v1", 1000)
		predictor.Learn(fmt.Sprint("team", i%2), "/v1", 10)
	}
	if long, short := predictor.Predict("press", "/v1"), predictor.Predict("team1", "/v1"); long < 990 || short > 11 {
		t.Fatalf("predicted %v and %v tokens", long, short)
	}
}
