package config_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of property tests to 1, so that CI results are
// reproducible. Pass -rapid.seed to use another seed.
func TestMain(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
