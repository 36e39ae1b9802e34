package edge

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/backoff"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// Sizes of a fleet of hundreds of gateways, by region.
var (
	sizeGateways  = map[string]int{"north": 100, "middle": 100, "south": 100}
	sizeEndpoints = map[string]int{"north": 80, "middle": 50, "south": 30}
)

// newLargeFleet returns the Edge of one gateway in the region north of a fleet of
// hundreds of gateways and endpoints.
func newLargeFleet(t testing.TB, f *fakeGrants) *Edge {
	now := time.Now()
	regions := map[string]string{}
	for region := range sizeGateways {
		regions[region+"-a"] = region
	}
	e := New(Config{
		Board:             blackboard.NewEdge(&settings.PlatformSettings{HeartbeatInterval: time.Second, Regions: regions}),
		Registry:          fleet.NewRegistry(regions),
		Gateways:          fleet.NewGateways(fleet.Gateway{ID: "gw-north-self", Region: "north"}, time.Now()),
		Codec:             testCodec{},
		Loads:             endpointload.New(),
		Pauses:            backoff.New[int64](),
		Quarantine:        quarantine.New(),
		RequestQuarantine: quarantine.NewOfRequests(),
		GatewayTransport:  transport.New(nil, time.Second),
		Grants:            f,
		Logger:            log.New(io.Discard),
	})
	for region, n := range sizeGateways {
		for i := range n {
			id := fmt.Sprintf("gw-%s-%d", region, i)
			e.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: fleet.Gateway{ID: id, Incarnation: "1", Region: region, GrantAddress: id}, Seq: 1, Ready: true}, now.Add(time.Hour))
		}
	}
	for region, n := range sizeEndpoints {
		for i := range n {
			id := fmt.Sprintf("e-%s-%d", region, i)
			e.Registry.Apply([]fleet.Entry{{ID: id, Endpoint: &fleet.Endpoint{ID: id, Service: "s", DataCentre: region + "-a", Slots: 64, Address: id}}}, now)
		}
	}
	table := route.NewTable(1, []*route.Route{{
		Host: "a.example", Prefix: "/q/", Kind: route.Idempotent, Targets: []route.Target{{Service: "s"}},
		Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: 1,
	}}, []*route.Service{{Name: "s", Engine: &route.Engine{CacheTokens: 400_000}}}, route.Limits{})
	e.Board.Routes.Set(table)
	return e
}

// newSizeSession returns a session for the n-th request, with a prompt.
func newSizeSession(e *Edge, n int) *session {
	table := e.Board.Routes.Get()
	s := &session{
		edge: e, table: table, route: table.Match("a.example", "/q/"), tried: map[string]bool{}, arrived: time.Now(),
		req: httpmeta.Request{AttemptID: fmt.Sprint(n), Prompt: &httpmeta.PromptInfo{
			Model: "m", Tokens: 2000, MaxOutputTokens: 100,
			Segments: []httpmeta.PromptSegment{{ID: fmt.Sprint(n % 50), Tokens: 500}, {ID: fmt.Sprint(n), Tokens: 1500}},
		}},
	}
	s.service = s.serviceNamed("s")
	s.readSegments()
	s.setDeadline()
	return s
}

var errNoCoordinator = errors.New("no coordinator")

// BenchmarkPlaceInALargeFleet measures one decision of a gateway that receives a
// request, without the decisions of coordinators.
func BenchmarkPlaceInALargeFleet(b *testing.B) {
	e := newLargeFleet(b, &fakeGrants{respond: func(string, grants.Request) (grants.Response, error) {
		return grants.Response{}, errNoCoordinator
	}})
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		_, ok := newSizeSession(e, n).place(context.Background())
		require.True(b, ok)
	}
}

// BenchmarkGrantInALargeFleet measures one decision of a coordinator.
func BenchmarkGrantInALargeFleet(b *testing.B) {
	e := newLargeFleet(b, &fakeGrants{})
	var own string
	for _, view := range e.Registry.Usable("s", time.Second, time.Now()) {
		if coords := e.coordinators(time.Now()); view.Region == "north" && coords.coordinatorOf(view.ID) == coords.selfID {
			own = view.ID
		}
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		s := newSizeSession(e, n)
		now := time.Now()
		req := s.grantRequest(s.placementRequest(now), time.Second)
		req.OnlyEndpoint = own
		e.Grant(req, now)
	}
}
