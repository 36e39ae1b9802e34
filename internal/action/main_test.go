package action_test

import (
	"flag"
	"os"
	"testing"
)

// histories is the number of random histories unless -rapid.checks is given.
const histories = "400"

// TestMain fixes rapid's seed, so that CI is the same every run; a seed given
// by -rapid.seed takes its place.
func TestMain(m *testing.M) {
	given := map[string]bool{}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	if !given["rapid.seed"] {
		_ = flag.Set("rapid.seed", "1")
	}
	if !given["rapid.checks"] {
		_ = flag.Set("rapid.checks", histories)
	}
	os.Exit(m.Run())
}
