package edgeserver_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/platform/platformtest"
)

// limitWindow is the time over which the users count the requests of an endpoint that
// names a limit.
const limitWindow = 4 * time.Second

// mostAllowed returns the number of requests that an endpoint with a limit, in requests a
// second, may get within limitWindow.
func mostAllowed(limit float64) float64 { return 1.5*limit*limitWindow.Seconds() + 5 }

// mostIn returns the largest number of executions that began within the window.
func mostIn(window time.Duration, executions []platformtest.Execution) int {
	most, first := 0, 0
	for i, e := range executions {
		for e.StartedAt.Sub(executions[first].StartedAt) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestRequestLimitOfEndpointHoldsOverAllGateways guards against gateways that ignore an
// endpoint's limit, or each keep it for themselves.
func TestRequestLimitOfEndpointHoldsOverAllGateways(t *testing.T) {
	t.Parallel()
	const limit = 2
	s := newSystem(t)
	e := s.startEndpoint("i-n", "app", "north-a")
	s.setRoute("/q/", "app")
	for i := range 4 {
		s.startGateway(fmt.Sprint("n", i), "north-a")
	}
	for _, g := range s.gateways {
		s.eventually(startupLimit, "serves", func() bool { return g.ready() && g.call("/q/x") == http.StatusOK })
	}
	e.SetRequestLimit(limit)
	for _, g := range s.gateways {
		g.call("/q/x")
	}
	time.Sleep(500 * time.Millisecond)
	before := len(e.Executions())
	end := time.Now().Add(limitWindow + time.Second)
	var calls sync.WaitGroup
	for _, g := range s.gateways {
		calls.Go(func() {
			for time.Now().Before(end) {
				assert.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, g.call("/q/x"))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	calls.Wait()
	sent := e.Executions()[before:]
	require.NotEmpty(t, sent, "the endpoint gets what it takes")
	require.LessOrEqual(t, float64(mostIn(limitWindow, sent)), mostAllowed(limit))

	e.SetRequestLimit(0)
	for _, g := range s.gateways {
		s.eventually(startupLimit, "all requests are served once there is no limit", func() bool {
			for range 10 {
				if g.call("/q/x") != http.StatusOK {
					return false
				}
			}
			return true
		})
	}
}
