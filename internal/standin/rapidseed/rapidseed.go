// Package rapidseed runs a package's tests with a fixed seed for their random
// histories, so that CI reaches the same verdict every time.
package rapidseed

import (
	"flag"
	"testing"
)

// Seed is the seed unless -rapid.seed is given; -rapid.seed=0 takes a free one.
const Seed = "1"

// Run runs the tests of m and returns the exit code. checks is the number of
// random cases of each property unless -rapid.checks is given; "" leaves the
// library's.
func Run(m *testing.M, checks string) int {
	given := map[string]bool{}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	preset := map[string]string{"rapid.seed": Seed, "rapid.nofailfile": "true", "rapid.checks": checks}
	for name, value := range preset {
		if !given[name] && value != "" {
			_ = flag.Set(name, value)
		}
	}
	return m.Run()
}
