package experiment_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/standin/experiment"
)

func runSmall(t *testing.T, seed uint64) (string, []experiment.Result) {
	t.Helper()
	results := experiment.Run(experiment.Options{
		Deployments: []string{"tuul"}, Scenarios: []string{"failing"}, Policies: []string{"ours", "all-seeing"},
		Gateways: []int{8}, Seed: seed, Parallel: 2,
	})
	var out bytes.Buffer
	require.NoError(t, experiment.WriteCSV(&out, results))
	return out.String(), results
}

// Guards against nondeterminism in the simulation, such as map iteration order.
func TestSameSeedGivesSameResults(t *testing.T) {
	first, results := runSmall(t, 1)
	second, _ := runSmall(t, 1)
	require.Equal(t, first, second)
	require.Len(t, results, 2)
	for _, r := range results {
		require.Zero(t, r.SameQueueInversions, r.Policy)
		require.Greater(t, r.InTimeShare, 0.95, r.Policy)
	}
}
