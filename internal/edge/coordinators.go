package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

// coordinators are gateways of the local region, this one included, among which the
// coordination of its endpoints is divided. Each gateway computes them
// from its own view of the fleet.
type coordinators struct {
	selfID string
	ids    []string
	// list is what the coordinators were computed from; others holds the same
	// gateways by id.
	list   []fleet.GatewayStatus
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
	return e.grantCoordinators.update(e.Gateways.Self().ID, e.Gateways.Alive(e.Gateways.Self().Region, now))
}

// mayCoordinateCold reports whether this gateway is the one that sends requests to a
// cold endpoint. Their number is limited over all gateways, whose views of the fleet may
// differ. So a gateway doesn't take over the cold endpoints of one that it no longer
// hears, and takes none before it knows its region: until then the endpoints do without
// requests, for about as long as a cold start takes.
func (e *Edge) mayCoordinateCold(endpoint string, now time.Time) bool {
	if !e.Gateways.IsSettled(now) {
		return false
	}
	coords := e.stableCoordinators.update(e.Gateways.Self().ID, e.Gateways.Remembered(e.Gateways.Self().Region, now))
	return coords.coordinatorOf(endpoint) == coords.selfID
}

// latestCoordinators holds the coordinators for the last list of gateways.
type latestCoordinators struct {
	mu   sync.Mutex
	last *coordinators
}

// update returns the coordinators for a list of gateways.
func (l *latestCoordinators) update(selfID string, list []fleet.GatewayStatus) *coordinators {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil || !isSameList(l.last.list, list) {
		l.last = newCoordinators(selfID, list, l.last)
	}
	return l.last
}

// newCoordinators returns the coordinators of a region. It takes over the assignments
// of previous, which may be nil, if the gateways are the same.
func newCoordinators(selfID string, list []fleet.GatewayStatus, previous *coordinators) *coordinators {
	c := &coordinators{
		selfID: selfID, ids: make([]string, 0, len(list)+1), list: list, others: make(map[string]fleet.GatewayStatus, len(list)),
		byEndpoint: &assignments{byEndpoint: make(map[string]string)},
	}
	c.ids = append(c.ids, selfID)
	for _, g := range list {
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
