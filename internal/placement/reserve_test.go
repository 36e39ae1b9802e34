package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReserve guards against accounts whose priority lets the least urgent routes take the
// room of the most urgent ones, and against any change where accounts have no priority.
func TestReserve(t *testing.T) {
	for priority, want := range map[int]float64{-1: 0, 0: 0, 1: 0.15, 2: 0.3, 5: 0.3} {
		require.InDelta(t, want, Request{Priority: priority, RoutePriority: 7}.reserve(), 1e-9)
	}
	account := func(priority, route int) float64 {
		return Request{Priority: priority, RoutePriority: route, HasAccountPriority: true}.reserve()
	}
	require.Less(t, account(2, 0), account(0, 1), "an urgent route of any account goes first")
	require.Less(t, account(0, 1), account(1, 1), "accounts are ordered within a route")
	require.InDelta(t, account(2, 2), account(9, 9), 1e-9)
}

// TestLessUrgentRouteOfFavouredAccountIsRefusedFirst plays an engine that is nearly as
// utilized as it may be, where a long prompt of the account of the highest priority
// competes with short ones of others.
func TestLessUrgentRouteOfFavouredAccountIsRefusedFirst(t *testing.T) {
	engine := []Candidate{{ID: "e", Slots: 32, Running: 10, PrefillUtilization: 0.75, PrefillTimePerToken: 10_000}}
	long := Request{PromptTokens: 12_000, RoutePriority: 2, HasAccountPriority: true, TimeToObjective: 1500e6, TimeToDeadline: 12e9}
	short := Request{PromptTokens: 2_400, Priority: 2, HasAccountPriority: true, TimeToObjective: 500e6, TimeToDeadline: 3e9}
	require.Equal(t, Refuse, Decide(long, engine).Kind)
	require.Equal(t, Serve, Decide(short, engine).Kind)
	for _, r := range []*Request{&long, &short} {
		r.StaleView, r.HashFraction = true, 0.5
	}
	require.Equal(t, Refuse, Decide(long, engine).Kind)
	require.Equal(t, Serve, Decide(short, engine).Kind)
}
