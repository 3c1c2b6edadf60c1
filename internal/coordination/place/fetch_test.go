package place_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
)

// Other engines fetch the shared part of a prompt from the engine that has it
// cached, and do the prefill of the rest only.
func TestPrefillFetchesCachedPrefix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := []site.Target{newEngine("p1", "tas-a", site.Prefill), newEngine("p2", "tas-a", site.Prefill)}
		targets[0].Address, targets[1].Address = "10.0.0.1:1", "10.0.0.2:1"
		scheduler := newScheduler(targets...)
		first := mustBegin(t, scheduler, newPrompt("dossier", 16_000))
		if first.SourceAddress != "" {
			t.Errorf("first prefill fetches from %q, want no source", first.SourceAddress)
		}
		scheduler.EndPrefill(&first, true)
		again, ok := begin(scheduler, "llm", newPrompt("dossier", 16_000), 0, []string{first.Target.ID})
		if !ok || again.SourceAddress != first.Target.Address || again.CachedTokens != 0 || again.FetchTokens < 12_000 {
			t.Fatalf("second prefill = %+v, want 12000 or more tokens fetched from %s", again, first.Target.Address)
		}
		if again.WorkMS > first.WorkMS/2 {
			t.Errorf("work with a fetch = %.0f ms, want at most half of %.0f ms", again.WorkMS, first.WorkMS)
		}
	})
}

// Parts cannot be fetched from an engine before it has completed their prefill.
func TestUnfinishedPrefillIsNoSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := newScheduler(newEngine("p1", "tas-a", site.Prefill), newEngine("p2", "tas-a", site.Prefill))
		other := newScheduler(newEngine("p1", "tas-a", site.Prefill), newEngine("p2", "tas-a", site.Prefill))
		first := mustBegin(t, scheduler, newPrompt("dossier", 16_000))
		except := []string{first.Target.ID}
		other.MergeReport("origin", scheduler.BuildReport(1))
		if early, _ := begin(scheduler, "llm", newPrompt("dossier", 16_000), 0, except); early.SourceAddress != "" {
			t.Errorf("fetches from %q before its prefill is complete", early.SourceAddress)
		}
		if early, _ := begin(other, "llm", newPrompt("dossier", 16_000), 0, except); early.SourceAddress != "" {
			t.Errorf("the other instance fetches from %q before its prefill is complete", early.SourceAddress)
		}
		time.Sleep(2 * time.Duration(first.ExpectedMS()*float64(time.Millisecond)))
		if late, _ := begin(other, "llm", newPrompt("dossier", 16_000), 0, except); late.SourceAddress == "" && late.CachedTokens == 0 {
			t.Errorf("after the first prefill = %+v, want a source or cached tokens", late)
		}
	})
}

// Sources are responsive engines; one in the same data centre is preferred.
func TestSourceIsNearAndReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := []site.Target{
			newEngine("p1", "tas-a", site.Prefill), newEngine("p2", "tas-b", site.Prefill), newEngine("p3", "tas-b", site.Prefill),
		}
		for i := range targets {
			targets[i].Address = "10.0.0." + string(rune('1'+i)) + ":1"
		}
		scheduler := newScheduler(targets...)
		for _, except := range [][]string{{"p2", "p3"}, {"p1", "p3"}} {
			prefill, _ := begin(scheduler, "llm", newPrompt("dossier", 16_000), 0, except)
			scheduler.EndPrefill(&prefill, true)
		}
		thirdSource := func() string {
			prefill, _ := begin(scheduler, "llm", newPrompt("dossier", 16_000), 0, []string{"p1", "p2"})
			scheduler.EndPrefill(&prefill, false)
			return prefill.SourceAddress
		}
		restart := func() { // p3 starts again with an empty cache
			targets[2].Started = targets[2].Started.Add(time.Hour)
			scheduler.SetTargets(targets, services)
		}
		if got := thirdSource(); got != targets[1].Address {
			t.Errorf("fetches from %q, want %q in the same data centre", got, targets[1].Address)
		}
		restart()
		scheduler.MarkUnreachable("p2")
		if got := thirdSource(); got != targets[0].Address {
			t.Errorf("fetches from %q while p2 is unreachable, want %q", got, targets[0].Address)
		}
		restart()
		scheduler.MarkUnreachable("p1")
		if got := thirdSource(); got != "" {
			t.Errorf("fetches from %q while p1 and p2 are unreachable, want no source", got)
		}
	})
}

// A request may be refused after an engine was chosen. The choice alone must not
// count as load or cached parts, and must not be reported to other instances.
func TestChoosePrefillHasNoSideEffects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := newScheduler(newEngine("p1", "tas-a", site.Prefill), newEngine("p2", "tas-a", site.Prefill))
		for range 3 {
			if prefill, ok := scheduler.ChoosePrefill("llm", newPrompt("dossier", 16_000), 0, nil); !ok || prefill.CachedTokens != 0 || prefill.WaitMS != 0 {
				t.Fatalf("ChoosePrefill() = %+v, %v, want nothing cached and no wait", prefill, ok)
			}
			time.Sleep(time.Second)
		}
		if report := scheduler.BuildReport(1); len(report.Prefills) != 0 || len(report.Loads) != 0 {
			t.Errorf("BuildReport(1) = %+v, want an empty report", report)
		}
	})
}

// Instances in other data centres of a large site get a report only once in many
// rounds. It has to contain all prefills since the previous one.
func TestRareReportsContainAllPrefills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := []site.Target{newEngine("p1", "tas-a", site.Prefill), newEngine("p2", "tas-a", site.Prefill)}
		targets[0].Address, targets[1].Address = "10.0.0.1:1", "10.0.0.2:1"
		scheduler, near, far := newScheduler(targets...), newScheduler(targets...), newScheduler(targets...)
		targetByPrompt := map[string]string{}
		const rounds = 13
		for i := range rounds {
			name := fmt.Sprint(i)
			prefill := mustBegin(t, scheduler, newPrompt(name, 16_000))
			scheduler.EndPrefill(&prefill, true)
			targetByPrompt[name] = prefill.Target.ID
			near.MergeReport("origin", scheduler.BuildReport(1))
			if i == rounds-1 {
				far.MergeReport("origin", scheduler.BuildReport(rounds))
			}
			scheduler.EndReportRound()
		}
		time.Sleep(time.Second)
		for name, target := range targetByPrompt {
			for receiver, other := range map[string]*place.Scheduler{"near": near, "far": far} {
				prefill, ok := other.ChoosePrefill("llm", newPrompt(name, 16_000), 0, []string{target})
				if !ok || prefill.FetchTokens < 12_000 {
					t.Errorf("%s: prefill of prompt %s = %+v, want 12000 or more tokens fetched", receiver, name, prefill)
				}
			}
		}
		if again := scheduler.BuildReport(1); len(again.Prefills) != 0 {
			t.Errorf("%d prefills are reported twice", len(again.Prefills))
		}
		for range 40 {
			scheduler.EndReportRound()
		}
		if again := scheduler.BuildReport(40); len(again.Prefills) != 0 {
			t.Errorf("%d prefills are still reported after 40 rounds, want none", len(again.Prefills))
		}
	})
}

// A copy of a shared part evicts others, which are then prefilled again. In a
// burst of many shared parts the copies would fill all caches, so that a prompt
// waits for the engine that has its part cached, unless that takes longer than
// it saves.
func TestCopiesAreMadeOnlyIfHolderIsBusyForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := newScheduler(newEngine("p1", "tas-a", site.Prefill), newEngine("p2", "tas-a", site.Prefill))
		first := mustBegin(t, scheduler, newPrompt("dossier", 16_000))
		time.Sleep(time.Duration(first.ExpectedMS() * float64(time.Millisecond)))
		scheduler.EndPrefill(&first, true)
		other := "p1"
		if first.Target.ID == "p1" {
			other = "p2"
		}
		next := &site.Prompt{Model: "m", Tokens: 16_000, Parts: []site.Part{{ID: "dossier", Tokens: 12_000}, {ID: "own", Tokens: 4_000}}}
		for i := range 4 {
			prefill, _ := scheduler.ChoosePrefill("llm", next, 0, nil)
			want := first.Target.ID
			if i > 1 {
				want = other
			}
			if prefill.Target.ID != want || (want == other) != (prefill.FetchTokens > 0) {
				t.Errorf("with %d prefills of 190 ms at the holder: prefill at %s with %d tokens fetched, want %s", i, prefill.Target.ID, prefill.FetchTokens, want)
			}
			work, _ := scheduler.ChoosePrefill("llm", newPrompt(fmt.Sprint("busy", i), 9_000), 0, []string{other})
			scheduler.BeginPrefill(&work)
		}
	})
}

// Guards against telling an engine to fetch a prompt from the engine that has just
// failed to prefill it.
func TestFailedPrefillIsNoSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := newScheduler(newEngine("p1", "tas-a", site.Prefill), newEngine("p2", "tas-a", site.Prefill))
		first := mustBegin(t, scheduler, newPrompt("dossier", 16_000))
		time.Sleep(3 * time.Duration(first.ExpectedMS()*float64(time.Millisecond)))
		scheduler.EndPrefill(&first, false)
		second, ok := begin(scheduler, "llm", newPrompt("dossier", 16_000), 0, []string{first.Target.ID})
		if !ok || second.SourceAddress != "" || second.FetchTokens != 0 {
			t.Errorf("prefill after the failed one = %+v, want no source", second)
		}
	})
}

// Guards against telling an engine to fetch a prompt from one that takes longer than
// expected and has not answered yet.
func TestSlowPrefillIsNoSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := newScheduler(newEngine("p1", "tas-a", site.Prefill), newEngine("p2", "tas-a", site.Prefill))
		first := mustBegin(t, scheduler, newPrompt("dossier", 16_000))
		time.Sleep(3 * time.Duration(first.ExpectedMS()*float64(time.Millisecond)))
		except := []string{first.Target.ID}
		if early, ok := scheduler.ChoosePrefill("llm", newPrompt("dossier", 16_000), 0, except); !ok || early.FetchTokens != 0 {
			t.Errorf("ChoosePrefill() during the slow prefill = %+v, want no source", early)
		}
		scheduler.EndPrefill(&first, true)
		if late, ok := scheduler.ChoosePrefill("llm", newPrompt("dossier", 16_000), 0, except); !ok || late.FetchTokens < 12_000 {
			t.Errorf("ChoosePrefill() after its answer = %+v, want 12000 or more tokens fetched", late)
		}
	})
}

// Guards against losing the source of a shared part when one of its later prompts
// fails there, for instance since its caller left.
func TestFailedPrefillKeepsEarlierSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := newScheduler(newEngine("p1", "tas-a", site.Prefill), newEngine("p2", "tas-a", site.Prefill))
		first := mustBegin(t, scheduler, newPrompt("dossier", 16_000))
		scheduler.EndPrefill(&first, true)
		failed := mustBegin(t, scheduler, newPrompt("dossier", 16_000))
		scheduler.EndPrefill(&failed, false)
		next, ok := scheduler.ChoosePrefill("llm", newPrompt("dossier", 16_000), 0, []string{first.Target.ID})
		if failed.Target.ID != first.Target.ID || !ok || next.FetchTokens < 12_000 {
			t.Errorf("ChoosePrefill() after a failed prefill at %s = %+v, want 12000 or more tokens fetched from %s", failed.Target.ID, next, first.Target.ID)
		}
	})
}
