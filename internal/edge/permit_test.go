package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/requestlimit"
	"github.com/hickorystage/hickorystage/internal/transport"
)

const (
	// simulatedLimit is the limit that the endpoints of these tests name, in requests a
	// second, limitedEndpoints their number.
	simulatedLimit   = 2.2
	limitedEndpoints = 6
	// simulatedHeartbeat is the time between two heartbeats of a gateway in a large region.
	simulatedHeartbeat = 450 * time.Millisecond
	// countedTime is the time in which an endpoint's requests are counted.
	countedTime = 4 * time.Second
)

// gatewaysOfOneRegion is the number of gateways that share an endpoint's limit.
func gatewaysOfOneRegion() int {
	if raceDetector {
		return 60
	}
	return 295
}

// limitedRegion simulates the gateways of one region whose endpoints name a limit.
type limitedRegion struct {
	random   *rand.Rand
	gateways []*simulatedGateway
	byID     map[string]*simulatedGateway
	// hears reports whether a datagram from one gateway reaches another one now.
	hears func(from, to *simulatedGateway) bool
	// sends holds when each endpoint got requests from gateways that knew of its limit,
	// unaware the number of those from others.
	sends   map[string][]time.Time
	unaware int
}

// simulatedGateway is one gateway, which has been started so many times.
type simulatedGateway struct {
	region *limitedRegion
	index  int
	edge   *Edge
	seq    uint64
	starts int
	// startedAt is when it was last started.
	startedAt time.Time
}

func newLimitedRegion(hears func(from, to *simulatedGateway) bool) *limitedRegion {
	r := &limitedRegion{random: rand.New(rand.NewPCG(1, 2)), byID: make(map[string]*simulatedGateway), hears: hears, sends: make(map[string][]time.Time)}
	for i := range gatewaysOfOneRegion() {
		g := &simulatedGateway{region: r, index: i}
		r.gateways = append(r.gateways, g)
		g.start()
	}
	return r
}

// start starts the gateway, again under its id.
func (g *simulatedGateway) start() {
	id := fmt.Sprint("gw-", g.index)
	g.starts++
	g.seq, g.startedAt = 0, time.Now()
	g.edge = New(Config{
		Board:            blackboard.NewEdge(testSite),
		Gateways:         fleet.NewGateways(fleet.Gateway{ID: id, Incarnation: fmt.Sprint(g.starts), Region: "north", GrantAddress: id}, time.Now()),
		Limits:           requestlimit.New(),
		GatewayTransport: transport.New(nil, time.Second),
		Grants:           g,
		Logger:           log.New(io.Discard),
	})
	g.region.byID[id] = g
}

// sendHeartbeats sends the gateway's status and news of limits to all that hear it.
func (g *simulatedGateway) sendHeartbeats() {
	now := time.Now()
	g.seq++
	status := fleet.GatewayStatus{Gateway: g.edge.Gateways.Self(), Seq: g.seq, Ready: true}
	news := g.edge.Limits.News(now)
	for _, to := range g.region.gateways {
		if to == g || !g.region.hears(g, to) {
			continue
		}
		limits := news
		if to.edge.Gateways.ApplyStatus(status, now) {
			limits = g.edge.Limits.All(now)
		}
		for _, l := range limits {
			to.edge.Limits.Apply(l, now)
		}
	}
}

func (g *simulatedGateway) ReleaseGrant(string, grants.Release) error { return nil }

func (g *simulatedGateway) RequestGrant(context.Context, string, string, grants.Request) (grants.Response, error) {
	return grants.Response{}, errors.New("no grants here")
}

// RequestPermit lets the other gateway decide if the request reaches it. The permit is
// lost if the response doesn't come back.
func (g *simulatedGateway) RequestPermit(_ context.Context, gateway, _ string, req grants.PermitRequest) (grants.PermitResponse, error) {
	other := g.region.byID[gateway]
	noResponse := errors.WithStack(&grants.NoResponseError{Gateway: gateway})
	if !g.region.hears(g, other) {
		return grants.PermitResponse{}, noResponse
	}
	response := other.edge.Permit(req, time.Now())
	if !g.region.hears(other, g) {
		return grants.PermitResponse{}, noResponse
	}
	return response, nil
}

// request sends a request to the endpoint if the gateway may. The endpoint's response
// names the limit.
func (g *simulatedGateway) request(ctx context.Context, endpoint string) {
	now := time.Now()
	view := fleet.EndpointView{Endpoint: fleet.Endpoint{ID: endpoint}}
	s := &session{edge: g.edge}
	if g.edge.Limits.Remaining(endpoint, 0, now) > 0 || !s.takePermit(ctx, view) {
		return
	}
	if _, known := g.edge.Limits.Get(endpoint, 0, now); known {
		g.region.sends[endpoint] = append(g.region.sends[endpoint], now)
	} else {
		g.region.unaware++
	}
	limit := simulatedLimit
	g.edge.Limits.Record(endpoint, 0, &limit, now, now)
}

// run lets requests arrive at all gateways, ten times as many as the endpoints take. each
// is called at each step.
func (r *limitedRegion) run(ctx context.Context, d time.Duration, each func(step int)) {
	const interval = 10 * time.Millisecond
	perStep := 10 * simulatedLimit * limitedEndpoints * interval.Seconds()
	for step := range int(d / interval) {
		each(step)
		for i, g := range r.gateways {
			if (step+i)%int(simulatedHeartbeat/interval) == 0 {
				g.sendHeartbeats()
			}
		}
		for n := perStep; n > 0 && r.random.Float64() < n; n-- {
			g := r.gateways[r.random.IntN(len(r.gateways))]
			g.request(ctx, fmt.Sprint("e", r.random.IntN(limitedEndpoints)))
		}
		time.Sleep(interval)
	}
}

// settle lets the gateways find each other and the first of them learn of the limits.
func (r *limitedRegion) settle() {
	for range 10 {
		for _, g := range r.gateways {
			g.sendHeartbeats()
		}
		time.Sleep(simulatedHeartbeat)
	}
	limit := simulatedLimit
	for i := range limitedEndpoints {
		for _, g := range r.gateways[:len(r.gateways)/2] {
			g.edge.Limits.Record(fmt.Sprint("e", i), 0, &limit, time.Now(), time.Now())
		}
	}
}

// mostSent returns the largest number of requests that one endpoint got in countedTime.
func (r *limitedRegion) mostSent() int {
	most := 0
	for _, sends := range r.sends {
		first := 0
		for i, at := range sends {
			for at.Sub(sends[first]) >= countedTime {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// TestLimitHoldsForTheSumOfAllGateways guards against a limit that gateways keep each for
// itself, or in which those that can't hear each other, or have restarted, overlap.
func TestLimitHoldsForTheSumOfAllGateways(t *testing.T) {
	isThird := func(g *simulatedGateway) bool { return g.index%3 == 0 }
	for name, tc := range map[string]struct {
		// cut reports whether datagrams from one gateway don't reach another.
		cut func(r *limitedRegion, from, to *simulatedGateway) bool
		// each is called every 10 ms.
		each func(r *limitedRegion, step int)
		// least is the number of requests that the endpoints get in 20 s.
		least float64
	}{
		"calm": {least: 0.9 * simulatedLimit * 20 * limitedEndpoints},
		"a third cut off, each alone": {
			cut: func(_ *limitedRegion, from, to *simulatedGateway) bool { return isThird(from) || isThird(to) },
		},
		"two halves": {
			cut: func(r *limitedRegion, from, to *simulatedGateway) bool {
				return from.index < len(r.gateways)/2 != (to.index < len(r.gateways)/2)
			},
		},
		"a third hears nobody": {
			cut: func(_ *limitedRegion, _, to *simulatedGateway) bool { return isThird(to) },
		},
		"nobody hears a third": {
			cut: func(_ *limitedRegion, from, _ *simulatedGateway) bool { return isThird(from) },
		},
		"a third slow to hear": {
			cut:   func(r *limitedRegion, _, to *simulatedGateway) bool { return isThird(to) && r.random.IntN(10) < 8 },
			least: 0.4 * simulatedLimit * 20 * limitedEndpoints,
		},
		"a third restarted, one after the other": {
			each: func(r *limitedRegion, step int) {
				if g := r.gateways[step%len(r.gateways)]; isThird(g) && g.starts == 1 {
					g.start()
				}
			},
			least: 0.4 * simulatedLimit * 20 * limitedEndpoints,
		},
		"a third restarted at once": {
			each: func(r *limitedRegion, step int) {
				for _, g := range r.gateways {
					if step == 300 && isThird(g) {
						g.start()
					}
				}
			},
			least: 0.4 * simulatedLimit * 20 * limitedEndpoints,
		},
		"a third restarted at once, which first hear few": {
			cut: func(_ *limitedRegion, from, to *simulatedGateway) bool {
				isNeighbour := from.index == to.index+1 || from.index == to.index-1
				return to.starts > 1 && !isNeighbour && time.Since(to.startedAt) < 1500*time.Millisecond
			},
			each: func(r *limitedRegion, step int) {
				for _, g := range r.gateways {
					if step == 300 && isThird(g) {
						g.start()
					}
				}
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				r := newLimitedRegion(func(_, _ *simulatedGateway) bool { return true })
				r.settle()
				began := time.Now()
				if tc.cut != nil {
					r.hears = func(from, to *simulatedGateway) bool { return !tc.cut(r, from, to) }
				}
				r.run(t.Context(), 21*time.Second, func(step int) {
					if tc.each != nil {
						tc.each(r, step)
					}
				})
				sent := 0
				for endpoint, sends := range r.sends {
					for len(sends) > 0 && sends[0].Sub(began) < time.Second {
						sends = sends[1:]
					}
					r.sends[endpoint] = sends
					sent += len(sends)
				}
				require.LessOrEqual(t, float64(r.mostSent()), 1.5*simulatedLimit*countedTime.Seconds()+5)
				require.GreaterOrEqual(t, float64(sent), tc.least, "endpoints get what they take")
				t.Logf("most in 4 s: %d, per second and endpoint: %.2f, unaware %d", r.mostSent(), float64(sent)/20/limitedEndpoints, r.unaware)
			})
		})
	}
}

// TestStartingAndLeavingGatewaysGiveOutNoPermits guards against a gateway that takes
// itself for the coordinator since it doesn't know the others yet, or still does when the
// others have replaced it.
func TestStartingAndLeavingGatewaysGiveOutNoPermits(t *testing.T) {
	c := newCluster(t)
	req := grants.PermitRequest{Limit: requestlimit.Limit{ID: "e1", PerSecond: 100}}
	now := time.Now()
	for name, tc := range map[string]struct {
		startedAt time.Time
		leaving   bool
		granted   bool
	}{
		"long running": {startedAt: now.Add(-time.Minute), granted: true},
		"starting":     {startedAt: now.Add(-time.Second)},
		"leaving":      {startedAt: now.Add(-time.Minute), leaving: true},
	} {
		e := c.startGatewayAt("gw", "north", tc.startedAt).edge
		if tc.leaving {
			e.Gateways.SetLeaving()
		}
		require.False(t, e.Permit(req, now).Granted, name)
		require.Equal(t, tc.granted, e.Permit(req, now.Add(100*time.Millisecond)).Granted, name)
	}
}
