package place_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
)

// A busy engine that keeps the shared part of a prompt is a source for the
// others, which read only the rest.
func TestReadersFetchWhatOthersKeep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := []site.Target{engine("p1", "tas-a", site.Prefill), engine("p2", "tas-a", site.Prefill)}
		targets[0].Address, targets[1].Address = "10.0.0.1:1", "10.0.0.2:1"
		book := newBook(targets...)
		first := mustRead(t, book, prompt("dossier", 16_000))
		if first.Source != "" {
			t.Errorf("the first fetches from %q", first.Source)
		}
		book.ReadDone(&first, true)
		again, ok := read(book, "llm", prompt("dossier", 16_000), 0, []string{first.Target.ID})
		if !ok || again.Source != first.Target.Address || again.Cached != 0 || again.Fetch < 12_000 {
			t.Fatalf("%+v, want a fetch from %s", again, first.Target.Address)
		}
		if again.WorkMS > first.WorkMS/2 {
			t.Errorf("%.0f ms with a fetch, %.0f ms without", again.WorkMS, first.WorkMS)
		}
	})
}

// What an engine is still reading cannot be fetched from it.
func TestPartsUnderWayAreNoSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := newBook(engine("p1", "tas-a", site.Prefill), engine("p2", "tas-a", site.Prefill))
		other := newBook(engine("p1", "tas-a", site.Prefill), engine("p2", "tas-a", site.Prefill))
		first := mustRead(t, book, prompt("dossier", 16_000))
		except := []string{first.Target.ID}
		other.Merge("book", book.Export(1))
		if early, _ := read(book, "llm", prompt("dossier", 16_000), 0, except); early.Source != "" {
			t.Errorf("fetches from %q, which reads it", early.Source)
		}
		if early, _ := read(other, "llm", prompt("dossier", 16_000), 0, except); early.Source != "" {
			t.Errorf("the other instance fetches from %q, which reads it", early.Source)
		}
		time.Sleep(2 * time.Duration(first.ExpectedMS()*float64(time.Millisecond)))
		if late, _ := read(other, "llm", prompt("dossier", 16_000), 0, except); late.Source == "" && late.Cached == 0 {
			t.Errorf("%+v reads all of it again", late)
		}
	})
}

// Sources are engines that answer, the nearest first.
func TestSourcesAreNearAndReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := []site.Target{
			engine("p1", "tas-a", site.Prefill), engine("p2", "tas-b", site.Prefill), engine("p3", "tas-b", site.Prefill),
		}
		for i := range targets {
			targets[i].Address = "10.0.0." + string(rune('1'+i)) + ":1"
		}
		book := newBook(targets...)
		for _, except := range [][]string{{"p2", "p3"}, {"p1", "p3"}} {
			reading, _ := read(book, "llm", prompt("dossier", 16_000), 0, except)
			book.ReadDone(&reading, true)
		}
		third := func() string {
			reading, _ := read(book, "llm", prompt("dossier", 16_000), 0, []string{"p1", "p2"})
			book.ReadDone(&reading, false)
			return reading.Source
		}
		fresh := func() { // p3 restarts and keeps nothing
			targets[2].Started = targets[2].Started.Add(time.Hour)
			book.SetTargets(targets, services)
		}
		if got := third(); got != targets[1].Address {
			t.Errorf("fetches from %q, not from its own data centre", got)
		}
		fresh()
		book.Unreachable("p2")
		if got := third(); got != targets[0].Address {
			t.Errorf("fetches from %q while p2 does not answer", got)
		}
		fresh()
		book.Unreachable("p1")
		if got := third(); got != "" {
			t.Errorf("fetches from %q while neither answers", got)
		}
	})
}

// A prompt that is refused after the choice of an engine is not read there:
// nobody is told so, and nobody fetches it from there.
func TestChoiceAloneLeavesNoTrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := newBook(engine("p1", "tas-a", site.Prefill), engine("p2", "tas-a", site.Prefill))
		for range 3 {
			if choice, ok := book.Choose("llm", prompt("dossier", 16_000), 0, nil); !ok || choice.Cached != 0 || choice.AheadMS != 0 {
				t.Fatalf("%+v", choice)
			}
			time.Sleep(time.Second)
		}
		if share := book.Export(1); len(share.Reads) != 0 || len(share.Loads) != 0 {
			t.Errorf("the others are told %+v", share)
		}
	})
}

// Instances in other data centres of a large site get few of the shares, but
// are told of all readings since the last one.
func TestSharesForFewTellOfAllReadings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := []site.Target{engine("p1", "tas-a", site.Prefill), engine("p2", "tas-a", site.Prefill)}
		targets[0].Address, targets[1].Address = "10.0.0.1:1", "10.0.0.2:1"
		book, near, far := newBook(targets...), newBook(targets...), newBook(targets...)
		where := map[string]string{}
		const rounds = 13
		for i := range rounds {
			name := fmt.Sprint(i)
			reading := mustRead(t, book, prompt(name, 16_000))
			book.ReadDone(&reading, true)
			where[name] = reading.Target.ID
			near.Merge("book", book.Export(1))
			if i == rounds-1 {
				far.Merge("book", book.Export(rounds))
			}
			book.EndRound()
		}
		time.Sleep(time.Second)
		for name, target := range where {
			for who, other := range map[string]*place.Book{"near": near, "far": far} {
				choice, ok := other.Choose("llm", prompt(name, 16_000), 0, []string{target})
				if !ok || choice.Fetch < 12_000 {
					t.Errorf("%s: prompt %s is read again: %+v", who, name, choice)
				}
			}
		}
		if again := book.Export(1); len(again.Reads) != 0 {
			t.Errorf("%d readings are told twice", len(again.Reads))
		}
		for range 40 {
			book.EndRound()
		}
		if again := book.Export(40); len(again.Reads) != 0 {
			t.Errorf("%d readings are kept for ever", len(again.Reads))
		}
	})
}
