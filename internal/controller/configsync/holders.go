package configsync

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

// watchHolders is the number of gateways per region that watch the head.
const watchHolders = 2

// watchRendezvousKey is the rendezvous hashing key that selects the watch holders
// among a region's gateways.
const watchRendezvousKey = "config-watch"

// holdsWatch reports whether this gateway is one of its region's watch holders.
// Gateways that see different peers may select too many or too few holders: too
// many are harmless, and polling compensates for too few.
func (c *Controller) holdsWatch() bool {
	return rendezvous.Owns(watchRendezvousKey, c.Board.Self.ID, c.liveGatewayIDs(), watchHolders)
}

// liveGatewayIDs returns the ids of the region's live gateways, including this one.
func (c *Controller) liveGatewayIDs() []string {
	ids := []string{c.Board.Self.ID}
	now := time.Now()
	c.Board.Peers.Range(func(id string, p blackboard.PeerState) bool {
		if id != c.Board.Self.ID && p.Region == c.Board.Self.Region && c.isLive(p, now) {
			ids = append(ids, id)
		}
		return true
	})
	return ids
}

func (c *Controller) isLive(p blackboard.PeerState, now time.Time) bool {
	return !p.Leaving && now.Sub(p.LastSeen) <= c.Timing.LivenessTimeout
}
