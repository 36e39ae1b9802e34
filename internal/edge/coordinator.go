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

// Grants asks other gateways of the region for grants and permits. A grant admits one
// request to one endpoint of which the asked gateway is the coordinator.
type Grants interface {
	// RequestGrant asks the gateway with the given id at the given address (host:port).
	// It returns an error if there is no response; a refused grant is not an error.
	RequestGrant(ctx context.Context, gateway, address string, req grants.Request) (grants.Response, error)
	// RequestPermit is RequestGrant for a permit, which allows one request to an endpoint
	// that names a limit.
	RequestPermit(ctx context.Context, gateway, address string, req grants.PermitRequest) (grants.PermitResponse, error)
	// ReleaseGrant tells the gateway at the given address that a granted request has ended.
	ReleaseGrant(address string, r grants.Release) error
}

// Grant decides on a request for a grant from another gateway of this region, by
// the load of the endpoints that this gateway coordinates. It grants no cold
// endpoints: only their coordinator sends to those. It implements
// grants.Coordinator.
func (e *Edge) Grant(req grants.Request, now time.Time) grants.Response {
	return e.grant(req, now, func(view fleet.EndpointView) bool { return !view.IsCold(e.heartbeatInterval(), now) })
}

// grant decides among the coordinated endpoints for which usable returns true. A
// granted request counts as load of its endpoint at once.
func (e *Edge) grant(req grants.Request, now time.Time, usable func(fleet.EndpointView) bool) grants.Response {
	e.applySpeed(req, now)
	incarnations := make(map[string]int64)
	candidates := e.coordinated(req, now, func(view fleet.EndpointView) bool {
		incarnations[view.ID] = view.Incarnation
		e.observePace(view, now)
		return usable(view)
	})
	toDeadline := time.Duration(req.TimeToDeadlineMillis) * time.Millisecond
	d := e.decideGrantPaced(req, incarnations, now, placement.Request{
		PromptTokens: req.PromptTokens, SharedTokens: req.SharedTokens, OutputTokens: req.OutputTokens, Priority: req.Priority, HasAccountPriority: req.HasAccountPriority, RoutePriority: req.RoutePriority, ResponseStarted: req.ResponseStarted,
		Outputs: req.Outputs, LongOutputTokens: req.LongTokens, TimeToEnd: toDeadline,
		TimeToObjective: time.Duration(req.TimeToObjectiveMillis) * time.Millisecond,
		TimeToDeadline:  time.Duration(req.HardLimitMillis) * time.Millisecond,
	}, candidates, time.Duration(req.EstimateLimitMillis)*time.Millisecond)
	if d.Kind != placement.Serve {
		return grants.Response{Reason: string(d.Reason), EstimateMillis: d.Estimate.Milliseconds(), RetryAfterMillis: d.RetryAfter.Milliseconds()}
	}
	c := d.Candidate
	if req.GrantID != 0 {
		e.Loads.HoldSlot(c.ID, incarnations[c.ID], req.GrantID, max(toDeadline, time.Duration(req.HardLimitMillis)*time.Millisecond), now)
		return grants.Response{Endpoint: c.ID, EstimateMillis: d.Estimate.Milliseconds(), Ahead: c.Running + c.Waiting, Paced: e.pacing.hasWindow(c.ID, incarnations[c.ID], now)}
	}
	job := endpointload.Job{
		Service: req.Service, PromptTokens: req.PromptTokens, CachedTokens: c.CachedTokens, OutputTokens: req.OutputTokens, Priority: req.Priority, Segments: req.Segments,
		Lengths: endpointload.Lengths{Outputs: req.Outputs, Tokens: req.LongTokens},
	}
	if toDeadline > 0 {
		job.Deadline = now.Add(toDeadline)
	}
	e.Loads.RecordGrant(c.ID, incarnations[c.ID], job, now)
	return grants.Response{
		Endpoint: c.ID, EstimateMillis: d.Estimate.Milliseconds(), ForecastMillis: d.Forecast.Milliseconds(), CachedTokens: c.CachedTokens,
		QueuedPrefillMillis: c.QueuedPrefill.Milliseconds(), PrefillUtilizationPercent: int(percentFactor * c.PrefillUtilization),
		Paced: e.pacing.hasWindow(c.ID, incarnations[c.ID], now),
	}
}

// coordinated returns the candidates for req among the endpoints that this gateway
// coordinates.
func (e *Edge) coordinated(req grants.Request, now time.Time, usable func(fleet.EndpointView) bool) []placement.Candidate {
	local := e.Gateways.Self().Region
	coords, capacity := e.coordinators(now), e.cacheCapacity(req.Service)
	var out []placement.Candidate
	best := -1
	for _, view := range e.Registry.Usable(req.Service, e.heartbeatInterval(), now) {
		if view.Region != local || !req.Admits(view.ID) || !isVersion(view, req.SoftwareVersion) || coords.coordinatorOf(view.ID) != coords.selfID || !usable(view) {
			continue
		}
		c, ok := e.Loads.Candidate(endpointload.Query{
			ID: view.ID, Incarnation: view.Incarnation, Service: view.Service, Segments: req.Segments, Priority: req.Priority,
			Slots: view.Slots, KVCapacity: capacity, Coordinated: true, HoldsSlots: req.GrantID != 0,
		}, now)
		if !ok {
			continue
		}
		c.Region = view.Region
		c.Rank = rendezvous.Weight(req.RankKey, view.ID)
		out = append(out, c)
		_, c.Limited = e.Limits.Get(view.ID, view.Incarnation, now)
		if best < 0 || c.IsBetterHome(&out[best]) {
			best = len(out) - 1
		}
	}
	if best >= 0 && len(req.Segments) > 1 {
		out[best].IsPrefixHome = true
	}
	return out
}

// cacheCapacity returns the cache size of a service's engines in tokens, 0 if
// unknown.
func (e *Edge) cacheCapacity(service string) int {
	table := e.Board.Routes.Get()
	if table == nil {
		return 0
	}
	if s, ok := table.Services[service]; ok && s.Engine != nil {
		return s.Engine.CacheTokens
	}
	return 0
}

// grantResult sums up the responses of the coordinators of the local region.
type grantResult struct {
	// decision is that of the coordinator if granted is set.
	decision placement.Decision
	granted  bool
	// denied is set if a coordinator responded without a grant. If granted is not
	// set, then all that responded did so without a grant.
	denied bool
	// fastest is the id of the coordinator with the shortest estimate among those
	// that granted nothing; empty if none gave an estimate.
	fastest         string
	fastestEstimate time.Duration
	// responses is the number of responses, those of this gateway included.
	responses int
	// retryAfter is the shortest time after which one of the coordinators that refused
	// expects to grant; 0 if none says.
	retryAfter time.Duration
	// reason is that of the last refusal.
	reason placement.Reason
}

// requestGrant asks for the highest-ranked local candidates in turn, each at its
// coordinator, until one is granted.
func (s *session) requestGrant(ctx context.Context, req placement.Request, candidates []placement.Candidate, now time.Time) grantResult {
	var result grantResult
	local := s.edge.pacing.demoteDenied(localByRank(candidates), now)
	coords := s.edge.coordinators(now)
	for n, c := range local[:min(placement.MaxGrantRequests, len(local))] {
		grantReq := s.grantRequest(req, placement.GrantLimit(req, c.PrefillTimePerToken, n))
		grantReq.OnlyEndpoint = c.ID
		s.tellSpeed(&grantReq, now)
		s.requestGrantFrom(ctx, &result, coords, coords.coordinatorOf(c.ID), grantReq, local)
		if result.granted || ctx.Err() != nil {
			break
		}
	}
	return result
}

// requestFallbackGrant asks the coordinator that gave the shortest estimate for a
// grant at any of its endpoints. It serves requests that got no grant otherwise and
// that no other region can take.
func (s *session) requestFallbackGrant(ctx context.Context, result *grantResult, req placement.Request, candidates []placement.Candidate, now time.Time) {
	limit := placement.FinalGrantLimit(req)
	if result.granted || result.fastest == "" || result.fastestEstimate > limit {
		return
	}
	s.requestGrantFrom(ctx, result, s.edge.coordinators(now), result.fastest, s.grantRequest(req, limit), localByRank(candidates))
}

// localByRank returns the candidates of the local region, the highest rank first.
func localByRank(candidates []placement.Candidate) []placement.Candidate {
	local := make([]placement.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if !c.Remote {
			local = append(local, c)
		}
	}
	slices.SortFunc(local, func(a, b placement.Candidate) int { return cmp.Compare(b.Rank, a.Rank) })
	return local
}

// requestGrantFrom asks one coordinator, which may be this gateway itself, and adds
// the response to result. A grant for an endpoint that is not in local counts as
// denied.
func (s *session) requestGrantFrom(ctx context.Context, result *grantResult, coords *coordinators, id string, req grants.Request, local []placement.Candidate) {
	response, err := s.grantResponseOf(ctx, coords, id, req)
	if err != nil {
		s.releaseLost(coords, id, req, local)
		s.log("not_granted", "coordinator", id, "err", err)
		return
	}
	result.responses++
	s.edge.pacing.recordGrant(req, response, time.Now())
	for _, candidate := range local {
		if candidate.ID != response.Endpoint {
			continue
		}
		candidate.QueuedPrefill = time.Duration(response.QueuedPrefillMillis) * time.Millisecond
		candidate.PrefillUtilization, candidate.CachedTokens = float64(response.PrefillUtilizationPercent)/percentFactor, response.CachedTokens
		if req.GrantID != 0 {
			s.grant = slotGrant{coordinator: id, address: coords.others[id].GrantAddress, release: grants.Release{Endpoint: response.Endpoint, GrantID: req.GrantID}, ahead: response.Ahead, slots: candidate.Slots}
		}
		result.decision = placement.Decision{Kind: placement.Serve, Candidate: candidate, Estimate: response.Estimate(), Forecast: time.Duration(response.ForecastMillis) * time.Millisecond}
		result.granted = true
		return
	}
	result.denied, result.reason = true, placement.Reason(response.Reason)
	if response.Endpoint != "" && req.GrantID != 0 {
		s.release(id, coords.others[id].GrantAddress, grants.Release{Endpoint: response.Endpoint, GrantID: req.GrantID})
	}
	if retryAfter := time.Duration(response.RetryAfterMillis) * time.Millisecond; retryAfter > 0 && (result.retryAfter == 0 || retryAfter < result.retryAfter) {
		result.retryAfter = retryAfter
	}
	if estimate := response.Estimate(); estimate > 0 && (result.fastest == "" || estimate < result.fastestEstimate) {
		result.fastest, result.fastestEstimate = id, estimate
	}
}

func (s *session) grantResponseOf(ctx context.Context, coords *coordinators, id string, req grants.Request) (grants.Response, error) {
	if id == coords.selfID {
		now := time.Now()
		return s.edge.grant(req, now, func(view fleet.EndpointView) bool { return s.mayUseCold(view, now) }), nil
	}
	return s.edge.Grants.RequestGrant(ctx, id, coords.others[id].GrantAddress, req)
}

func (s *session) grantRequest(req placement.Request, limit time.Duration) grants.Request {
	grantReq := grants.Request{
		Service: s.service.Name, RankKey: s.rankKey(), PromptTokens: req.PromptTokens, SharedTokens: req.SharedTokens, OutputTokens: req.OutputTokens,
		Outputs: req.Outputs, LongTokens: req.LongOutputTokens,
		Priority: req.Priority, HasAccountPriority: req.HasAccountPriority, RoutePriority: req.RoutePriority, TimeToObjectiveMillis: req.TimeToObjective.Milliseconds(), EstimateLimitMillis: limit.Milliseconds(),
		HardLimitMillis: placement.FinalGrantLimit(req).Milliseconds(), TimeToDeadlineMillis: req.TimeToDeadline.Milliseconds(), GrantID: s.newGrantID(),
		ResponseStarted: req.ResponseStarted, Segments: s.segments, SoftwareVersion: s.stream.version,
	}
	grantReq.ExcludedEndpoints = slices.Clone(s.heldBack)
	for id := range s.tried {
		grantReq.ExcludedEndpoints = append(grantReq.ExcludedEndpoints, id)
	}
	return grantReq
}
