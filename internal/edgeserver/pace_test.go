package edgeserver_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// TestEndpointPaceIsSwitchedOn checks, with two gateways on real sockets, that an endpoint
// that has started again gets a window and proves itself by the requests that it serves, of
// which the gateways tell each other. The counters are used by no other test of the package,
// whose gateways have the pace off.
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
	for _, id := range []string{"n0", "n1"} {
		g := s.startGateway(id, "north-a")
		s.eventually(startupLimit, "serves", func() bool { return g.ready() && g.call("/q/x") == http.StatusOK })
	}
	require.Zero(t, counter("pace_windows"), "the endpoints that a gateway finds at its start")
	s.startEndpoint("i-1", "app", "north-a")
	for _, name := range []string{"pace_windows", "pace_reports_received", "pace_proved"} {
		s.eventually(4*startupLimit, name, func() bool {
			return s.gateways["n0"].call("/q/x") == http.StatusOK && s.gateways["n1"].call("/q/x") == http.StatusOK && counter(name) > 0
		})
	}
	require.Zero(t, counter("pace_refused"))
}
