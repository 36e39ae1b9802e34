package gossip

import (
	"context"
	"math"
	"time"

	"golang.org/x/sync/errgroup"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// runUrgent tells peers of the region at once when something has changed here
// that can't wait: a leaving mark, a suspicion or the lifecycle are told to
// all; a new revision is told to all by those that watch the store, and to a
// few by the others, who had it from a peer.
func (c *Controller) runUrgent(ctx context.Context, t *tomb.Tomb) error {
	toldRevision := c.board.Intent.Get().Revision
	toldState := c.board.Lifecycle.Get()
	for {
		state, intentChanged := c.board.Intent.Watch()
		lifecycle, lifecycleChanged := c.board.Lifecycle.Watch()
		fanout := everyPeer
		if state.Revision == toldRevision && lifecycle == toldState {
			select {
			case <-t.Dying():
				return nil
			case <-intentChanged:
				continue
			case <-lifecycleChanged:
				continue
			case <-c.urgent:
			}
		} else if lifecycle == toldState && !c.view.Holds(membership.StoreWatch, time.Now()) {
			fanout = adoptedFanout
		}
		toldRevision = state.Revision
		toldState = lifecycle
		c.tell(ctx, fanout)
	}
}

// Numbers of peers that are told at once.
const (
	everyPeer     = math.MaxInt
	adoptedFanout = 8
)

// tell exchanges with at most fanout of the region's peers at once.
func (c *Controller) tell(ctx context.Context, fanout int) {
	msg := c.view.BuildExchange(c.SelfStatus(), c.turn.Add(1), time.Now())
	msg.LoadReports = peer.LoadReports{}
	msg.Regions = nil
	var group errgroup.Group
	group.SetLimit(urgentSends)
	for _, address := range c.stayingPeers(fanout) {
		group.Go(func() error {
			urgentTold.Inc()
			_ = c.converse(ctx, address, msg)
			return nil
		})
	}
	_ = group.Wait()
}

// stayingPeers returns the addresses of at most n peers that are not leaving,
// in random order.
func (c *Controller) stayingPeers(n int) []string {
	var addresses []string
	c.board.Peers.Range(func(_ string, p blackboard.PeerState) bool {
		if p.Region == c.board.Self.Region && !p.Leaving {
			addresses = append(addresses, p.Address)
		}
		return true
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}
