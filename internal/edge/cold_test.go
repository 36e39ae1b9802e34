package edge

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/placement"
	"github.com/hickorystage/hickorystage/internal/route"
)

const (
	// gatewaysInRegion is the number of gateways in the regions of these tests.
	gatewaysInRegion = 24
	// tolerableSenders is the number of gateways that the limit of a cold endpoint
	// reckons with.
	tolerableSenders = 3
)

// regionGateways returns the gateways of a region, which started at the given time and
// have heard nobody yet.
func regionGateways(t *testing.T, started time.Time) []*Edge {
	c := newCluster(t)
	var out []*Edge
	for i := range gatewaysInRegion {
		r := c.startGatewayAt(fmt.Sprintf("gw-%d", i), "north", started)
		out = append(out, r.edge)
	}
	return out
}

// hear lets the gateway receive the statuses of the others at the given time.
func hear(e *Edge, others []*Edge, seq uint64, now time.Time) {
	for _, o := range others {
		self := o.Gateways.Self()
		self.Incarnation = "1"
		e.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: self, Seq: seq, Ready: true}, now)
	}
}

// requireFewColdSenders checks for many cold endpoints that no more gateways send to
// one of them than its limit reckons with.
func requireFewColdSenders(t *testing.T, gateways []*Edge, now time.Time) {
	t.Helper()
	for i := range 50 {
		senders := 0
		for _, e := range gateways {
			if e.mayCoordinateCold(fmt.Sprint("cold", i), now) {
				senders++
			}
		}
		require.LessOrEqual(t, senders, tolerableSenders)
	}
}

func TestStartingGatewaysDontFloodColdEndpoint(t *testing.T) {
	started := time.Now()
	gateways := regionGateways(t, started)
	for i, e := range gateways {
		// By now each of them has heard two of the others.
		hear(e, []*Edge{gateways[(i+1)%gatewaysInRegion], gateways[(i+2)%gatewaysInRegion]}, 1, started.Add(400*time.Millisecond))
	}
	requireFewColdSenders(t, gateways, started.Add(500*time.Millisecond))
}

func TestLongDeafGatewaysDontFloodColdEndpoint(t *testing.T) {
	started := time.Now()
	gateways := regionGateways(t, started)
	heardAt := started.Add(10 * time.Second)
	for _, e := range gateways {
		hear(e, gateways, 1, heardAt)
	}
	requireFewColdSenders(t, gateways, heardAt.Add(time.Second))
	requireFewColdSenders(t, gateways, heardAt.Add(20*time.Second))
	requireFewColdSenders(t, gateways, heardAt.Add(10*time.Minute))
}

// TestConcurrentRequestsDontFloodColdEndpoint has many requests find the cold endpoint
// free before any of them is sent, as happens while they wait for coordinators.
func TestConcurrentRequestsDontFloodColdEndpoint(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	cold := c.startEndpoint("e1", "north-a")
	c.setEntry(fleet.Endpoint{
		ID: "e1", Sequence: 2, Service: "s", DataCentre: "north-a", Slots: 100,
		Address: strings.TrimPrefix(cold.server.URL, "http://"), ColdRemaining: time.Minute,
	})
	var all []placedRequest
	for i := range 20 {
		if p := c.regions["north"].place(t, fmt.Sprint("id-", i)); p.decision.Kind == placement.Serve {
			all = append(all, p)
		}
	}
	for _, p := range all {
		p.session.attempt(t.Context(), p.decision)
	}
	require.Equal(t, 3, requestCount(cold), "1 x 1 + 2 in a second")
}

// TestRetryBudgetHoldsWhileGatewaysHearFew lets every gateway of a region spend all that
// it may on retries, while none knows the others yet, and long after it heard them.
func TestRetryBudgetHoldsWhileGatewaysHearFew(t *testing.T) {
	const slack = 100
	spendAll := func(gateways []*Edge, now time.Time) int {
		retries := 0
		for _, e := range gateways {
			for e.trySpendRetry("s", now) {
				retries++
			}
		}
		return retries
	}
	started := time.Now()
	gateways := regionGateways(t, started)
	require.LessOrEqual(t, spendAll(gateways, started.Add(500*time.Millisecond)), slack)

	gateways = regionGateways(t, started)
	for _, e := range gateways {
		hear(e, gateways, 1, started.Add(10*time.Second))
	}
	require.LessOrEqual(t, spendAll(gateways, started.Add(30*time.Second)), slack)
	require.LessOrEqual(t, spendAll(gateways, started.Add(10*time.Minute)), slack)
}

// TestRetryBudgetHoldsInALongCut lets the gateways of two data centres spend all that they
// may on retries after they haven't heard each other for minutes.
func TestRetryBudgetHoldsInALongCut(t *testing.T) {
	const slack = 100
	started := time.Now()
	gateways := regionGateways(t, started)
	north, south := gateways[:gatewaysInRegion/2], gateways[gatewaysInRegion/2:]
	for _, e := range gateways {
		self := e.Gateways.Self()
		if self.DataCentre = "north-a"; slices.Contains(south, e) {
			self.DataCentre = "south-a"
		}
		e.Gateways = fleet.NewGateways(self, started)
	}
	for seq := range uint64(60) {
		now := started.Add(time.Duration(seq+1) * 5 * time.Second)
		for _, side := range [][]*Edge{north, south} {
			for _, e := range side {
				hear(e, side, seq+1, now)
				e.Gateways.ApplyStoreList(nil, now)
			}
		}
		if seq == 0 {
			for _, e := range gateways {
				hear(e, gateways, 1, now)
			}
		}
	}
	retries := 0
	for _, e := range gateways {
		for e.trySpendRetry("s", started.Add(5*time.Minute)) {
			retries++
		}
	}
	require.LessOrEqual(t, retries, slack)
	require.GreaterOrEqual(t, retries, slack/2)
}
