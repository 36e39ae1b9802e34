package edge

import (
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/pace"
	"github.com/hickorystage/hickorystage/internal/placement"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
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

// PaceReporter tells another gateway, at the given address (host:port), what a request
// showed of an endpoint. It doesn't wait for a response.
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

// paceShare returns the number of gateways that take a part of an endpoint's window, and
// the place of this one among them. They differ by endpoint, so that each has the part of
// a small window somewhere.
func (e *Edge) paceShare(endpoint string, now time.Time) (gateways, rank int) {
	self := e.Gateways.Self()
	own := rendezvous.Weight(endpoint, self.ID)
	others := e.Gateways.Alive(self.Region, now)
	for i := range others {
		if weight := rendezvous.Weight(endpoint, others[i].ID); weight > own || weight == own && others[i].ID < self.ID {
			rank++
		}
	}
	return len(others) + 1, rank
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
// this gateway takes its part. In a large region that counts where coordinators aren't
// asked or don't answer.
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
	// With this count the parts of all gateways are one window together.
	gateways, rank := e.paceShare(view.ID, now)
	inFlight := e.pacing.inFlight(view.ID, view.Incarnation)*gateways + rank
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
