package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/endpointload"
)

// TestBusyRegionSpills guards against a region that fills its engines up while those of
// another region are idle, and against one that goes on sending requests there after the
// other region is lost.
func TestBusyRegionSpills(t *testing.T) {
	f := &fakeGrants{respond: func(_ string, req grants.Request) (grants.Response, error) {
		return grants.Response{Endpoint: req.OnlyEndpoint, EstimateMillis: 5}, nil
	}}
	c, endpoints := newLargeNorth(t, f)
	for i := range 8 {
		c.startEndpoint(fmt.Sprintf("s%d", i), "south-a")
	}
	north, south := c.regions["north"], c.regions["south"]
	// play sends requests of sessions of their own and returns how many the south served.
	play := func() int {
		before := requestsSpilled.Value()
		for i := range 60 {
			header := map[string]string{headerPrompt: "1000", headerID: fmt.Sprintf("spill-%d", i)}
			require.Equal(t, http.StatusOK, north.call(http.MethodPost, "/q/", "x", header).status)
		}
		return int(requestsSpilled.Value() - before)
	}
	require.Zero(t, play(), "the region is idle")
	for _, e := range endpoints {
		req := north.edge.Loads.Begin(e.id, 0, endpointload.Job{Service: "s", PromptTokens: 60_000}, time.Now())
		req.RecordFirstOutput(time.Now())
		defer req.End(endpointload.Succeeded, time.Now())
	}
	require.Positive(t, play())
	north.edge.RegionSpill = false
	require.Zero(t, play(), "the setting is off")
	north.edge.RegionSpill = true
	south.peerServer.Close()
	for range 3 {
		_ = north.callModel()
	}
	require.Equal(t, http.StatusOK, north.callModel().status, "the region serves its requests itself")
}
