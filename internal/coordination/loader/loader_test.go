package loader_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/loader"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestLoadsKeepModelsServed runs random version changes until all targets hold
// their weights. It checks that no load takes too many targets of a model out of
// service or too many fetches from the store, and that the changes complete.
func TestLoadsKeepModelsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scheduler := loader.New(loader.WithMaxLoadingShare(0.5))
		state := randomState(t)
		for range 4 * len(state.Targets) {
			for _, load := range scheduler.PlanLoads(state) {
				startLoad(t, &state, load)
			}
			if finishLoad(t, &state) {
				return
			}
		}
		t.Fatalf("loads not completed after %d steps: %+v", 4*len(state.Targets), state)
	})
}

func randomState(t *rapid.T) loader.State {
	state := loader.State{StoreBytesPerSecond: 2, TargetBytesPerSecond: 1, Cached: map[string][]loader.Weights{}}
	for index := range rapid.IntRange(1, 12).Draw(t, "targets") {
		target := loader.Target{
			ID:         fmt.Sprint(index),
			DataCenter: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "data-centre"),
			Serving:    rapid.IntRange(0, 4).Draw(t, "serving") > 0,
		}
		for _, name := range []string{"m", "n"} {
			if rapid.Bool().Draw(t, "desired") {
				loaded := rapid.IntRange(0, 3).Draw(t, "loaded") == 0
				target.Desired = append(target.Desired, loader.DesiredWeights{Weights: loader.Weights{Name: name, Version: "2"}, Bytes: 5, Loaded: loaded})
			}
		}
		state.Targets = append(state.Targets, target)
	}
	return state
}

// startLoad marks the target as loading and checks that its models stay served.
func startLoad(t *rapid.T, state *loader.State, load loader.LoadOrder) {
	var target *loader.Target
	for index := range state.Targets {
		if state.Targets[index].ID == load.TargetID {
			target = &state.Targets[index]
		}
	}
	if target.Loading {
		t.Fatalf("scheduler.PlanLoads() returned a second load for target %s, which is loading", target.ID)
	}
	wasServing := target.Serving
	target.Loading, target.Serving = true, false
	for index := range target.Desired {
		if target.Desired[index].Weights == load.Weights {
			target.Desired[index].RemainingBytes = load.Bytes
		}
	}
	for _, desired := range target.Desired {
		checkServed(t, *state, *target, desired.Name, wasServing)
	}
}

func checkServed(t *rapid.T, state loader.State, started loader.Target, name string, wasServing bool) {
	total, loading, serving, notReady := 0, 0, 0, 0
	fetching := map[string]int{}
	for _, target := range state.Targets {
		for _, desired := range target.Desired {
			if desired.RemainingBytes > 0 {
				fetching[target.DataCenter+desired.Name]++
			}
			if desired.Name != name || target.DataCenter != started.DataCenter {
				continue
			}
			total++
			if target.Loading {
				loading++
			} else if target.Serving {
				serving++
			}
			if target.ID != started.ID && !target.Serving && (target.Loading || !desired.Loaded) {
				notReady++
			}
		}
	}
	if wasServing && loading > max(total/2, 1) {
		t.Fatalf("%d of %d targets of %s are loading, want at most %d", loading, total, name, max(total/2, 1))
	}
	if wasServing && serving == 0 && notReady > 0 {
		t.Fatalf("the last target serving %s is loading while %d others are not ready", name, notReady)
	}
	if len(fetching) > 2 && len(state.Cached) == 0 {
		t.Fatalf("got %d fetches from the store, want at most 2: %v", len(fetching), fetching)
	}
}

// finishLoad ends one load in progress. It returns true if none was in progress
// and all weights are loaded.
func finishLoad(t *rapid.T, state *loader.State) bool {
	var loading []*loader.Target
	done := true
	for index := range state.Targets {
		target := &state.Targets[index]
		if target.Loading {
			loading = append(loading, target)
		}
		for _, desired := range target.Desired {
			done = done && desired.Loaded
		}
	}
	if len(loading) == 0 {
		return done
	}
	target := rapid.SampledFrom(loading).Draw(t, "finished")
	target.Loading, target.Serving = false, true
	for index, desired := range target.Desired {
		if desired.RemainingBytes > 0 {
			target.Desired[index].Loaded, target.Desired[index].RemainingBytes = true, 0
			state.Cached[target.DataCenter] = append(state.Cached[target.DataCenter], desired.Weights)
		}
	}
	return false
}

// TestShortestRemainingFirst checks that the model with the fewest bytes left is
// loaded first, and alone if the store can feed one fetch.
func TestShortestRemainingFirst(t *testing.T) {
	state := loader.State{StoreBytesPerSecond: 1, TargetBytesPerSecond: 1}
	for index, bytes := range []int64{9, 4, 6} {
		name := fmt.Sprint("model-", index)
		for _, dataCenter := range []string{"a", "b"} {
			state.Targets = append(state.Targets, loader.Target{
				ID: name + dataCenter, DataCenter: dataCenter, Serving: true,
				Desired: []loader.DesiredWeights{{Weights: loader.Weights{Name: name, Version: "2"}, Bytes: bytes}},
			})
		}
	}
	loads := loader.New().PlanLoads(state)
	if len(loads) != 1 || loads[0].Weights.Name != "model-1" {
		t.Fatalf("loader.New().PlanLoads() = %+v, want one load of model-1", loads)
	}
}
