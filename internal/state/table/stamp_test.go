package table_test

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/state/table"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// The changes of a row arrive in any order and more than once, over restores of the store
// that give versions out again. Keeping the latest stamp must lead to the last change.
func TestLatestStampIsThatOfLastChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []table.Stamp
		stamp := table.Stamp{Era: 1}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			if rapid.Bool().Draw(t, "restore") {
				stamp = table.Stamp{Era: stamp.Era + 1, Version: rapid.Uint64Range(0, stamp.Version).Draw(t, "copy")}
			}
			stamp.Version += rapid.Uint64Range(1, 5).Draw(t, "step")
			history = append(history, stamp)
		}
		arrivals := rapid.Permutation(append(history, history...)).Draw(t, "arrivals")
		var latest table.Stamp
		for _, arrived := range arrivals {
			if arrived.After(latest) {
				latest = arrived
			}
		}
		if latest != stamp {
			t.Errorf("latest of %v = %v, want %v", arrivals, latest, stamp)
		}
	})
}
