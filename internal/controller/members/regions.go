package members

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

// regionSenders is the number of gateways of a region that swap summaries with
// one other region.
const regionSenders = 2

// runRegions swaps summaries with each other region for which this gateway is
// one of the senders.
func (c *Controller) runRegions(ctx context.Context, t *tomb.Tomb) error {
	ticker := time.NewTicker(regionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
			c.swapRegions(ctx)
		}
	}
}

func (c *Controller) swapRegions(ctx context.Context) {
	now := time.Now()
	live := c.view.LiveIDs(now)
	for region, addresses := range c.otherRegions() {
		if len(addresses) == 0 || !rendezvous.Owns("region/"+region, c.board.Self.ID, live, regionSenders) {
			continue
		}
		c.mu.Lock()
		address := addresses[c.rng.IntN(len(addresses))]
		c.mu.Unlock()
		exchanges.Inc()
		reply, err := c.client.Exchange(ctx, address, c.regional(now))
		if err != nil {
			exchangeErrors.Inc()
			continue
		}
		c.absorbRegional(reply)
	}
}

// otherRegions returns peer addresses of each other region, from the peers
// known here and from the summaries.
func (c *Controller) otherRegions() map[string][]string {
	out := make(map[string][]string)
	seen := make(map[string]bool)
	add := func(region, address string) {
		if region == c.board.Self.Region || seen[address] {
			return
		}
		seen[address] = true
		out[region] = append(out[region], address)
	}
	c.board.Peers.Range(func(_ string, p blackboard.PeerState) bool {
		if !p.Leaving {
			add(p.Region, p.Address)
		}
		return true
	})
	c.board.Regions.Range(func(region string, s blackboard.RegionSummary) bool {
		for _, g := range s.Gateways {
			add(region, g.Peer)
		}
		return true
	})
	return out
}

// regional builds the exchange between regions: the own region's summary only.
func (c *Controller) regional(now time.Time) peer.Exchange {
	return peer.Exchange{
		From:    c.Self(),
		Regions: []blackboard.RegionSummary{c.view.Summary(c.seq.Add(1), now)},
	}
}

func (c *Controller) absorbRegional(reply peer.Exchange) {
	c.view.Absorb(reply, time.Now())
}
