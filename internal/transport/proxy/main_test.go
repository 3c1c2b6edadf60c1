package proxy_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes the property tests reproducible: it sets the default seed and
// number of checks. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
