package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
)

var services = map[string]site.Service{
	"llm":  {Name: "llm", Engine: &site.Engine{Slots: 64, KVCapacityTokens: 470_000, KVBytesPerToken: 163_840, LinkMbps: 1_600_000}},
	"desk": {Name: "desk"},
}

func newScheduler(targets ...site.Target) *place.Scheduler {
	scheduler := place.New(place.WithDataCenter("tas-a"), place.WithRandSource(rand.NewPCG(1, 2)))
	scheduler.SetTargets(targets, services)
	return scheduler
}

func newEngine(id, center string, stage site.Stage) site.Target {
	return site.Target{ID: id, Service: "llm", Address: "10.0.0.1:1", DataCenter: center, Slots: 64, Stage: stage}
}

func newPrompt(shared string, tokens int) *site.Prompt {
	return &site.Prompt{Model: "m", Tokens: tokens, MaxOutputTokens: 100, Parts: []site.Part{
		{ID: shared, Tokens: tokens * 3 / 4}, {ID: "own-" + shared, Tokens: tokens / 4},
	}}
}

// begin chooses an engine for the prefill of a prompt and begins it there.
func begin(scheduler *place.Scheduler, service string, prompt *site.Prompt, priority int, except []string) (place.Prefill, bool) {
	prefill, ok := scheduler.ChoosePrefill(service, prompt, priority, except)
	if ok {
		scheduler.BeginPrefill(&prefill)
	}
	return prefill, ok
}

func mustBegin(t *testing.T, scheduler *place.Scheduler, prompt *site.Prompt) place.Prefill {
	t.Helper()
	prefill, ok := begin(scheduler, "llm", prompt, 0, nil)
	if !ok {
		t.Fatal("ChoosePrefill() found no engine")
	}
	return prefill
}

// Requests that share a prompt part go to the engine that has it cached.
func TestPromptGoesToEngineWithCachedPrefix(t *testing.T) {
	scheduler := newScheduler(newEngine("p1", "tas-a", site.Prefill), newEngine("p2", "tas-a", site.Prefill), newEngine("p3", "tas-b", site.Prefill))
	first := mustBegin(t, scheduler, newPrompt("dossier", 16_000))
	scheduler.EndPrefill(&first, false)
	for i := range 5 {
		again := mustBegin(t, scheduler, newPrompt("dossier", 16_000))
		if again.Target.ID != first.Target.ID || again.CachedTokens == 0 || again.WorkMS >= first.WorkMS {
			t.Fatalf("repeat %d goes to %s with %d tokens cached and %.0f ms of work, want %s, some cached and less than %.0f ms",
				i, again.Target.ID, again.CachedTokens, again.WorkMS, first.Target.ID, first.WorkMS)
		}
		scheduler.EndPrefill(&again, false)
	}
}

// Many requests with the same prompt arrive at once. When the engine that has
// it cached is busy for longer than a prefill takes elsewhere, other engines are
// used too.
func TestHotPromptSpreadsOverEngines(t *testing.T) {
	scheduler := newScheduler(newEngine("p1", "tas-a", site.Prefill), newEngine("p2", "tas-a", site.Prefill), newEngine("p3", "tas-b", site.Prefill))
	used := map[string]int{}
	for range 30 {
		prefill := mustBegin(t, scheduler, newPrompt("hot", 16_000))
		used[prefill.Target.ID]++
	}
	if len(used) < 3 {
		t.Errorf("30 equal prompts at once went to %v, want all 3 engines", used)
	}
}

// Short prompts are not queued behind a long one while another engine is free.
func TestShortPromptsAvoidLongOnes(t *testing.T) {
	scheduler := newScheduler(newEngine("p1", "tas-a", site.Prefill), newEngine("p2", "tas-a", site.Prefill))
	long, _ := begin(scheduler, "llm", newPrompt("long", 50_000), 2, nil)
	for i := range 4 {
		short, _ := begin(scheduler, "llm", newPrompt(fmt.Sprint(i), 1_200), 0, nil)
		if short.Target.ID == long.Target.ID {
			t.Errorf("short prompt %d goes to %s, behind the long one", i, short.Target.ID)
		}
		scheduler.EndPrefill(&short, false)
	}
}

// No new work goes to engines that drain (such as spot ones being reclaimed),
// change their stage, refuse connections or have weight 0.
func TestUnavailableEnginesGetNoWork(t *testing.T) {
	draining := newEngine("p1", "tas-a", site.Prefill)
	draining.Draining = true
	scheduler := newScheduler(draining, newEngine("p2", "tas-a", site.Prefill), newEngine("p3", "tas-a", site.Prefill), newEngine("p4", "tas-a", site.Prefill))
	scheduler.MarkStageChange("p2", time.Minute)
	scheduler.MarkUnreachable("p3")
	for range 10 {
		if prefill := mustBegin(t, scheduler, newPrompt("x", 4_000)); prefill.Target.ID != "p4" {
			t.Fatalf("prefill goes to %s, want p4", prefill.Target.ID)
		}
	}
	scheduler.SetWeights(map[string]float64{"p4": 0})
	if _, ok := begin(scheduler, "llm", newPrompt("x", 4_000), 0, nil); ok {
		t.Error("prefill goes to an engine with weight 0, want none")
	}
}

// Loads reported by another instance count until its next report, or until it
// is removed.
func TestReportedLoadsCount(t *testing.T) {
	targets := []site.Target{newEngine("d1", "tas-a", site.Decode), newEngine("d2", "tas-a", site.Decode)}
	other, scheduler := newScheduler(targets...), newScheduler(targets...)
	assignment, _ := other.AssignDecode("llm", newPrompt("x", 100_000), "tas-a", nil)
	scheduler.MergeReport("other", other.BuildReport(1))
	for range 3 {
		own, _ := scheduler.AssignDecode("llm", newPrompt("y", 1_000), "tas-a", nil)
		if own.Target.ID == assignment.Target.ID {
			t.Errorf("decode goes to %s, which the other instance filled", own.Target.ID)
		}
		scheduler.Release(&own)
	}
	if summary := scheduler.Summarize("llm"); summary.InFlight != 1 || summary.Decode != 2 {
		t.Errorf("Summarize() = %+v, want 1 request in flight and 2 decode engines", summary)
	}
	other.Release(&assignment)
	scheduler.MergeReport("other", other.BuildReport(1))
	if summary := scheduler.Summarize("llm"); summary.InFlight != 0 || summary.KVTokens != 0 {
		t.Errorf("Summarize() after the request ended = %+v, want no load", summary)
	}
	scheduler.MergeReport("other", place.LoadReport{Loads: []place.TargetLoad{{Target: "d1", InFlight: 5}}})
	scheduler.RemoveReport("other")
	if summary := scheduler.Summarize("llm"); summary.InFlight != 0 {
		t.Errorf("Summarize() after the instance was removed = %+v, want nothing in flight", summary)
	}
}

// Decode stays in the data centre of the prefill unless the engines there are
// full.
func TestDecodeStaysInDataCentreOfPrefill(t *testing.T) {
	scheduler := newScheduler(newEngine("d1", "tas-a", site.Decode), newEngine("d2", "tas-b", site.Decode))
	for range 3 {
		if assignment, _ := scheduler.AssignDecode("llm", newPrompt("x", 16_000), "tas-b", nil); assignment.Target.ID != "d2" {
			t.Fatalf("decode goes to %s, want d2", assignment.Target.ID)
		}
	}
	for range 40 {
		_, _ = scheduler.AssignDecode("llm", newPrompt("x", 16_000), "tas-b", nil)
	}
	if summary := scheduler.Summarize("llm"); summary.KVTokens > 2*470_000 {
		t.Errorf("%d tokens in two engines, want at most %d", summary.KVTokens, 2*470_000)
	}
	if assignment, _ := scheduler.AssignDecode("llm", newPrompt("x", 16_000), "tas-b", []string{"d2"}); assignment.Target.ID != "d1" {
		t.Errorf("decode without d2 goes to %s, want d1", assignment.Target.ID)
	}
}

// A target that restarts under the same ID has an empty cache and no load.
func TestRestartedEngineHasEmptyCache(t *testing.T) {
	target := newEngine("p1", "tas-a", site.Prefill)
	scheduler := newScheduler(target)
	first := mustBegin(t, scheduler, newPrompt("x", 16_000))
	target.Started = time.UnixMilli(1_771_142_700_020)
	scheduler.SetTargets([]site.Target{target}, services)
	second := mustBegin(t, scheduler, newPrompt("x", 16_000))
	if second.CachedTokens != 0 || second.WaitMS != 0 {
		t.Errorf("after the restart %d tokens are cached and %.0f ms of work queued, want 0 and 0", second.CachedTokens, second.WaitMS)
	}
	scheduler.EndPrefill(&first, true)
}

// A burst of calls to a plain service is spread by free slots.
func TestCallsSpreadByFreeSlots(t *testing.T) {
	target := func(id string, slots int) site.Target {
		return site.Target{ID: id, Service: "desk", Address: "10.0.0.1:1", DataCenter: "tas-a", Slots: slots}
	}
	scheduler := newScheduler(target("s1", 6), target("s2", 2))
	used := map[string]int{}
	for range 8 {
		assignment, _, _ := scheduler.AssignCall("desk", nil)
		used[assignment.Target.ID]++
	}
	if used["s1"] != 6 || used["s2"] != 2 {
		t.Errorf("8 calls on 8 slots went to %v, want 6 to s1 and 2 to s2", used)
	}
	if _, callsPerSlot, _ := scheduler.AssignCall("desk", nil); callsPerSlot < 1 {
		t.Errorf("%.2f calls per slot on full targets, want 1 or more", callsPerSlot)
	}
}

// The round trip to an engine takes the same time for all prompts. If it counted
// as slowness of the engine, large prompts would be expected to take twice as
// long as they do.
func TestRoundTripDoesNotCountAsSlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := newScheduler(newEngine("p1", "tas-a", site.Prefill))
		before := mustBegin(t, scheduler, newPrompt("large", 16_000))
		scheduler.EndPrefill(&before, false)
		for i := range 40 {
			small := mustBegin(t, scheduler, newPrompt(fmt.Sprint(i), 1_100))
			time.Sleep(60 * time.Millisecond) // 22 ms of work and the round trip
			scheduler.EndPrefill(&small, true)
		}
		after := mustBegin(t, scheduler, newPrompt("larger", 16_000))
		if after.WorkMS > 1.2*before.WorkMS {
			t.Errorf("expected work of a large prompt is %.0f ms after small ones, want at most 1.2 times the %.0f ms before", after.WorkMS, before.WorkMS)
		}
	})
}

// Instances in other data centres report every few seconds, but a prefill takes
// less than one. Reported work has to decay as the engines complete it.
func TestReportedLoadDecays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := []site.Target{newEngine("p1", "tas-a", site.Prefill), newEngine("d1", "tas-a", site.Decode)}
		other, scheduler := newScheduler(targets...), newScheduler(targets...)
		prefill := mustBegin(t, other, newPrompt("x", 16_000))
		_, _ = other.AssignDecode("llm", newPrompt("x", 16_000), "tas-a", nil)
		scheduler.MergeReport("other", other.BuildReport(1))
		waitMS := func() float64 {
			scheduler.BuildReport(1) // as with each heartbeat
			prefill, _ := scheduler.ChoosePrefill("llm", newPrompt("y", 1_000), 3, nil)
			return prefill.WaitMS
		}
		if got := waitMS(); got < prefill.WorkMS-1 {
			t.Errorf("wait at once = %.0f ms, want %.0f ms", got, prefill.WorkMS)
		}
		time.Sleep(250*time.Millisecond + time.Duration(prefill.WorkMS/2*float64(time.Millisecond)))
		if got := waitMS(); got < 0.4*prefill.WorkMS || got > 0.6*prefill.WorkMS {
			t.Errorf("wait after half of the work = %.0f ms, want about half of %.0f ms", got, prefill.WorkMS)
		}
		time.Sleep(5 * time.Second)
		if got := waitMS(); got > 0 {
			t.Errorf("wait after 5 s = %.0f ms, want 0", got)
		}
		if summary := scheduler.Summarize("llm"); summary.InFlight != 0 || summary.KVTokens != 0 {
			t.Errorf("Summarize() after 5 s = %+v, want no decode load", summary)
		}
		scheduler.MergeReport("other", other.BuildReport(1))
		if summary := scheduler.Summarize("llm"); summary.InFlight != 1 {
			t.Errorf("Summarize() after another report = %+v, want 1 request in flight", summary)
		}
	})
}

// An engine that changes its stage refuses requests for as long as others run
// there. Seventy instances that ask it again each half second fill their retry
// budgets with it, so that they ask less and less often.
func TestRefusingEngineIsAskedLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := newScheduler(newEngine("d1", "tas-a", site.Decode))
		refusals := 0
		for range 1_000 {
			if assignment, ok := scheduler.AssignDecode("llm", newPrompt("x", 1_000), "tas-a", nil); ok {
				scheduler.Release(&assignment)
				scheduler.MarkRefused("d1")
				scheduler.MarkRefused("d1") // another one that was under way
				refusals++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if refusals < 5 || refusals > 7 {
			t.Errorf("%d requests went to a refusing engine in 10 s, want 5 to 7", refusals)
		}
		scheduler.MarkAccepted("d1")
		time.Sleep(2 * time.Second)
		scheduler.MarkRefused("d1")
		time.Sleep(600 * time.Millisecond)
		if _, ok := scheduler.AssignDecode("llm", newPrompt("x", 1_000), "tas-a", nil); !ok {
			t.Error("no request goes to the engine 600 ms after its first refusal in a row, want one")
		}
	})
}

// Guards against a panic in a request whose prompt is prefilled while a manifest
// removes the engine's service.
func TestServiceIsRemovedDuringPrefill(t *testing.T) {
	engine := newEngine("p1", "tas-a", site.Prefill)
	scheduler := newScheduler(engine)
	prefill := mustBegin(t, scheduler, newPrompt("dossier", 16_000))
	scheduler.SetTargets([]site.Target{engine}, map[string]site.Service{})
	scheduler.EndPrefill(&prefill, true)
	if _, ok := scheduler.ChoosePrefill("llm", newPrompt("dossier", 16_000), 0, nil); ok {
		t.Error("ChoosePrefill() found an engine of a service that the manifest does not list")
	}
}

// Guards against load that is missing after a target was restarted, or was missing
// from the target list for a moment: requests from before must not be subtracted
// from those that began afterwards.
func TestLoadFromBeforeRestartIsReleasedOnce(t *testing.T) {
	engine := newEngine("d1", "tas-a", site.Decode)
	scheduler := newScheduler(engine)
	before, _ := scheduler.AssignDecode("llm", newPrompt("dossier", 16_000), "tas-a", nil)
	engine.Started = engine.Started.Add(time.Hour)
	scheduler.SetTargets([]site.Target{engine}, services)
	if _, ok := scheduler.AssignDecode("llm", newPrompt("dossier", 16_000), "tas-a", nil); !ok {
		t.Fatal("AssignDecode() found no engine")
	}
	scheduler.Release(&before)
	report := scheduler.BuildReport(1)
	if len(report.Loads) != 1 || report.Loads[0].InFlight != 1 {
		t.Errorf("loads = %+v, want one request in flight at d1", report.Loads)
	}
}

// Guards against prefill work that is missing after an engine was restarted, and
// against cached parts of the engine before the restart.
func TestPrefillFromBeforeRestartIsEndedOnce(t *testing.T) {
	engine := newEngine("p1", "tas-a", site.Prefill)
	scheduler := newScheduler(engine)
	before := mustBegin(t, scheduler, newPrompt("before", 16_000))
	engine.Started = engine.Started.Add(time.Hour)
	scheduler.SetTargets([]site.Target{engine}, services)
	after := mustBegin(t, scheduler, newPrompt("after", 8_000))
	scheduler.EndPrefill(&before, true)
	next, _ := scheduler.ChoosePrefill("llm", newPrompt("before", 16_000), 0, nil)
	if next.WaitMS != after.WorkMS || next.CachedTokens != 0 {
		t.Errorf("ChoosePrefill() = wait of %.0f ms and %d tokens cached, want %.0f ms and 0", next.WaitMS, next.CachedTokens, after.WorkMS)
	}
}
