package experiment_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/standin/experiment"
)

func runSmall(t *testing.T, seed uint64) (string, []experiment.Figures) {
	t.Helper()
	fs := experiment.Run(experiment.Options{
		Deployments: []string{"tuul"}, Scenarios: []string{"failing"}, Policies: []string{"ours", "all-seeing"},
		Gateways: []int{8}, Seed: seed, Parallel: 2,
	})
	var out bytes.Buffer
	require.NoError(t, experiment.WriteCSV(&out, fs))
	return out.String(), fs
}

func TestSameSeedSameFigures(t *testing.T) {
	first, fs := runSmall(t, 1)
	second, _ := runSmall(t, 1)
	require.Equal(t, first, second)
	require.Len(t, fs, 2)
	for _, f := range fs {
		require.Zero(t, f.OwnInversions, f.Policy)
		require.Greater(t, f.Good, 0.95, f.Policy)
	}
}
