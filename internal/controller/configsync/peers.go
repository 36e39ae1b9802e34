package configsync

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// claim says that the gateway at an address holds a revision.
type claim struct {
	address  string
	revision uint64
	remote   bool
}

// peerLoop fetches revisions that peers hold and this gateway does not.
func (c *Controller) peerLoop(ctx context.Context) {
	avoid := map[string]time.Time{}
	var since time.Time
	for pause(ctx, c.Timing.PeerTick) {
		if c.holding() == 0 {
			c.start()
		}
		forget(avoid)
		claims := c.claims(c.known())
		if len(claims) == 0 {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		c.fetchFrom(ctx, c.choose(claims, avoid, time.Since(since)), avoid)
	}
}

// forget drops the entries that are over.
func forget(avoid map[string]time.Time) {
	now := time.Now()
	maps.DeleteFunc(avoid, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// known is the highest revision that is in force or pending.
func (c *Controller) known() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil {
		return c.pending.state.Revision
	}
	return c.holding()
}

// claims returns who says to hold a revision above known.
func (c *Controller) claims(known uint64) []claim {
	var out []claim
	now := time.Now()
	c.Board.Peers.Range(func(_ string, p blackboard.PeerState) bool {
		if p.Revision > known && now.Sub(p.LastSeen) <= c.Timing.LiveWindow {
			out = append(out, claim{p.Address, p.Revision, p.Region != c.Board.Self.Region})
		}
		return true
	})
	c.Board.Regions.Range(func(_ string, r blackboard.RegionSummary) bool {
		if r.Region == c.Board.Self.Region || r.Revision <= known || now.Sub(r.AsOf) > c.Timing.LiveWindow {
			return true
		}
		for _, g := range r.Gateways {
			out = append(out, claim{g.Peer, r.Revision, true})
		}
		return true
	})
	return out
}

// highestClaim is the highest revision that another gateway says to hold.
func (c *Controller) highestClaim() uint64 {
	var highest uint64
	for _, k := range c.claims(c.holding()) {
		highest = max(highest, k.revision)
	}
	return highest
}

// choose picks whom to ask: the highest revision, in this region before another
// one, at random. Another region is asked by the holders at once and by the
// others after a wait, to spare the link. The result is nil when nobody is to
// be asked now.
func (c *Controller) choose(claims []claim, avoid map[string]time.Time, waited time.Duration) *claim {
	remoteAllowed := waited >= c.Timing.RemoteWait || c.holdsWatch()
	var best []claim
	for _, k := range claims {
		if _, avoided := avoid[k.address]; avoided || (k.remote && !remoteAllowed) {
			continue
		}
		switch {
		case len(best) == 0 || k.better(best[0]):
			best = []claim{k}
		case !best[0].better(k):
			best = append(best, k)
		}
	}
	if len(best) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return &best[c.rand.IntN(len(best))]
}

func (k claim) better(other claim) bool {
	if k.remote != other.remote {
		return !k.remote
	}
	return k.revision > other.revision
}

// fetchFrom fetches and offers a peer's snapshot. A peer that fails is avoided
// for a while.
func (c *Controller) fetchFrom(ctx context.Context, k *claim, avoid map[string]time.Time) {
	if k == nil {
		return
	}
	if err := c.fetch(ctx, *k); err != nil && ctx.Err() == nil {
		peerFailures.Inc()
		avoid[k.address] = time.Now().Add(c.Timing.PeerTimeout)
	}
}

func (c *Controller) fetch(ctx context.Context, k claim) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timing.PeerTimeout)
	defer cancel()
	v, err := c.fetchVerified(ctx, k)
	if err != nil {
		return err
	}
	if v.Head.Revision < k.revision {
		return &StaleSnapshotError{Address: k.address, Claimed: k.revision, Got: v.Head.Revision}
	}
	err = c.offer(v, fromPeer)
	var bad *ContentError
	if errors.As(err, &bad) {
		c.reject(bad)
	}
	return err
}

// fetchVerified fetches what this gateway lacks of a peer's revision.
func (c *Controller) fetchVerified(ctx context.Context, k claim) (*revision.Verified, error) {
	delta, ok := c.Peers.(DeltaFetcher)
	if !ok {
		raw, err := c.Peers.FetchSnapshot(ctx, k.address, k.revision)
		if err != nil {
			return nil, err
		}
		return revision.ParseSnapshot(raw)
	}
	known := c.contents()
	raw, err := delta.FetchDelta(ctx, k.address, k.revision, slices.Sorted(maps.Keys(known)))
	if err != nil {
		return nil, err
	}
	return revision.ParseDelta(raw, known)
}

// contents returns the contents that this gateway has, by their digest.
func (c *Controller) contents() map[string][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.blobs)
}

// StaleSnapshotError says that a peer sent a lower revision than it claimed.
type StaleSnapshotError struct {
	Address string
	Claimed uint64
	Got     uint64
}

// Error implements error.
func (e *StaleSnapshotError) Error() string {
	return fmt.Sprintf("peer %s sent revision %d and claimed %d", e.Address, e.Got, e.Claimed)
}
