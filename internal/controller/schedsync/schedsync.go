// Package schedsync is the controller that carries what stands on the
// blackboard over to the data layer of the scheduler and to admission.
package schedsync

import (
	"time"

	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
)

// Times of the controller.
const (
	syncInterval = 100 * time.Millisecond
	// syncPerEndpoint bounds what passes cost in a large region: the time
	// between two passes is at least this for each endpoint.
	syncPerEndpoint = 500 * time.Microsecond
	tickInterval    = 1 * time.Second
	// localRTT is the round trip assumed to endpoints of this region.
	localRTT = 2 * time.Millisecond
)

// endpointKey is what the data layer has been told of an endpoint.
type endpointKey struct {
	incarnation string
	group       string
	leaving     bool
	reportAt    time.Time
}

// Controller carries the blackboard's state to the scheduler.
type Controller struct {
	board *blackboard.Board
	view  *membership.View
	store *datastore.Store
	admit *admit.Controller

	told map[string]endpointKey
	// seen is used anew in each pass, which comes many times a second.
	seen     map[string]bool
	regions  map[string]time.Time
	revision uint64
}

// New returns the controller.
func New(board *blackboard.Board, store *datastore.Store, a *admit.Controller) *Controller {
	return &Controller{
		board:   board,
		view:    membership.New(board),
		store:   store,
		admit:   a,
		told:    make(map[string]endpointKey),
		seen:    make(map[string]bool),
		regions: make(map[string]time.Time),
	}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "schedsync" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	sync := time.NewTicker(syncInterval)
	defer sync.Stop()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		state, intentChanged := c.board.Intent.Watch()
		discovered, discoveredChanged := c.board.EndpointsDiscovered.Watch()
		c.syncIntent()
		if state.Intent != nil && discovered && !c.board.SchedulerReady.Get() {
			c.syncEndpoints(time.Now())
			c.board.SchedulerReady.Set(true)
		}
		select {
		case <-t.Dying():
			return nil
		case <-intentChanged:
		case <-discoveredChanged:
		case <-sync.C:
			c.syncEndpoints(time.Now())
			c.syncRegions()
			sync.Reset(c.pause())
		case <-tick.C:
			now := time.Now()
			c.store.AdvanceHealth(now)
			live := c.view.LiveGatewayIDs(now)
			c.store.SetGatewayIDs(c.board.Self.ID, live)
			c.admit.SetGatewayIDs(live)
		}
	}
}

// pause is the time until the next pass over the endpoints.
func (c *Controller) pause() time.Duration {
	return max(syncInterval, time.Duration(len(c.told))*syncPerEndpoint)
}

func (c *Controller) syncIntent() {
	state := c.board.Intent.Get()
	if state.Intent == nil || state.Revision == c.revision {
		return
	}
	c.revision = state.Revision
	c.store.Configure(state.Intent)
	c.admit.Configure(state.Intent)
}

func (c *Controller) syncEndpoints(now time.Time) {
	clear(c.seen)
	c.board.Endpoints.Range(func(id string, e blackboard.EndpointState) bool {
		c.seen[id] = true
		c.syncEndpoint(e, now)
		return true
	})
	for id := range c.told {
		if !c.seen[id] {
			c.store.Remove(id)
			delete(c.told, id)
		}
	}
}

func (c *Controller) syncEndpoint(e blackboard.EndpointState, now time.Time) {
	old, known := c.told[e.ID]
	key := endpointKey{incarnation: e.Incarnation, group: e.Group, leaving: e.Leaving, reportAt: e.Report.TakenAt}
	if known && old == key {
		return
	}
	fixedChanged := !known || old.incarnation != key.incarnation || old.group != key.group || old.leaving != key.leaving
	if fixedChanged {
		c.store.Upsert(datastore.EndpointInfo{
			ID:          e.ID,
			Incarnation: e.Incarnation,
			Group:       e.Group,
			Region:      e.Region,
			Leaving:     e.Leaving,
			RTT:         localRTT,
		}, now)
	}
	if e.HasReport && (!known || !old.reportAt.Equal(key.reportAt) || old.incarnation != key.incarnation) {
		c.store.ApplyLoadReport(e.ID, e.Report, now)
	}
	c.told[e.ID] = key
}

func (c *Controller) syncRegions() {
	c.board.Regions.Range(func(region string, s blackboard.RegionSummary) bool {
		if !c.regions[region].Equal(s.AsOf) {
			c.regions[region] = s.AsOf
			c.store.ApplyRegionSummary(s)
		}
		return true
	})
}
