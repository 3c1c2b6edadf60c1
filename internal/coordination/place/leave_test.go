package place_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
)

// Guards against sending requests to a target that leaves before it was restarted:
// neither time, answers nor a row that still says ready end it.
func TestLeavingTargetIsNotChosenUntilRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := site.Target{ID: "s1", Service: "desk", DataCenter: "tas-a", Slots: 6, Started: time.UnixMilli(1_771_142_700_020)}
		scheduler := newScheduler(target)
		leaving := place.NewLeavingTarget(target)
		if !scheduler.MarkLeaving(leaving) || scheduler.MarkLeaving(leaving) {
			t.Error("MarkLeaving() tells something else than that it is new the first time only")
		}
		time.Sleep(time.Hour)
		scheduler.MarkReachable("s1")
		scheduler.MarkAccepted("s1")
		scheduler.MarkUnreachable("s1")
		scheduler.EndBackoff("s1")
		scheduler.SetTargets([]site.Target{target}, services)
		if _, _, ok := scheduler.AssignCall("desk", nil); ok {
			t.Error("AssignCall() chooses a target that leaves")
		}
		target.Started = target.Started.Add(time.Minute)
		scheduler.SetTargets([]site.Target{target}, services)
		if scheduler.MarkLeaving(leaving) {
			t.Error("MarkLeaving() applies a statement of the last run to the new one")
		}
		if _, _, ok := scheduler.AssignCall("desk", nil); !ok {
			t.Error("AssignCall() does not choose the restarted target")
		}
	})
}

// An engine that leaves gets no prefill, but others fetch from it what it has cached,
// as from one that is draining.
func TestLeavingEngineIsSourceOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := []site.Target{newEngine("p1", "tas-a", site.Prefill), newEngine("p2", "tas-a", site.Prefill)}
		targets[0].Address, targets[1].Address = "10.0.0.1:1", "10.0.0.2:1"
		scheduler := newScheduler(targets...)
		first := mustBegin(t, scheduler, newPrompt("dossier", 16_000))
		scheduler.EndPrefill(&first, true)
		scheduler.MarkLeaving(place.NewLeavingTarget(first.Target))
		again := mustBegin(t, scheduler, newPrompt("dossier", 16_000))
		if again.Target.ID == first.Target.ID || again.SourceAddress != first.Target.Address {
			t.Errorf("second prefill at %s with source %q, want the other engine with source %q", again.Target.ID, again.SourceAddress, first.Target.Address)
		}
	})
}

// Guards against heartbeats that outgrow a datagram while many targets leave, and
// against telling of targets that are no longer listed.
func TestReportedLeavingTargetsAreBounded(t *testing.T) {
	var targets []site.Target
	for i := range 200 {
		targets = append(targets, site.Target{ID: fmt.Sprint("s", i), Service: "desk"})
	}
	scheduler := newScheduler(targets...)
	for _, target := range targets {
		scheduler.MarkLeaving(place.NewLeavingTarget(target))
	}
	if count := len(scheduler.LeavingTargets()); count != 64 {
		t.Errorf("LeavingTargets() = %d targets, want 64", count)
	}
	scheduler.SetTargets(targets[:1], services)
	if leaving := scheduler.LeavingTargets(); len(leaving) != 1 || leaving[0].ID != "s0" {
		t.Errorf("LeavingTargets() = %v, want s0 alone", leaving)
	}
}

// The entry of a target lapses while an answer of it is under way, and comes back with the store.
// Guards against forgetting what the answer says: that it leaves, wants a pause or has a limit.
func TestStatementsOfUnlistedTargetCount(t *testing.T) {
	for name, state := range map[string]func(*place.Scheduler, site.Target){
		"leaves": func(scheduler *place.Scheduler, target site.Target) {
			scheduler.MarkLeaving(place.NewLeavingTarget(target))
		},
		"wants a pause": func(scheduler *place.Scheduler, target site.Target) {
			scheduler.MarkQuiet(target.ID, 20*time.Second)
		},
		"has a limit": func(scheduler *place.Scheduler, target site.Target) {
			scheduler.MarkLimited(target.ID, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := site.Target{ID: "s1", Service: "desk", DataCenter: "tas-a", Slots: 6, Started: time.UnixMilli(1_771_142_700_020)}
				scheduler := newScheduler(target)
				scheduler.SetTargets(nil, services)
				state(scheduler, target)
				time.Sleep(5 * time.Second)
				scheduler.SetTargets([]site.Target{target}, services)
				if _, _, ok := scheduler.AssignCall("desk", nil); ok {
					t.Error("AssignCall() chooses the target, whose statement was forgotten")
				}
			})
		})
	}
}
