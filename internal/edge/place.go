package edge

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/placement"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

// farLag is how old the word of another region's gateways is at most: the time
// between their beats and the way of one.
const farLag = 600 * time.Millisecond

// place finds the request a place. ok is false if there is none now.
func (s *session) place(ctx context.Context) (d placement.Decision, ok bool) {
	now := time.Now()
	candidates := s.candidates(now)
	req := s.request(now)
	d, told := s.decide(ctx, req, candidates, now)
	if d.Kind != placement.Serve {
		s.log("not_placed", "reason", d.Reason, "version", s.table.Version, "candidates", len(candidates),
			"tokens", req.PromptTokens, "left_ms", req.TimeToDeadline.Milliseconds(), "soonest_ms", d.Estimate.Milliseconds(),
			"asks", told.asks)
		return d, false
	}
	c := d.Candidate
	s.log("placed", "endpoint", c.ID, "region", c.Region, "version", s.table.Version, "candidates", len(candidates),
		"estimate_ms", d.Estimate.Milliseconds(), "queued_ms", c.QueuedPrefill.Milliseconds(), "use_pct", int(percent*c.PrefillUtilization),
		"running", c.Running, "waiting", c.Waiting, "tokens", req.PromptTokens, "cached", c.CachedTokens, "home", c.IsPrefixHome,
		"heard_ms", s.heardAgo(c.ID, now).Milliseconds(), "asks", told.asks, "granted", told.granted)
	return d, true
}

// decide chooses among the candidates. Engines of a large region are asked for at
// their coordinators; other regions, and all of it where no coordinator answers,
// are decided on by what is known here.
func (s *session) decide(ctx context.Context, req placement.Request, candidates []placement.Candidate, now time.Time) (placement.Decision, asked) {
	if !req.StaleView || req.PromptTokens == 0 {
		return placement.Decide(req, candidates), asked{}
	}
	told := s.ask(ctx, req, candidates, now)
	if told.granted {
		return told.decision, told
	}
	req.LocalRefused = told.denied
	d := placement.Decide(req, candidates)
	if d.Kind == placement.Serve || !told.denied {
		return d, told
	}
	if s.askLast(ctx, &told, req, candidates, now); told.granted {
		return told.decision, told
	}
	return d, told
}

// percent turns a share into a number for the log.
const percent = 100

// heardAgo is the age of an endpoint's entry.
func (s *session) heardAgo(id string, now time.Time) time.Duration {
	b, ok := s.edge.Registry.Get(id)
	if !ok {
		return 0
	}
	return now.Sub(b.UpdatedAt)
}

// request sums up the session for placement.
func (s *session) request(now time.Time) placement.Request {
	r := placement.Request{
		Priority:        s.route.Priority,
		TimeToObjective: s.arrived.Add(s.route.Objective).Sub(now),
		TimeToDeadline:  s.deadline.Sub(now),
		StaleView:       !s.edge.Gateways.IsFullMesh(),
		HashFraction:    draw(s.rankKey()),
		ResponseStarted: s.stream.started || s.fwd != nil && s.fwd.LastEventID != "",
	}
	if p := s.req.Prompt; p != nil {
		r.PromptTokens, r.SharedTokens, r.OutputTokens = p.Tokens, s.shared, likelyOutput(p)
	}
	return r
}

// draw turns a request's id into a number from 0 to 1.
func draw(id string) float64 {
	return float64(xxhash.Sum64String(id)) / math.MaxUint64
}

// likelyOutput is the number of tokens that an answer probably has.
func likelyOutput(p *httpmeta.PromptInfo) int {
	if p.ExpectedOutputTokens > 0 && (p.MaxOutputTokens == 0 || p.ExpectedOutputTokens < p.MaxOutputTokens) {
		return p.ExpectedOutputTokens
	}
	return p.MaxOutputTokens / 2
}

// readParts works out what the prompt shares with others.
func (s *session) readParts() {
	p := s.req.Prompt
	if p == nil {
		return
	}
	h := xxhash.New()
	_, _ = h.WriteString(p.Model)
	for i, part := range p.Segments {
		_, _ = h.WriteString("\x00" + part.ID)
		s.parts = append(s.parts, endpointload.Segment{PrefixHash: h.Sum64(), Tokens: part.Tokens})
		if i < len(p.Segments)-1 {
			s.shared += part.Tokens
			s.sharedHash = h.Sum64()
			s.meet = strconv.FormatUint(h.Sum64(), 16)
		}
	}
}

// candidates returns the endpoints that may serve the request now.
func (s *session) candidates(now time.Time) []placement.Candidate {
	e := s.edge
	own := e.Gateways.Self().Region
	reachable := make(map[string]bool)
	var out []placement.Candidate
	top := -1
	for _, b := range e.Registry.Usable(s.service.Name, e.heartbeat(), now) {
		if s.tried[b.ID] || s.tried[regionKey(b.Region)] || !s.route.Permits(b.Region) {
			continue
		}
		far := b.Region != own
		if far && (s.fwd != nil || !s.reaches(b.Region, reachable, now)) {
			continue
		}
		if !far && !s.mayUseCold(b, now) {
			continue
		}
		c, ok := e.Loads.Candidate(s.query(b, far), now)
		if !ok {
			continue
		}
		c.Region = b.Region
		c.Rank = rendezvous.Weight(s.rankKey(), b.ID)
		if far {
			c.RoundTrip = e.paths.roundTrip(b.Region)
		}
		out = append(out, c)
		if top < 0 || c.Rank > out[top].Rank {
			top = len(out) - 1
		}
	}
	if top >= 0 && s.meet != "" {
		out[top].IsPrefixHome = true
	}
	return out
}

func (s *session) rankKey() string {
	if s.meet != "" {
		return s.meet
	}
	return s.req.AttemptID
}

func regionKey(region string) string { return "region " + region }

// reaches says whether a gateway of the region can take the request.
func (s *session) reaches(region string, known map[string]bool, now time.Time) bool {
	ok, seen := known[region]
	if !seen {
		_, ok = s.edge.farGateway(region, now)
		known[region] = ok
	}
	return ok
}

func (s *session) query(b fleet.EndpointView, far bool) endpointload.Query {
	q := endpointload.Query{
		ID: b.ID, Incarnation: b.Incarnation, Service: b.Service, Segments: s.parts,
		Priority: s.route.Priority, Slots: b.Slots, Remote: far, MaxReportAge: farLag,
	}
	if s.service.Engine != nil {
		q.KVCapacity = s.service.Engine.CacheTokens
	}
	return q
}

// heartbeat is the time between two heartbeats of an endpoint.
func (e *Edge) heartbeat() time.Duration { return e.Board.Site.Get().HeartbeatInterval }

// mayUseCold says whether an endpoint that is cold may get this request: its
// coordinator alone sends to it, within its limit.
func (s *session) mayUseCold(b fleet.EndpointView, now time.Time) bool {
	if s.service.ColdRequestsPerSecond <= 0 || !b.IsCold(s.edge.heartbeat(), now) {
		return true
	}
	all := s.edge.coordinators(now)
	return all.of(b.ID) == all.self && s.edge.ColdStarts.Allows(b.ID, s.service.ColdRequestsPerSecond, now)
}

// farGateway returns a gateway of another region that takes requests.
func (e *Edge) farGateway(region string, now time.Time) (fleet.GatewayStatus, bool) {
	var ready []fleet.GatewayStatus
	for _, g := range e.Gateways.Alive(region, now) {
		if g.Ready {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		return fleet.GatewayStatus{}, false
	}
	return ready[e.turn.Add(1)%uint64(len(ready))], true
}
