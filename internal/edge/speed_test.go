package edge

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/route"
)

// TestSpeedOfEndpointIsTold checks that what an endpoint says of its speed is used by the
// gateway that got the response, and told to the endpoint's coordinator.
func TestSpeedOfEndpointIsTold(t *testing.T) {
	var last grants.Request
	f := &fakeGrants{respond: func(_ string, req grants.Request) (grants.Response, error) {
		last = req
		return grants.Response{Endpoint: req.OnlyEndpoint}, nil
	}}
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	r := c.regions["north"]
	r.makeLarge(f)
	id := ""
	for i := 0; id == ""; i++ {
		if x := fmt.Sprint("other", i); r.edge.coordinators(time.Now()).coordinatorOf(x) != "gw-north" {
			id = x
		}
	}
	e := c.startEndpoint(id, "north-a")
	e.setHandler(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headerPercent, "250") })
	require.Equal(t, http.StatusOK, r.callModel().status)
	require.Zero(t, last.TimePercent, "nothing is known before the first response")
	require.Equal(t, http.StatusOK, r.callModel().status)
	require.Equal(t, 250, last.TimePercent)
	require.GreaterOrEqual(t, last.TimePercentAgeMillis, int64(0))
}

// TestOwnGrantsKeepNoSpeedAlive guards against a coordinator that takes its own grant requests
// for news of an endpoint's speed.
func TestOwnGrantsKeepNoSpeedAlive(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	r := c.regions["north"]
	c.startEndpoint("e", "north-a")
	now := time.Now()
	r.edge.Loads.ReportSpeed("e", 0, 300, now)
	s := r.place(t, "id-1").session
	for i := range 900 {
		later := now.Add(time.Duration(i) * 1001 * time.Microsecond)
		req := grants.Request{Service: "s", OnlyEndpoint: "e"}
		s.tellSpeed(&req, later)
		s.edge.applySpeed(req, later)
	}
	_, age, _ := r.edge.Loads.ReportedSpeed("e", 0, now.Add(time.Second))
	require.Equal(t, time.Second, age)
}

// TestCoordinatorTakesInSpeeds checks what a coordinator makes of the speeds that others tell,
// and that figures of an earlier version or of a broken gateway do no harm.
func TestCoordinatorTakesInSpeeds(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	e := c.regions["north"].edge
	c.startEndpoint("e", "north-a")
	now := time.Now()
	req := grants.Request{Service: "s", OnlyEndpoint: "e", PromptTokens: 10, EstimateLimitMillis: 1000, HardLimitMillis: 1000, TimePercent: 300, TimePercentAgeMillis: 200}
	require.Equal(t, "e", e.Grant(req, now).Endpoint)
	percent, age, ok := e.Loads.ReportedSpeed("e", 0, now)
	require.True(t, ok)
	require.Equal(t, 300, percent)
	require.Equal(t, 200*time.Millisecond, age)
	for _, odd := range []int64{-1, math.MinInt64, math.MaxInt64, 5_000_000_000_000_000} {
		req.TimePercent, req.TimePercentAgeMillis = 700, odd
		e.Grant(req, now.Add(2*time.Second))
		_, age, ok = e.Loads.ReportedSpeed("e", 0, now.Add(3*time.Second))
		require.False(t, ok && age < time.Second-time.Millisecond, "%d: it fades from now on at the latest", odd)
	}
	req.OnlyEndpoint, req.TimePercentAgeMillis = "unknown", 0
	require.NotPanics(t, func() { e.Grant(req, now) })
}
