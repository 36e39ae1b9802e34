package edgeserver_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// TestEndpointPaceIsSwitchedOn checks, with a gateway on real sockets, that an endpoint that
// has started again gets a window and proves itself by the requests that it serves. The
// counters are used by no other test of the package, whose gateways have the pace off.
func TestEndpointPaceIsSwitchedOn(t *testing.T) {
	t.Parallel()
	before := make(map[string]int64)
	for _, c := range telemetry.Counters() {
		before[c.Name] = c.Value()
	}
	counter := func(name string) int64 {
		for _, c := range telemetry.Counters() {
			if c.Name == name {
				return c.Value() - before[name]
			}
		}
		return -1
	}
	s := newSystem(t)
	s.endpointPace = true
	s.startEndpoint("i-1", "app", "north-a")
	s.setRoute("/q/", "app")
	g := s.startGateway("n0", "north-a")
	s.eventually(startupLimit, "serves", func() bool { return g.ready() && g.call("/q/x") == http.StatusOK })
	require.Zero(t, counter("pace_windows"), "the endpoints that a gateway finds at its start")
	s.startEndpoint("i-1", "app", "north-a")
	s.eventually(4*startupLimit, "begins a window", func() bool { return g.call("/q/x") == http.StatusOK && counter("pace_windows") > 0 })
	s.eventually(4*startupLimit, "proves itself", func() bool { return g.call("/q/x") == http.StatusOK && counter("pace_proved") > 0 })
	require.Equal(t, int64(1), counter("pace_windows"))
	require.Zero(t, counter("pace_refused"))
}
