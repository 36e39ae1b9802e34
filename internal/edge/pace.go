package edge

import (
	"net/http"
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/pace"
	"github.com/hickorystage/hickorystage/internal/placement"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var (
	paceWindows  = telemetry.NewCounter("pace_windows", "windows", "windows begun for endpoints that have just started or recovered")
	paceShrunk   = telemetry.NewCounter("pace_shrunk", "windows", "times that such a window shrank since a response was late, refused or failed")
	paceProved   = telemetry.NewCounter("pace_proved", "windows", "windows that ended since their endpoints had proved themselves")
	paceLimited  = telemetry.NewCounter("pace_limited", "requests", "decisions on requests that passed over an endpoint without room in its window")
	paceExceeded = telemetry.NewCounter("pace_exceeded", "requests", "requests placed at an endpoint beyond its window, since no other could serve them in time")
	paceRefused  = telemetry.NewCounter("pace_refused", "requests", "decisions to refuse a request since every endpoint had reached its window")
)

// PaceReporter tells the coordinator of an endpoint, a gateway at the given address
// (host:port), what a request showed of the endpoint. It doesn't wait for the coordinator.
type PaceReporter interface {
	ReportPace(address string, r grants.PaceReport) error
}

// reasonPaced is the reason of a coordinator that gives no grant for an endpoint, since
// it has no room in its window.
const reasonPaced placement.Reason = "paced"

// observePace begins a window for an endpoint of this region that has just started or
// recovered.
func (e *Edge) observePace(view fleet.EndpointView, now time.Time) {
	if e.pacing == nil {
		return
	}
	isHeld := view.IsCold(e.heartbeatInterval(), now) && e.limitsColdStarts(view.Service)
	cause, ok := e.pacing.observe(view, isHeld, e.Gateways.IsSettled(now), now)
	if !ok || !e.Pace.Begin(view.ID, view.Incarnation, cause, now) {
		return
	}
	paceWindows.Inc()
	e.Logger.Info("pace_began", "endpoint", view.ID, "cause", cause, "entry_age_ms", now.Sub(view.UpdatedAt).Milliseconds())
}

// limitsColdStarts reports whether a service limits the requests to cold endpoints.
func (e *Edge) limitsColdStarts(service string) bool {
	table := e.Board.Routes.Get()
	if table == nil {
		return false
	}
	s, ok := table.Services[service]
	return ok && s.ColdRequestsPerSecond > 0
}

// paceParts returns the number of gateways that take a part of the windows that this one
// keeps: each sees its own requests only. The coordinator of an endpoint in a large
// region keeps the whole window.
func (e *Edge) paceParts(now time.Time) int {
	return len(e.Gateways.Alive(e.Gateways.Self().Region, now)) + 1
}

// pacedEndpoints is what the pace has to do with the candidates for a request.
type pacedEndpoints struct {
	// limited are the endpoints of this region without room in their windows.
	limited map[string]limitedEndpoint
	// hasUnpaced is set if an endpoint of this region has no window.
	hasUnpaced bool
}

// limitedEndpoint is an endpoint without room, with the requests in flight there.
type limitedEndpoint struct {
	incarnation int64
	inFlight    int
}

// checkPace records whether an endpoint of this region has room in its window, of which
// this gateway takes its part.
func (s *session) checkPace(view fleet.EndpointView, now time.Time) {
	e := s.edge
	if e.pacing == nil {
		return
	}
	e.observePace(view, now)
	if !e.Pace.HasWindow(view.ID, view.Incarnation, now) {
		s.paced.hasUnpaced = true
		return
	}
	inFlight := e.pacing.inFlight(view.ID, view.Incarnation) * e.paceParts(now)
	s.paced.add(view.ID, limitedEndpoint{view.Incarnation, inFlight}, e.Pace.Room(view.ID, view.Incarnation, inFlight, now))
}

func (p *pacedEndpoints) add(id string, l limitedEndpoint, room int) {
	if room == pace.Unlimited {
		p.hasUnpaced = true
	}
	if room > 0 {
		return
	}
	if p.limited == nil {
		p.limited = make(map[string]limitedEndpoint)
	}
	p.limited[id] = l
}

// split returns the candidates with room, and those together with the ones that may be
// sent more than their windows allow.
func (p *pacedEndpoints) split(t *pace.Tracker, candidates []placement.Candidate, now time.Time) (open, wide []placement.Candidate) {
	for _, c := range candidates {
		l, isLimited := p.limited[c.ID]
		if !isLimited {
			open = append(open, c)
		}
		if !isLimited || t.MayExceed(c.ID, l.incarnation, l.inFlight, !p.hasUnpaced, now) {
			wide = append(wide, c)
		}
	}
	return open, wide
}

// decidePaced chooses among the candidates with room in their windows. If none of them
// can serve the request in time, it chooses among those that may be sent more as well.
func (s *session) decidePaced(req placement.Request, candidates []placement.Candidate, now time.Time) placement.Decision {
	if len(s.paced.limited) == 0 {
		return placement.Decide(req, candidates)
	}
	open, wide := s.paced.split(s.edge.Pace, candidates, now)
	if len(open) == len(candidates) {
		return placement.Decide(req, candidates)
	}
	s.logPaceLimited(candidates, now)
	d := placement.Decide(req, open)
	if isInTime := d.Estimate <= req.TimeToObjective || req.TimeToObjective <= 0; d.Kind == placement.Serve && isInTime {
		return d
	}
	w := placement.Decide(req, wide)
	switch {
	case w.Kind != placement.Serve && d.Kind != placement.Serve:
		if d.Reason == placement.NoEndpoint {
			// There are endpoints, but none may be sent more.
			d.Reason = placement.Full
		}
		paceRefused.Inc()
		return d
	case w.Kind != placement.Serve || d.Kind == placement.Serve && d.Estimate <= w.Estimate:
		return d
	}
	if l, isLimited := s.paced.limited[w.Candidate.ID]; isLimited {
		paceExceeded.Inc()
		s.log("pace_exceeded", "endpoint", w.Candidate.ID, "in_flight", l.inFlight, "estimate_ms", w.Estimate.Milliseconds())
	}
	return w
}

// logPaceLimited counts a decision without the endpoints that have no room, and logs each
// of them once in a while.
func (s *session) logPaceLimited(candidates []placement.Candidate, now time.Time) {
	paceLimited.Inc()
	for _, c := range candidates {
		if l, isLimited := s.paced.limited[c.ID]; isLimited && s.edge.pacing.mayLog(c.ID, now) {
			s.log("pace_limited", "endpoint", c.ID, "in_flight", l.inFlight)
		}
	}
}

// decideGrantPaced decides on a request for a grant by the windows of the endpoints that
// this gateway coordinates. incarnations holds those of the candidates. A request for one
// endpoint never exceeds its window: others are asked for first. A request for any endpoint
// comes when none of them could serve it.
func (e *Edge) decideGrantPaced(grantReq grants.Request, incarnations map[string]int64, now time.Time, req placement.Request, candidates []placement.Candidate, limit time.Duration) placement.Decision {
	if e.pacing == nil {
		return placement.DecideGrant(req, candidates, limit)
	}
	var paced pacedEndpoints
	for _, c := range candidates {
		inFlight, incarnation := c.Running+c.Waiting, incarnations[c.ID]
		paced.add(c.ID, limitedEndpoint{incarnation, inFlight}, e.Pace.Room(c.ID, incarnation, inFlight, now))
	}
	if len(paced.limited) == 0 {
		return placement.DecideGrant(req, candidates, limit)
	}
	paceLimited.Inc()
	paced.hasUnpaced = e.hasUnpaced(grantReq.Service, now)
	open, wide := paced.split(e.Pace, candidates, now)
	d := placement.DecideGrant(req, open, limit)
	switch {
	case d.Kind == placement.Serve:
		return d
	case grantReq.OnlyEndpoint != "":
		// The estimate lets the asking gateway find out who could serve the request if
		// nobody else can.
		all := placement.DecideGrant(req, candidates, limit)
		return placement.Decision{Kind: placement.Refuse, Reason: reasonPaced, Estimate: all.Estimate, RetryAfter: shortRetryDelay}
	}
	d = placement.DecideGrant(req, wide, limit)
	if l, isLimited := paced.limited[d.Candidate.ID]; d.Kind == placement.Serve && isLimited {
		paceExceeded.Inc()
		e.Logger.Info("pace_exceeded", "endpoint", d.Candidate.ID, "in_flight", l.inFlight, "estimate_ms", d.Estimate.Milliseconds())
	}
	return d
}

// hasUnpaced reports whether an endpoint of a service in this region has no window.
func (e *Edge) hasUnpaced(service string, now time.Time) bool {
	local := e.Gateways.Self().Region
	return slices.ContainsFunc(e.Registry.Usable(service, e.heartbeatInterval(), now), func(view fleet.EndpointView) bool {
		return view.Region == local && !e.Pace.HasWindow(view.ID, view.Incarnation, now)
	})
}

// pacedRequest is a request that is sent to an endpoint of this region. Its methods may
// be called on nil.
type pacedRequest struct {
	session  *session
	endpoint fleet.EndpointView
	sentAt   time.Time
	sample   pace.Sample
	// hasOutput is set once the first output has been recorded.
	hasOutput bool
}

// beginPaced counts the request as in flight at its endpoint. The caller must call end.
func (a *attempt) beginPaced(d placement.Decision) *pacedRequest {
	if a.edge.pacing == nil || a.gateway != nil {
		return nil
	}
	now := time.Now()
	a.edge.pacing.begin(a.endpoint.ID, a.endpoint.Incarnation)
	return &pacedRequest{session: a.session, endpoint: a.endpoint, sentAt: now, sample: pace.Sample{
		Expected: d.Estimate, Objective: a.arrived.Add(a.route.Objective).Sub(now),
	}}
}

// observeFirstOutput records the first output of the response. Only the first call counts.
// A server error is no output.
func (p *pacedRequest) observeFirstOutput(resp *http.Response, now time.Time) {
	if p == nil || p.hasOutput || resp.StatusCode >= http.StatusInternalServerError {
		return
	}
	p.hasOutput = true
	p.record(pace.Answered, now)
}

// end records the end of the request. A response that fails after its first output counts
// as well.
func (p *pacedRequest) end(result endpointload.Result) {
	if p == nil {
		return
	}
	p.session.edge.pacing.end(p.endpoint.ID, p.endpoint.Incarnation)
	now := time.Now()
	switch result {
	case endpointload.Failed:
		p.record(pace.Failed, now)
	case endpointload.Shed:
		p.record(pace.Refused, now)
	case endpointload.Unreachable:
		p.record(pace.Unreachable, now)
	case endpointload.Abandoned:
		if !p.hasOutput {
			p.record(pace.Abandoned, now)
		}
	case endpointload.Succeeded:
	}
}

// record records a sample here and, in a large region, at the endpoint's coordinator.
func (p *pacedRequest) record(result pace.Result, now time.Time) {
	e, id, incarnation := p.session.edge, p.endpoint.ID, p.endpoint.Incarnation
	sample := p.sample
	sample.Actual, sample.Result, sample.Count = now.Sub(p.sentAt), result, e.paceParts(now)
	if e.Gateways.IsFullMesh() {
		e.recordPace(id, incarnation, sample, now)
		return
	}
	coords := e.coordinators(now)
	coordinator := coords.coordinatorOf(id)
	if coordinator == coords.selfID {
		sample.Count = 1
	}
	isReported := result == pace.Unreachable || e.Pace.HasWindow(id, incarnation, now) || e.pacing.isReported(id, now)
	e.recordPace(id, incarnation, sample, now)
	if coordinator == coords.selfID || !isReported || e.PaceReporter == nil {
		return
	}
	if err := e.PaceReporter.ReportPace(coords.others[coordinator].GrantAddress, grants.NewPaceReport(id, incarnation, sample)); err != nil {
		p.session.log("pace_not_reported", "endpoint", id, "coordinator", coordinator, "err", err)
	}
}

// recordPace records a sample and logs what follows from it.
func (e *Edge) recordPace(id string, incarnation int64, s pace.Sample, now time.Time) {
	c := e.Pace.Record(id, incarnation, s, now)
	switch c.Kind {
	case pace.Shrunk:
		paceShrunk.Inc()
		e.Logger.Info("pace_shrunk", "endpoint", id, "cause", c.Cause, "result", s.Result, "window", c.Size,
			"took_ms", s.Actual.Milliseconds(), "expected_ms", s.Expected.Milliseconds(), "age_ms", c.Age.Milliseconds())
	case pace.Proved:
		paceProved.Inc()
		e.Logger.Info("pace_proved", "endpoint", id, "cause", c.Cause, "window", c.Size, "age_ms", c.Age.Milliseconds())
	}
}

// RecordPaceReport records what a request of another gateway of this region showed of an
// endpoint that this one coordinates. An endpoint that the other could not reach gets a
// window once the limit of a cold endpoint doesn't hold.
func (e *Edge) RecordPaceReport(r grants.PaceReport, now time.Time) {
	if e.pacing == nil {
		return
	}
	if r.Result == pace.Unreachable {
		e.pacing.setRecovered(r.Endpoint, r.Incarnation)
	}
	e.recordPace(r.Endpoint, r.Incarnation, r.Sample(), now)
}
