package edge

import (
	"context"
	"time"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/fleet"
)

const (
	// substituteShare is the share of an endpoint's limit that is used while its coordinator
	// isn't heard: it may be running and giving out permits to gateways that hear it.
	substituteShare = 0.25
	// unansweredHold is how long an endpoint gets no requests after its coordinator did
	// not respond.
	unansweredHold = 250 * time.Millisecond
)

// limitCoordinator returns the gateway of this region that gives out the permits of an
// endpoint that names a limit. If that is this gateway, share is the share of the limit
// that it may use, 0 for none; otherwise share is 0.
//
// Gateways that can't hear each other give out at most 1 + substituteShare of the limit
// together: one of them is the coordinator among all gateways that may still run, and
// each group of others gets substituteShare in proportion to its size.
func (e *Edge) limitCoordinator(endpoint string, now time.Time) (gateway fleet.GatewayStatus, isSelf bool, share float64) {
	self := e.Gateways.Self()
	remembered := e.Gateways.Remembered(self.Region, now)
	coords := e.stableCoordinators.update(self.ID, remembered)
	id := coords.coordinatorOf(endpoint)
	alive := e.coordinators(now)
	share = 1
	if _, isAlive := alive.others[id]; id != self.ID && !isAlive {
		coords, id = alive, alive.coordinatorOf(endpoint)
		share = substituteShare * float64(len(alive.ids)) / float64(len(remembered)+1)
	}
	switch {
	case id != self.ID:
		return coords.others[id], false, 0
	case e.Gateways.IsLeaving() || !e.Gateways.IsSettled(now):
		// Another gateway may be the coordinator, or this one may have been before it
		// restarted.
		return fleet.GatewayStatus{}, true, 0
	default:
		return fleet.GatewayStatus{}, true, share
	}
}

// Permit decides on a request for a permit from another gateway of this region. It
// implements grants.Coordinator.
func (e *Edge) Permit(req grants.PermitRequest, now time.Time) grants.PermitResponse {
	e.Limits.Apply(req.Limit, now)
	if lifted, ok := e.Limits.Lifted(req.Limit.ID, req.Limit.Incarnation, now); ok {
		return grants.PermitResponse{Lifted: &lifted}
	}
	_, isSelf, share := e.limitCoordinator(req.Limit.ID, now)
	if !isSelf || share == 0 {
		return grants.PermitResponse{HoldMillis: unansweredHold.Milliseconds()}
	}
	hold, ok := e.Limits.TryTake(req.Limit.ID, share, now)
	return grants.PermitResponse{Granted: ok, HoldMillis: hold.Milliseconds()}
}

// takePermit reports whether the request may be sent to the endpoint in view of the limit
// that the endpoint names. It may take as long as a coordinator takes to respond.
func (s *session) takePermit(ctx context.Context, view fleet.EndpointView) bool {
	e, now := s.edge, time.Now()
	limit, ok := e.Limits.Get(view.ID, view.Incarnation, now)
	if !ok {
		return true
	}
	coordinator, isSelf, share := e.limitCoordinator(view.ID, now)
	response := grants.PermitResponse{HoldMillis: unansweredHold.Milliseconds()}
	switch {
	case isSelf && share > 0:
		hold, granted := e.Limits.TryTake(view.ID, share, now)
		response = grants.PermitResponse{Granted: granted, HoldMillis: hold.Milliseconds()}
	case !isSelf:
		e.Limits.Resign(view.ID)
		if r, err := e.Grants.RequestPermit(ctx, coordinator.ID, coordinator.GrantAddress, grants.PermitRequest{Limit: limit}); err == nil {
			response = r
		} else {
			s.log("permit_unanswered", "endpoint", view.ID, "coordinator", coordinator.ID, "err", err)
		}
	}
	now = time.Now()
	if response.Lifted != nil && e.Limits.Apply(*response.Lifted, now) {
		return true
	}
	if response.Granted {
		permitsTaken.Inc()
		return true
	}
	permitsDenied.Inc()
	s.log("permit_denied", "endpoint", view.ID, "per_second", limit.PerSecond, "share", share, "hold_ms", response.HoldMillis)
	e.Limits.Hold(view.ID, response.Hold(), now)
	return false
}
