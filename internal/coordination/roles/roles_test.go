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

// TestChangesKeepPhasesAndInterval runs the policies with random demand and engine
// states. No change may stop a phase or overlap another one in its group, and those
// of PersistencePolicy keep their minimum interval.
func TestChangesKeepPhasesAndInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]roles.Policy{roles.NewPersistencePolicy(), roles.NewThresholdPolicy(1.2)}).Draw(t, "policy")
		now := time.Unix(0, 0)
		var last time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "wait-ms")) * time.Millisecond)
			tps := rapid.Float64Range(0, 1e5)
			policy.ObserveDemand(now, roles.Demand{PrefillTPS: tps.Draw(t, "prefill"), DecodeTPS: tps.Draw(t, "decode")})
			engines := rapid.SliceOfN(rapid.Custom(drawEngine), 0, 6).Draw(t, "engines")
			change, ok := policy.PlanChange(now, engines)
			if !ok {
				continue
			}
			minInterval := 5 * time.Second
			if checkChange(t, change, engines) {
				minInterval = 20 * time.Second
			}
			if _, persistence := policy.(*roles.PersistencePolicy); persistence && !last.IsZero() && now.Sub(last) < minInterval {
				t.Fatalf("interval between changes = %v, want at least %v", now.Sub(last), minInterval)
			}
			last = now
		}
	})
}

func drawEngine(t *rapid.T) roles.EngineState {
	return roles.EngineState{
		ID:            fmt.Sprint(rapid.Uint64().Draw(t, "id")),
		Role:          rapid.SampledFrom([]note.Role{"", note.RoleMixed, note.RolePrefill, note.RolePrefill, note.RoleDecode, note.RoleDecode}).Draw(t, "role"),
		Unready:       rapid.IntRange(0, 5).Draw(t, "unready") == 0,
		ChangePending: rapid.IntRange(0, 9).Draw(t, "changing") == 0,
		InFlight:      rapid.IntRange(0, 9).Draw(t, "in-flight"),
		PrefillTPS:    8000, DecodeTPS: 1200,
	}
}

// checkChange fails the test if the change stops a phase or overlaps another one.
// It reports whether both phases had an engine before.
func checkChange(t *rapid.T, change roles.Change, engines []roles.EngineState) bool {
	var before, during, after [2]bool // whether an engine runs prefill, decode
	found := false
	for _, engine := range engines {
		if engine.ChangePending {
			t.Fatalf("change while engine %s is changing: %+v", engine.ID, change)
		}
		if engine.Unready {
			continue
		}
		markPhases(&before, engine.Role)
		if engine.ID == change.EngineID {
			found = true
			markPhases(&after, change.To)
			continue
		}
		markPhases(&during, engine.Role)
		markPhases(&after, engine.Role)
	}
	bothPhases := [2]bool{true, true}
	if !found || change.From == change.To || after != bothPhases {
		t.Fatalf("change %+v of engines %+v: phases after = %v, want both and a new role of an available engine", change, engines, after)
	}
	if before == bothPhases && during != bothPhases {
		t.Fatalf("change %+v of engines %+v: phases during = %v, want both", change, engines, during)
	}
	return before == bothPhases
}

func markPhases(phases *[2]bool, role note.Role) {
	phases[0] = phases[0] || role != note.RoleDecode
	phases[1] = phases[1] || role != note.RolePrefill
}

func TestFollowsLastingStep(t *testing.T) {
	if changes := countChanges(func(second int) bool { return second < 100 }, 400); changes < 1 || changes > 4 {
		t.Fatalf("changes after a lasting step = %d, want 1 to 4", changes)
	}
}

func TestIgnoresFastSwing(t *testing.T) {
	swing := func(second int) bool { return (second/10)%2 == 0 }
	if changes := countChanges(swing, 1200); changes > 6 {
		t.Fatalf("changes under a swing faster than a change = %d, want at most 6", changes)
	}
}

func TestNoChangeBeforeAveragesSettle(t *testing.T) {
	low := func(int) bool { return false }
	if early, later := countChanges(low, 20), countChanges(low, 60); early != 0 || later == 0 {
		t.Fatalf("changes within 20 s of the first window = %d, within 60 s = %d; want 0 and at least 1", early, later)
	}
}

func TestNoChangeOnStaleDemand(t *testing.T) {
	for age, want := range map[time.Duration]bool{time.Second: true, time.Minute: false} {
		policy := roles.NewPersistencePolicy()
		for second := range 60 {
			policy.ObserveDemand(time.Unix(int64(second), 0), roles.Demand{PrefillTPS: 8000, DecodeTPS: 4 * 1200})
		}
		engines := []roles.EngineState{}
		for index, role := range []note.Role{note.RolePrefill, note.RolePrefill, note.RolePrefill, note.RoleDecode, note.RoleDecode, note.RoleDecode} {
			engines = append(engines, roles.EngineState{ID: fmt.Sprint(index), Role: role, PrefillTPS: 8000, DecodeTPS: 1200})
		}
		if change, ok := policy.PlanChange(time.Unix(59, 0).Add(age), engines); ok != want {
			t.Errorf("PlanChange() %v after the last window = %+v, %v, want %v", age, change, ok, want)
		}
	}
}

func TestRestoresLostPhase(t *testing.T) {
	cases := []struct {
		name    string
		engines []roles.EngineState
		to      note.Role
	}{
		{"several decode engines", []roles.EngineState{{ID: "a", Role: note.RoleDecode, InFlight: 3}, {ID: "b", Role: note.RoleDecode}}, note.RolePrefill},
		{"last prefill engine", []roles.EngineState{{ID: "b", Role: note.RolePrefill}}, note.RoleMixed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			lost := roles.EngineState{ID: "lost", Role: note.RoleMixed, Unready: true}
			change, ok := roles.NewPersistencePolicy().PlanChange(time.Unix(0, 0), append(test.engines, lost))
			if !ok || change.EngineID != "b" || change.To != test.to {
				t.Fatalf("PlanChange() = %+v, %v, want engine b to %s", change, ok, test.to)
			}
		})
	}
}

// countChanges returns the number of changes of PersistencePolicy while the share
// of prefill in the demand alternates between high and low.
func countChanges(isHigh func(second int) bool, seconds int) int {
	policy := roles.NewPersistencePolicy()
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
		prefillShare := 0.135
		if isHigh(second) {
			prefillShare = 0.405
		}
		policy.ObserveDemand(now, roles.Demand{PrefillTPS: prefillShare * 10.8 * 8000, DecodeTPS: (1 - prefillShare) * 10.8 * 1200})
		if change, ok := policy.PlanChange(now, engines); ok {
			changes++
			for index := range engines {
				if engines[index].ID == change.EngineID {
					engines[index].Role = change.To
				}
			}
		}
	}
	return changes
}
