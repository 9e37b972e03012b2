package quota

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks of the property tests, so that every
// run gives the same result. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
