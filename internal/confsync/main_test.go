package confsync

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, so that CI runs are reproducible.
// Use -rapid.seed for other seeds.
func TestMain(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
