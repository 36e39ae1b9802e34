package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/pace"
	"github.com/hickorystage/hickorystage/internal/placement"
	"github.com/hickorystage/hickorystage/internal/route"
)

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
