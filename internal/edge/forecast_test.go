package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/route"
)

// addEngineRoute adds a streaming route to a service of model engines.
func (c *cluster) addEngineRoute() {
	c.addRoute(route.Route{Name: "chat", Prefix: "/s/", Kind: route.Streaming, Timeout: 12 * time.Second})
	services := []*route.Service{{Name: "s", Engine: &route.Engine{CacheTokens: 500_000}}}
	for _, r := range c.regions {
		r.edge.Board.Routes.Set(route.NewTable(uint64(len(c.routes)+1), c.routes, services, c.limits))
	}
}

// learnSteps lets a gateway learn that engines take perOutput for each output, and that
// responses of the route have so many.
func (r *region) learnSteps(t *testing.T, perOutput time.Duration, outputs int) {
	now := time.Now().Add(-time.Minute)
	for i := range 40 {
		req := r.edge.Loads.Begin("elsewhere", 0, endpointload.Job{
			Service: "s", PromptTokens: 10, OutputTokens: 5, Streamed: true, Class: endpointload.LengthClass{Route: "chat"},
		}, now)
		for n := range outputs {
			req.RecordOutput(now.Add(time.Duration(n) * perOutput))
		}
		now = now.Add(time.Duration(outputs) * perOutput)
		req.End(endpointload.Succeeded, now)
		now = time.Now().Add(-time.Minute + time.Duration(i)*time.Second)
	}
}

// TestHopelessStreamIsRefusedAtOnce checks that a request whose response would end after its
// deadline is refused before it is sent, and that it is served when it would not.
func TestHopelessStreamIsRefusedAtOnce(t *testing.T) {
	c := newCluster(t, "north")
	c.addEngineRoute()
	r := c.regions["north"]
	e := c.startEndpoint("e", "north-a")
	e.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(eventText(1, 3))) })
	running := r.edge.Loads.Begin("e", 0, endpointload.Job{Service: "s", PromptTokens: 10}, time.Now())
	call := func() response {
		return r.call(http.MethodPost, "/s/", "x", map[string]string{headerPrompt: "1000"})
	}
	require.Equal(t, http.StatusOK, call().status, "nothing has been learned")
	r.learnSteps(t, time.Second, 20)
	a := call()
	require.Equal(t, http.StatusServiceUnavailable, a.status, "20 outputs of a second each")
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Equal(t, 1, requestCount(e))
	running.End(endpointload.Succeeded, time.Now())
	require.Equal(t, http.StatusOK, call().status, "an idle engine serves any request")
}

// TestGrantRequestsCarryTheDeadline checks that a coordinator gets what it needs for a
// forecast, refuses by it, and that the caller is told when to come back.
func TestGrantRequestsCarryTheDeadline(t *testing.T) {
	var last grants.Request
	f := &fakeGrants{respond: func(_ string, req grants.Request) (grants.Response, error) {
		last = req
		return grants.Response{Reason: "ends_too_late", RetryAfterMillis: 1700}, nil
	}}
	c := newCluster(t, "north")
	c.addEngineRoute()
	r := c.regions["north"]
	r.makeLarge(f)
	id := ""
	for i := 0; id == ""; i++ {
		if x := fmt.Sprint("other", i); r.edge.coordinators(time.Now()).coordinatorOf(x) != "gw-north" {
			id = x
		}
	}
	c.startEndpoint(id, "north-a")
	r.learnSteps(t, 100*time.Millisecond, 20)
	a := r.call(http.MethodPost, "/s/", "x", map[string]string{headerPrompt: "1000"})
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Equal(t, "1.700", a.header.Get("Retry-After"))
	require.Greater(t, last.TimeToDeadlineMillis, int64(11_000))
	require.Greater(t, last.Outputs, 15)
	require.Zero(t, last.GrantID, "grants of model requests end by themselves")
}

// TestCoordinatorRefusesByTheForecast checks a coordinator's decision on the requests of
// others, with and without the fields that gateways of earlier versions don't send.
func TestCoordinatorRefusesByTheForecast(t *testing.T) {
	c := newCluster(t, "north")
	c.addEngineRoute()
	r := c.regions["north"]
	c.startEndpoint("e", "north-a")
	now := time.Now()
	running := r.edge.Loads.Begin("e", 0, endpointload.Job{Service: "s", PromptTokens: 10}, now)
	defer running.End(endpointload.Succeeded, now)
	r.learnSteps(t, 100*time.Millisecond, 20)
	req := grants.Request{
		Service: "s", RankKey: "k", PromptTokens: 1000, TimeToObjectiveMillis: 1000, EstimateLimitMillis: 1000, HardLimitMillis: 1000,
		Outputs: 50, TimeToDeadlineMillis: 12_000,
	}
	resp := r.edge.Grant(req, now)
	require.Equal(t, "e", resp.Endpoint)
	require.InDelta(t, 5000, resp.ForecastMillis, 1000)
	req.Outputs = 200
	resp = r.edge.Grant(req, now)
	require.Equal(t, "ends_too_late", resp.Reason)
	require.Positive(t, resp.RetryAfterMillis)
	req.TimeToDeadlineMillis = 0
	require.Equal(t, "e", r.edge.Grant(req, now).Endpoint, "a gateway that doesn't say")
	for _, odd := range []int{-1, 1 << 62} {
		req.Outputs, req.LongTokens, req.TimeToDeadlineMillis = odd, odd, 12_000
		require.NotPanics(t, func() { r.edge.Grant(req, now) })
	}
	require.True(t, strings.HasPrefix(r.edge.Grant(grants.Request{Service: "s", PromptTokens: 10, EstimateLimitMillis: 1000, HardLimitMillis: 1000}, now).Endpoint, "e"))
}
