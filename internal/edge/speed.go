package edge

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var speedsReported = telemetry.NewCounter("route_speeds_reported", "responses", "responses in which endpoints said how long work takes on their machines")

// observeSpeed records how long work takes on the endpoint's machine, if its response says
// so. Endpoints of other regions are up to the gateways there.
func (a *attempt) observeSpeed(meta httpmeta.Response) {
	if a.gateway != nil || meta.Load == nil || meta.Load.TimePercent <= 0 {
		return
	}
	speedsReported.Inc()
	a.edge.Loads.ReportSpeed(a.endpoint.ID, a.endpoint.Incarnation, meta.Load.TimePercent, time.Now())
}

// tellSpeed adds to a grant request what the endpoint told this gateway of its speed. The
// coordinator gets few of the endpoint's responses itself.
func (s *session) tellSpeed(req *grants.Request, now time.Time) {
	view, ok := s.edge.Registry.Get(req.OnlyEndpoint)
	if !ok {
		return
	}
	if percent, age, ok := s.edge.Loads.ReportedSpeed(view.ID, view.Incarnation, now); ok {
		// Rounded up, so that what a gateway tells itself never counts as newer.
		req.TimePercent, req.TimePercentAgeMillis = percent, (age + time.Millisecond - 1).Milliseconds()
	}
}

// applySpeed records what a grant request says of the endpoint's speed. An age below
// 0 is taken for 0.
func (e *Edge) applySpeed(req grants.Request, now time.Time) {
	if req.TimePercent <= 0 || req.OnlyEndpoint == "" {
		return
	}
	if view, ok := e.Registry.Get(req.OnlyEndpoint); ok {
		age := time.Duration(min(max(req.TimePercentAgeMillis, 0), maxToldAgeMillis)) * time.Millisecond
		e.Loads.ReportSpeed(view.ID, view.Incarnation, req.TimePercent, now.Add(-age))
	}
}

// maxToldAgeMillis bounds the age that a grant request tells; what is that old has no effect.
const maxToldAgeMillis = 60_000
