package edge

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/route"
)

// fakeGrants implements Grants: respond answers for all other gateways.
type fakeGrants struct {
	mu sync.Mutex
	// requested holds the ids of the gateways that were asked, in order.
	requested []string
	// released holds the address that each release was sent to.
	released map[grants.Release]string
	respond  func(gateway string, req grants.Request) (grants.Response, error)
}

func (f *fakeGrants) RequestPermit(_ context.Context, gateway, _ string, _ grants.PermitRequest) (grants.PermitResponse, error) {
	return grants.PermitResponse{}, errors.WithStack(&grants.NoResponseError{Gateway: gateway})
}

func (f *fakeGrants) ReleaseGrant(address string, r grants.Release) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.released == nil {
		f.released = make(map[grants.Release]string)
	}
	f.released[r] = address
	return nil
}

func (f *fakeGrants) RequestGrant(_ context.Context, gateway, _ string, req grants.Request) (grants.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requested = append(f.requested, gateway)
	return f.respond(gateway, req)
}

// makeLarge adds so many gateways to the region that coordinators are asked; f
// responds for them.
func (r *region) makeLarge(f *fakeGrants) {
	r.edge.Grants = f
	for i := range fleet.MaxFullMeshGateways {
		id := fmt.Sprintf("gw-%s-%d", r.name, i)
		r.edge.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: fleet.Gateway{ID: id, Incarnation: "1", Region: r.name, GrantAddress: id}, Seq: 1, Ready: true}, time.Now())
	}
}

// newLargeNorth returns a cluster of a large region north with eight endpoints, and a
// small region south with none.
func newLargeNorth(t *testing.T, f *fakeGrants) (*cluster, []*fakeEndpoint) {
	c := newCluster(t, "north", "south")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	var out []*fakeEndpoint
	for i := range 8 {
		out = append(out, c.startEndpoint(fmt.Sprintf("n%d", i), "north-a"))
	}
	c.regions["north"].makeLarge(f)
	return c, out
}

// callModel calls the region's gateway with a prompt of 1000 tokens.
func (r *region) callModel() response {
	return r.call(http.MethodPost, "/q/", "x", map[string]string{headerPrompt: "1000"})
}

func TestModelRequestsUseCoordinatorGrants(t *testing.T) {
	f := &fakeGrants{}
	c, endpoints := newLargeNorth(t, f)
	e := c.regions["north"].edge
	chosen := ""
	f.respond = func(gateway string, req grants.Request) (grants.Response, error) {
		for _, x := range endpoints {
			if e.coordinators(time.Now()).coordinatorOf(x.id) == gateway {
				chosen = x.id
			}
		}
		return grants.Response{Endpoint: chosen, EstimateMillis: 5}, nil
	}
	for range 20 {
		chosen = ""
		before := len(f.requested)
		a := c.regions["north"].callModel()
		require.Equal(t, http.StatusOK, a.status)
		require.LessOrEqual(t, len(f.requested)-before, 1, "no further coordinator is asked after a grant")
		if chosen != "" {
			require.Equal(t, "answer of "+chosen, a.body)
		}
	}
	require.NotEmpty(t, f.requested)
	f.requested = nil
	require.Equal(t, http.StatusOK, c.regions["north"].call(http.MethodPost, "/q/", "x", nil).status)
	require.Empty(t, f.requested, "requests without a prompt need no grant")
	c.startEndpoint("south", "south-a")
	require.Equal(t, "answer of south", c.regions["south"].callModel().body)
	require.Empty(t, f.requested, "gateways of a small region ask no coordinators")
}

// TestSilentCoordinatorsDontStopARegion checks that requests are served when no
// other gateway responds.
func TestSilentCoordinatorsDontStopARegion(t *testing.T) {
	f := &fakeGrants{respond: func(gateway string, _ grants.Request) (grants.Response, error) {
		return grants.Response{}, errors.WithStack(&grants.NoResponseError{Gateway: gateway})
	}}
	c, _ := newLargeNorth(t, f)
	for range 10 {
		require.Equal(t, http.StatusOK, c.regions["north"].callModel().status)
	}
}

// TestDeniedRequestsGoToAnotherRegion checks a request that every other gateway of
// the region denies and for which the endpoints coordinated by this one are full.
func TestDeniedRequestsGoToAnotherRegion(t *testing.T) {
	f := &fakeGrants{respond: func(string, grants.Request) (grants.Response, error) {
		return grants.Response{Reason: "full"}, nil
	}}
	c, endpoints := newLargeNorth(t, f)
	var south []*fakeEndpoint
	for i := range 8 {
		south = append(south, c.startEndpoint(fmt.Sprintf("south%d", i), "south-a"))
	}
	e := c.regions["north"].edge
	for _, x := range endpoints {
		if e.coordinators(time.Now()).coordinatorOf(x.id) == "gw-north" {
			for range 40 {
				e.Loads.RecordGrant(x.id, 0, endpointload.Job{Service: "s", PromptTokens: 20_000}, time.Now())
			}
		}
	}
	a := c.regions["north"].callModel()
	require.Contains(t, a.body, "answer of south")
	for _, x := range south {
		x.setHandler(func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(headerNotRun, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	a = c.regions["north"].callModel()
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	for _, x := range endpoints {
		require.Zero(t, requestCount(x), "endpoints of a full region get no requests")
	}
}

// TestGrantsExcludeUnusableEndpoints checks that a coordinator grants no endpoint
// that is draining, is excluded by the request, or has another coordinator.
func TestGrantsExcludeUnusableEndpoints(t *testing.T) {
	f := &fakeGrants{}
	c, endpoints := newLargeNorth(t, f)
	e := c.regions["north"].edge
	now := time.Now()
	coordinated := map[string]bool{}
	for _, x := range endpoints {
		coordinated[x.id] = e.coordinators(now).coordinatorOf(x.id) == "gw-north"
	}
	for i := range 100 {
		id := fmt.Sprintf("extra%d", i)
		if e.coordinators(now).coordinatorOf(id) == "gw-north" {
			coordinated[id] = true
			c.setEntry(fleet.Endpoint{ID: id, Service: "s", DataCentre: "north-a", Slots: 8, Address: "127.0.0.1:1"})
		}
	}
	request := grants.Request{Service: "s", RankKey: "k", PromptTokens: 1000, TimeToObjectiveMillis: 1000, EstimateLimitMillis: 1000, HardLimitMillis: 1000}
	var granted []string
	for {
		resp := e.Grant(request, now)
		if resp.Endpoint == "" {
			break
		}
		require.True(t, coordinated[resp.Endpoint], resp.Endpoint)
		granted = append(granted, resp.Endpoint)
		request.ExcludedEndpoints = append(request.ExcludedEndpoints, resp.Endpoint)
	}
	require.NotEmpty(t, granted)
	request.ExcludedEndpoints = nil
	for _, id := range granted {
		c.setEntry(fleet.Endpoint{ID: id, Service: "s", DataCentre: "north-a", Slots: 8, Address: "127.0.0.1:1", State: fleet.Draining})
	}
	require.Empty(t, e.Grant(request, time.Now()).Endpoint, "all of them are draining")
}

// TestGrantRequestAdmitsOnlyNamedEndpoint checks that a request for one endpoint
// admits no other, and that excluded endpoints are never admitted.
func TestGrantRequestAdmitsOnlyNamedEndpoint(t *testing.T) {
	q := grants.Request{OnlyEndpoint: "a", ExcludedEndpoints: []string{"c"}}
	require.True(t, q.Admits("a"))
	require.False(t, q.Admits("b"))
	require.True(t, grants.Request{ExcludedEndpoints: []string{"c"}}.Admits("b"))
	require.False(t, grants.Request{ExcludedEndpoints: []string{"c"}}.Admits("c"))
}

func TestColdEndpointsAreNotGrantedToOthers(t *testing.T) {
	f := &fakeGrants{}
	c, _ := newLargeNorth(t, f)
	e := c.regions["north"].edge
	id := ""
	for i := 0; id == ""; i++ {
		if x := fmt.Sprintf("cold%d", i); e.coordinators(time.Now()).coordinatorOf(x) == "gw-north" {
			id = x
		}
	}
	c.entries = nil
	c.setEntry(fleet.Endpoint{ID: id, Service: "s", DataCentre: "north-a", Slots: 8, Address: "127.0.0.1:1", ColdRemaining: time.Minute})
	request := grants.Request{Service: "s", RankKey: "k", PromptTokens: 1000, TimeToObjectiveMillis: 1000, EstimateLimitMillis: 1000, HardLimitMillis: 1000}
	require.Empty(t, e.Grant(request, time.Now()).Endpoint)
	resp := e.grant(request, time.Now(), func(fleet.EndpointView) bool { return true })
	require.True(t, strings.HasPrefix(resp.Endpoint, "cold"), "the coordinator itself may grant it")
}

// TestCoordinatorsShareEndpointsEvenly checks that each gateway of a region
// coordinates about the same number of endpoints.
func TestCoordinatorsShareEndpointsEvenly(t *testing.T) {
	f := &fakeGrants{}
	c, _ := newLargeNorth(t, f)
	coords := c.regions["north"].edge.coordinators(time.Now())
	count := map[string]int{}
	const endpoints = 900
	for i := range endpoints {
		count[coords.coordinatorOf(fmt.Sprintf("i-%d", i))]++
	}
	require.Len(t, count, fleet.MaxFullMeshGateways+1)
	for id, n := range count {
		require.InEpsilon(t, endpoints/(fleet.MaxFullMeshGateways+1), n, 0.4, id)
	}
}

// TestDeafGatewayLeavesColdEndpointsAlone guards against gateways that hear no other
// for some seconds, for example on a full link, and then each take themselves for the
// coordinator of all cold endpoints.
func TestDeafGatewayLeavesColdEndpointsAlone(t *testing.T) {
	f := &fakeGrants{}
	c, _ := newLargeNorth(t, f)
	e := c.regions["north"].edge
	now := time.Now()
	for i := range fleet.MaxFullMeshGateways {
		id := fmt.Sprintf("gw-north-%d", i)
		e.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: fleet.Gateway{ID: id, Incarnation: "1", Region: "north"}, Seq: 2}, now)
	}
	const endpoints = 100
	ownAt := func(now time.Time) map[string]bool {
		own := make(map[string]bool)
		for i := range endpoints {
			if id := fmt.Sprint("cold", i); e.mayCoordinateCold(id, now) {
				own[id] = true
			}
		}
		return own
	}
	own := ownAt(now.Add(3 * time.Second))
	require.NotEmpty(t, own)
	require.Less(t, len(own), endpoints/3, "its part of the endpoints")
	for _, deaf := range []time.Duration{5 * time.Second, time.Minute, time.Hour} {
		require.Empty(t, e.Gateways.Alive("north", now.Add(deaf)))
		require.Equal(t, own, ownAt(now.Add(deaf)), "the others may go on as before")
	}
	e.Gateways.ApplyStoreList(nil, now.Add(2*time.Hour))
	require.Len(t, ownAt(now.Add(2*time.Hour)), endpoints, "the store lists no other: it is alone")
}
