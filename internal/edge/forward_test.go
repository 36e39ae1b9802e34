package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/route"
)

func TestOtherRegionsServeWhatThisOneCannot(t *testing.T) {
	w := newWorld(t, "north", "south")
	w.route(route.Route{Prefix: "/q/", Kind: route.NonIdempotent})
	e := w.endpoint("e1", "south-a")
	a := w.regions["north"].call(http.MethodPut, "/q/x?y=1", "body", map[string]string{headerPatience: "4000"})
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

// TestHomes checks residency on both sides of a forward.
func TestHomes(t *testing.T) {
	w := newWorld(t, "north", "south")
	w.route(route.Route{Prefix: "/north/", Kind: route.Idempotent, HomeRegions: []string{"north"}})
	w.route(route.Route{Prefix: "/south/", Kind: route.Idempotent, HomeRegions: []string{"south"}})
	n, s := w.endpoint("n", "north-a"), w.endpoint("s", "south-a")
	for _, from := range w.regions {
		require.Equal(t, "answer of n", from.call(http.MethodGet, "/north/", "", nil).body)
		require.Equal(t, "answer of s", from.call(http.MethodGet, "/south/", "", nil).body)
	}
	n.server.Close()
	// A kept connection whose end has not been noticed would take the request, and
	// leave its outcome unknown.
	w.regions["north"].edge.Near.CloseIdleConnections(n.server.Listener.Addr().String())
	require.Equal(t, http.StatusServiceUnavailable, w.regions["north"].call(http.MethodGet, "/north/", "", nil).status)
	require.Equal(t, 2, arrivals(s), "not even when the home has no endpoint")
	// The other gateway has a newer configuration, in which it is no home.
	narrowed := route.NewTable(9, []*route.Route{{
		Host: "a.example", Prefix: "/south/", Kind: route.Idempotent, HomeRegions: []string{"north"},
		Targets: []route.Target{{Service: "s"}}, MaxAttempts: 1,
	}}, nil, w.limits)
	w.regions["south"].edge.Board.Routes.Set(narrowed)
	require.Equal(t, http.StatusServiceUnavailable, w.regions["north"].call(http.MethodGet, "/south/", "", nil).status)
	require.Equal(t, 2, arrivals(s))
}

// TestRefusalsOfOtherRegions checks that a request that another region did not
// run is served here, and that one that it may have run is not.
func TestRefusalsOfOtherRegions(t *testing.T) {
	w := newWorld(t, "north", "south")
	w.route(route.Route{Prefix: "/q/", Kind: route.NonIdempotent, MaxAttempts: 2})
	s := w.endpoint("s", "south-a")
	s.answerWith(shed)
	a := w.regions["north"].call(http.MethodPost, "/q/", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Empty(t, a.header.Get(headerOutcome), "that is between gateways")
	s.answerWith(reset)
	require.Equal(t, http.StatusBadGateway, w.regions["north"].call(http.MethodPost, "/q/", "", nil).status)
	require.Equal(t, 2, arrivals(s))
	w.regions["south"].edge.Board.Routes.Set(nil)
	require.Equal(t, http.StatusServiceUnavailable, w.regions["north"].call(http.MethodPost, "/q/", "", nil).status)
	require.Equal(t, 2, arrivals(s))
}

func TestForwardsEndAtTheNextGateway(t *testing.T) {
	w := newWorld(t, "north", "south")
	w.route(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	// South believes that its endpoint is in the north, and north the reverse.
	e := w.endpoint("e1", "south-a")
	w.regions["south"].edge.Registry.SetRegions(map[string]string{"south-a": "north"})
	require.Equal(t, http.StatusServiceUnavailable, w.regions["north"].call(http.MethodGet, "/q/", "", nil).status)
	require.Zero(t, arrivals(e))
}

func TestForgedForwardsAreRefused(t *testing.T) {
	w := newWorld(t, "north")
	w.route(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	e := w.endpoint("e1", "north-a")
	a := w.regions["north"].call(http.MethodGet, "/q/", "", map[string]string{headerForward: `{"service":"other"}`})
	require.Equal(t, "answer of e1", a.body, "callers' requests are not forwards, whatever they say")
	req, err := http.NewRequest(http.MethodGet, w.regions["north"].peer.URL+"/q/", nil)
	require.NoError(t, err)
	req.Header.Set(headerForward, "{")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Equal(t, 1, arrivals(e))
}

func TestGatewaysThatLeaveGetNoForwards(t *testing.T) {
	w := newWorld(t, "north", "south")
	w.route(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	w.endpoint("s", "south-a")
	north := w.regions["north"].edge
	sign, ok := north.Gateways.Get("gw-south")
	require.True(t, ok)
	sign.Seq, sign.Leaving = 2, true
	north.Gateways.ApplyStatus(sign, time.Now())
	require.Equal(t, http.StatusServiceUnavailable, w.regions["north"].call(http.MethodGet, "/q/", "", nil).status)
	require.Equal(t, blackboard.Serving, north.Board.Lifecycle.Get())
}
