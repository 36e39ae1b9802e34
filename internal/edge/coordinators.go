package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

// coordinators are the gateways of the local region, this one included, among
// which the coordination of its endpoints is divided. Each gateway computes them
// from its own view of the fleet.
type coordinators struct {
	selfID string
	ids    []string
	// alive is the list that the coordinators were computed from; others holds the
	// same gateways by id.
	alive  []fleet.GatewayStatus
	others map[string]fleet.GatewayStatus

	// byEndpoint holds the coordinators that were looked up, by endpoint.
	byEndpoint *assignments
}

// assignments holds the coordinators of endpoints for one set of gateways.
type assignments struct {
	mu         sync.Mutex
	byEndpoint map[string]string
}

// maxAssignments bounds assignments, since endpoints come and go while the gateways
// stay the same.
const maxAssignments = 4096

// coordinators returns the coordinators that this gateway believes to be alive.
func (e *Edge) coordinators(now time.Time) *coordinators {
	alive := e.Gateways.Alive(e.Gateways.Self().Region, now)
	e.coordinatorsMu.Lock()
	defer e.coordinatorsMu.Unlock()
	if e.lastCoordinators == nil || !isSameList(e.lastCoordinators.alive, alive) {
		e.lastCoordinators = newCoordinators(e.Gateways.Self().ID, alive, e.lastCoordinators)
	}
	return e.lastCoordinators
}

// newCoordinators returns the coordinators of a region. It takes over the assignments
// of previous, which may be nil, if the gateways are the same.
func newCoordinators(selfID string, alive []fleet.GatewayStatus, previous *coordinators) *coordinators {
	c := &coordinators{
		selfID: selfID, ids: make([]string, 0, len(alive)+1), alive: alive, others: make(map[string]fleet.GatewayStatus, len(alive)),
		byEndpoint: &assignments{byEndpoint: make(map[string]string)},
	}
	c.ids = append(c.ids, selfID)
	for _, g := range alive {
		c.ids = append(c.ids, g.ID)
		c.others[g.ID] = g
	}
	if previous != nil && slices.Equal(previous.ids, c.ids) {
		c.byEndpoint = previous.byEndpoint
	}
	return c
}

// isSameList reports whether the two slices are one and the same.
func isSameList(a, b []fleet.GatewayStatus) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// coordinatorOf returns the id of the coordinator of an endpoint. Gateways with the
// same view of the fleet agree on it; while their views differ, two gateways may
// admit requests to one endpoint.
func (c *coordinators) coordinatorOf(endpoint string) string {
	c.byEndpoint.mu.Lock()
	defer c.byEndpoint.mu.Unlock()
	if id, ok := c.byEndpoint.byEndpoint[endpoint]; ok {
		return id
	}
	if len(c.byEndpoint.byEndpoint) >= maxAssignments {
		clear(c.byEndpoint.byEndpoint)
	}
	id := c.highestWeight(endpoint)
	c.byEndpoint.byEndpoint[endpoint] = id
	return id
}

func (c *coordinators) highestWeight(endpoint string) string {
	var best string
	var bestWeight uint64
	for _, id := range c.ids {
		if weight := rendezvous.Weight(coordinatorKeyPrefix+endpoint, id); best == "" || weight > bestWeight || weight == bestWeight && id < best {
			best, bestWeight = id, weight
		}
	}
	return best
}

// coordinatorKeyPrefix is the prefix of the rendezvous keys by which endpoints are
// assigned to coordinators.
const coordinatorKeyPrefix = "coordinator "
