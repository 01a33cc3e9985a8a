package reducer

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the size of the property tests, so that every run
// gives the same verdict; -rapid.seed=N, -rapid.checks and -rapid.steps explore
// further.
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
