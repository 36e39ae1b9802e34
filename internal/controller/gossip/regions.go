package gossip

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// runRegions exchanges summaries with each region for which this gateway holds
// the role: every regionInterval after a successful exchange, and else at the
// shorter c.interval.
func (c *Controller) runRegions(ctx context.Context, t *tomb.Tomb) error {
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	next := make(map[string]time.Time)
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
			c.exchangeWithRegions(ctx, next)
		}
	}
}

// exchangeWithRegions exchanges summaries with each region that is due. next holds
// the time of the next exchange with each region.
func (c *Controller) exchangeWithRegions(ctx context.Context, next map[string]time.Time) {
	now := time.Now()
	live := c.view.LiveGatewayIDs(now)
	others := c.otherRegions()
	for region, addresses := range others {
		if now.Before(next[region]) || !membership.RegionExchange(region, len(others)).HeldBy(c.board.Self.ID, live) {
			continue
		}
		if c.exchangeSummaries(ctx, addresses) {
			next[region] = now.Add(regionInterval)
		}
	}
}

// exchangeSummaries exchanges summaries with a random one of a region's gateways
// and reports whether it responded.
func (c *Controller) exchangeSummaries(ctx context.Context, addresses []string) bool {
	c.mu.Lock()
	address := addresses[c.rng.IntN(len(addresses))]
	c.mu.Unlock()
	response, ok := c.send(ctx, address, c.buildRegionExchange(time.Now()))
	if ok {
		c.applyExchange(response, time.Now())
	}
	return ok
}

// otherRegions returns the peer addresses of gateways of each other region, from
// the known peers and from the region summaries.
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

// buildRegionExchange builds the exchange for other regions, which carries only
// the summary of this region.
func (c *Controller) buildRegionExchange(now time.Time) peer.Exchange {
	return peer.Exchange{
		From:    c.SelfStatus(),
		Regions: []blackboard.RegionSummary{c.view.LocalRegionSummary(c.summarySeq.Add(1), now)},

		RequestQuarantine: c.requests.Digest(now),
	}
}
