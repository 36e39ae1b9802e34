package gossip

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// runRegions swaps summaries with each other region for which this gateway is
// one of the senders: every regionInterval, and sooner with one not yet heard.
func (c *Controller) runRegions(ctx context.Context, t *tomb.Tomb) error {
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	next := make(map[string]time.Time)
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
			c.swapRegions(ctx, next)
		}
	}
}

// swapRegions swaps with each region that is due; next holds when each is.
func (c *Controller) swapRegions(ctx context.Context, next map[string]time.Time) {
	now := time.Now()
	live := c.view.LiveGatewayIDs(now)
	others := c.otherRegions()
	for region, addresses := range others {
		if now.Before(next[region]) || !membership.RegionExchange(region, len(others)).HeldBy(c.board.Self.ID, live) {
			continue
		}
		if c.swap(ctx, addresses) {
			next[region] = now.Add(regionInterval)
		}
	}
}

// swap exchanges summaries with one of a region's gateways.
func (c *Controller) swap(ctx context.Context, addresses []string) bool {
	c.mu.Lock()
	address := addresses[c.rng.IntN(len(addresses))]
	c.mu.Unlock()
	reply, ok := c.send(ctx, address, c.regional(time.Now()))
	if ok {
		c.absorb(reply, time.Now())
	}
	return ok
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
		From:    c.SelfStatus(),
		Regions: []blackboard.RegionSummary{c.view.LocalRegionSummary(c.seq.Add(1), now)},
	}
}
