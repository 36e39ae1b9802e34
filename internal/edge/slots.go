package edge

import (
	"math/rand/v2"
	"time"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/placement"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var (
	slotsGranted = telemetry.NewCounter("route_slots_granted", "requests", "requests to services with few slots that a coordinator admitted")
	slotsRefused = telemetry.NewCounter("route_slots_refused", "requests", "requests to services with few slots that no coordinator of the region admitted")
)

// slotGrant is the place that a coordinator holds for a request to a plain service with
// few slots. It is zero if there is none.
type slotGrant struct {
	coordinator string
	address     string
	release     grants.Release
	// ahead is the number of requests that the endpoint had before this one, slots how
	// many it runs at once.
	ahead, slots int
}

// hasFewSlots reports whether the service of the request is a plain one with fewer slots
// in this region than the region has gateways. If each gateway decided on its own, the
// requests that two of them send at the same time would take more than one slot of each.
func (s *session) hasFewSlots(now time.Time) bool {
	if s.req.Prompt != nil {
		return false
	}
	local, gateways := s.edge.Gateways.Self().Region, s.edge.Gateways.RegionSize()
	slots := 0
	for _, view := range s.edge.Registry.Usable(s.service.Name, s.edge.heartbeatInterval(), now) {
		if view.Region != local {
			continue
		}
		if view.Slots <= 0 {
			return false
		}
		if slots += view.Slots; slots >= gateways {
			return false
		}
	}
	return slots > 0
}

// newGrantID returns the id of a grant that is to be released, 0 for model requests,
// whose grants end by the forecast of their coordinators. It has 53 bits, which all JSON
// implementations keep.
func (s *session) newGrantID() uint64 {
	if s.req.Prompt != nil {
		return 0
	}
	const bits = 53
	return rand.Uint64()>>(64-bits) | 1
}

// releaseGrant tells the coordinator that the request it granted has ended.
func (s *session) releaseGrant() {
	if s.grant.release.GrantID != 0 {
		s.release(s.grant.coordinator, s.grant.address, s.grant.release)
	}
	s.grant = slotGrant{}
}

// releaseLost ends a grant that the coordinator may have given in a response that did not
// arrive, or for an endpoint that is not a candidate any more.
func (s *session) releaseLost(coords *coordinators, id string, req grants.Request, local []placement.Candidate) {
	if req.GrantID == 0 {
		return
	}
	for i := range local {
		if endpoint := local[i].ID; req.Admits(endpoint) && coords.coordinatorOf(endpoint) == id {
			s.release(id, coords.others[id].GrantAddress, grants.Release{Endpoint: endpoint, GrantID: req.GrantID})
		}
	}
}

func (s *session) release(coordinator, address string, r grants.Release) {
	if coordinator == s.edge.Gateways.Self().ID {
		s.edge.Release(r, time.Now())
		return
	}
	if err := s.edge.Grants.ReleaseGrant(address, r); err != nil {
		s.log("not_released", "coordinator", coordinator, "err", err)
	}
}

// Release ends a grant of this gateway. It implements grants.Coordinator.
func (e *Edge) Release(r grants.Release, _ time.Time) { e.Loads.ReleaseSlot(r.Endpoint, r.GrantID) }
