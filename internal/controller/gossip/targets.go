package gossip

import (
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/membership"
)

// nextPeer returns the next peer of the region. Each pass covers every peer once,
// in random order.
func (c *Controller) nextPeer(now time.Time) (blackboard.PeerState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for refilled := false; ; refilled = true {
		for len(c.pendingPeers) > 0 {
			id := c.pendingPeers[0]
			c.pendingPeers = c.pendingPeers[1:]
			if p, ok := c.board.Peers.Get(id); ok {
				return p, true
			}
		}
		if refilled {
			return blackboard.PeerState{}, false
		}
		c.pendingPeers = c.shuffledPeers(now)
	}
}

func (c *Controller) shuffledPeers(now time.Time) []string {
	var ids []string
	c.board.Peers.Range(func(id string, p blackboard.PeerState) bool {
		if p.Region == c.board.Self.Region && now.Sub(p.LastSeen) < membership.PeerRetention {
			ids = append(ids, id)
		}
		return true
	})
	slices.Sort(ids)
	c.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// pickSeed returns a random seed.
func (c *Controller) pickSeed() (blackboard.PeerState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.seeds) == 0 {
		return blackboard.PeerState{}, false
	}
	return blackboard.PeerState{Address: c.seeds[c.rng.IntN(len(c.seeds))]}, true
}
