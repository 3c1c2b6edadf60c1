package shape_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed so that property tests are reproducible.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
