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

// TestGatewaysTakeTheirPartOfAWindow guards against each gateway of a small region sending
// a whole window.
func TestGatewaysTakeTheirPartOfAWindow(t *testing.T) {
	for gateways, want := range map[int]int{1: 4, 2: 2, 3: 2, 8: 1} {
		c := newPacedNorth(t)
		c.startEndpoint("e1", "north-a")
		north := c.regions["north"]
		north.setPace()
		c.startEndpoint("e2", "north-a")
		for i := range gateways - 1 {
			id := fmt.Sprint("other-", i)
			north.edge.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: fleet.Gateway{ID: id, Incarnation: "1", Region: "north"}, Seq: 1, Ready: true}, time.Now())
		}
		sent := 0
		for north.place(t, "id").session.paced.limited == nil {
			north.edge.pacing.begin("e2", 0)
			sent++
		}
		require.Equal(t, want, sent, "%d gateways", gateways)
	}
}

// newPacedCoordinator returns a gateway of a large region that coordinates one of its
// endpoints, which have just started, and the endpoint's id.
func newPacedCoordinator(t *testing.T) (*cluster, *Edge, string) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	north := c.regions["north"]
	require.True(t, north.edge.Gateways.IsSettled(time.Now()))
	north.makeLarge(&fakeGrants{})
	north.setPace()
	coordinated := ""
	for i := 0; coordinated == ""; i++ {
		id := fmt.Sprint("n", i)
		c.startEndpoint(id, "north-a")
		if north.edge.coordinators(time.Now()).coordinatorOf(id) == "gw-north" {
			coordinated = id
		}
	}
	return c, north.edge, coordinated
}

// TestCoordinatorKeepsTheWindow checks that a coordinator gives out one window to all
// gateways of its region, tells how long the request would take, and lets a request that
// nobody else can serve exceed it.
func TestCoordinatorKeepsTheWindow(t *testing.T) {
	_, e, id := newPacedCoordinator(t)
	req := grants.Request{Service: "s", PromptTokens: 10, TimeToObjectiveMillis: 1000, EstimateLimitMillis: 1000, HardLimitMillis: 1000, OnlyEndpoint: id}
	now := time.Now()
	for range 4 {
		response := e.Grant(req, now)
		require.Equal(t, id, response.Endpoint)
		require.True(t, response.Paced)
	}
	response := e.Grant(req, now)
	require.Empty(t, response.Endpoint)
	require.Equal(t, string(reasonPaced), response.Reason)
	require.Positive(t, response.EstimateMillis)
	req.OnlyEndpoint = ""
	require.Equal(t, id, e.Grant(req, now).Endpoint)

	e.RecordPaceReport(grants.NewPaceReport(id, 0, pace.Sample{Result: pace.Refused}), now)
	require.Equal(t, string(placement.NoEndpoint), e.Grant(req, now).Reason, "one more would be refused too")
}

// fakeReporter implements PaceReporter.
type fakeReporter struct {
	mu      sync.Mutex
	reports map[string][]grants.PaceReport
}

func (f *fakeReporter) ReportPace(address string, r grants.PaceReport) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[address] = append(f.reports[address], r)
	return nil
}

// TestCoordinatorIsToldOfResponses checks that a gateway of a large region tells the
// coordinator of an endpoint how it responds, if either keeps a window.
func TestCoordinatorIsToldOfResponses(t *testing.T) {
	c, e, own := newPacedCoordinator(t)
	reporter := &fakeReporter{reports: make(map[string][]grants.PaceReport)}
	e.PaceReporter = reporter
	other := c.startEndpoint("other-1", "north-a")
	for i := 2; e.coordinators(time.Now()).coordinatorOf(other.id) == "gw-north"; i++ {
		other = c.startEndpoint(fmt.Sprint("other-", i), "north-a")
	}
	coordinator := e.coordinators(time.Now()).coordinatorOf(other.id)
	send := func(id string) {
		p := c.regions["north"].place(t, "id")
		p.decision.Candidate.ID = id
		p.decision.Estimate = 5 * time.Millisecond
		p.session.attempt(t.Context(), p.decision)
	}
	send(own)
	require.Empty(t, reporter.reports)
	send(other.id)
	require.Len(t, reporter.reports[coordinator], 1)
	require.Equal(t, other.id, reporter.reports[coordinator][0].Endpoint)
	require.Equal(t, int64(5), reporter.reports[coordinator][0].ExpectedMillis)
	e.Pace.Forget(other.id)
	send(other.id)
	require.Len(t, reporter.reports[coordinator], 1, "nobody keeps a window")
	e.pacing.recordGrant(grants.Request{}, grants.Response{Endpoint: other.id, Paced: true}, time.Now())
	send(other.id)
	require.Len(t, reporter.reports[coordinator], 2)
}

// TestCoordinatorLearnsOfUnreachableEndpoints checks that an endpoint that another gateway
// could not reach gets a window at its coordinator, and that the report of it is sent though
// nobody keeps one.
func TestCoordinatorLearnsOfUnreachableEndpoints(t *testing.T) {
	c, e, own := newPacedCoordinator(t)
	view, _ := e.Registry.Get(own)
	e.observePace(view, time.Now())
	e.Pace.Forget(own)
	e.RecordPaceReport(grants.NewPaceReport(own, 9, pace.Sample{Result: pace.Unreachable}), time.Now())
	e.observePace(view, time.Now())
	require.False(t, e.Pace.HasWindow(own, 0, time.Now()), "another incarnation")
	e.RecordPaceReport(grants.NewPaceReport(own, 0, pace.Sample{Result: pace.Unreachable}), time.Now())
	e.observePace(view, time.Now())
	require.True(t, e.Pace.HasWindow(own, 0, time.Now()))

	reporter := &fakeReporter{reports: make(map[string][]grants.PaceReport)}
	e.PaceReporter = reporter
	id := "gone-1"
	for i := 2; e.coordinators(time.Now()).coordinatorOf(id) == "gw-north"; i++ {
		id = fmt.Sprint("gone-", i)
	}
	c.addUnreachableEndpoint(id, "north-a")
	p := c.regions["north"].place(t, "id")
	e.Pace.Forget(id)
	p.decision.Candidate.ID = id
	p.session.attempt(t.Context(), p.decision)
	require.Len(t, reporter.reports[e.coordinators(time.Now()).coordinatorOf(id)], 1)
}

// TestDeniedEndpointsAreAskedForLast guards against requests that ask for endpoints without
// room only, while others of the region have room.
func TestDeniedEndpointsAreAskedForLast(t *testing.T) {
	f := &fakeGrants{}
	var asked []string
	f.respond = func(_ string, req grants.Request) (grants.Response, error) {
		asked = append(asked, req.OnlyEndpoint)
		if len(asked) <= placement.MaxGrantRequests {
			return grants.Response{Reason: string(reasonPaced)}, nil
		}
		return grants.Response{Endpoint: req.OnlyEndpoint, EstimateMillis: 5}, nil
	}
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	north := c.regions["north"]
	north.makeLarge(f)
	north.setPace()
	for i, n := 0, 0; n < 8; i++ {
		if id := fmt.Sprint("n", i); north.edge.coordinators(time.Now()).coordinatorOf(id) != "gw-north" {
			c.startEndpoint(id, "north-a")
			n++
		}
	}
	require.Equal(t, http.StatusServiceUnavailable, north.callModel().status, "no estimate, so nobody else is asked")
	require.Equal(t, http.StatusOK, north.callModel().status)
	require.Len(t, asked, placement.MaxGrantRequests+1)
	require.NotContains(t, asked[:placement.MaxGrantRequests], asked[placement.MaxGrantRequests])
}
