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
		require.LessOrEqual(t, limit*3/2, runtimeLimit, "the account and the garbage between two collections")
		require.LessOrEqual(t, runtimeLimit, machine-baseBytes)
		a := NewAccount(limit)
		for range 8 {
			require.NoError(t, open(t, a, Body, 4*mb).Complete())
		}
	}
	require.Zero(t, Limit(0))
	require.Zero(t, RuntimeLimit(0))
	for _, tiny := range []int64{mb, 16 * mb, 79 * mb, 80 * mb} {
		require.GreaterOrEqual(t, Limit(tiny), tiny/4)
		require.GreaterOrEqual(t, RuntimeLimit(tiny), tiny/2)
		require.Less(t, RuntimeLimit(tiny), tiny)
	}
}
