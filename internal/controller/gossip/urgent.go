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

// runNotifications notifies peers of the region at once of urgent changes. Retired
// incarnations, suspicions and changes of the lifecycle go to all peers. A new
// revision goes to all peers if this gateway watches the store, and else to
// nonWatcherFanout peers, as the gateway received it from a peer.
func (c *Controller) runNotifications(ctx context.Context, t *tomb.Tomb) error {
	notifiedRevision := c.board.Intent.Get().Revision
	notifiedLifecycle := c.board.Lifecycle.Get()
	for {
		intentState, intentChanged := c.board.Intent.Watch()
		lifecycle, lifecycleChanged := c.board.Lifecycle.Watch()
		fanout := allPeers
		if intentState.Revision == notifiedRevision && lifecycle == notifiedLifecycle {
			select {
			case <-t.Dying():
				return nil
			case <-intentChanged:
				continue
			case <-lifecycleChanged:
				continue
			case <-c.notifyRequested:
			}
		} else if lifecycle == notifiedLifecycle && !c.view.Holds(membership.StoreWatch, time.Now()) {
			fanout = nonWatcherFanout
		}
		notifiedRevision = intentState.Revision
		notifiedLifecycle = lifecycle
		c.notify(ctx, fanout)
	}
}

// Numbers of peers to notify of an urgent change.
const (
	allPeers         = math.MaxInt
	nonWatcherFanout = 8
)

// notify exchanges with up to fanout random peers of the region and returns when
// all have responded or failed.
func (c *Controller) notify(ctx context.Context, fanout int) {
	msg := c.view.BuildExchange(c.SelfStatus(), c.rotation.Add(1), time.Now())
	msg.LoadReports = peer.LoadReports{}
	msg.Regions = nil
	var group errgroup.Group
	group.SetLimit(maxConcurrentUrgent)
	for _, address := range c.notifyTargets(fanout) {
		group.Go(func() error {
			urgentExchanges.Inc()
			_ = c.exchangeWith(ctx, address, msg)
			return nil
		})
	}
	_ = group.Wait()
}

// notifyTargets returns the addresses of up to n random peers of the region that
// are not leaving.
func (c *Controller) notifyTargets(n int) []string {
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
