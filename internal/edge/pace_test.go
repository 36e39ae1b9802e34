package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/pace"
	"github.com/hickorystage/hickorystage/internal/placement"
	"github.com/hickorystage/hickorystage/internal/route"
)

// setPace switches the pace of endpoints on and looks at the endpoints of the service
// for the first time, well before now.
func (r *region) setPace() {
	r.edge.Pace = pace.New()
	r.edge.pacing = newPacing(r.edge.Pace)
	for _, view := range r.edge.Registry.Usable("s", testSite.HeartbeatInterval, time.Now()) {
		r.edge.observePace(view, time.Now())
	}
	r.edge.pacing.firstLook["s"] = time.Now().Add(-time.Minute)
}

// inFlightAt sends so many requests at once, each after the endpoints have received those
// before it, and returns how many of them each endpoint holds then. The requests end
// with the test.
func (r *region) inFlightAt(n int, endpoints ...*fakeEndpoint) []int {
	release := make(chan struct{})
	for _, e := range endpoints {
		e.setHandler(func(http.ResponseWriter, *http.Request) { <-release })
	}
	var wg sync.WaitGroup
	r.t.Cleanup(func() {
		close(release)
		wg.Wait()
	})
	before := requestCount(endpoints...)
	for i := range n {
		wg.Go(func() { r.call(http.MethodGet, "/q/", "", map[string]string{headerID: fmt.Sprint("id-", i)}) })
		require.Eventually(r.t, func() bool { return requestCount(endpoints...) == before+i+1 }, 10*time.Second, time.Millisecond)
	}
	var out []int
	for _, e := range endpoints {
		out = append(out, len(e.requests()))
	}
	return out
}

func newPacedNorth(t *testing.T) *cluster {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 2, Timeout: 30 * time.Second, Objective: 20 * time.Second})
	return c
}

// TestStartedEndpointIsNotFlooded guards against all requests going to the endpoint that
// has just started, since it looks idle.
func TestStartedEndpointIsNotFlooded(t *testing.T) {
	c := newPacedNorth(t)
	old := c.startEndpoint("e1", "north-a")
	c.regions["north"].setPace()
	started := c.startEndpoint("e2", "north-a")
	require.Equal(t, []int{8, 4}, c.regions["north"].inFlightAt(12, old, started))
}

// TestRecoveringRegionServesAll guards against requests that are refused or wait since all
// endpoints have just come back.
func TestRecoveringRegionServesAll(t *testing.T) {
	c := newPacedNorth(t)
	c.regions["north"].setPace()
	first, second := c.startEndpoint("e1", "north-a"), c.startEndpoint("e2", "north-a")
	require.Equal(t, []int{8, 8}, c.regions["north"].inFlightAt(16, first, second))
}

// TestFullEndpointsLeaveRoomToTheOneThatComesBack guards against a request that is refused
// while the endpoint that has just started could serve it.
func TestFullEndpointsLeaveRoomToTheOneThatComesBack(t *testing.T) {
	c := newPacedNorth(t)
	old := c.startEndpoint("e1", "north-a")
	c.regions["north"].setPace()
	started := c.startEndpoint("e2", "north-a")
	// Each takes its slots and half as many more.
	require.Equal(t, []int{12, 12}, c.regions["north"].inFlightAt(24, old, started))
	require.Equal(t, http.StatusServiceUnavailable, c.regions["north"].call(http.MethodGet, "/q/", "", nil).status)
}

// TestRefusalsCloseTheWindow checks that an endpoint that refuses what it gets after its
// start is sent less, and that its window is the one of the incarnation that refused.
func TestRefusalsCloseTheWindow(t *testing.T) {
	c := newPacedNorth(t)
	c.startEndpoint("e1", "north-a")
	c.regions["north"].setPace()
	started := c.startEndpoint("e2", "north-a")
	started.setHandler(respondNotRun)
	e := c.regions["north"].edge
	for i := range 20 {
		require.Equal(t, http.StatusOK, c.regions["north"].call(http.MethodGet, "/q/", "", map[string]string{headerID: fmt.Sprint("id-", i)}).status)
	}
	require.Equal(t, 1, e.Pace.Room("e2", 0, 0, time.Now()))
	require.False(t, e.Pace.MayExceed("e2", 0, 1, false, time.Now()))
	c.setEntry(fleet.Endpoint{ID: "e2", Incarnation: 1, Service: "s", DataCentre: "north-a", Slots: 8, Address: strings.TrimPrefix(started.server.URL, "http://")})
	require.Equal(t, http.StatusOK, c.regions["north"].call(http.MethodGet, "/q/", "", nil).status)
	require.Equal(t, pace.Unlimited, e.Pace.Room("e2", 0, 0, time.Now()))
	require.NotEqual(t, pace.Unlimited, e.Pace.Room("e2", 1, 0, time.Now()))
}

// TestResponsesOpenTheWindow checks that responses in time are recorded.
func TestResponsesOpenTheWindow(t *testing.T) {
	c := newPacedNorth(t)
	c.startEndpoint("e1", "north-a")
	c.regions["north"].setPace()
	c.startEndpoint("e2", "north-a")
	e := c.regions["north"].edge
	c.regions["north"].place(t, "id")
	for range 8 {
		e.Pace.Room("e2", 0, 3, time.Now())
		p := c.regions["north"].place(t, "id")
		view, _ := e.Registry.Get("e2")
		p.decision.Candidate.ID = view.ID
		p.session.attempt(t.Context(), p.decision)
	}
	require.Equal(t, 9, e.Pace.Room("e2", 0, 0, time.Now()), "it grows while at least half of it is in use")
	require.Zero(t, e.pacing.inFlight("e2", 0))
}

// TestColdLimitGoesBeforePace checks that requests beyond a window don't exceed the limit
// of a cold endpoint, and that the window begins when the cold start is over.
func TestColdLimitGoesBeforePace(t *testing.T) {
	c := newPacedNorth(t)
	c.regions["north"].setPace()
	cold := c.startEndpoint("e1", "north-a")
	entry := fleet.Endpoint{ID: "e1", Sequence: 2, Service: "s", DataCentre: "north-a", Slots: 100, Address: strings.TrimPrefix(cold.server.URL, "http://"), ColdRemaining: time.Minute}
	c.setEntry(entry)
	e := c.regions["north"].edge
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
	require.False(t, e.Pace.HasWindow("e1", 0, time.Now()))
	entry.ColdRemaining, entry.Sequence = 0, 3
	c.setEntry(entry)
	c.regions["north"].place(t, "id")
	require.True(t, e.Pace.HasWindow("e1", 0, time.Now()))
}

// TestGatewaysTakeTheirPartOfAWindow guards against gateways of a small region that each
// send a whole window, or at least one request each, to an endpoint that has just started.
func TestGatewaysTakeTheirPartOfAWindow(t *testing.T) {
	for _, n := range []int{1, 2, 3, 8} {
		c := newPacedNorth(t)
		var gateways []*region
		for i := range n {
			r := c.startGatewayAt(fmt.Sprint("gw-", i), "north", time.Now().Add(-time.Minute))
			require.True(t, r.edge.Gateways.IsSettled(time.Now()))
			r.edge.Board.Routes.Set(c.regions["north"].edge.Board.Routes.Get())
			c.regions[fmt.Sprint("north ", i)] = r
			gateways = append(gateways, r)
		}
		c.startEndpoint("e1", "north-a")
		for _, r := range gateways {
			r.setPace()
			for _, o := range gateways {
				status := fleet.GatewayStatus{Gateway: o.edge.Gateways.Self(), Seq: 1, Ready: true}
				status.Incarnation = "1"
				r.edge.Gateways.ApplyStatus(status, time.Now())
			}
		}
		c.startEndpoint("e2", "north-a")
		sent := 0
		for _, r := range gateways {
			for r.place(t, "id").session.paced.limited == nil {
				r.edge.pacing.begin("e2", 0)
				sent++
			}
		}
		require.Equal(t, 4, sent, "%d gateways", n)
	}
}

// TestGatewaysOfSmallRegionTellEachOther checks that each gateway of a small region learns
// what the requests of the others show.
func TestGatewaysOfSmallRegionTellEachOther(t *testing.T) {
	c := newPacedNorth(t)
	c.startEndpoint("e1", "north-a")
	north := c.regions["north"]
	north.setPace()
	reporter := &fakeReporter{reports: make(map[string][]grants.PaceReport)}
	north.edge.PaceReporter = reporter
	for i := range 2 {
		id := fmt.Sprint("other-", i)
		north.edge.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: fleet.Gateway{ID: id, Incarnation: "1", Region: "north", GrantAddress: id}, Seq: 1, Ready: true}, time.Now())
	}
	c.startEndpoint("e2", "north-a")
	for _, id := range []string{"e1", "e2"} {
		p := north.place(t, "id")
		p.decision.Candidate.ID = id
		p.session.attempt(t.Context(), p.decision)
	}
	for _, address := range []string{"other-0", "other-1"} {
		require.Len(t, reporter.reports[address], 1)
		require.Equal(t, "e2", reporter.reports[address][0].Endpoint)
	}
	north.edge.Pace.Room("e2", 0, 3, time.Now())
	before := north.edge.Pace.Room("e2", 0, 0, time.Now())
	north.edge.RecordPaceReport(reporter.reports["other-0"][0], time.Now())
	require.Equal(t, before+1, north.edge.Pace.Room("e2", 0, 0, time.Now()))
}
