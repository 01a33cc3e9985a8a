package reducer

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a default seed and size for the property tests, so that test runs are
// reproducible. Use -rapid.seed=N, -rapid.checks and -rapid.steps to override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "150", "rapid.steps": "150",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
