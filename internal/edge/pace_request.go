package edge

import (
	"net/http"
	"time"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/pace"
	"github.com/hickorystage/hickorystage/internal/placement"
)

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

// record records a sample here and tells those who keep the endpoint's window: its
// coordinator in a large region, all gateways in a small one.
func (p *pacedRequest) record(result pace.Result, now time.Time) {
	e, id, incarnation := p.session.edge, p.endpoint.ID, p.endpoint.Incarnation
	sample := p.sample
	sample.Actual, sample.Result = now.Sub(p.sentAt), result
	isReported := result == pace.Unreachable || e.Pace.HasWindow(id, incarnation, now) || e.pacing.isReported(id, now)
	keepers := e.windowKeepers(id, now)
	if !e.Gateways.IsFullMesh() && len(keepers) > 0 {
		// This gateway's own window is used if coordinators don't answer. Nobody tells it of
		// the others' requests.
		sample.Count, _ = e.paceShare(id, now)
	}
	e.recordPace(id, incarnation, sample, now)
	if !isReported || e.PaceReporter == nil {
		return
	}
	report := grants.NewPaceReport(id, incarnation, sample)
	for _, g := range keepers {
		if err := e.PaceReporter.ReportPace(g.GrantAddress, report); err != nil {
			p.session.log("pace_not_reported", "endpoint", id, "gateway", g.ID, "err", err)
		}
	}
}

// windowKeepers returns the other gateways that keep the window of an endpoint.
func (e *Edge) windowKeepers(id string, now time.Time) []fleet.GatewayStatus {
	if e.Gateways.IsFullMesh() {
		return e.Gateways.Alive(e.Gateways.Self().Region, now)
	}
	coords := e.coordinators(now)
	if coordinator := coords.coordinatorOf(id); coordinator != coords.selfID {
		return []fleet.GatewayStatus{coords.others[coordinator]}
	}
	return nil
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
// endpoint whose window this one keeps. An endpoint that the other could not reach gets a
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
