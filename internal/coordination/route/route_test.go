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

// TestPickersReturnOnlyAllowedTargets compares the pickers with a plain filter:
// they return a target that passes it, and an error only if none does.
func TestPickersReturnOnlyAllowedTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets, weights := drawTargets(t)
		table := route.NewTable(route.WithSubsetSize(len(targets)))
		table.SetTargets(targets)
		table.SetWeights(weights)
		request := &route.Request{
			Model:        rapid.SampledFrom(models).Draw(t, "model"),
			Role:         rapid.SampledFrom(roles).Draw(t, "role"),
			Repeatable:   rapid.Bool().Draw(t, "repeatable"),
			BlockHashes:  rapid.SliceOfN(rapid.Uint64(), 0, 9).Draw(t, "blocks"),
			PromptTokens: 100,
		}
		request.Exclude = rapid.SliceOfN(rapid.SampledFrom(targetIDs(targets)), 0, 5).Draw(t, "exclude")
		var allowed []string
		for _, target := range targets {
			if isAllowed(target, weights, request) {
				allowed = append(allowed, target.ID)
			}
		}
		for _, picker := range []route.Picker{route.NewCostPicker(), &route.RoundRobin{}, &route.Random{}, &route.LeastOutstanding{}} {
			choice, err := picker.Pick(table.View(), request)
			switch {
			case err != nil && (len(allowed) > 0 || !code.Is(err, code.NoTarget)):
				t.Fatalf("%T.Pick() failed: %v, want NoTarget only if no target is allowed; allowed: %v", picker, err, allowed)
			case err == nil && !slices.Contains(allowed, choice.Target.ID):
				t.Fatalf("%T.Pick() = %s, want one of %v", picker, choice.Target.ID, allowed)
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
			targets[i].Draining = true
		case 1:
			targets[i].Abandoned = true
		case 2:
			weights[targets[i].ID] = 0
		case 3:
			weights[targets[i].ID] = 0.01
		case 4, 5:
			targets[i].Spot = true
		}
	}
	return targets, weights
}

func isAllowed(target route.Target, weights map[string]float64, request *route.Request) bool {
	weight, listed := weights[target.ID]
	healthy := !listed || weight > 0
	fits := target.Models[0] == request.Model && (target.Role == note.RoleMixed || target.Role == request.Role)
	safe := request.Repeatable || !target.Spot
	return healthy && fits && safe && !target.Draining && !target.Abandoned && !slices.Contains(request.Exclude, target.ID)
}

func targetIDs(targets []route.Target) []string {
	var ids []string
	for _, target := range targets {
		ids = append(ids, target.ID)
	}
	return ids
}

// TestBacklogAddsUnreportedWork checks that the backlog is the reported work plus
// own and peers' work that the report does not include, so that neither a lagging
// report nor work counted twice distorts it.
func TestBacklogAddsUnreportedWork(t *testing.T) {
	table := route.NewTable()
	table.SetTargets([]route.Target{{Target: engineTarget(0)}})
	view, now := table.View(), time.UnixMilli(1e12)
	send := func(at time.Time) route.Choice {
		choice, err := route.NewCostPicker().Pick(view, &route.Request{Model: "guide", PromptTokens: 100, PredictedTokens: 10})
		if err != nil {
			t.Fatal(err)
		}
		view.StartRequestAt(choice, at)
		return choice
	}
	checkBacklog := func(requests, prefillTokens int64) {
		t.Helper()
		if got := view.Backlog("t0"); got.Requests != requests || got.PrefillTokens != prefillTokens {
			t.Fatalf("Backlog() = %+v, want %d requests and %d prefill tokens", got, requests, prefillTokens)
		}
	}
	first := send(now)
	send(now.Add(200 * time.Millisecond))
	checkBacklog(2, 200)
	// The report includes the first request and two of peers, not the second.
	report := route.LoadReport{MeasuredAt: now.Add(100 * time.Millisecond), Work: route.Work{Requests: 3, PrefillTokens: 300}}
	table.RecordLoad("t0", report)
	checkBacklog(4, 400)
	if unreported := table.UnreportedWork()["t0"]; unreported.Requests != 1 {
		t.Fatalf("UnreportedWork() = %+v, want 1 request", unreported)
	}
	first.RecordFirstTokenAt(now.Add(300 * time.Millisecond))
	checkBacklog(4, 300)
	first.ReleaseAt(now.Add(400 * time.Millisecond))
	first.ReleaseAt(now.Add(400 * time.Millisecond))
	checkBacklog(3, 300)
	table.SetPeerWork("entry-2", map[string]route.Work{"t0": {Requests: 5, PrefillTokens: 500}})
	checkBacklog(8, 800)
	table.SetPeerWork("entry-2", nil)
	table.RecordLoad("t0", route.LoadReport{MeasuredAt: now, Work: route.Work{Requests: 99}})
	checkBacklog(3, 300)
}

// TestCacheEventsChangeExpectedTokens checks that stored and evicted blocks change
// the expected hit, and that a gap in the sequence of events lowers it.
func TestCacheEventsChangeExpectedTokens(t *testing.T) {
	table := route.NewTable()
	table.SetTargets([]route.Target{{Target: engineTarget(0)}})
	request := &route.Request{Model: "guide", PromptTokens: 400, BlockHashes: []uint64{11, 12, 13, 14}}
	expectedTokens := func() int {
		choice, err := route.NewCostPicker().Pick(table.View(), request)
		if err != nil {
			t.Fatal(err)
		}
		return choice.CachedTokens
	}
	stored := []route.CacheEvent{{Sequence: 1, BlockHash: 11}, {Sequence: 2, BlockHash: 12}, {Sequence: 3, BlockHash: 14}}
	table.ApplyCacheEvents("t0", stored)
	if got := expectedTokens(); got != 200 {
		t.Fatalf("expected tokens with two of four blocks cached = %d, want 200", got)
	}
	table.ApplyCacheEvents("t0", []route.CacheEvent{{Sequence: 4, BlockHash: 12, Evicted: true}})
	if got := expectedTokens(); got != 100 {
		t.Fatalf("expected tokens after the eviction = %d, want 100", got)
	}
	table.ApplyCacheEvents("t0", []route.CacheEvent{{Sequence: 9, BlockHash: 99}})
	if got := expectedTokens(); got >= 100 {
		t.Fatalf("expected tokens after a gap in the events = %d, want less than 100", got)
	}
}

// TestExpectedTTFTExcludesLowerPriorities checks that a request waits only for
// requests of its own and higher priorities, with one of each at the target.
func TestExpectedTTFTExcludesLowerPriorities(t *testing.T) {
	table := route.NewTable(route.WithDataCenterDelays(map[string]time.Duration{"dc0": time.Millisecond}))
	table.SetTargets([]route.Target{{Target: engineTarget(0)}})
	pick := func(priority route.Priority) route.Choice {
		choice, err := route.NewCostPicker().Pick(table.View(), &route.Request{Model: "guide", PromptTokens: 8000, Priority: priority})
		if err != nil {
			t.Fatal(err)
		}
		return choice
	}
	for priority := route.PriorityLow; priority <= route.PriorityHigh; priority++ {
		table.View().StartRequest(pick(priority))
	}
	for priority, want := range map[route.Priority]time.Duration{
		route.PriorityHigh: 2001 * time.Millisecond, route.PriorityNormal: 3001 * time.Millisecond, route.PriorityLow: 4001 * time.Millisecond,
	} {
		if got := pick(priority).ExpectedTTFT.Round(time.Millisecond); got != want {
			t.Errorf("ExpectedTTFT at priority %d = %v, want %v", priority, got, want)
		}
	}
}

// TestPrefersNearTargetUntilBusy checks that a request goes to the near target
// until its backlog takes longer than the network delay to the other.
func TestPrefersNearTargetUntilBusy(t *testing.T) {
	table := route.NewTable(route.WithDataCenterDelays(map[string]time.Duration{"dc2": 50 * time.Millisecond}))
	table.SetTargets([]route.Target{{Target: engineTarget(0)}, {Target: engineTarget(2)}})
	for _, want := range []string{"t0", "t2"} {
		choice, err := route.NewCostPicker().Pick(table.View(), &route.Request{Model: "guide", PromptTokens: 800})
		if err != nil || choice.Target.ID != want {
			t.Fatalf("Pick() = %v, want %s; error: %v", choice.Target, want, err)
		}
		table.View().StartRequest(choice)
	}
}

// TestAffinityFollowsObservedHits checks that requests with equal prefixes stay at
// one target if their prefixes are found in its cache, and spread if not.
func TestAffinityFollowsObservedHits(t *testing.T) {
	for _, cachedTokens := range []int{4000, 0} {
		table, picker := route.NewTable(), route.NewCostPicker()
		table.SetTargets([]route.Target{{Target: engineTarget(0)}, {Target: engineTarget(2)}, {Target: engineTarget(4)}})
		request, counts := &route.Request{Model: "guide", Team: "press", PromptTokens: 4096, BlockHashes: []uint64{1, 2, 3}}, map[string]int{}
		for range 300 {
			choice, err := picker.Pick(table.View(), request)
			if err != nil {
				t.Fatal(err)
			}
			counts[choice.Target.ID]++
			choice.RecordCachedTokens(cachedTokens)
		}
		if highest := max(counts["t0"], counts["t2"], counts["t4"]); (highest > 290) != (cachedTokens > 0) {
			t.Errorf("with %d cached tokens, picks per target = %v, want one target above 290: %v", cachedTokens, counts, cachedTokens > 0)
		}
	}
}

// TestSubsetIsBoundedAndStable checks the size of the subset per data centre, and
// that adding 1% of targets replaces few of its targets.
func TestSubsetIsBoundedAndStable(t *testing.T) {
	const subsetSize, dataCenters = 8, 4
	subsetOf := func(count int) map[string]bool {
		targets := make([]route.Target, count)
		for i := range targets {
			targets[i] = route.Target{Target: engineTarget(i)}
		}
		table := route.NewTable(route.WithInstance("entry-1"), route.WithSubsetSize(subsetSize))
		table.SetTargets(targets)
		picked := map[string]bool{}
		for range subsetSize * dataCenters * 4 {
			choice, err := (&route.LeastOutstanding{}).Pick(table.View(), &route.Request{Model: "guide"})
			if err != nil {
				t.Fatal(err)
			}
			table.View().StartRequest(choice)
			picked[choice.Target.ID] = true
		}
		return picked
	}
	before, after := subsetOf(1000), subsetOf(1010)
	kept := 0
	for id := range before {
		if after[id] {
			kept++
		}
	}
	if len(before) != subsetSize*dataCenters || kept < subsetSize*dataCenters-3 {
		t.Fatalf("subset has %d targets, %d of them kept after 10 were added; want %d, at least %d kept", len(before), kept, subsetSize*dataCenters, subsetSize*dataCenters-3)
	}
}

func TestOutputPredictorLearnsPerTeam(t *testing.T) {
	var predictor route.OutputPredictor
	for i := range 200 {
		predictor.RecordOutput("press", "/v1", 1000)
		predictor.RecordOutput(fmt.Sprint("team", i%2), "/v1", 10)
	}
	if long, short := predictor.ExpectedTokens("press", "/v1"), predictor.ExpectedTokens("team1", "/v1"); long < 990 || short > 11 {
		t.Fatalf("ExpectedTokens() = %v and %v, want at least 990 and at most 11", long, short)
	}
}
