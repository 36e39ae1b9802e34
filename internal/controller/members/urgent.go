package members

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// runUrgent tells all peers of the region at once when the configuration, the
// lifecycle or a leaving mark has changed here.
func (c *Controller) runUrgent(ctx context.Context, t *tomb.Tomb) error {
	toldRevision := c.board.Intent.Get().Revision
	toldState := c.board.Lifecycle.Get()
	for {
		state, intentChanged := c.board.Intent.Watch()
		lifecycle, lifecycleChanged := c.board.Lifecycle.Watch()
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
		}
		toldRevision = state.Revision
		toldState = lifecycle
		c.tellRegion(ctx)
	}
}

func (c *Controller) tellRegion(ctx context.Context) {
	now := time.Now()
	var group errgroup.Group
	group.SetLimit(urgentSends)
	var addresses []string
	c.board.Peers.Range(func(_ string, p blackboard.PeerState) bool {
		if p.Region == c.board.Self.Region && !p.Leaving {
			addresses = append(addresses, p.Address)
		}
		return true
	})
	msg := c.view.Compose(c.Self(), c.turn.Add(1), now)
	msg.Loads = peer.Loads{}
	for _, address := range addresses {
		group.Go(func() error {
			urgentTold.Inc()
			c.converse(ctx, address, msg)
			return nil
		})
	}
	_ = group.Wait()
}
