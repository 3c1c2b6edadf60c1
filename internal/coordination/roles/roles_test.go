package roles_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/roles"
	"mangopier.example/mangopier/internal/protocol/note"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestChangesAreSafe drives policies by random demand and engine states, and
// checks each change against the states alone.
func TestChangesAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]roles.Policy{roles.New(), roles.NewThreshold(1.2)}).Draw(t, "policy")
		now := time.Unix(0, 0)
		var last time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "wait-ms")) * time.Millisecond)
			tps := rapid.Float64Range(0, 1e5)
			policy.Observe(now, roles.Demand{PrefillTPS: tps.Draw(t, "prefill"), DecodeTPS: tps.Draw(t, "decode")})
			engines := rapid.SliceOfN(rapid.Custom(engine), 0, 6).Draw(t, "engines")
			change, ok := policy.Decide(now, engines)
			if !ok {
				continue
			}
			hold := 5 * time.Second
			if check(t, change, engines) {
				hold = 20 * time.Second
			}
			if _, ours := policy.(*roles.Decider); ours && !last.IsZero() && now.Sub(last) < hold {
				t.Fatalf("changes only %v apart", now.Sub(last))
			}
			last = now
		}
	})
}

func engine(t *rapid.T) roles.EngineState {
	return roles.EngineState{
		ID:         fmt.Sprint(rapid.Uint64().Draw(t, "id")),
		Role:       rapid.SampledFrom([]note.Role{"", note.RoleMixed, note.RolePrefill, note.RolePrefill, note.RoleDecode, note.RoleDecode}).Draw(t, "role"),
		Unready:    rapid.IntRange(0, 5).Draw(t, "unready") == 0,
		Changing:   rapid.IntRange(0, 9).Draw(t, "changing") == 0,
		InFlight:   rapid.IntRange(0, 9).Draw(t, "in-flight"),
		PrefillTPS: 8000, DecodeTPS: 1200,
	}
}

// check fails for a change that stops a phase, and reports whether both phases
// had an engine before.
func check(t *rapid.T, change roles.Change, engines []roles.EngineState) bool {
	var before, during, after [2]bool // an engine takes prefill, decode
	found := false
	for _, engine := range engines {
		if engine.Changing {
			t.Fatalf("a change during that of %s: %+v", engine.ID, change)
		}
		if engine.Unready {
			continue
		}
		mark(&before, engine.Role)
		if engine.ID == change.Engine {
			found = true
			mark(&after, change.To)
			continue
		}
		mark(&during, engine.Role)
		mark(&after, engine.Role)
	}
	both := [2]bool{true, true}
	if !found || change.From == change.To || after != both {
		t.Fatalf("change %+v of %+v leaves %v", change, engines, after)
	}
	if before == both && during != both {
		t.Fatalf("change %+v stops a phase of %+v", change, engines)
	}
	return before == both
}

func mark(takes *[2]bool, role note.Role) {
	takes[0] = takes[0] || role != note.RoleDecode
	takes[1] = takes[1] || role != note.RolePrefill
}

func TestLastingStepIsFollowed(t *testing.T) {
	if changes := changesUnder(func(second int) bool { return second < 100 }, 400); changes < 1 || changes > 4 {
		t.Fatalf("%d changes after a lasting step", changes)
	}
}

func TestFastSwingIsIgnored(t *testing.T) {
	swing := func(second int) bool { return (second/10)%2 == 0 }
	if changes := changesUnder(swing, 1200); changes > 6 {
		t.Fatalf("%d changes under a swing that no change can follow", changes)
	}
}

func TestFirstWindowsAreNotEnough(t *testing.T) {
	low := func(int) bool { return false }
	if early, later := changesUnder(low, 20), changesUnder(low, 60); early != 0 || later == 0 {
		t.Fatalf("%d changes within 20 s of the first window, %d within a minute", early, later)
	}
}

func TestOldWindowsAreNotFollowed(t *testing.T) {
	for age, want := range map[time.Duration]bool{time.Second: true, time.Minute: false} {
		decider := roles.New()
		for second := range 60 {
			decider.Observe(time.Unix(int64(second), 0), roles.Demand{PrefillTPS: 8000, DecodeTPS: 4 * 1200})
		}
		engines := []roles.EngineState{}
		for index, role := range []note.Role{note.RolePrefill, note.RolePrefill, note.RolePrefill, note.RoleDecode, note.RoleDecode, note.RoleDecode} {
			engines = append(engines, roles.EngineState{ID: fmt.Sprint(index), Role: role, PrefillTPS: 8000, DecodeTPS: 1200})
		}
		if change, ok := decider.Decide(time.Unix(59, 0).Add(age), engines); ok != want {
			t.Errorf("%v after the last window: %+v, %v", age, change, ok)
		}
	}
}

func TestLostPhaseIsRestored(t *testing.T) {
	cases := []struct {
		name string
		left []roles.EngineState
		to   note.Role
	}{
		{"several decode engines", []roles.EngineState{{ID: "a", Role: note.RoleDecode, InFlight: 3}, {ID: "b", Role: note.RoleDecode}}, note.RolePrefill},
		{"last prefill engine", []roles.EngineState{{ID: "b", Role: note.RolePrefill}}, note.RoleMixed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			lost := roles.EngineState{ID: "lost", Role: note.RoleMixed, Unready: true}
			change, ok := roles.New().Decide(time.Unix(0, 0), append(test.left, lost))
			if !ok || change.Engine != "b" || change.To != test.to {
				t.Fatalf("got %+v, %v", change, ok)
			}
		})
	}
}

// changesUnder counts the changes while the share of prefill is high or low.
func changesUnder(high func(second int) bool, seconds int) int {
	decider := roles.New()
	engines := make([]roles.EngineState, 12)
	for index := range engines {
		engines[index] = roles.EngineState{ID: fmt.Sprint(index), Role: note.RoleDecode, PrefillTPS: 8000, DecodeTPS: 1200}
		if index < 5 {
			engines[index].Role = note.RolePrefill
		}
	}
	changes := 0
	for second := range seconds {
		now := time.Unix(int64(second), 0)
		share := 0.135
		if high(second) {
			share = 0.405
		}
		decider.Observe(now, roles.Demand{PrefillTPS: share * 10.8 * 8000, DecodeTPS: (1 - share) * 10.8 * 1200})
		if change, ok := decider.Decide(now, engines); ok {
			changes++
			for index := range engines {
				if engines[index].ID == change.Engine {
					engines[index].Role = change.To
				}
			}
		}
	}
	return changes
}
