package gateway

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests unless one is given, so that CI runs are repeatable.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}
