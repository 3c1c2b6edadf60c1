package place_test

import (
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
)

func isChosen(scheduler *place.Scheduler) bool {
	assignment, _, ok := scheduler.AssignCall("desk", nil)
	scheduler.Release(&assignment)
	return ok
}

// Guards against a pause that a target has asked for being shortened, lengthened or
// ended by what other answers and connections tell.
func TestQuietTargetIsLeftAloneExactly(t *testing.T) {
	target := site.Target{ID: "s1", Service: "desk", DataCenter: "tas-a", Slots: 6}
	events := map[string]func(*place.Scheduler){
		"nothing":     func(*place.Scheduler) {},
		"refused":     func(scheduler *place.Scheduler) { scheduler.MarkRefused("s1") },
		"reachable":   func(scheduler *place.Scheduler) { scheduler.MarkReachable("s1") },
		"accepted":    func(scheduler *place.Scheduler) { scheduler.MarkAccepted("s1") },
		"backoff":     func(scheduler *place.Scheduler) { scheduler.MarkUnreachable("s1"); scheduler.EndBackoff("s1") },
		"listed":      func(scheduler *place.Scheduler) { scheduler.SetTargets([]site.Target{target}, services) },
		"shorter":     func(scheduler *place.Scheduler) { scheduler.MarkQuiet("s1", time.Second) },
		"short pause": func(scheduler *place.Scheduler) { scheduler.PauseTarget("s1", time.Second) },
	}
	for name, event := range events {
		synctest.Test(t, func(t *testing.T) {
			scheduler := newScheduler(target)
			scheduler.MarkQuiet("s1", 3*time.Second)
			event(scheduler)
			time.Sleep(3*time.Second - time.Nanosecond)
			if isChosen(scheduler) {
				t.Errorf("%s: the target is chosen before its pause has ended", name)
			}
			time.Sleep(time.Nanosecond)
			if !isChosen(scheduler) {
				t.Errorf("%s: the target is not chosen after its pause", name)
			}
		})
	}
}

// Guards against a retry delay other than the end of the first pause, and against
// one while a target takes requests.
func TestQuietTimeIsThatOfFirstTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var targets []site.Target
		for _, id := range []string{"s1", "s2", "s3", "s4"} {
			targets = append(targets, site.Target{ID: id, Service: "desk", DataCenter: "tas-a", Slots: 6})
		}
		targets[3].Draining = true
		scheduler := newScheduler(targets...)
		scheduler.MarkQuiet("s1", 5*time.Second)
		scheduler.MarkQuiet("s2", 2*time.Second)
		if _, ok := scheduler.QuietTime("desk", site.NoStage); ok {
			t.Error("QuietTime() = a time while s3 takes requests, want none")
		}
		scheduler.PauseTarget("s3", 4*time.Second)
		time.Sleep(time.Second)
		if quiet, ok := scheduler.QuietTime("desk", site.NoStage); !ok || quiet != time.Second {
			t.Errorf("QuietTime() = %v, %t, want 1s", quiet, ok)
		}
		if _, ok := scheduler.QuietTime("llm", site.Decode); ok {
			t.Error("QuietTime() = a time for a service without targets, want none")
		}
	})
}

// An entry may expire while the store is away and come back. Guards against forgetting
// what the target has said meanwhile: that it leaves, wants a pause, or has a limit.
func TestStatementsOutlastMissingEntry(t *testing.T) {
	statements := map[string]func(scheduler *place.Scheduler, target site.Target){
		"leaves": func(scheduler *place.Scheduler, target site.Target) {
			scheduler.MarkLeaving(place.NewLeavingTarget(target))
		},
		"wants a pause": func(scheduler *place.Scheduler, target site.Target) { scheduler.MarkQuiet(target.ID, time.Minute) },
		"has a limit":   func(scheduler *place.Scheduler, target site.Target) { scheduler.MarkLimited(target.ID, 2) },
	}
	for name, state := range statements {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := site.Target{ID: "s1", Service: "desk", Slots: 6, Started: time.UnixMilli(1_771_142_700_020)}
				scheduler := newScheduler(target)
				state(scheduler, target)
				scheduler.SetTargets(nil, services)
				time.Sleep(10 * time.Second)
				scheduler.SetTargets([]site.Target{target}, services)
				if _, _, ok := scheduler.AssignCall("desk", nil); ok {
					t.Error("AssignCall() chooses the target after its entry came back")
				}
				target.Started = target.Started.Add(time.Minute)
				scheduler.SetTargets([]site.Target{target}, services)
				if _, _, ok := scheduler.AssignCall("desk", nil); !ok {
					t.Error("AssignCall() does not choose the restarted target")
				}
			})
		})
	}
}
