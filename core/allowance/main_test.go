package allowance_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the generated schedules, so that the tests are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
