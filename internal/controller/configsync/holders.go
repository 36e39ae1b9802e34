package configsync

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
)

// watchHolders is the number of a region's gateways that hold a watch.
const watchHolders = 2

// holdsWatch says whether this gateway is among the region's holders, chosen
// by rendezvous hashing over the live gateways. Gateways that see different
// peers may choose more holders or fewer; more are harmless, and the polls
// cover fewer.
func (c *Controller) holdsWatch() bool {
	own := holderScore(c.Board.Self.ID)
	ahead := 0
	for _, id := range c.liveIDs() {
		if holderScore(id) > own {
			ahead++
		}
	}
	return ahead < watchHolders
}

func holderScore(id string) uint64 { return xxhash.Sum64String("config-watch/" + id) }

// liveIDs returns the ids of the region's live gateways, this one included.
func (c *Controller) liveIDs() []string {
	ids := []string{c.Board.Self.ID}
	now := time.Now()
	c.Board.Peers.Range(func(id string, p blackboard.PeerState) bool {
		if id != c.Board.Self.ID && p.Region == c.Board.Self.Region && c.live(p, now) {
			ids = append(ids, id)
		}
		return true
	})
	return ids
}

func (c *Controller) live(p blackboard.PeerState, now time.Time) bool {
	return !p.Leaving && now.Sub(p.Heard) <= c.Timing.LiveWindow
}
