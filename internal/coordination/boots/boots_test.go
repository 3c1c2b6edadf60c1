package boots_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/boots"
	"mangopier.example/mangopier/internal/protocol/site"
)

// A target is started again while its entry cannot change. Guards against taking its entry for
// that of the new start (ORDER), and against leaving it out when the entry has changed.
func TestRestartedTargetIsFoundUntilItsEntryChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := time.UnixMilli(1000), time.UnixMilli(2000)
		start, calls := first, 0
		var fault error
		checker := boots.New(func(context.Context, site.Target) (time.Time, error) {
			calls++
			return start, fault
		})
		entry := site.Target{ID: "e", Started: first}
		firstCheck := checker.Check(t.Context(), entry)
		if again := checker.Check(t.Context(), entry); !firstCheck || !again || calls != 1 || checker.Restarted(entry) {
			t.Errorf("before the restart: Check() = false, %d calls or Restarted() = true, want one call", calls)
		}
		time.Sleep(time.Second)
		fault = errors.New("refused")
		if checker.Check(t.Context(), entry) || checker.Restarted(entry) {
			t.Error("while it does not answer: Check() or Restarted() = true, want false")
		}
		start, fault = second, nil
		if checker.Check(t.Context(), entry) || !checker.Restarted(entry) {
			t.Error("after the restart: Check() = true or Restarted() = false")
		}
		entry.Started = second
		if !checker.Check(t.Context(), entry) || checker.Restarted(entry) {
			t.Error("after its entry has changed: Check() = false or Restarted() = true")
		}
		checker.SetTargets(nil)
		entry.Started = first
		if checker.Restarted(entry) {
			t.Error("after it has left the list: Restarted() = true")
		}
	})
}

// Targets that do not tell their start cannot be told apart. Guards against leaving them out.
func TestTargetWithoutStartIsTaken(t *testing.T) {
	checker := boots.New(func(context.Context, site.Target) (time.Time, error) { return time.Time{}, nil })
	for name, target := range map[string]site.Target{"no start in the entry": {ID: "a"}, "no start in the answer": {ID: "b", Started: time.UnixMilli(5)}} {
		if !checker.Check(t.Context(), target) || checker.Restarted(target) {
			t.Errorf("%s: Check() = false or Restarted() = true", name)
		}
	}
}
