package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/placement"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

// Grants asks other gateways for places at the endpoints that they coordinate.
type Grants interface {
	// RequestGrant asks the gateway with the given id and address.
	RequestGrant(ctx context.Context, gateway, address string, q grants.Request) (grants.Response, error)
}

// coordinators are the gateways of the own region among which its endpoints are
// shared out, this one included. Asking and answering gateways work them out by
// themselves.
type coordinators struct {
	self string
	ids  []string
	// byID holds all but this gateway.
	byID map[string]fleet.GatewayStatus
}

// coordinators returns those that are believed to be alive.
func (e *Edge) coordinators(now time.Time) coordinators {
	self := e.Gateways.Self()
	alive := e.Gateways.Alive(self.Region, now)
	c := coordinators{self: self.ID, ids: make([]string, 0, len(alive)+1), byID: make(map[string]fleet.GatewayStatus, len(alive))}
	c.ids = append(c.ids, self.ID)
	for _, g := range alive {
		c.ids = append(c.ids, g.ID)
		c.byID[g.ID] = g
	}
	return c
}

// of returns the coordinator of an endpoint. Gateways that know the same others
// agree on it; while they don't, two may admit requests to one endpoint.
func (c coordinators) of(endpoint string) string {
	var best string
	var most uint64
	for _, id := range c.ids {
		if w := rendezvous.Weight(coordinatorKey+endpoint, id); best == "" || w > most || w == most && id < best {
			best, most = id, w
		}
	}
	return best
}

// coordinatorKey begins the keys by which endpoints are shared out.
const coordinatorKey = "coordinator "

// Grant decides on a question of a gateway of this region, by the queues of the
// endpoints that this one coordinates. It implements grants.Decider.
func (e *Edge) Grant(q grants.Request, now time.Time) grants.Response {
	return e.grant(q, now, func(b fleet.EndpointView) bool { return !b.IsCold(e.heartbeat(), now) })
}

// grant decides among the coordinated endpoints that may be used.
func (e *Edge) grant(q grants.Request, now time.Time, usable func(fleet.EndpointView) bool) grants.Response {
	born := make(map[string]int64)
	candidates := e.coordinated(q, now, func(b fleet.EndpointView) bool {
		born[b.ID] = b.Incarnation
		return usable(b)
	})
	d := placement.DecideGrant(placement.Request{
		PromptTokens: q.PromptTokens, SharedTokens: q.SharedTokens, OutputTokens: q.OutputTokens, Priority: q.Priority, ResponseStarted: q.ResponseStarted,
		TimeToObjective: time.Duration(q.TimeToObjectiveMillis) * time.Millisecond,
		TimeToDeadline:  time.Duration(q.HardLimitMillis) * time.Millisecond,
	}, candidates, time.Duration(q.EstimateLimitMillis)*time.Millisecond)
	if d.Kind != placement.Serve {
		return grants.Response{Reason: string(d.Reason), EstimateMillis: d.Estimate.Milliseconds()}
	}
	c := d.Candidate
	e.Loads.RecordGrant(c.ID, born[c.ID], endpointload.Job{
		Service: q.Service, PromptTokens: q.PromptTokens, CachedTokens: c.CachedTokens, OutputTokens: q.OutputTokens, Priority: q.Priority, Segments: q.Segments,
	}, now)
	return grants.Response{
		Endpoint: c.ID, EstimateMillis: d.Estimate.Milliseconds(), CachedTokens: c.CachedTokens,
		QueuedPrefillMillis: c.QueuedPrefill.Milliseconds(), PrefillUtilizationPercent: int(percent * c.PrefillUtilization),
	}
}

// coordinated returns the endpoints of a service that this gateway coordinates.
func (e *Edge) coordinated(q grants.Request, now time.Time, usable func(fleet.EndpointView) bool) []placement.Candidate {
	own := e.Gateways.Self().Region
	all, capacity := e.coordinators(now), e.cacheTokens(q.Service)
	var out []placement.Candidate
	top := -1
	for _, b := range e.Registry.Usable(q.Service, e.heartbeat(), now) {
		if b.Region != own || all.of(b.ID) != all.self || !q.Admits(b.ID) || !usable(b) {
			continue
		}
		c, ok := e.Loads.Candidate(endpointload.Query{
			ID: b.ID, Incarnation: b.Incarnation, Service: b.Service, Segments: q.Segments, Priority: q.Priority,
			Slots: b.Slots, KVCapacity: capacity, Coordinated: true,
		}, now)
		if !ok {
			continue
		}
		c.Region = b.Region
		c.Rank = rendezvous.Weight(q.RankKey, b.ID)
		out = append(out, c)
		if top < 0 || c.Rank > out[top].Rank {
			top = len(out) - 1
		}
	}
	if top >= 0 && len(q.Segments) > 1 {
		out[top].IsPrefixHome = true
	}
	return out
}

// cacheTokens is the memory of a service's engines in tokens, 0 if unknown.
func (e *Edge) cacheTokens(service string) int {
	table := e.Board.Routes.Get()
	if table == nil {
		return 0
	}
	if s, ok := table.Services[service]; ok && s.Engine != nil {
		return s.Engine.CacheTokens
	}
	return 0
}

// asked is what the coordinators of the own region said.
type asked struct {
	// decision is set if one of them granted a place.
	decision placement.Decision
	granted  bool
	// denied says that every one that answered had no place, and any did.
	denied bool
	// soonest is the coordinator with the shortest estimate of those that had
	// none, empty if none told one.
	soonest         string
	soonestEstimate time.Duration
	// asks is the number of questions.
	asks int
}

// ask asks for the endpoints that rank first among the given candidates, each at
// its coordinator.
func (s *session) ask(ctx context.Context, req placement.Request, candidates []placement.Candidate, now time.Time) asked {
	var out asked
	near := nearByRank(candidates)
	all := s.edge.coordinators(now)
	for n, c := range near[:min(placement.MaxGrantRequests, len(near))] {
		q := s.question(req, placement.GrantLimit(req, c.PrefillTimePerToken, n))
		q.OnlyEndpoint = c.ID
		s.askOne(ctx, &out, all, all.of(c.ID), q, near)
		if out.granted || ctx.Err() != nil {
			break
		}
	}
	return out
}

// askLast asks the coordinator that told the shortest wait for any of its
// endpoints, for a request that finds no better place.
func (s *session) askLast(ctx context.Context, out *asked, req placement.Request, candidates []placement.Candidate, now time.Time) {
	within := placement.FinalGrantLimit(req)
	if out.granted || out.soonest == "" || out.soonestEstimate > within {
		return
	}
	s.askOne(ctx, out, s.edge.coordinators(now), out.soonest, s.question(req, within), nearByRank(candidates))
}

// nearByRank returns the candidates of the own region, the first by rank first.
func nearByRank(candidates []placement.Candidate) []placement.Candidate {
	near := make([]placement.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if !c.Remote {
			near = append(near, c)
		}
	}
	slices.SortFunc(near, func(a, b placement.Candidate) int { return cmp.Compare(b.Rank, a.Rank) })
	return near
}

// askOne asks one coordinator, which may be this gateway itself, and notes what
// it says.
func (s *session) askOne(ctx context.Context, out *asked, all coordinators, id string, q grants.Request, near []placement.Candidate) {
	answer, err := s.answerOf(ctx, all, id, q)
	if err != nil {
		s.log("not_granted", "coordinator", id, "err", err)
		return
	}
	out.asks++
	for _, place := range near {
		if place.ID != answer.Endpoint {
			continue
		}
		place.QueuedPrefill = time.Duration(answer.QueuedPrefillMillis) * time.Millisecond
		place.PrefillUtilization, place.CachedTokens = float64(answer.PrefillUtilizationPercent)/percent, answer.CachedTokens
		out.decision = placement.Decision{Kind: placement.Serve, Candidate: place, Estimate: answer.Estimate()}
		out.granted = true
		return
	}
	out.denied = true
	if estimate := answer.Estimate(); estimate > 0 && (out.soonest == "" || estimate < out.soonestEstimate) {
		out.soonest, out.soonestEstimate = id, estimate
	}
}

func (s *session) answerOf(ctx context.Context, all coordinators, id string, q grants.Request) (grants.Response, error) {
	if id == all.self {
		now := time.Now()
		return s.edge.grant(q, now, func(b fleet.EndpointView) bool { return s.mayUseCold(b, now) }), nil
	}
	return s.edge.Grants.RequestGrant(ctx, id, all.byID[id].GrantAddress, q)
}

func (s *session) question(req placement.Request, within time.Duration) grants.Request {
	q := grants.Request{
		Service: s.service.Name, RankKey: s.rankKey(), PromptTokens: req.PromptTokens, SharedTokens: req.SharedTokens, OutputTokens: req.OutputTokens,
		Priority: req.Priority, TimeToObjectiveMillis: req.TimeToObjective.Milliseconds(), EstimateLimitMillis: within.Milliseconds(),
		HardLimitMillis: placement.FinalGrantLimit(req).Milliseconds(),
		ResponseStarted: req.ResponseStarted, Segments: s.parts,
	}
	for id := range s.tried {
		q.ExcludedEndpoints = append(q.ExcludedEndpoints, id)
	}
	return q
}
