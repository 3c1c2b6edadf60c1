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

// TestLoadsKeepTrafficServed plays changes to their end, and checks each load
// against the targets that serve.
func TestLoadsKeepTrafficServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scheduler := loader.New(loader.WithLoadingShare(0.5))
		state := drawState(t)
		for range 4 * len(state.Targets) {
			for _, load := range scheduler.Decide(state) {
				start(t, &state, load)
			}
			if finish(t, &state) {
				return
			}
		}
		t.Fatalf("changes do not end: %+v", state)
	})
}

func drawState(t *rapid.T) loader.State {
	state := loader.State{StoreBytesPerSecond: 2, TargetBytesPerSecond: 1, Cached: map[string][]loader.Weights{}}
	for index := range rapid.IntRange(1, 12).Draw(t, "targets") {
		target := loader.Target{
			ID:         fmt.Sprint(index),
			DataCenter: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "data-centre"),
			Serving:    rapid.IntRange(0, 4).Draw(t, "serving") > 0,
		}
		for _, name := range []string{"m", "n"} {
			if rapid.Bool().Draw(t, "wanted") {
				loaded := rapid.IntRange(0, 3).Draw(t, "loaded") == 0
				target.Wanted = append(target.Wanted, loader.Want{Weights: loader.Weights{Name: name, Version: "2"}, Bytes: 5, Loaded: loaded})
			}
		}
		state.Targets = append(state.Targets, target)
	}
	return state
}

// start marks the target of a load and checks that its models stay served.
func start(t *rapid.T, state *loader.State, load loader.Load) {
	var target *loader.Target
	for index := range state.Targets {
		if state.Targets[index].ID == load.Target {
			target = &state.Targets[index]
		}
	}
	if target.Loading {
		t.Fatalf("second load for %s", target.ID)
	}
	served := target.Serving
	target.Loading, target.Serving = true, false
	for index := range target.Wanted {
		if target.Wanted[index].Weights == load.Weights {
			target.Wanted[index].RemainingBytes = load.Bytes
		}
	}
	for _, want := range target.Wanted {
		checkShare(t, *state, *target, want.Name, served)
	}
}

func checkShare(t *rapid.T, state loader.State, started loader.Target, name string, served bool) {
	holders, loading, serving, coming := 0, 0, 0, 0
	fetching := map[string]int{}
	for _, target := range state.Targets {
		for _, want := range target.Wanted {
			if want.RemainingBytes > 0 {
				fetching[target.DataCenter+want.Name]++
			}
			if want.Name != name || target.DataCenter != started.DataCenter {
				continue
			}
			holders++
			if target.Loading {
				loading++
			} else if target.Serving {
				serving++
			}
			if target.ID != started.ID && !target.Serving && (target.Loading || !want.Loaded) {
				coming++
			}
		}
	}
	if served && loading > max(holders/2, 1) {
		t.Fatalf("%d of %d targets load %s", loading, holders, name)
	}
	if served && serving == 0 && coming > 0 {
		t.Fatalf("the last target that serves %s loads before %d others", name, coming)
	}
	if len(fetching) > 2 && len(state.Cached) == 0 {
		t.Fatalf("%d fetches share the rate of two: %v", len(fetching), fetching)
	}
}

// finish ends one load in progress and reports whether nothing is left to do.
func finish(t *rapid.T, state *loader.State) bool {
	var loading []*loader.Target
	done := true
	for index := range state.Targets {
		target := &state.Targets[index]
		if target.Loading {
			loading = append(loading, target)
		}
		for _, want := range target.Wanted {
			done = done && want.Loaded
		}
	}
	if len(loading) == 0 {
		return done
	}
	target := rapid.SampledFrom(loading).Draw(t, "finished")
	target.Loading, target.Serving = false, true
	for index, want := range target.Wanted {
		if want.RemainingBytes > 0 {
			target.Wanted[index].Loaded, target.Wanted[index].RemainingBytes = true, 0
			state.Cached[target.DataCenter] = append(state.Cached[target.DataCenter], want.Weights)
		}
	}
	return false
}

func TestShortestRemainingFirst(t *testing.T) {
	state := loader.State{StoreBytesPerSecond: 1, TargetBytesPerSecond: 1}
	for index, bytes := range []int64{9, 4, 6} {
		name := fmt.Sprint("model-", index)
		for _, dataCenter := range []string{"a", "b"} {
			state.Targets = append(state.Targets, loader.Target{
				ID: name + dataCenter, DataCenter: dataCenter, Serving: true,
				Wanted: []loader.Want{{Weights: loader.Weights{Name: name, Version: "2"}, Bytes: bytes}},
			})
		}
	}
	loads := loader.New().Decide(state)
	if len(loads) != 1 || loads[0].Weights.Name != "model-1" {
		t.Fatalf("got %+v", loads)
	}
}
