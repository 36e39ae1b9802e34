// Package rapidseed runs a package's property-based tests with a fixed seed, so
// that every run in CI checks the same random cases and gets the same result.
package rapidseed

import (
	"flag"
	"testing"
)

// Seed is the seed unless -rapid.seed is given; -rapid.seed=0 draws a random one.
const Seed = "1"

// Run runs the tests of m and returns the exit code. checks is the number of
// random cases of each property unless -rapid.checks is given; "" leaves the
// default of the rapid library.
func Run(m *testing.M, checks string) int {
	isSet := map[string]bool{}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { isSet[f.Name] = true })
	defaults := map[string]string{"rapid.seed": Seed, "rapid.nofailfile": "true", "rapid.checks": checks}
	for name, value := range defaults {
		if !isSet[name] && value != "" {
			_ = flag.Set(name, value)
		}
	}
	return m.Run()
}
