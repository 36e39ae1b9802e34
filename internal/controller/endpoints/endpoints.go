// Package endpoints is the controller that reads the platform's instance list
// and keeps the endpoints and peers of this region on the blackboard. The list
// lags: it names instances and says which are leaving, but it is no proof that
// one is alive.
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

// Times of the controller.
const (
	listInterval = 1 * time.Second
	listTimeout  = 2 * time.Second
	// unlistedFor is how long an endpoint may be missing from answered lists
	// before it is removed.
	unlistedFor = 10 * time.Second
	// peerInterval is the time between two looks at a peer's endpoints while
	// the list is away.
	peerInterval = 5 * time.Second
	// foreignInterval is the time between two looks for gateways of a region
	// that is not heard.
	foreignInterval = 10 * time.Second
)

var (
	listReads  = telemetry.NewCounter("instance_list_reads", "calls", "reads of the instance list")
	listErrors = telemetry.NewCounter("instance_list_errors", "calls", "reads of the instance list that failed")
	peerReads  = telemetry.NewCounter("endpoints_from_peers", "calls", "times a peer's endpoints were taken while the instance list was away")
	removed    = telemetry.NewCounter("endpoints_removed", "endpoints", "endpoints removed after leaving the list")
)

// PeerSource tells the endpoints that a peer knows.
type PeerSource interface {
	FetchEndpoints(ctx context.Context, address string) ([]peer.Endpoint, error)
}

// Controller reads the instance list.
type Controller struct {
	board  *blackboard.Board
	view   *membership.View
	list   platform.InstanceList
	peers  PeerSource
	forget func(address string)
	logger *log.Logger

	listDown    bool
	nextPeer    time.Time
	nextForeign time.Time
}

// New returns the controller.
//
// forget is called with the address of each endpoint that is removed.
func New(board *blackboard.Board, list platform.InstanceList, peers PeerSource, forget func(address string), logger *log.Logger) *Controller {
	return &Controller{board: board, view: membership.New(board), list: list, peers: peers, forget: forget, logger: logger}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "endpoints" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		c.readOnce(ctx)
		c.readForeign(ctx)
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Controller) readOnce(ctx context.Context) {
	instances, err := c.read(ctx, c.board.Self.Region)
	if err != nil {
		if !c.listDown {
			c.logger.Warn("instance list unavailable", "err", err)
		}
		c.listDown = true
		c.askPeer(ctx)
		return
	}
	if c.listDown {
		c.logger.Info("instance list available again")
	}
	c.listDown = false
	now := time.Now()
	for _, in := range instances {
		c.merge(in, now)
	}
	c.removeUnlisted(now)
	c.discovered()
}

// discovered notes that the region's endpoints are known.
func (c *Controller) discovered() {
	c.board.EndpointsDiscovered.Update(func(old bool) (bool, bool) { return true, !old })
}

// askPeer learns the region's endpoints from a peer while the list is away, so
// that a gateway that starts meanwhile can serve.
func (c *Controller) askPeer(ctx context.Context) {
	now := time.Now()
	if now.Before(c.nextPeer) {
		return
	}
	c.nextPeer = now.Add(peerInterval)
	for _, p := range c.view.LivePeers(c.board.Self.Region, now) {
		rows, err := c.peers.FetchEndpoints(ctx, p.Address)
		if err != nil {
			continue
		}
		peerReads.Inc()
		c.view.AddMissingEndpoints(rows, time.Now())
		c.discovered()
		return
	}
	c.nextPeer = time.Time{}
}

func (c *Controller) read(ctx context.Context, region string) ([]platform.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listReads.Inc()
	instances, err := c.list.Instances(ctx, region)
	if err != nil {
		listErrors.Inc()
	}
	return instances, err
}

func (c *Controller) merge(in platform.Instance, now time.Time) {
	leaving := in.State == platform.InstanceLeaving
	if in.Group == platform.GatewayGroup {
		c.mergePeer(in, leaving, now)
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

// mergePeer makes a listed gateway known. It is not counted on before it has
// been heard.
func (c *Controller) mergePeer(in platform.Instance, leaving bool, now time.Time) {
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
	var gone []blackboard.EndpointState
	c.board.Endpoints.Range(func(_ string, e blackboard.EndpointState) bool {
		if now.Sub(e.LastListed) > unlistedFor {
			gone = append(gone, e)
		}
		return true
	})
	for _, e := range gone {
		c.view.Retire(e.ID, e.Incarnation, now)
		c.board.Endpoints.Delete(e.ID)
		c.forget(e.Address)
		removed.Inc()
	}
}

// readForeign looks for gateways of regions that are named by the
// configuration and have not been heard.
func (c *Controller) readForeign(ctx context.Context) {
	state := c.board.Intent.Get()
	now := time.Now()
	if state.Intent == nil || now.Before(c.nextForeign) {
		return
	}
	c.nextForeign = now.Add(foreignInterval)
	for region := range state.Intent.Regions {
		if region == c.board.Self.Region || c.heard(region, now) {
			continue
		}
		instances, err := c.read(ctx, region)
		if err != nil {
			return
		}
		for _, in := range instances {
			if in.Group == platform.GatewayGroup {
				c.mergePeer(in, in.State == platform.InstanceLeaving, now)
			}
		}
	}
}

func (c *Controller) heard(region string, now time.Time) bool {
	s, ok := c.board.Regions.Get(region)
	return ok && now.Sub(s.AsOf) < foreignInterval
}
