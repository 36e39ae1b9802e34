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

// fakeGrants answers for all other gateways by a function.
type fakeGrants struct {
	mu     sync.Mutex
	asked  []string
	answer func(gateway string, q grants.Request) (grants.Response, error)
}

func (f *fakeGrants) RequestGrant(_ context.Context, gateway, _ string, q grants.Request) (grants.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, gateway)
	return f.answer(gateway, q)
}

// crowd makes the region of a gateway a large one, of which the others answer
// questions by f.
func (r *region) crowd(f *fakeGrants) {
	r.edge.Grants = f
	for i := range fleet.MaxFullMeshGateways {
		id := fmt.Sprintf("gw-%s-%d", r.name, i)
		r.edge.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: fleet.Gateway{ID: id, Incarnation: "1", Region: r.name, GrantAddress: id}, Seq: 1, Ready: true}, time.Now())
	}
}

// world with a large region north of eight engines, and a small region south.
func newCrowd(t *testing.T, f *fakeGrants) (*world, []*endpoint) {
	w := newWorld(t, "north", "south")
	w.route(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	var out []*endpoint
	for i := range 8 {
		out = append(out, w.endpoint(fmt.Sprintf("n%d", i), "north-a"))
	}
	w.regions["north"].crowd(f)
	return w, out
}

func (r *region) prompt() answer {
	return r.call(http.MethodPost, "/q/", "x", map[string]string{headerPrompt: "1000"})
}

func TestPlacesAreGrantedByCoordinators(t *testing.T) {
	f := &fakeGrants{}
	w, endpoints := newCrowd(t, f)
	e := w.regions["north"].edge
	chosen := ""
	f.answer = func(gateway string, q grants.Request) (grants.Response, error) {
		for _, x := range endpoints {
			if e.coordinators(time.Now()).of(x.id) == gateway {
				chosen = x.id
			}
		}
		return grants.Response{Endpoint: chosen, EstimateMillis: 5}, nil
	}
	for range 20 {
		chosen = ""
		before := len(f.asked)
		a := w.regions["north"].prompt()
		require.Equal(t, http.StatusOK, a.status)
		require.LessOrEqual(t, len(f.asked)-before, 1, "who grants is believed")
		if chosen != "" {
			require.Equal(t, "answer of "+chosen, a.body)
		}
	}
	require.NotEmpty(t, f.asked)
	f.asked = nil
	require.Equal(t, http.StatusOK, w.regions["north"].call(http.MethodPost, "/q/", "x", nil).status)
	require.Empty(t, f.asked, "plain requests are not asked for")
	w.endpoint("south", "south-a")
	require.Equal(t, "answer of south", w.regions["south"].prompt().body)
	require.Empty(t, f.asked, "nor is anything in a small region")
}

// TestSilentCoordinatorsDontStopARegion lets no gateway answer.
func TestSilentCoordinatorsDontStopARegion(t *testing.T) {
	f := &fakeGrants{answer: func(gateway string, _ grants.Request) (grants.Response, error) {
		return grants.Response{}, errors.WithStack(&grants.NoResponseError{Gateway: gateway})
	}}
	w, _ := newCrowd(t, f)
	for range 10 {
		require.Equal(t, http.StatusOK, w.regions["north"].prompt().status)
	}
}

// TestWhatCoordinatorsDenyGoesToAnotherRegion lets every other gateway say that
// it has no place, and this one coordinate nothing that is free.
func TestWhatCoordinatorsDenyGoesToAnotherRegion(t *testing.T) {
	f := &fakeGrants{answer: func(string, grants.Request) (grants.Response, error) {
		return grants.Response{Reason: "full"}, nil
	}}
	w, endpoints := newCrowd(t, f)
	var south []*endpoint
	for i := range 8 {
		south = append(south, w.endpoint(fmt.Sprintf("south%d", i), "south-a"))
	}
	e := w.regions["north"].edge
	for _, x := range endpoints {
		if e.coordinators(time.Now()).of(x.id) == "gw-north" {
			for range 40 {
				e.Loads.RecordGrant(x.id, 0, endpointload.Job{Service: "s", PromptTokens: 20_000}, time.Now())
			}
		}
	}
	a := w.regions["north"].prompt()
	require.Contains(t, a.body, "answer of south")
	for _, x := range south {
		x.answerWith(func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(headerNotRun, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	a = w.regions["north"].prompt()
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	for _, x := range endpoints {
		require.Zero(t, arrivals(x), "a region that is full gets nothing")
	}
}

// TestGrantsStayWithinTheRules asks a coordinator itself: it grants no endpoint
// that leaves, is cold, was tried, or is another gateway's.
func TestGrantsStayWithinTheRules(t *testing.T) {
	f := &fakeGrants{}
	w, endpoints := newCrowd(t, f)
	e := w.regions["north"].edge
	now := time.Now()
	own := map[string]bool{}
	for _, x := range endpoints {
		own[x.id] = e.coordinators(now).of(x.id) == "gw-north"
	}
	for i := range 100 {
		id := fmt.Sprintf("extra%d", i)
		if e.coordinators(now).of(id) == "gw-north" {
			own[id] = true
			w.entry(fleet.Endpoint{ID: id, Service: "s", DataCentre: "north-a", Slots: 8, Address: "127.0.0.1:1"})
		}
	}
	question := grants.Request{Service: "s", RankKey: "k", PromptTokens: 1000, TimeToObjectiveMillis: 1000, EstimateLimitMillis: 1000, HardLimitMillis: 1000}
	var granted []string
	for {
		a := e.Grant(question, now)
		if a.Endpoint == "" {
			break
		}
		require.True(t, own[a.Endpoint], a.Endpoint)
		granted = append(granted, a.Endpoint)
		question.ExcludedEndpoints = append(question.ExcludedEndpoints, a.Endpoint)
	}
	require.NotEmpty(t, granted)
	question.ExcludedEndpoints = nil
	for _, id := range granted {
		w.entry(fleet.Endpoint{ID: id, Service: "s", DataCentre: "north-a", Slots: 8, Address: "127.0.0.1:1", State: fleet.Draining})
	}
	require.Empty(t, e.Grant(question, time.Now()).Endpoint, "all of them leave")
}

// TestOneEndpointIsAskedFor checks that a coordinator grants no other one then.
func TestOneEndpointIsAskedFor(t *testing.T) {
	q := grants.Request{OnlyEndpoint: "a", ExcludedEndpoints: []string{"c"}}
	require.True(t, q.Admits("a"))
	require.False(t, q.Admits("b"))
	require.True(t, grants.Request{ExcludedEndpoints: []string{"c"}}.Admits("b"))
	require.False(t, grants.Request{ExcludedEndpoints: []string{"c"}}.Admits("c"))
}

func TestColdEndpointsAreNotGrantedToOthers(t *testing.T) {
	f := &fakeGrants{}
	w, _ := newCrowd(t, f)
	e := w.regions["north"].edge
	id := ""
	for i := 0; id == ""; i++ {
		if x := fmt.Sprintf("cold%d", i); e.coordinators(time.Now()).of(x) == "gw-north" {
			id = x
		}
	}
	w.endpoints = nil
	w.entry(fleet.Endpoint{ID: id, Service: "s", DataCentre: "north-a", Slots: 8, Address: "127.0.0.1:1", ColdRemaining: time.Minute})
	question := grants.Request{Service: "s", RankKey: "k", PromptTokens: 1000, TimeToObjectiveMillis: 1000, EstimateLimitMillis: 1000, HardLimitMillis: 1000}
	require.Empty(t, e.Grant(question, time.Now()).Endpoint)
	a := e.grant(question, time.Now(), func(fleet.EndpointView) bool { return true })
	require.True(t, strings.HasPrefix(a.Endpoint, "cold"), "only the coordinator itself may use it")
}

// TestEndpointsAreSharedOutEvenly counts the endpoints of each gateway of a
// region.
func TestEndpointsAreSharedOutEvenly(t *testing.T) {
	f := &fakeGrants{}
	w, _ := newCrowd(t, f)
	all := w.regions["north"].edge.coordinators(time.Now())
	count := map[string]int{}
	const endpoints = 900
	for i := range endpoints {
		count[all.of(fmt.Sprintf("i-%d", i))]++
	}
	require.Len(t, count, fleet.MaxFullMeshGateways+1)
	for id, n := range count {
		require.InEpsilon(t, endpoints/(fleet.MaxFullMeshGateways+1), n, 0.4, id)
	}
}
