package mirror_test

import (
	"testing"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
	"mangopier.example/mangopier/internal/transport/mirror"
)

// After a restore of the store, mirrors may hold the table of before. Guards against
// reading it from one that is an era behind, or from an earlier build that does not tell
// its era; the latter serves as before while there was no restore.
func TestReadsOnlyMirrorsOfCurrentEra(t *testing.T) {
	tests := []struct {
		name      string
		storeEras []uint64 // of lists of the store, one after the other
		mirrorEra uint64
		wantEra   uint64 // of the list that follows while the store is down, 0 for an error
	}{
		{"same era", []uint64{2}, 2, 2},
		{"mirror has noticed a restore first", []uint64{2}, 3, 3},
		{"mirror is an era behind", []uint64{2}, 1, 0},
		{"earlier build, no restore seen", []uint64{2, 2}, 0, 2},
		{"earlier build, after a restore", []uint64{2, 3}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			mirrorServer, store := startMirror(t), &store{}
			mirrorServer.tee.Apply([]table.Change{{Key: "from-mirror", Version: 90, Era: test.mirrorEra}})
			source := mirror.NewSource("targets", store, mirror.NewClient(), func() (string, bool) { return mirrorServer.address, true })
			for _, store.era = range test.storeEras {
				if _, err := source.List(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			store.err = code.Errorf(code.StoreDown, "down")
			page, err := source.List(t.Context())
			switch {
			case test.wantEra == 0 && err == nil:
				t.Errorf("source.List() = %+v, want an error", page)
			case test.wantEra > 0 && (err != nil || page.Era != test.wantEra || page.Changes[0].Era != test.wantEra):
				t.Errorf("source.List() = %+v, %v, want page and row of era %d", page, err, test.wantEra)
			}
		})
	}
}

// A reader of a mirror learns of a restore with the first change of the new era.
func TestMirrorTellsEraOfItsTable(t *testing.T) {
	mirrorServer, store := startMirror(t), &store{}
	mirrorServer.tee.Apply([]table.Change{{Key: "a", Version: 90, Era: 1}})
	source := mirror.NewSource("targets", store, mirror.NewClient(), func() (string, bool) { return mirrorServer.address, false })
	page, err := source.List(t.Context())
	if err != nil || page.Era != 1 {
		t.Fatalf("source.List() = %+v, %v, want era 1", page, err)
	}
	mirrorServer.tee.Apply([]table.Change{{Key: "a", Version: 60, Era: 2}})
	page, err = source.Watch(t.Context(), page.TableVersion, 0)
	if err != nil || page.Era != 2 || page.Changes[0].Stamp() != (table.Stamp{Era: 2, Version: 60}) {
		t.Errorf("source.Watch() = %+v, %v, want the row at version 60 of era 2", page, err)
	}
}
