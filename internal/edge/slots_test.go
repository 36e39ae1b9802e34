package edge

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/route"
)

// newSmallService returns a cluster of a large region north with two endpoints of two
// slots each, fewer than it has gateways.
func newSmallService(t *testing.T, f *fakeGrants) (*region, []*fakeEndpoint) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.NonIdempotent})
	var out []*fakeEndpoint
	for i := range 2 {
		e := c.startEndpoint(fmt.Sprintf("n%d", i), "north-a")
		c.setEntry(fleet.Endpoint{ID: e.id, Sequence: 1, Service: "s", DataCentre: "north-a", Slots: 2, Address: strings.TrimPrefix(e.server.URL, "http://")})
		out = append(out, e)
	}
	c.regions["north"].makeLarge(f)
	return c.regions["north"], out
}

// callPlain calls the region's gateway without a prompt.
func (r *region) callPlain(id string) response {
	return r.call(http.MethodPost, "/q/", "x", map[string]string{headerID: id})
}

// TestSmallServiceIsAdmittedByCoordinators checks that requests to a plain service with
// fewer slots than gateways go where a coordinator grants a place, and that each place is
// given back.
func TestSmallServiceIsAdmittedByCoordinators(t *testing.T) {
	f := &fakeGrants{respond: func(_ string, req grants.Request) (grants.Response, error) {
		return grants.Response{Endpoint: req.OnlyEndpoint, EstimateMillis: 5}, nil
	}}
	r, _ := newSmallService(t, f)
	for i := range 20 {
		a := r.callPlain(fmt.Sprint("id-", i))
		require.Equal(t, http.StatusOK, a.status)
	}
	require.NotEmpty(t, f.requested)
	require.Len(t, f.released, len(f.requested))
	for release, address := range f.released {
		require.Equal(t, r.edge.coordinators(time.Now()).coordinatorOf(release.Endpoint), address)
	}
}

// TestServicesWithManySlotsAreDecidedHere guards against a round trip for requests to
// services that don't need it: those of small regions, and those with as many slots as
// gateways or with an unknown number.
func TestServicesWithManySlotsAreDecidedHere(t *testing.T) {
	for _, slots := range []int{0, 5, 100} {
		f := &fakeGrants{}
		r, endpoints := newSmallService(t, f)
		e := endpoints[0]
		r.edge.Registry.Apply([]fleet.Entry{{ID: e.id, Endpoint: &fleet.Endpoint{
			ID: e.id, Sequence: 2, Service: "s", DataCentre: "north-a", Slots: slots + 2*min(slots, 1), Address: strings.TrimPrefix(e.server.URL, "http://"),
		}}}, time.Now())
		for i := range 5 {
			require.Equal(t, http.StatusOK, r.callPlain(fmt.Sprint("id-", i)).status)
		}
		require.Empty(t, f.requested, "%d slots", slots)
	}
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.NonIdempotent})
	c.startEndpoint("n0", "north-a")
	require.Equal(t, http.StatusOK, c.regions["north"].callPlain("id-1").status)
}

// TestFullSmallServiceRefusesAtOnce checks that a request that no endpoint has room for is
// refused without being sent, with the time that the coordinators name.
func TestFullSmallServiceRefusesAtOnce(t *testing.T) {
	f := &fakeGrants{respond: func(string, grants.Request) (grants.Response, error) {
		return grants.Response{Reason: "full", RetryAfterMillis: 700}, nil
	}}
	r, endpoints := newSmallService(t, f)
	for _, e := range endpoints {
		for grant := range uint64(6) {
			r.edge.Loads.HoldSlot(e.id, 0, grant+1, time.Minute, time.Now())
		}
	}
	a := r.callPlain("id-1")
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Contains(t, []string{"0.700", "0.250"}, a.header.Get("Retry-After"), "as the other coordinator says, or this one")
	require.Zero(t, requestCount(endpoints...))
}

// TestSilentCoordinatorsOfASmallService checks that this gateway decides when no other
// responds, and that places that they may have granted are given back.
func TestSilentCoordinatorsOfASmallService(t *testing.T) {
	f := &fakeGrants{respond: func(gateway string, _ grants.Request) (grants.Response, error) {
		return grants.Response{}, errors.WithStack(&grants.NoResponseError{Gateway: gateway})
	}}
	r, _ := newSmallService(t, f)
	for i := range 10 {
		require.Equal(t, http.StatusOK, r.callPlain(fmt.Sprint("id-", i)).status)
	}
	require.NotEmpty(t, f.requested)
	require.Len(t, f.released, len(f.requested))
}

// TestCoordinatorHoldsPlacesOfASmallService checks what a coordinator grants to others:
// each slot and a bounded queue, until places are released.
func TestCoordinatorHoldsPlacesOfASmallService(t *testing.T) {
	r, _ := newSmallService(t, &fakeGrants{})
	e := r.edge
	now := time.Now()
	var ids []string
	for i := 0; len(ids) < 1; i++ {
		if id := fmt.Sprint("own", i); e.coordinators(now).coordinatorOf(id) == e.Gateways.Self().ID {
			ids = append(ids, id)
		}
	}
	e.Registry.Apply([]fleet.Entry{{ID: ids[0], Endpoint: &fleet.Endpoint{ID: ids[0], Service: "s", DataCentre: "north-a", Slots: 2, Address: "127.0.0.1:1"}}}, now)
	req := grants.Request{Service: "s", RankKey: "k", TimeToObjectiveMillis: 1000, EstimateLimitMillis: 1000, HardLimitMillis: 1000, TimeToDeadlineMillis: 3000, OnlyEndpoint: ids[0]}
	for i := range 6 {
		req.GrantID = uint64(i + 1)
		resp := e.Grant(req, now)
		require.Equal(t, ids[0], resp.Endpoint)
		require.Equal(t, i, resp.Ahead)
	}
	req.GrantID = 7
	resp := e.Grant(req, now)
	require.Empty(t, resp.Endpoint)
	require.Positive(t, resp.RetryAfterMillis)
	e.Release(grants.Release{Endpoint: ids[0], GrantID: 99}, now)
	e.Release(grants.Release{Endpoint: "unknown", GrantID: 1}, now)
	require.Empty(t, e.Grant(req, now).Endpoint, "releases of other grants change nothing")
	e.Release(grants.Release{Endpoint: ids[0], GrantID: 3}, now)
	require.Equal(t, ids[0], e.Grant(req, now).Endpoint)
	require.Empty(t, e.Grant(req, now).Endpoint)
	require.NotEmpty(t, e.Grant(req, now.Add(3*time.Second)).Endpoint, "the deadline of all others has passed")
}

// TestRefusalsOfEndpointsAreNotRun guards against a request that every endpoint refused
// without running it and that ends with a status that says it may have run.
func TestRefusalsOfEndpointsAreNotRun(t *testing.T) {
	for _, kind := range []route.RequestKind{route.NonIdempotent, route.Idempotent, route.Streaming} {
		for attempts := 1; attempts <= 3; attempts++ {
			for _, place := range []string{"north-a", "south-a"} {
				c := newCluster(t, "north", "south")
				c.addRoute(route.Route{Prefix: "/q/", Kind: kind, MaxAttempts: attempts})
				for i := range 2 {
					c.startEndpoint(fmt.Sprint("e", i), place).setHandler(respondNotRun)
				}
				a := c.regions["north"].callPlain("id-1")
				require.Equal(t, http.StatusServiceUnavailable, a.status, "%v, %d attempts, %s", kind, attempts, place)
				require.NotEmpty(t, a.header.Get("Retry-After"))
			}
		}
	}
}

// TestPlaceIsGivenBackAfterRefusal checks that a place is released when the endpoint
// refuses the request, and when it isn't sent at all.
func TestPlaceIsGivenBackAfterRefusal(t *testing.T) {
	f := &fakeGrants{respond: func(_ string, req grants.Request) (grants.Response, error) {
		return grants.Response{Endpoint: req.OnlyEndpoint, EstimateMillis: 5}, nil
	}}
	r, endpoints := newSmallService(t, f)
	for _, e := range endpoints {
		e.setHandler(respondNotRun)
	}
	require.Equal(t, http.StatusServiceUnavailable, r.callPlain("id-1").status)
	require.Len(t, f.released, len(f.requested))
	for _, e := range endpoints {
		e.crash()
	}
	require.Equal(t, http.StatusServiceUnavailable, r.callPlain("id-2").status)
	require.Len(t, f.released, len(f.requested))
	for _, e := range endpoints {
		c, _ := r.edge.Loads.Candidate(endpointload.Query{ID: e.id, Service: "s", Slots: 2, Coordinated: true, HoldsSlots: true}, time.Now())
		require.Zero(t, c.Running+c.Waiting)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, r.callContext(ctx, http.MethodPost, "/q/", "x", nil).err)
	require.Len(t, f.released, len(f.requested))
}
