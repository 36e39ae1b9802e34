package configsync

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

// watchHolders is the number of a region's gateways that hold a watch.
const watchHolders = 2

// watchRendezvousKey is the key whose owners among a region's gateways hold the watch.
const watchRendezvousKey = "config-watch"

// holdsWatch says whether this gateway is among the region's holders. Gateways
// that see different peers may choose more holders or fewer; more are harmless,
// and the polls make up for fewer.
func (c *Controller) holdsWatch() bool {
	return rendezvous.Owns(watchRendezvousKey, c.Board.Self.ID, c.liveGatewayIDs(), watchHolders)
}

// liveGatewayIDs returns the ids of the region's live gateways, this one included.
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
