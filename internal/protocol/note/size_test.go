package note_test

import (
	"fmt"
	"runtime"
	"testing"

	"mangopier.example/mangopier/internal/protocol/note"
)

// BenchmarkCatalog measures the time of Apply and the size of a catalog, encoded
// and on the heap, with 2 keys and about 2.5 targets per team.
func BenchmarkCatalog(b *testing.B) {
	for _, teams := range []int{470, 1570, 4700} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			catalog := buildCatalog(b, teams)
			runtime.GC()
			runtime.ReadMemStats(&after)
			data, err := catalog.Encode()
			if err != nil {
				b.Fatal(err)
			}
			number := catalog.Number
			for b.Loop() {
				next, err := catalog.Apply(&note.Note{ParentNumber: catalog.Number, Teams: note.Change[note.Team]{Set: []note.Team{{Name: "team-0"}}}})
				if err != nil || next.Number != number+1 {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "encoded-B")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
		})
	}
}

func buildCatalog(b *testing.B, teams int) *note.Catalog {
	b.Helper()
	first := &note.Note{
		DataCenters: note.Change[note.DataCenter]{Set: []note.DataCenter{{Name: "dc"}}},
		Models:      note.Change[note.Model]{Set: []note.Model{{Name: "model", Version: "v1"}}},
	}
	for i := range teams {
		team := fmt.Sprintf("team-%d", i)
		first.Teams.Set = append(first.Teams.Set, note.Team{Name: team, Weight: 1})
		for key := range 2 {
			first.Keys.Set = append(first.Keys.Set, note.Key{Digest: note.KeyDigest(fmt.Sprint(team, key)), Team: team})
		}
	}
	for i := range teams * 12000 / 4700 {
		first.Targets.Set = append(first.Targets.Set, note.Target{
			ID: fmt.Sprintf("runner-%d", i), Address: "10.0.0.1:8000", DataCenter: "dc", Kind: note.KindEngine, Models: []string{"model"},
		})
	}
	catalog, err := note.EmptyCatalog().Apply(first)
	if err != nil {
		b.Fatal(err)
	}
	return catalog
}
