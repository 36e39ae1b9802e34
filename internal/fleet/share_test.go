package fleet_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/fleet"
)

func gatewaysOf(millicores ...int) []fleet.Gateway {
	out := make([]fleet.Gateway, len(millicores))
	for i, m := range millicores {
		out[i] = fleet.Gateway{ID: strconv.Itoa(i), Millicores: m}
	}
	return out
}

// TestSharesFollowProcessors guards against small machines that fall behind since they get as
// much as large ones.
func TestSharesFollowProcessors(t *testing.T) {
	require.Equal(t, []int{4, 4, 1, 1}, fleet.Shares(gatewaysOf(800, 800, 192, 192), 64))
	require.Equal(t, []int{1, 1, 1}, fleet.Shares(gatewaysOf(400, 400, 400), 64))
	require.Equal(t, []int{1, 1}, fleet.Shares(gatewaysOf(0, 0), 64), "unknown capacities")
	require.Equal(t, []int{1, 4, 1}, fleet.Shares(gatewaysOf(0, 800, 200), 64), "one unknown capacity")
}

func TestSharesFitTheirSum(t *testing.T) {
	shares := fleet.Shares(append(gatewaysOf(8000, 4000), gatewaysOf(make([]int, 38)...)...), 64)
	sum := 0
	for _, s := range shares {
		require.Positive(t, s)
		sum += s
	}
	require.LessOrEqual(t, sum, 64)
	require.Greater(t, shares[0], shares[1])
}

// TestTurnsFollowProcessors guards against forwards that are spread evenly over unequal machines.
func TestTurnsFollowProcessors(t *testing.T) {
	var statuses []fleet.GatewayStatus
	for _, g := range gatewaysOf(800, 192, 192, 800) {
		statuses = append(statuses, fleet.GatewayStatus{Gateway: g, Ready: g.ID != "3"})
	}
	turns := map[string]int{}
	for n := range uint64(600) {
		g, ok := fleet.ReadyInTurn(statuses, n)
		require.True(t, ok)
		turns[g.ID]++
	}
	require.InDelta(t, 400, turns["0"], 6)
	require.InDelta(t, 100, turns["1"], 6)
	require.InDelta(t, 100, turns["2"], 6)
	_, ok := fleet.ReadyInTurn(statuses[3:], 1)
	require.False(t, ok, "the only gateway isn't ready")
}
