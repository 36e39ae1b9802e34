package edge

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/budget"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/route"
)

func TestRequestsWithoutLocalEndpointAreForwarded(t *testing.T) {
	c := newCluster(t, "north", "south")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.NonIdempotent})
	e := c.startEndpoint("e1", "south-a")
	a := c.regions["north"].call(http.MethodPut, "/q/x?y=1", "body", map[string]string{headerTimeout: "4000"})
	require.Equal(t, "answer of e1", a.body)
	require.Len(t, e.requests(), 1)
	got := e.requests()[0]
	require.Equal(t, http.MethodPut, got.method)
	require.Equal(t, "/q/x?y=1", got.target)
	require.Equal(t, "body", got.body)
	require.Equal(t, "a.example", got.host)
	require.Empty(t, got.header.Get(headerForward))
	require.Empty(t, a.header.Get(headerOutcome))
}

// TestBothGatewaysEnforceHomeRegions checks residency at the gateway that forwards a
// request and at the one that receives it.
func TestBothGatewaysEnforceHomeRegions(t *testing.T) {
	c := newCluster(t, "north", "south")
	c.addRoute(route.Route{Prefix: "/north/", Kind: route.Idempotent, HomeRegions: []string{"north"}})
	c.addRoute(route.Route{Prefix: "/south/", Kind: route.Idempotent, HomeRegions: []string{"south"}})
	n, s := c.startEndpoint("n", "north-a"), c.startEndpoint("s", "south-a")
	for _, from := range c.regions {
		require.Equal(t, "answer of n", from.call(http.MethodGet, "/north/", "", nil).body)
		require.Equal(t, "answer of s", from.call(http.MethodGet, "/south/", "", nil).body)
	}
	n.server.Close()
	// A request sent on an idle connection that the closed server has not yet reset
	// would have an unknown outcome.
	c.regions["north"].edge.EndpointTransport.CloseIdleConnections(n.server.Listener.Addr().String())
	require.Equal(t, http.StatusServiceUnavailable, c.regions["north"].call(http.MethodGet, "/north/", "", nil).status)
	require.Equal(t, 2, requestCount(s), "requests don't leave their home region even if it has no endpoint")
	// In the newer configuration of the south, the south is not a home region.
	narrowed := route.NewTable(9, []*route.Route{{
		Host: "a.example", Prefix: "/south/", Kind: route.Idempotent, HomeRegions: []string{"north"},
		Targets: []route.Target{{Service: "s"}}, MaxAttempts: 1,
	}}, nil, c.limits)
	c.regions["south"].edge.Board.Routes.Set(narrowed)
	require.Equal(t, http.StatusServiceUnavailable, c.regions["north"].call(http.MethodGet, "/south/", "", nil).status)
	require.Equal(t, 2, requestCount(s))
}

// TestRemoteRefusals checks the response to a request that the other region did not
// run, and to one that it may have run, which is not sent again.
func TestRemoteRefusals(t *testing.T) {
	c := newCluster(t, "north", "south")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.NonIdempotent, MaxAttempts: 2})
	s := c.startEndpoint("s", "south-a")
	s.setHandler(respondNotRun)
	a := c.regions["north"].call(http.MethodPost, "/q/", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Empty(t, a.header.Get(headerOutcome), "the outcome header is for gateways only")
	s.setHandler(resetConnection)
	require.Equal(t, http.StatusBadGateway, c.regions["north"].call(http.MethodPost, "/q/", "", nil).status)
	require.Equal(t, 2, requestCount(s))
	c.regions["south"].edge.Board.Routes.Set(nil)
	require.Equal(t, http.StatusServiceUnavailable, c.regions["north"].call(http.MethodPost, "/q/", "", nil).status)
	require.Equal(t, 2, requestCount(s))
}

// TestRetriesAfterRemoteRefusalsAreCharged guards against retries in other regions that
// nobody counts. A refusal is charged only if an endpoint has received the request.
func TestRetriesAfterRemoteRefusalsAreCharged(t *testing.T) {
	c := newCluster(t, "north", "south", "west")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.NonIdempotent, MaxAttempts: 3})
	for _, r := range c.regions {
		r.edge.Registry.SetRegions(map[string]string{"north-a": "north", "south-a": "south", "west-a": "west"}, time.Now())
	}
	s, w := c.startEndpoint("s", "south-a"), c.startEndpoint("w", "west-a")
	north := c.regions["north"].edge
	s.setHandler(respondNotRun)
	w.setHandler(respondNotRun)
	north.RetryBudget = budget.NewRetryBudget(budget.RetrySettings{Window: 10 * time.Second})
	require.Equal(t, http.StatusServiceUnavailable, c.regions["north"].call(http.MethodPost, "/q/", "", nil).status)
	require.Equal(t, 1, requestCount(s)+requestCount(w), "no retry is left in the budget")
	c.regions["south"].edge.Board.Routes.Set(nil)
	for range 3 {
		before := requestCount(w)
		require.Equal(t, http.StatusServiceUnavailable, c.regions["north"].call(http.MethodPost, "/q/", "", nil).status)
		require.Equal(t, before+1, requestCount(w), "a region whose gateway sent it to no endpoint is not charged")
	}
	require.LessOrEqual(t, requestCount(s), 1)
}

// TestRefusalBeforeReadingIsNotCharged guards against forwards that fail because a gateway had
// no room for the connection: no endpoint was reached, so that the next region is tried
// without a charge to the retry budget.
func TestRefusalBeforeReadingIsNotCharged(t *testing.T) {
	c := newCluster(t, "north", "south", "west")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.NonIdempotent, MaxAttempts: 1})
	for _, r := range c.regions {
		r.edge.Registry.SetRegions(map[string]string{"north-a": "north", "south-a": "south", "west-a": "west"}, time.Now())
	}
	south, west := c.startEndpoint("s", "south-a"), c.startEndpoint("w", "west-a")
	north := c.regions["north"].edge
	north.RetryBudget = budget.NewRetryBudget(budget.RetrySettings{Window: 10 * time.Second})
	require.Equal(t, http.StatusOK, c.regions["north"].call(http.MethodPost, "/q/", "", nil).status)
	preferred, other := "south", west
	if requestCount(south) == 0 {
		preferred, other = "west", south
	}
	before := requestCount(other)
	var refused atomic.Int32
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refused.Add(1)
		maps.Copy(w.Header(), NotRunHeader())
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer full.Close()
	north.Gateways.ApplyStatus(fleet.GatewayStatus{
		Gateway: fleet.Gateway{ID: "gw-" + preferred, Incarnation: "1", Region: preferred, PeerAddress: strings.TrimPrefix(full.URL, "http://"), CallerAddress: "caller-" + preferred},
		Seq:     2, Ready: true,
	}, time.Now())
	require.Equal(t, http.StatusOK, c.regions["north"].call(http.MethodPost, "/q/", "", nil).status)
	require.EqualValues(t, 1, refused.Load())
	require.Equal(t, before+1, requestCount(other))
}

// TestForwardedRequestsAreNotForwardedAgain guards against loops between gateways
// whose views of an endpoint's region differ.
func TestForwardedRequestsAreNotForwardedAgain(t *testing.T) {
	c := newCluster(t, "north", "south")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	// The south takes the endpoint for one of the north, the north for one of the
	// south.
	e := c.startEndpoint("e1", "south-a")
	c.regions["south"].edge.Registry.SetRegions(map[string]string{"south-a": "north"}, time.Now())
	require.Equal(t, http.StatusServiceUnavailable, c.regions["north"].call(http.MethodGet, "/q/", "", nil).status)
	require.Zero(t, requestCount(e))
}

func TestForgedForwardHeaders(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	e := c.startEndpoint("e1", "north-a")
	a := c.regions["north"].call(http.MethodGet, "/q/", "", map[string]string{headerForward: `{"service":"other"}`})
	require.Equal(t, "answer of e1", a.body, "the forward header of a caller is ignored")
	req, err := http.NewRequest(http.MethodGet, c.regions["north"].peerServer.URL+"/q/", nil)
	require.NoError(t, err)
	req.Header.Set(headerForward, "{")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Equal(t, "not_run", resp.Header.Get(headerOutcome), "the forwarding gateway must not take it for an endpoint's response")
	require.Equal(t, 1, requestCount(e))
}

func TestLeavingGatewaysGetNoForwards(t *testing.T) {
	c := newCluster(t, "north", "south")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	c.startEndpoint("s", "south-a")
	north := c.regions["north"].edge
	status, ok := north.Gateways.Get("gw-south")
	require.True(t, ok)
	status.Seq, status.Leaving = 2, true
	north.Gateways.ApplyStatus(status, time.Now())
	require.Equal(t, http.StatusServiceUnavailable, c.regions["north"].call(http.MethodGet, "/q/", "", nil).status)
	require.Equal(t, blackboard.Serving, north.Board.Lifecycle.Get())
}
