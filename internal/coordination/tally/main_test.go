package tally_test

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flags
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "5000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
