package edge

import (
	"context"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/placement"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
	"github.com/hickorystage/hickorystage/internal/route"
)

// remoteReportMaxAge is the greatest age of the load that gateways of other regions
// report: the interval of their heartbeats plus the transit time of one.
const remoteReportMaxAge = 600 * time.Millisecond

// place chooses an endpoint for the request. ok is false if none can take it now; d
// then tells why.
func (s *session) place(ctx context.Context) (d placement.Decision, ok bool) {
	now := time.Now()
	candidates := s.candidates(now)
	req := s.placementRequest(now)
	d, grant := s.decide(ctx, req, candidates, now)
	if d.Kind != placement.Serve {
		if d.Reason == placement.EndsTooLate || d.Reason == placement.DelaysOthers {
			forecastRefusals.Inc()
		}
		s.log("not_placed", "reason", d.Reason, "version", s.table.Version, "candidates", len(candidates),
			"tokens", req.PromptTokens, "left_ms", req.TimeToDeadline.Milliseconds(), "soonest_ms", d.Estimate.Milliseconds(), "outputs", req.Outputs,
			"asks", grant.responses)
		return d, false
	}
	c := d.Candidate
	s.log("placed", "endpoint", c.ID, "region", c.Region, "version", s.table.Version, "candidates", len(candidates),
		"estimate_ms", d.Estimate.Milliseconds(), "forecast_ms", d.Forecast.Milliseconds(), "queued_ms", c.QueuedPrefill.Milliseconds(), "use_pct", int(percentFactor*c.PrefillUtilization),
		"running", c.Running, "waiting", c.Waiting, "tokens", req.PromptTokens, "cached", c.CachedTokens, "home", c.IsPrefixHome,
		"heard_ms", s.entryAge(c.ID, now).Milliseconds(), "asks", grant.responses, "granted", grant.granted)
	return d, true
}

// decide chooses among the candidates. For model requests in a large region, and for
// those to plain services with few slots, it asks the endpoints' coordinators first.
// Everything else, including the local region if no coordinator responds, is decided by
// what this gateway knows of the load.
func (s *session) decide(ctx context.Context, req placement.Request, candidates []placement.Candidate, now time.Time) (placement.Decision, grantResult) {
	hasFewSlots := req.StaleView && req.PromptTokens == 0 && s.hasFewSlots(now)
	if !req.StaleView || req.PromptTokens == 0 && !hasFewSlots {
		return s.decidePaced(req, candidates, now), grantResult{}
	}
	if d, ok := s.spill(req, candidates, now); ok {
		return d, grantResult{}
	}
	grant := s.requestGrant(ctx, req, candidates, now)
	if !grant.granted {
		req.LocalRefused = grant.denied
		d := s.decidePaced(req, candidates, now)
		if d.Kind != placement.Serve && grant.denied {
			s.requestFallbackGrant(ctx, &grant, req, candidates, now)
			d.RetryAfter = max(d.RetryAfter, grant.retryAfter)
			if d.Reason == placement.Full && grant.reason != "" {
				d.Reason = grant.reason
			}
		}
		if !grant.granted {
			grant.decision = d
		}
	}
	switch {
	case !hasFewSlots:
	case grant.granted:
		slotsGranted.Inc()
	case grant.denied:
		slotsRefused.Inc()
	}
	return grant.decision, grant
}

// percentFactor converts a share (0 to 1) to percent.
const percentFactor = 100

// entryAge returns the time since the last entry of an endpoint was learned, 0 for
// an unknown endpoint.
func (s *session) entryAge(id string, now time.Time) time.Duration {
	view, ok := s.edge.Registry.Get(id)
	if !ok {
		return 0
	}
	return now.Sub(view.UpdatedAt)
}

// placementRequest returns what placement has to know of the request.
func (s *session) placementRequest(now time.Time) placement.Request {
	r := placement.Request{
		Priority:        s.priority(),
		RoutePriority:   s.route.Priority,
		TimeToObjective: s.arrived.Add(s.route.Objective).Sub(now),
		TimeToDeadline:  s.deadline.Sub(now),
		StaleView:       !s.edge.Gateways.IsFullMesh(),
		HashFraction:    hashFraction(s.rankKey()),
		ResponseStarted: s.stream.started || s.forwarded != nil && s.forwarded.LastEventID != "",
	}
	r.HasAccountPriority = s.account.HasPriority()
	if p := s.req.Prompt; p != nil {
		r.PromptTokens, r.SharedTokens, r.OutputTokens = p.Tokens, s.sharedTokens, expectedOutputTokens(p)
		if s.edge.ResponseForecast {
			s.forecastLengths(&r)
		}
	}
	return r
}

// forecastLengths sets what the forecast of the whole response has to know of the request.
func (s *session) forecastLengths(r *placement.Request) {
	if s.isWholeStream() {
		s.lengths = s.edge.Loads.ExpectedLengths(s.lengthClass(), r.OutputTokens, s.req.Prompt.MaxOutputTokens)
	}
	r.TimeToEnd = r.TimeToDeadline
	r.Outputs, r.LongOutputTokens = s.lengths.Outputs, s.lengths.Tokens
}

// isWholeStream reports whether the response is a stream from its first event on.
func (s *session) isWholeStream() bool {
	return s.route.Kind == route.Streaming && s.req.LastEventID == "" && s.resumeEventID() == "" && (s.forwarded == nil || s.forwarded.LastEventID == "")
}

// lengthClass returns the class of requests by which the length of the response is learned.
func (s *session) lengthClass() endpointload.LengthClass {
	return endpointload.LengthClass{Route: s.route.Name, Hinted: s.req.Prompt.ExpectedOutputTokens > 0}
}

// hashFraction maps a key to a number from 0 to 1 by a hash.
func hashFraction(key string) float64 {
	return float64(xxhash.Sum64String(key)) / math.MaxUint64
}

// expectedOutputTokens returns the expected length of the response: the caller's hint
// if it is below the limit, half of the limit otherwise.
func expectedOutputTokens(p *httpmeta.PromptInfo) int {
	if p.ExpectedOutputTokens > 0 && (p.MaxOutputTokens == 0 || p.ExpectedOutputTokens < p.MaxOutputTokens) {
		return p.ExpectedOutputTokens
	}
	return p.MaxOutputTokens / 2
}

// readSegments computes the prefix hash of each segment of the prompt, which covers
// the model and all segments up to it. All segments but the last count as shared
// with other prompts.
func (s *session) readSegments() {
	p := s.req.Prompt
	if p == nil {
		return
	}
	h := xxhash.New()
	_, _ = h.WriteString(p.Model)
	for i, segment := range p.Segments {
		_, _ = h.WriteString("\x00" + segment.ID)
		s.segments = append(s.segments, endpointload.Segment{PrefixHash: h.Sum64(), Tokens: segment.Tokens})
		if i < len(p.Segments)-1 {
			s.sharedSegments = append(s.sharedSegments, quarantine.HashSegment(s.service.Name, segment.ID))
			s.sharedTokens += segment.Tokens
			s.sharedPrefix = h.Sum64()
			s.prefixKey = strconv.FormatUint(h.Sum64(), 16)
		}
	}
}

// candidates returns the endpoints that may serve the request now, those of other
// regions included unless the request was forwarded here.
func (s *session) candidates(now time.Time) []placement.Candidate {
	e := s.edge
	local := e.Gateways.Self().Region
	reachable := make(map[string]bool)
	var out []placement.Candidate
	best := -1
	s.heldBack, s.soonestReturn, s.paced = nil, 0, pacedEndpoints{}
	for _, view := range e.Registry.Usable(s.service.Name, e.heartbeatInterval(), now) {
		if s.tried[view.ID] || s.tried[regionKey(view.Region)] || !s.permits(view.Region) || !isVersion(view, s.stream.version) {
			continue
		}
		remote := view.Region != local
		if remote && (s.forwarded != nil || !s.canReach(view.Region, reachable, now)) {
			continue
		}
		if !remote {
			s.checkPace(view, now)
		}
		if !remote && (s.isHeldBack(view, now) || !s.mayUseCold(view, now)) {
			continue
		}
		c, ok := e.Loads.Candidate(s.loadQuery(view, remote), now)
		if !ok {
			continue
		}
		c.Region = view.Region
		c.Rank = rendezvous.Weight(s.rankKey(), view.ID)
		_, c.Limited = e.Limits.Get(view.ID, view.Incarnation, now)
		if remote {
			c.RoundTrip = e.roundTrips.get(view.Region)
		}
		out = append(out, c)
		if best < 0 || c.IsBetterHome(&out[best]) {
			best = len(out) - 1
		}
	}
	if best >= 0 && s.prefixKey != "" {
		out[best].IsPrefixHome = true
	}
	return out
}

// isHeldBack reports whether the endpoint gets no requests for a while, since it has asked
// for a pause or named a limit, and records until when.
func (s *session) isHeldBack(view fleet.EndpointView, now time.Time) bool {
	remaining := max(s.edge.Pauses.Remaining(view.ID, view.Incarnation, now), s.edge.Limits.Remaining(view.ID, view.Incarnation, now))
	if remaining == 0 {
		return false
	}
	s.heldBack = append(s.heldBack, view.ID)
	if s.soonestReturn == 0 || remaining < s.soonestReturn {
		s.soonestReturn = remaining
	}
	return true
}

// rankKey returns the key by which endpoints are ranked for the request: equal for
// requests that share all segments of the prompt but the last, different for others.
func (s *session) rankKey() string {
	if s.prefixKey != "" {
		return s.prefixKey
	}
	return s.req.AttemptID
}

// regionKey returns the key of a region in session.tried, which no endpoint id
// equals.
func regionKey(region string) string { return "region " + region }

// canReach reports whether the region has a ready gateway. It caches the result in
// known.
func (s *session) canReach(region string, known map[string]bool, now time.Time) bool {
	ok, seen := known[region]
	if !seen {
		ok = slices.ContainsFunc(s.edge.Gateways.Alive(region, now), func(g fleet.GatewayStatus) bool { return g.Ready })
		known[region] = ok
	}
	return ok
}

func (s *session) loadQuery(view fleet.EndpointView, remote bool) endpointload.Query {
	q := endpointload.Query{
		ID: view.ID, Incarnation: view.Incarnation, Service: view.Service, Segments: s.segments,
		Priority: s.priority(), Slots: view.Slots, Remote: remote, MaxReportAge: remoteReportMaxAge,
	}
	if s.service.Engine != nil {
		q.KVCapacity = s.service.Engine.CacheTokens
	}
	return q
}

// heartbeatInterval returns the time between two heartbeats of an endpoint.
func (e *Edge) heartbeatInterval() time.Duration { return e.Board.Settings.Get().HeartbeatInterval }

// mayUseCold reports whether the endpoint may get this request in view of its cold
// start. While it is cold, and its service sets a cold-start limit, it gets requests
// from its coordinator alone, within that limit.
func (s *session) mayUseCold(view fleet.EndpointView, now time.Time) bool {
	if s.service.ColdRequestsPerSecond <= 0 || !view.IsCold(s.edge.heartbeatInterval(), now) {
		return true
	}
	return s.edge.mayCoordinateCold(view.ID, now) && s.edge.ColdStarts.Allows(view.ID, s.service.ColdRequestsPerSecond, now)
}

// admitCold counts the request against the limit of a cold endpoint that it is about to
// be sent to, and reports whether it may be sent.
func (s *session) admitCold(view fleet.EndpointView, now time.Time) bool {
	limit := s.service.ColdRequestsPerSecond
	return limit <= 0 || s.edge.mayCoordinateCold(view.ID, now) && s.edge.ColdStarts.TryRecord(view.ID, limit, now)
}

// remoteGateway returns a ready gateway of another region, and false if there is none.
func (e *Edge) remoteGateway(region string, now time.Time) (fleet.GatewayStatus, bool) {
	return fleet.ReadyInTurn(e.Gateways.Alive(region, now), e.nextGateway.Add(1))
}
