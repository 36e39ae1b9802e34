package endpointload

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/placement"
)

// The simulated small service: more gateways than slots, as in a large region, and reports
// between gateways that are older than most requests last.
const (
	smallGateways  = 25
	smallEndpoints = 2
	smallSlots     = 6
	smallQueue     = 24
	smallWork      = 60 * time.Millisecond
	reportInterval = 500 * time.Millisecond
)

// smallEvent is the end of a request or, if req is nil, an arrival or a report.
type smallEvent struct {
	at       time.Time
	endpoint int
	gateway  int
	grant    uint64
	req      *ActiveRequest
}

type smallEvents []smallEvent

func (e smallEvents) Len() int           { return len(e) }
func (e smallEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e smallEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *smallEvents) Push(x any)        { *e = append(*e, x.(smallEvent)) }
func (e *smallEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// smallResult counts what callers get.
type smallResult struct {
	arrivals, answered, inTime int
	// refusedHere were refused by their gateway, refusedThere by the endpoint, which had
	// no room.
	refusedHere, refusedThere int
}

// smallService plays a load on the service. coordinated decides through one tracker for
// each endpoint, otherwise each gateway decides by its own view. lostReleases is the share
// of releases that don't arrive.
type smallService struct {
	coordinated  bool
	lostReleases float64
	// load is relative to the capacity of the endpoints.
	load     float64
	duration time.Duration
	// replaceAt is when the coordinators are replaced by ones that know of no grant.
	replaceAt time.Duration
}

func (s smallService) run(t *testing.T) smallResult {
	t.Helper()
	random, losses := rand.New(rand.NewPCG(7, 0)), rand.New(rand.NewPCG(8, 0))
	gateways := make([]*Tracker, smallGateways)
	for i := range gateways {
		gateways[i] = New()
	}
	coordinators := make([]*Tracker, smallEndpoints)
	for i := range coordinators {
		coordinators[i] = gateways[i]
	}
	inFlight := make([][]time.Time, smallEndpoints)
	var ends smallEvents
	var result smallResult
	grant, nextReport := uint64(0), start
	mean := time.Duration(float64(smallWork) / smallSlots / smallEndpoints / s.load)
	for now := start; now.Before(at(s.duration)); now = now.Add(time.Duration(random.ExpFloat64() * float64(mean))) {
		for len(ends) > 0 && !ends[0].at.After(now) {
			e := heap.Pop(&ends).(smallEvent)
			e.req.End(Succeeded, e.at)
			if s.coordinated && losses.Float64() >= s.lostReleases {
				coordinators[e.endpoint].ReleaseSlot(fmt.Sprint("e", e.endpoint), e.grant)
			}
		}
		if !now.Before(nextReport) {
			for i, g := range gateways {
				loads := g.Loads(now)
				for j := range gateways {
					if i != j {
						gateways[j].ApplyGatewayLoads(fmt.Sprint("g", i), loads, now)
					}
				}
			}
			nextReport = now.Add(reportInterval)
		}
		if s.replaceAt > 0 && !now.Before(at(s.replaceAt)) {
			coordinators = gateways[smallEndpoints : 2*smallEndpoints]
		}
		result.arrivals++
		gateway := random.IntN(smallGateways)
		grant++
		d := s.place(gateways[gateway], coordinators, grant, random.IntN(smallEndpoints), now)
		if d.Kind != placement.Serve {
			require.Positive(t, d.RetryAfter)
			result.refusedHere++
			continue
		}
		var endpoint int
		_, _ = fmt.Sscanf(d.Candidate.ID, "e%d", &endpoint)
		queue := inFlight[endpoint]
		for len(queue) > 0 && !queue[0].After(now) {
			queue = queue[1:]
		}
		if len(queue) >= smallSlots+smallQueue {
			result.refusedThere++
			coordinators[endpoint].ReleaseSlot(d.Candidate.ID, grant)
			continue
		}
		begin := now
		if n := len(queue) - smallSlots; n >= 0 {
			begin = queue[n]
		}
		end := begin.Add(smallWork)
		inFlight[endpoint] = append(queue, end)
		job := Job{Service: "calls"}
		if s.coordinated {
			job.Ahead, job.Slots = d.Candidate.Running+d.Candidate.Waiting, smallSlots
		}
		heap.Push(&ends, smallEvent{at: end, endpoint: endpoint, gateway: gateway, grant: grant, req: gateways[gateway].Begin(d.Candidate.ID, 0, job, now)})
		result.answered++
		if end.Sub(now) <= smallObjective {
			result.inTime++
		}
	}
	return result
}

const (
	smallObjective = 500 * time.Millisecond
	smallDeadline  = 3 * time.Second
)

// place decides for one request, beginning with the endpoint first.
func (s smallService) place(gateway *Tracker, coordinators []*Tracker, grant uint64, first int, now time.Time) placement.Decision {
	req := placement.Request{TimeToObjective: smallObjective, TimeToDeadline: smallDeadline, StaleView: true, HashFraction: float64(first)}
	query := func(i int) Query {
		return Query{ID: fmt.Sprint("e", i), Service: "calls", Slots: smallSlots, Coordinated: s.coordinated, HoldsSlots: s.coordinated}
	}
	var d placement.Decision
	if !s.coordinated {
		var candidates []placement.Candidate
		for i := range smallEndpoints {
			c, _ := gateway.Candidate(query(i), now)
			c.Rank = uint64((i + first) % smallEndpoints)
			candidates = append(candidates, c)
		}
		return placement.Decide(req, candidates)
	}
	for n := range smallEndpoints {
		i := (first + n) % smallEndpoints
		c, _ := coordinators[i].Candidate(query(i), now)
		d = placement.DecideGrant(req, []placement.Candidate{c}, placement.GrantLimit(req, 0, n))
		if d.Kind == placement.Serve {
			coordinators[i].HoldSlot(c.ID, 0, grant, smallDeadline, now)
			return d
		}
	}
	return d
}

// TestSmallServiceRefusesNextToNothing guards against some twenty gateways that each take
// the same slot of a small service for free, so that its endpoints refuse every third
// request in a peak.
func TestSmallServiceRefusesNextToNothing(t *testing.T) {
	for _, load := range []float64{0.6, 0.95, 1.5} {
		alone := smallService{load: load, duration: 20 * time.Second}.run(t)
		together := smallService{load: load, duration: 20 * time.Second, coordinated: true}.run(t)
		t.Logf("load %.2f: each gateway alone %+v, coordinated %+v", load, alone, together)
		require.LessOrEqual(t, together.refusedThere, together.arrivals/1000)
		require.GreaterOrEqual(t, together.inTime, alone.inTime)
		require.Equal(t, together.answered, together.inTime, "what is admitted is answered in time")
		if load < 1 {
			require.Less(t, together.refusedHere, together.arrivals/50, "there is room")
		}
	}
}

// TestLostReleasesDontCloseASmallService guards against grants that are held for good
// because their release was lost.
func TestLostReleasesDontCloseASmallService(t *testing.T) {
	r := smallService{load: 0.6, duration: 20 * time.Second, coordinated: true, lostReleases: 0.02}.run(t)
	t.Logf("%+v", r)
	require.Less(t, r.refusedHere, r.arrivals/20)
	l := New()
	for grant := range uint64(18) {
		l.HoldSlot("e0", 0, grant+1, smallDeadline, start)
	}
	q := Query{ID: "e0", Service: "calls", Slots: smallSlots, Coordinated: true, HoldsSlots: true}
	c, _ := l.Candidate(q, at(smallDeadline-1))
	require.Equal(t, 18, c.Running+c.Waiting)
	c, _ = l.Candidate(q, at(smallDeadline))
	require.Zero(t, c.Running+c.Waiting, "no request outlasts its deadline")
	l.HoldSlot("e0", 0, 1, 1<<62, start)
	c, _ = l.Candidate(q, at(maxHold))
	require.Zero(t, c.Running+c.Waiting, "a deadline that no caller has")
}

// TestNewCoordinatorOfASmallServiceKnowsOfItsLoad guards against a gateway that takes over
// an endpoint with all slots in use, and admits as many requests again.
func TestNewCoordinatorOfASmallServiceKnowsOfItsLoad(t *testing.T) {
	r := smallService{load: 1.5, duration: 20 * time.Second, coordinated: true, replaceAt: 10 * time.Second}.run(t)
	t.Logf("%+v", r)
	require.LessOrEqual(t, r.refusedThere, r.arrivals/1000)
	require.Equal(t, r.answered, r.inTime)
}

// TestServiceTimeLeavesOutTheWait guards against estimates that count the wait of earlier
// requests as work, so that a backlog makes the next estimates longer still.
func TestServiceTimeLeavesOutTheWait(t *testing.T) {
	j := Job{Ahead: 11, Slots: 6}
	require.Equal(t, smallWork, j.withoutWait(2*smallWork))
	j.Ahead = 5
	require.Equal(t, smallWork, j.withoutWait(smallWork))
	require.Equal(t, smallWork, (&Job{Ahead: 11}).withoutWait(smallWork), "not known")
}
