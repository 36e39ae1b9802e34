package memory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLimitsOfMachines guards against limits of the account and of the Go runtime that don't
// fit into a machine together, or that refuse a few of the largest bodies of the examples, 4 MB.
func TestLimitsOfMachines(t *testing.T) {
	for _, machine := range []int64{144 * mb, 284 * mb, 536 * mb, 64 << 30} {
		limit, runtimeLimit := Limit(machine), RuntimeLimit(machine)
		require.Less(t, limit, runtimeLimit)
		require.LessOrEqual(t, runtimeLimit, machine-minRuntimeReserve)
		a := NewAccount(limit)
		for range 8 {
			require.NoError(t, open(t, a, Body, 4*mb).Complete())
		}
	}
	require.Zero(t, Limit(0))
	require.Zero(t, RuntimeLimit(0))
	require.Equal(t, Limit(16*mb), RuntimeLimit(16*mb))
}
