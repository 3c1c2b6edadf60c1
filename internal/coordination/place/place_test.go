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
	"llm":  {Name: "llm", Engine: &site.Engine{Slots: 64, Memory: 470_000, TokenBytes: 163_840, LinkMbps: 1_600_000}},
	"desk": {Name: "desk"},
}

func newBook(targets ...site.Target) *place.Book {
	book := place.New(place.WithDataCenter("tas-a"), place.WithSource(rand.NewPCG(1, 2)))
	book.SetTargets(targets, services)
	return book
}

func engine(id, center string, stage site.Stage) site.Target {
	return site.Target{ID: id, Service: "llm", Address: "10.0.0.1:1", DataCenter: center, Slots: 64, Stage: stage}
}

func prompt(shared string, tokens int) *site.Prompt {
	return &site.Prompt{Model: "m", Tokens: tokens, MaxOutput: 100, Parts: []site.Part{
		{ID: shared, Tokens: tokens * 3 / 4}, {ID: "own-" + shared, Tokens: tokens / 4},
	}}
}

// read chooses an engine for a prompt and begins to read it there.
func read(book *place.Book, service string, prompt *site.Prompt, urgency int, except []string) (place.Reading, bool) {
	reading, ok := book.Choose(service, prompt, urgency, except)
	if ok {
		book.Begin(&reading)
	}
	return reading, ok
}

func mustRead(t *testing.T, book *place.Book, prompt *site.Prompt) place.Reading {
	t.Helper()
	reading, ok := read(book, "llm", prompt, 0, nil)
	if !ok {
		t.Fatal("no engine to read")
	}
	return reading
}

// Pattern: swimmers ask again and again about the same dossier. Its shared
// part is read by the engine that keeps it.
func TestPromptGoesWhereItsSharedPartIsKept(t *testing.T) {
	book := newBook(engine("p1", "tas-a", site.Prefill), engine("p2", "tas-a", site.Prefill), engine("p3", "tas-b", site.Prefill))
	first := mustRead(t, book, prompt("dossier", 16_000))
	book.ReadDone(&first, false)
	for i := range 5 {
		again := mustRead(t, book, prompt("dossier", 16_000))
		if again.Target.ID != first.Target.ID || again.Cached == 0 || again.WorkMS >= first.WorkMS {
			t.Fatalf("time %d: %s with %d cached, first at %s", i, again.Target.ID, again.Cached, first.Target.ID)
		}
		book.ReadDone(&again, false)
	}
}

// Pattern: one dossier is asked for by everyone at once. When its engine is
// busy for longer than the prompt takes elsewhere, others read it too.
func TestHotPromptSpreads(t *testing.T) {
	book := newBook(engine("p1", "tas-a", site.Prefill), engine("p2", "tas-a", site.Prefill), engine("p3", "tas-b", site.Prefill))
	used := map[string]int{}
	for range 30 {
		reading := mustRead(t, book, prompt("hot", 16_000))
		used[reading.Target.ID]++
	}
	if len(used) < 3 {
		t.Errorf("30 at once went to %v", used)
	}
}

// Pattern: shift from long prompts to short ones. Short prompts keep off the
// engine that reads a long one.
func TestShortPromptsAvoidLongOnes(t *testing.T) {
	book := newBook(engine("p1", "tas-a", site.Prefill), engine("p2", "tas-a", site.Prefill))
	long, _ := read(book, "llm", prompt("long", 50_000), 2, nil)
	for i := range 4 {
		short, _ := read(book, "llm", prompt(fmt.Sprint(i), 1_200), 0, nil)
		if short.Target.ID == long.Target.ID {
			t.Errorf("short prompt %d goes to %s behind the long one", i, short.Target.ID)
		}
		book.ReadDone(&short, false)
	}
}

// Pattern: cheap engines of a data centre are reclaimed. Nothing new goes to
// engines that leave, change their stage or refuse connections.
func TestUnusableEnginesGetNothing(t *testing.T) {
	leaving := engine("p1", "tas-a", site.Prefill)
	leaving.Leaving = true
	book := newBook(leaving, engine("p2", "tas-a", site.Prefill), engine("p3", "tas-a", site.Prefill), engine("p4", "tas-a", site.Prefill))
	book.Changing("p2", time.Minute)
	book.Unreachable("p3")
	for range 10 {
		if reading := mustRead(t, book, prompt("x", 4_000)); reading.Target.ID != "p4" {
			t.Fatalf("goes to %s", reading.Target.ID)
		}
	}
	book.SetWeights(map[string]float64{"p4": 0})
	if _, ok := read(book, "llm", prompt("x", 4_000), 0, nil); ok {
		t.Error("an ejected engine is used")
	}
}

// The work that others tell of counts, and is forgotten with them.
func TestSharesOfOthersCount(t *testing.T) {
	targets := []site.Target{engine("d1", "tas-a", site.Decode), engine("d2", "tas-a", site.Decode)}
	other, book := newBook(targets...), newBook(targets...)
	run, _ := other.Generate("llm", prompt("x", 100_000), "tas-a", nil)
	book.Merge("other", other.Export(1))
	for range 3 {
		own, _ := book.Generate("llm", prompt("y", 1_000), "tas-a", nil)
		if own.Target.ID == run.Target.ID {
			t.Errorf("goes to %s, which the other filled", own.Target.ID)
		}
		book.Ended(&own)
	}
	if summary := book.Summarize("llm"); summary.Runs != 1 || summary.Decode != 2 {
		t.Errorf("summary %+v", summary)
	}
	other.Ended(&run)
	book.Merge("other", other.Export(1))
	if summary := book.Summarize("llm"); summary.Runs != 0 || summary.Tokens != 0 {
		t.Errorf("after the run ended: %+v", summary)
	}
	book.Merge("other", place.Share{Loads: []place.TargetLoad{{Target: "d1", Runs: 5}}})
	book.Forget("other")
	if summary := book.Summarize("llm"); summary.Runs != 0 {
		t.Errorf("after the other went quiet: %+v", summary)
	}
}

// A prompt stays in the data centre that read it, unless its engines are full.
func TestGenerationStaysInTheDataCentre(t *testing.T) {
	book := newBook(engine("d1", "tas-a", site.Decode), engine("d2", "tas-b", site.Decode))
	for range 3 {
		if run, _ := book.Generate("llm", prompt("x", 16_000), "tas-b", nil); run.Target.ID != "d2" {
			t.Fatalf("goes to %s", run.Target.ID)
		}
	}
	for range 40 {
		_, _ = book.Generate("llm", prompt("x", 16_000), "tas-b", nil)
	}
	if summary := book.Summarize("llm"); summary.Tokens > 2*470_000 {
		t.Errorf("%d tokens in two engines", summary.Tokens)
	}
	if run, _ := book.Generate("llm", prompt("x", 16_000), "tas-b", []string{"d2"}); run.Target.ID != "d1" {
		t.Errorf("with d2 left out: %s", run.Target.ID)
	}
}

// A target that starts anew under its name knows nothing of before.
func TestRestartedEngineIsNew(t *testing.T) {
	target := engine("p1", "tas-a", site.Prefill)
	book := newBook(target)
	first := mustRead(t, book, prompt("x", 16_000))
	target.Started = time.UnixMilli(1_771_142_700_020)
	book.SetTargets([]site.Target{target}, services)
	second := mustRead(t, book, prompt("x", 16_000))
	if second.Cached != 0 || second.AheadMS != 0 {
		t.Errorf("after the restart %d tokens cached, %.0f ms ahead", second.Cached, second.AheadMS)
	}
	book.ReadDone(&first, true)
}

// Pattern: a burst on a plain service spreads by free slots.
func TestCallsSpreadByFreeSlots(t *testing.T) {
	target := func(id string, slots int) site.Target {
		return site.Target{ID: id, Service: "desk", Address: "10.0.0.1:1", DataCenter: "tas-a", Slots: slots}
	}
	book := newBook(target("s1", 6), target("s2", 2))
	used := map[string]int{}
	for range 8 {
		run, _, _ := book.Call("desk", nil)
		used[run.Target.ID]++
	}
	if used["s1"] != 6 || used["s2"] != 2 {
		t.Errorf("8 calls on 8 slots: %v", used)
	}
	if _, crowd, _ := book.Call("desk", nil); crowd < 1 {
		t.Errorf("full targets show %.2f calls a slot", crowd)
	}
}

// The way to an engine and back is the same for all prompts. It must not make
// the engine look slow, or large prompts would be expected to take twice as
// long as they do.
func TestWayToAnEngineIsNoSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := newBook(engine("p1", "tas-a", site.Prefill))
		before := mustRead(t, book, prompt("large", 16_000))
		book.ReadDone(&before, false)
		for i := range 40 {
			small := mustRead(t, book, prompt(fmt.Sprint(i), 1_100))
			time.Sleep(60 * time.Millisecond) // 22 ms of work and the way
			book.ReadDone(&small, true)
		}
		after := mustRead(t, book, prompt("larger", 16_000))
		if after.WorkMS > 1.2*before.WorkMS {
			t.Errorf("a large prompt is expected to take %.0f ms after small ones, %.0f ms before", after.WorkMS, before.WorkMS)
		}
	})
}

// Pattern: instances of other data centres tell their load each few seconds,
// and prompts are read within one. What they told is done by then.
func TestLoadOfOthersIsDoneAfterAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := []site.Target{engine("p1", "tas-a", site.Prefill), engine("d1", "tas-a", site.Decode)}
		other, book := newBook(targets...), newBook(targets...)
		reading := mustRead(t, other, prompt("x", 16_000))
		_, _ = other.Generate("llm", prompt("x", 16_000), "tas-a", nil)
		book.Merge("other", other.Export(1))
		ahead := func() float64 {
			book.Export(1) // as with each heartbeat
			choice, _ := book.Choose("llm", prompt("y", 1_000), 3, nil)
			return choice.AheadMS
		}
		if got := ahead(); got < reading.WorkMS-1 {
			t.Errorf("%.0f of %.0f ms are ahead at once", got, reading.WorkMS)
		}
		time.Sleep(250*time.Millisecond + time.Duration(reading.WorkMS/2*float64(time.Millisecond)))
		if got := ahead(); got < 0.4*reading.WorkMS || got > 0.6*reading.WorkMS {
			t.Errorf("%.0f of %.0f ms are ahead after half of it", got, reading.WorkMS)
		}
		time.Sleep(5 * time.Second)
		if got := ahead(); got > 0 {
			t.Errorf("%.0f ms are ahead after 5 s", got)
		}
		if summary := book.Summarize("llm"); summary.Runs != 0 || summary.Tokens != 0 {
			t.Errorf("after 5 s %+v", summary)
		}
		book.Merge("other", other.Export(1))
		if summary := book.Summarize("llm"); summary.Runs != 1 {
			t.Errorf("told again, %+v", summary)
		}
	})
}
