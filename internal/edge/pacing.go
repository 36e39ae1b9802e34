package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/pace"
	"github.com/hickorystage/hickorystage/internal/placement"
)

const (
	// markTime is how long after a refused or failed connection, or the end of an
	// evacuation, it is still a reason for a window: longer than endpoints without requests
	// go unobserved.
	markTime = 30 * time.Second
	// firstLookTime is the time after this gateway's first look at a service within which
	// endpoints that it sees for the first time are not new: their entries come piece by
	// piece.
	firstLookTime = 2 * time.Second
	// reportTime is how long after a grant by a coordinator that keeps a window it is
	// told how the endpoint responds. It covers most responses.
	reportTime = 10 * time.Second
	// deniedTime is how long after a denial an endpoint is asked for last: about as long as
	// responses take by which its window opens.
	deniedTime = 100 * time.Millisecond
	// logInterval is the least time between two pace_limited lines of an endpoint.
	logInterval = time.Second
	// maxPacedEndpoints bounds the endpoints that are kept.
	maxPacedEndpoints = 8192
)

// pacing finds out which endpoints have just started or recovered, and counts the requests
// in flight at each. It is safe for concurrent use; nil if the pace is off.
type pacing struct {
	tracker *pace.Tracker

	mu        sync.Mutex
	endpoints map[string]*pacingEndpoint
	// firstLook holds when the endpoints of a service were first seen.
	firstLook map[string]time.Time
}

// pacingEndpoint is one incarnation of an endpoint.
type pacingEndpoint struct {
	incarnation int64
	// pending is the cause of a window that begins once the endpoint isn't cold any more;
	// empty for none.
	pending pace.Cause
	// unreachableAt and returnedAt are the times in the endpoint's view that have been
	// taken into account.
	unreachableAt, returnedAt time.Time
	inFlight                  int
	reportedUntil, loggedAt   time.Time
	// deniedUntil is until when its coordinator is expected to have no room.
	deniedUntil time.Time
}

func newPacing(t *pace.Tracker) *pacing {
	if t == nil {
		return nil
	}
	return &pacing{tracker: t, endpoints: make(map[string]*pacingEndpoint), firstLook: make(map[string]time.Time)}
}

// observe returns the cause of a window that begins now, and whether there is one. isHeld
// is set while the limit of a cold endpoint holds, which goes first. isSettled is set
// once this gateway has been running for long enough to know its region.
func (p *pacing) observe(view fleet.EndpointView, isHeld, isSettled bool, now time.Time) (cause pace.Cause, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, wasKnown := p.endpoints[view.ID]
	if wasKnown && known.incarnation > view.Incarnation {
		return "", false
	}
	ep := known
	if !wasKnown || known.incarnation < view.Incarnation {
		ep = p.add(view)
		isFirstLook := p.isFirstLook(view.Service, now)
		if wasKnown || isSettled && !isFirstLook || view.ColdRemaining > 0 {
			ep.pending = pace.Started
		}
	}
	unreachableAt := view.UnreachableAt
	if view.RefusedAt.After(unreachableAt) {
		unreachableAt = view.RefusedAt
	}
	switch {
	case isNewMark(unreachableAt, &ep.unreachableAt, now):
		ep.pending = pace.Recovered
	case isNewMark(view.EvacuationEndedAt, &ep.returnedAt, now):
		ep.pending = pace.Returned
	case isHeld && ep.pending == "":
		ep.pending = pace.Started
	}
	if ep.pending == "" || isHeld {
		return "", false
	}
	cause, ep.pending = ep.pending, ""
	return cause, true
}

// add replaces an endpoint by an incarnation of it. The caller must hold the lock.
func (p *pacing) add(view fleet.EndpointView) *pacingEndpoint {
	if len(p.endpoints) >= maxPacedEndpoints {
		clear(p.endpoints)
	}
	ep := &pacingEndpoint{incarnation: view.Incarnation}
	p.endpoints[view.ID] = ep
	return ep
}

// isFirstLook reports whether the endpoints of a service have just been seen for the first
// time. The caller must hold the lock.
func (p *pacing) isFirstLook(service string, now time.Time) bool {
	at, ok := p.firstLook[service]
	if !ok {
		if len(p.firstLook) >= maxPacedEndpoints {
			clear(p.firstLook)
		}
		p.firstLook[service], at = now, now
	}
	return now.Sub(at) < firstLookTime
}

// isNewMark reports whether a time is later than the known one and recent, and makes it
// the known one.
func isNewMark(at time.Time, known *time.Time, now time.Time) bool {
	if !at.After(*known) {
		return false
	}
	*known = at
	return now.Sub(at) < markTime
}

// begin and end count the requests in flight.
func (p *pacing) begin(id string, incarnation int64) { p.addInFlight(id, incarnation, 1) }
func (p *pacing) end(id string, incarnation int64)   { p.addInFlight(id, incarnation, -1) }

func (p *pacing) addInFlight(id string, incarnation int64, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ep, ok := p.endpoints[id]; ok && ep.incarnation == incarnation {
		// An endpoint that was forgotten and came back has not counted the requests before.
		ep.inFlight = max(ep.inFlight+n, 0)
	}
}

// inFlight returns the number of requests of this gateway in flight at an endpoint.
func (p *pacing) inFlight(id string, incarnation int64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ep, ok := p.endpoints[id]; ok && ep.incarnation == incarnation {
		return ep.inFlight
	}
	return 0
}

// hasWindow reports whether an endpoint has a window here.
func (p *pacing) hasWindow(id string, incarnation int64, now time.Time) bool {
	return p != nil && p.tracker.HasWindow(id, incarnation, now)
}

// setRecovered records that another gateway could not reach an endpoint.
func (p *pacing) setRecovered(id string, incarnation int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ep, ok := p.endpoints[id]; ok && ep.incarnation == incarnation {
		ep.pending = pace.Recovered
	}
}

// recordGrant records what a coordinator says of an endpoint: that it is to be told how the
// endpoint responds, or that there is no room in its window.
func (p *pacing) recordGrant(req grants.Request, r grants.Response, now time.Time) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if ep, ok := p.endpoints[r.Endpoint]; ok && r.Paced {
		ep.reportedUntil = now.Add(reportTime)
	}
	if ep, ok := p.endpoints[req.OnlyEndpoint]; ok && r.Reason == string(reasonPaced) {
		ep.deniedUntil = now.Add(deniedTime)
	}
}

// demoteDenied moves the endpoints whose coordinators have just said that there is no room
// to the end, so that the few coordinators that are asked for a request are others.
func (p *pacing) demoteDenied(candidates []placement.Candidate, now time.Time) []placement.Candidate {
	if p == nil {
		return candidates
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	isDenied := func(c placement.Candidate) bool {
		ep, ok := p.endpoints[c.ID]
		return ok && now.Before(ep.deniedUntil)
	}
	slices.SortStableFunc(candidates, func(a, b placement.Candidate) int {
		switch aDenied, bDenied := isDenied(a), isDenied(b); {
		case aDenied == bDenied:
			return 0
		case aDenied:
			return 1
		default:
			return -1
		}
	})
	return candidates
}

func (p *pacing) isReported(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep, ok := p.endpoints[id]
	return ok && now.Before(ep.reportedUntil)
}

// mayLog reports whether it is time for another pace_limited line of an endpoint.
func (p *pacing) mayLog(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep, ok := p.endpoints[id]
	if !ok || now.Sub(ep.loggedAt) < logInterval {
		return false
	}
	ep.loggedAt = now
	return true
}

// forget drops an endpoint that no longer exists.
func (p *pacing) forget(id string) {
	if p == nil {
		return
	}
	p.tracker.Forget(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.endpoints, id)
}
