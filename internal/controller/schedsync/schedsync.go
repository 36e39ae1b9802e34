// Package schedsync is the controller that copies the state on the blackboard to
// the scheduler's datastore and to admission control.
package schedsync

import (
	"time"

	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
)

const (
	syncInterval = 100 * time.Millisecond
	// syncPerEndpoint limits the cost of syncing in a large region: the time
	// between two passes is at least this much per endpoint.
	syncPerEndpoint = 500 * time.Microsecond
	healthInterval  = 1 * time.Second
	// localRTT is the assumed round-trip time to endpoints of this region.
	localRTT = 2 * time.Millisecond
)

// syncedEndpoint identifies the state of an endpoint that the datastore has.
type syncedEndpoint struct {
	incarnation   string
	group         string
	leaving       bool
	reportTakenAt time.Time
}

// Controller copies the blackboard's state to the scheduler and to admission
// control.
type Controller struct {
	board     *blackboard.Board
	view      *membership.View
	store     *datastore.Store
	admission *admit.Controller

	synced map[string]syncedEndpoint
	// seen is reused by every pass to avoid allocating a map many times a second.
	seen           map[string]bool
	syncedRegions  map[string]time.Time
	syncedRevision uint64
}

// New returns the controller.
func New(board *blackboard.Board, store *datastore.Store, admission *admit.Controller) *Controller {
	return &Controller{
		board:         board,
		view:          membership.New(board),
		store:         store,
		admission:     admission,
		synced:        make(map[string]syncedEndpoint),
		seen:          make(map[string]bool),
		syncedRegions: make(map[string]time.Time),
	}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "schedsync" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	syncTicker := time.NewTicker(syncInterval)
	defer syncTicker.Stop()
	healthTicker := time.NewTicker(healthInterval)
	defer healthTicker.Stop()
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
		case <-syncTicker.C:
			c.syncEndpoints(time.Now())
			c.syncRegions()
			syncTicker.Reset(c.nextInterval())
		case <-healthTicker.C:
			now := time.Now()
			c.store.AdvanceHealth(now)
			live := c.view.LiveGatewayIDs(now)
			c.store.SetGatewayIDs(c.board.Self.ID, live)
			c.admission.SetGatewayIDs(live)
		}
	}
}

// nextInterval returns the time until the next pass over the endpoints.
func (c *Controller) nextInterval() time.Duration {
	return max(syncInterval, time.Duration(len(c.synced))*syncPerEndpoint)
}

func (c *Controller) syncIntent() {
	state := c.board.Intent.Get()
	if state.Intent == nil || state.Revision == c.syncedRevision {
		return
	}
	c.syncedRevision = state.Revision
	c.store.Configure(state.Intent)
	c.admission.Configure(state.Intent)
}

func (c *Controller) syncEndpoints(now time.Time) {
	clear(c.seen)
	c.board.Endpoints.Range(func(id string, e blackboard.EndpointState) bool {
		c.seen[id] = true
		c.syncEndpoint(e, now)
		return true
	})
	for id := range c.synced {
		if !c.seen[id] {
			c.store.Remove(id)
			delete(c.synced, id)
		}
	}
}

func (c *Controller) syncEndpoint(e blackboard.EndpointState, now time.Time) {
	old, known := c.synced[e.ID]
	current := syncedEndpoint{incarnation: e.Incarnation, group: e.Group, leaving: e.Leaving, reportTakenAt: e.Report.TakenAt}
	if known && old == current {
		return
	}
	metadataChanged := !known || old.incarnation != current.incarnation || old.group != current.group || old.leaving != current.leaving
	if metadataChanged {
		c.store.Upsert(datastore.EndpointInfo{
			ID:          e.ID,
			Incarnation: e.Incarnation,
			Group:       e.Group,
			Region:      e.Region,
			Leaving:     e.Leaving,
			RTT:         localRTT,
		}, now)
	}
	if e.HasReport && (!known || !old.reportTakenAt.Equal(current.reportTakenAt) || old.incarnation != current.incarnation) {
		c.store.ApplyLoadReport(e.ID, e.Report, now)
	}
	c.synced[e.ID] = current
}

func (c *Controller) syncRegions() {
	c.board.Regions.Range(func(region string, s blackboard.RegionSummary) bool {
		if !c.syncedRegions[region].Equal(s.AsOf) {
			c.syncedRegions[region] = s.AsOf
			c.store.ApplyRegionSummary(s)
		}
		return true
	})
}
