package follower

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, unless one is given, so that each CI run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}
