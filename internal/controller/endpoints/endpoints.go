// Package endpoints is the controller that reads the platform's instance list
// and keeps the endpoints and peers of this region on the blackboard. The list
// lags: it shows which instances exist and which are leaving, but does not prove
// that an instance is alive.
package endpoints

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

const (
	listInterval = 1 * time.Second
	listTimeout  = 2 * time.Second
	// removeUnlistedAfter is how long an endpoint may be missing from the list
	// before it is removed. Only successful reads of the list remove endpoints.
	removeUnlistedAfter = 10 * time.Second
	// peerFetchInterval is the time between two reads of a peer's endpoints while
	// the list is unavailable.
	peerFetchInterval = 5 * time.Second
	// remoteRegionInterval is the time between two reads of the list for gateways
	// of other regions, and the age from which a region summary no longer counts
	// as recent.
	remoteRegionInterval = 10 * time.Second
)

var (
	listReads   = telemetry.NewCounter("instance_list_reads", "calls", "reads of the instance list")
	listErrors  = telemetry.NewCounter("instance_list_errors", "calls", "reads of the instance list that failed")
	peerFetches = telemetry.NewCounter("endpoints_from_peers", "calls", "reads of a peer's endpoints while the instance list was unavailable")
	removed     = telemetry.NewCounter("endpoints_removed", "endpoints", "endpoints removed after they were missing from the instance list")
)

// EndpointFetcher returns the endpoints that a peer knows.
type EndpointFetcher interface {
	FetchEndpoints(ctx context.Context, address string) ([]peer.Endpoint, error)
}

// Controller reads the instance list.
type Controller struct {
	board     *blackboard.Board
	view      *membership.View
	list      platform.InstanceList
	peers     EndpointFetcher
	onRemoved func(address string)
	logger    *log.Logger

	listUnavailable bool
	nextPeerFetch   time.Time
	nextRemoteRead  time.Time
}

// New returns the controller. onRemoved is called with the address of each
// endpoint that is removed.
func New(board *blackboard.Board, list platform.InstanceList, peers EndpointFetcher, onRemoved func(address string), logger *log.Logger) *Controller {
	return &Controller{board: board, view: membership.New(board), list: list, peers: peers, onRemoved: onRemoved, logger: logger}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "endpoints" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		c.readOwnRegion(ctx)
		c.readRemoteRegions(ctx)
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Controller) readOwnRegion(ctx context.Context) {
	instances, err := c.readInstances(ctx, c.board.Self.Region)
	if err != nil {
		if !c.listUnavailable {
			c.logger.Warn("instance list unavailable", "err", err)
		}
		c.listUnavailable = true
		c.fetchFromPeer(ctx)
		return
	}
	if c.listUnavailable {
		c.logger.Info("instance list available again")
	}
	c.listUnavailable = false
	now := time.Now()
	for _, in := range instances {
		c.applyInstance(in, now)
	}
	c.removeUnlisted(now)
	c.setDiscovered()
}

// setDiscovered records that the region's endpoints are known.
func (c *Controller) setDiscovered() {
	c.board.EndpointsDiscovered.Update(func(old bool) (bool, bool) { return true, !old })
}

// fetchFromPeer reads the region's endpoints from a peer while the list is
// unavailable, so that a gateway that starts in the meantime can serve.
func (c *Controller) fetchFromPeer(ctx context.Context) {
	now := time.Now()
	if now.Before(c.nextPeerFetch) {
		return
	}
	c.nextPeerFetch = now.Add(peerFetchInterval)
	for _, p := range c.view.LivePeers(c.board.Self.Region, now) {
		rows, err := c.peers.FetchEndpoints(ctx, p.Address)
		if err != nil {
			continue
		}
		peerFetches.Inc()
		c.view.AddMissingEndpoints(rows, time.Now())
		c.setDiscovered()
		return
	}
	c.nextPeerFetch = time.Time{}
}

func (c *Controller) readInstances(ctx context.Context, region string) ([]platform.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listReads.Inc()
	instances, err := c.list.Instances(ctx, region)
	if err != nil {
		listErrors.Inc()
	}
	return instances, err
}

func (c *Controller) applyInstance(in platform.Instance, now time.Time) {
	leaving := in.State == platform.InstanceLeaving
	if in.Group == platform.GatewayGroup {
		c.applyGateway(in, leaving, now)
		return
	}
	c.view.ApplyEndpoint(blackboard.EndpointState{
		ID:          in.ID,
		Incarnation: in.Incarnation,
		Group:       in.Group,
		Region:      in.Region,
		DataCentre:  in.DataCentre,
		Address:     in.Address,
		Leaving:     leaving,
		LastListed:  now,
	})
}

// applyGateway adds a listed gateway to the peers, or retires it if it is leaving.
// A new peer does not count as live until its status has been received.
func (c *Controller) applyGateway(in platform.Instance, leaving bool, now time.Time) {
	if in.ID == c.board.Self.ID {
		return
	}
	if leaving {
		c.view.Retire(in.ID, in.Incarnation, now)
		return
	}
	if c.view.IsRetired(in.ID, in.Incarnation) {
		return
	}
	if _, known := c.board.Peers.Get(in.ID); known {
		return
	}
	c.view.ApplyPeer(blackboard.PeerState{
		ID:          in.ID,
		Incarnation: in.Incarnation,
		Region:      in.Region,
		Address:     in.Address,
		LastSeen:    now.Add(-membership.LivenessTimeout),
	}, false)
}

func (c *Controller) removeUnlisted(now time.Time) {
	var unlisted []blackboard.EndpointState
	c.board.Endpoints.Range(func(_ string, e blackboard.EndpointState) bool {
		if now.Sub(e.LastListed) > removeUnlistedAfter {
			unlisted = append(unlisted, e)
		}
		return true
	})
	for _, e := range unlisted {
		c.view.Retire(e.ID, e.Incarnation, now)
		c.board.Endpoints.Delete(e.ID)
		c.onRemoved(e.Address)
		removed.Inc()
	}
}

// readRemoteRegions reads from the instance list the gateways of the other
// configured regions that have no recent summary.
func (c *Controller) readRemoteRegions(ctx context.Context) {
	state := c.board.Intent.Get()
	now := time.Now()
	if state.Intent == nil || now.Before(c.nextRemoteRead) {
		return
	}
	c.nextRemoteRead = now.Add(remoteRegionInterval)
	for region := range state.Intent.Regions {
		if region == c.board.Self.Region || c.hasRecentSummary(region, now) {
			continue
		}
		instances, err := c.readInstances(ctx, region)
		if err != nil {
			return
		}
		for _, in := range instances {
			if in.Group == platform.GatewayGroup {
				c.applyGateway(in, in.State == platform.InstanceLeaving, now)
			}
		}
	}
}

func (c *Controller) hasRecentSummary(region string, now time.Time) bool {
	s, ok := c.board.Regions.Get(region)
	return ok && now.Sub(s.AsOf) < remoteRegionInterval
}
