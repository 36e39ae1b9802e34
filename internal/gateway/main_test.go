package gateway

import (
	"flag"
	"os"
	"testing"
)

// cases is the number of random cases unless -rapid.checks is given.
const cases = "2000"

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
		_ = flag.Set("rapid.checks", cases)
	}
	os.Exit(m.Run())
}
